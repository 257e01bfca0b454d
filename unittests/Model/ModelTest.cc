// Intent files, keys and placement of homes.
#include <gtest/gtest.h>
// The property library's bridge needs the test library first.
#include <rapidcheck/gtest.h>

#include "basilusher/Model/ClusterView.h"
#include "basilusher/Model/IntentFiles.h"
#include "basilusher/Support/Digest.h"

namespace basilusher {
namespace {

std::string ExampleDirectory(const std::string& name) {
  return std::string(BASILUSHER_SOURCE_DIR) + "/share/examples/" + name;
}

TEST(IntentFiles, ExamplesAreValid) {
  for (const char* name : {"monterrey", "gujarat"}) {
    const CollectedIntent collected = CollectIntent(ExampleDirectory(name));
    EXPECT_TRUE(collected.errors.empty()) << collected.errors.front();
    const Intent intent = ParseIntent(collected.document, 3);
    EXPECT_EQ(intent.version, 3);
    EXPECT_EQ(intent.pools.size(), 5U);
    EXPECT_EQ(intent.teams.size(), 6U);
    std::size_t workers = 0;
    for (const auto& pool : intent.pools) workers += pool.second.workers.size();
    EXPECT_EQ(workers, 50U);
  }
}

struct BadDocument {
  const char* name;
  const char* patch;
  const char* message;
};

TEST(IntentFiles, EveryErrorIsReportedAndNamed) {
  const CollectedIntent good = CollectIntent(ExampleDirectory("monterrey"));
  const std::vector<BadDocument> cases = {
      {"no teams", R"([{"op":"remove","path":"/teams"}])", "/teams"},
      {"negative limit",
       R"([{"op":"replace","path":"/teams/foremen/limit","value":-1}])",
       "/foremen/limit"},
      {"zero share",
       R"([{"op":"replace","path":"/teams/foremen/share","value":0}])",
       "/foremen/share"},
      {"no budget",
       R"([{"op":"replace","path":"/services/ledgers/availabilityBudget","value":0}])",
       "/availabilityBudget"},
      {"unknown class",
       R"([{"op":"replace","path":"/services/ledgers/queues/overnight-ledgers/class","value":"soon"}])",
       "/class"},
      {"unknown field", R"([{"op":"add","path":"/teams/foremen/x","value":1}])",
       "/foremen"},
      {"worker of two pools",
       R"([{"op":"add","path":"/services/ledgers/workers/-","value":"mty-01"}])",
       "worker \"mty-01\" already belongs"},
      {"unknown team in a queue",
       R"([{"op":"replace","path":"/services/ledgers/queues/overnight-ledgers/teams","value":["nobody"]}])",
       "\"nobody\""},
      {"unknown spare pool",
       R"([{"op":"replace","path":"/deployment/sparePool","value":"x"}])",
       "/sparePool"}};
  for (const BadDocument& row : cases) {
    const Json document = good.document.patch(Json::parse(row.patch));
    const std::vector<std::string> errors = CheckDocument(document);
    ASSERT_FALSE(errors.empty()) << row.name;
    bool named = false;
    for (const std::string& error : errors) {
      named = named || error.find(row.message) != std::string::npos;
    }
    EXPECT_TRUE(named) << row.name << ": " << errors.front();
    EXPECT_THROW(ParseIntent(document, 1), Error) << row.name;
  }
}

rc::Gen<KeySet> Keys() {
  return rc::gen::map(
      rc::gen::container<std::vector<std::pair<int, bool>>>(
          rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::arbitrary<bool>())),
      [](const std::vector<std::pair<int, bool>>& steps) {
        KeySet keys;
        for (const std::pair<int, bool>& step : steps) {
          const std::string id = "k" + std::to_string(step.first);
          if (step.second) {
            keys.Withdraw(id);
          } else {
            keys.Add(id, {.team = "t" + id, .hash = KeyHash(id + ".s")});
          }
        }
        return keys;
      });
}

RC_GTEST_PROP(KeySet, MergeHasNoOrder, ()) {
  const KeySet a = *Keys();
  const KeySet b = *Keys();
  const KeySet c = *Keys();
  KeySet left = a;
  left.Merge(b);
  left.Merge(c);
  KeySet right = c;
  right.Merge(b);
  right.Merge(a);
  right.Merge(a);
  RC_ASSERT(left == right);
  RC_ASSERT(left.Digest() == right.Digest());
  RC_ASSERT(Json(left).get<KeySet>() == left);
}

RC_GTEST_PROP(KeySet, TombstonesLast, ()) {
  const KeySet a = *Keys();
  const KeySet b = *Keys();
  KeySet merged = a;
  merged.Merge(b);
  for (const auto& row : a.Records()) {
    if (!row.second.withdrawn) continue;
    RC_ASSERT(merged.Records().at(row.first).withdrawn);
    RC_ASSERT(merged.Find(row.first + ".s").state == KeyState::kWithdrawn);
  }
}

TEST(KeySet, FindsByWholeKeyOnly) {
  KeySet keys;
  keys.Add("id", {.team = "a", .hash = KeyHash("id.secret")});
  EXPECT_EQ(keys.Find("id.secret").state, KeyState::kValid);
  EXPECT_EQ(keys.Find("id.secret").team, "a");
  for (const char* wrong :
       {"", "id", "id.", "id.secret2", "x.secret", ".secret"}) {
    EXPECT_EQ(keys.Find(wrong).state, KeyState::kUnknown) << wrong;
  }
}

TEST(HomeOf, MovesOnlyTheHomesOfTheEntryThatLeaves) {
  ClusterView view;
  for (int n = 1; n <= 7; ++n) {
    const std::string name = "entry-" + std::to_string(n);
    view.entries[name].instance = name;
  }
  ClusterView smaller = view;
  smaller.entries.erase("entry-4");
  std::map<std::string, int> homes;
  for (int n = 0; n < 700; ++n) {
    const std::string subject = "slots/" + std::to_string(n);
    const std::string before = HomeOf(view, subject);
    ++homes[before];
    if (before != "entry-4") {
      EXPECT_EQ(HomeOf(smaller, subject), before);
    }
  }
  for (const auto& row : homes) EXPECT_GT(row.second, 50) << row.first;
}

}  // namespace
}  // namespace basilusher
