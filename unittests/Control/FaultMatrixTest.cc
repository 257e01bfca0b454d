// Every fault at every step of the entries' protocols, with all promises
// checked against the record of the fakes.
#include <gtest/gtest.h>

#include <array>
#include <cstdlib>

#include "TestCluster.h"

namespace basilusher::testing {
namespace {

constexpr Millis kFaultSpan{4000};
constexpr Millis kLateBy{2500};
constexpr Millis kLateShortlyBy{700};

enum class Step {
  kClaim,
  kAllotSlot,
  kAllotPlace,
  kDispatchMany,
  kDispatchOnce,
  kAnswerMany,
  kAnswerOnce,
  kRelease,
  kRecordOutcome,
  kTakeHome,
  kCollect,
  kServe,
  kPublish,
  kSpread,
  kGive,
  kWithdraw,
  kBudgetPlace,
  kDrain,
  kReleaseInstance,
  kMove,
};

constexpr EnumTable<Step, 20> kSteps = {{
    {Step::kClaim, "swap claims/"},
    {Step::kAllotSlot, "slot-ask"},
    {Step::kAllotPlace, "place-ask"},
    {Step::kDispatchMany, "dispatch many"},
    {Step::kDispatchOnce, "dispatch once"},
    {Step::kAnswerMany, "answer many"},
    {Step::kAnswerOnce, "answer once"},
    {Step::kRelease, "slot-done"},
    {Step::kRecordOutcome, "claim-done"},
    {Step::kTakeHome, "swap places/"},
    {Step::kCollect, "place-term"},
    {Step::kServe, "place-answer"},
    {Step::kPublish, "swap intent/head"},
    {Step::kSpread, "intent-push"},
    {Step::kGive, "swap keys"},
    {Step::kWithdraw, "keys-push"},
    {Step::kBudgetPlace, "swap fleet/pool/"},
    {Step::kDrain, "drain"},
    {Step::kReleaseInstance, "release"},
    {Step::kMove, "swap fleet/instances"},
}};

enum class InjectedFault {
  kCrash,
  kCrashAndRestart,
  kPause,
  kCutStore,
  kCutPeers,
  kCutWorkers,
  kStoreDown,
  kStoreSlow,
  kAnswerLost,
  kLate,
  kLateWithinTimeouts,
  kTwice,
  kCrossed,
  kCrashAndStoreDown,
  kPauseAndStoreDown,
  kCutPeersAndStoreSlow,
};

constexpr EnumTable<InjectedFault, 16> kFaults = {{
    {InjectedFault::kCrash, "crash"},
    {InjectedFault::kCrashAndRestart, "crash-restart"},
    {InjectedFault::kPause, "pause-beyond-lease"},
    {InjectedFault::kCutStore, "cut-to-store"},
    {InjectedFault::kCutPeers, "cut-to-peers"},
    {InjectedFault::kCutWorkers, "cut-to-workers"},
    {InjectedFault::kStoreDown, "store-down"},
    {InjectedFault::kStoreSlow, "store-slow"},
    {InjectedFault::kAnswerLost, "answer-lost"},
    {InjectedFault::kLate, "late"},
    {InjectedFault::kLateWithinTimeouts, "late-within-timeouts"},
    {InjectedFault::kTwice, "twice"},
    {InjectedFault::kCrossed, "crossed"},
    {InjectedFault::kCrashAndStoreDown, "crash+store-down"},
    {InjectedFault::kPauseAndStoreDown, "pause+store-down"},
    {InjectedFault::kCutPeersAndStoreSlow, "cut-to-peers+store-slow"},
}};

/// Applies a fault to the entry that takes the step; returns the effect on the
/// step's own message or call.
FaultEffect Strike(TestCluster* cluster, InjectedFault fault,
                   const std::string& node) {
  const auto end = [cluster](std::function<void()> work) {
    cluster->RunAfter(kFaultSpan, std::move(work));
  };
  const auto store_down = [cluster, &end] {
    cluster->store_down = true;
    end([cluster] { cluster->store_down = false; });
  };
  const auto store_slow = [cluster, &end] {
    cluster->store_delay = Millis(800);
    end([cluster] { cluster->store_delay = Millis(1); });
  };
  const auto pause = [cluster, &end, &node] {
    cluster->RunAfter(Millis(0), [cluster, node] { cluster->Pause(node); });
    end([cluster, node] { cluster->Resume(node); });
  };
  const auto cut_peers = [cluster, &end, &node] {
    cluster->Get(node)->peers_cut = true;
    end([cluster, node] { cluster->Get(node)->peers_cut = false; });
  };
  // An entry ends between two events, not within a call.
  const auto crash = [cluster, &node] {
    cluster->RunAfter(Millis(0), [cluster, node] { cluster->Crash(node); });
  };
  switch (fault) {
    case InjectedFault::kCrash:
      crash();
      return {};
    case InjectedFault::kCrashAndRestart:
      crash();
      cluster->RunAfter(Millis(600),
                        [cluster, node] { cluster->Restart(node); });
      return {};
    case InjectedFault::kPause:
      pause();
      return {};
    case InjectedFault::kCutStore:
      cluster->Get(node)->store_cut = true;
      end([cluster, node] { cluster->Get(node)->store_cut = false; });
      return {};
    case InjectedFault::kCutPeers:
      cut_peers();
      return {};
    case InjectedFault::kCutWorkers:
      cluster->Get(node)->workers_cut = true;
      end([cluster, node] { cluster->Get(node)->workers_cut = false; });
      return {};
    case InjectedFault::kStoreDown:
      store_down();
      return {};
    case InjectedFault::kStoreSlow:
      store_slow();
      return {};
    case InjectedFault::kAnswerLost:
      return {.lose_answer = true};
    case InjectedFault::kLate:
      return {.delay = kLateBy};
    case InjectedFault::kLateWithinTimeouts:
      return {.delay = kLateShortlyBy};
    case InjectedFault::kTwice:
      return {.twice = true};
    case InjectedFault::kCrossed:
      return {.delay = Millis(30)};
    case InjectedFault::kCrashAndStoreDown:
      crash();
      store_down();
      return {};
    case InjectedFault::kPauseAndStoreDown:
      pause();
      store_down();
      return {};
    case InjectedFault::kCutPeersAndStoreSlow:
      cut_peers();
      store_slow();
      return {};
  }
  return {};
}

/// Whether `fault` can strike at `step`; otherwise `reason` says why not.
bool Applies(Step step, InjectedFault fault, std::string* reason) {
  const std::string_view name = NameOf(kSteps, step);
  const bool is_call = name.compare(0, 5, "swap ") == 0;
  const bool is_fleet_call =
      step == Step::kDrain || step == Step::kReleaseInstance;
  const bool is_answer = step == Step::kAnswerMany || step == Step::kAnswerOnce;
  const bool is_work = is_answer || is_fleet_call ||
                       step == Step::kDispatchMany ||
                       step == Step::kDispatchOnce;
  if (fault == InjectedFault::kAnswerLost && !is_call && !is_answer) {
    *reason = "the step has no answer of its own; a lost message is cut-to-...";
    return false;
  }
  if (fault == InjectedFault::kTwice && (is_call || is_work)) {
    *reason = "the connection delivers a call at most once";
    return false;
  }
  if (fault == InjectedFault::kCrossed && is_call) {
    *reason = "one call at a time is under way for a key";
    return false;
  }
  return true;
}

/// Traffic, operators' changes and home changes for some seconds.
void RunScenario(TestCluster* cluster, const std::function<void()>& arm) {
  const std::array<std::string, 3> names = {"n1", "n2", "n3"};
  int tag = 0;
  int burst = 0;
  const auto traffic = [cluster, &names, &tag, &burst](int rounds) {
    for (int n = 0; n < rounds; ++n) {
      if (n % 10 == 0) {
        // More at once than team a's limit, at every entry.
        for (int part = 0; part < 9; ++part) {
          const bool is_long = part == 0 && n % 40 == 0;
          const std::string length = is_long ? "long" : "short";
          cluster->Request(names[static_cast<std::size_t>(part) % 3], "many",
                           "a", length + "-burst" + std::to_string(burst++));
        }
      }
      const std::string& node = names[static_cast<std::size_t>(tag) % 3];
      const std::string team = tag % 4 == 3 ? "b" : "a";
      const std::string queue = tag % 2 == 0 ? "once" : "many";
      const std::string name = queue + std::to_string(tag);
      cluster->Request(node, queue, team, name);
      if (tag % 6 == 0) {
        // The same key again, at another entry.
        cluster->RunAfter(
            Millis(25), [cluster, &names, queue, team, name, tag] {
              cluster->Request(names[static_cast<std::size_t>(tag + 1) % 3],
                               queue, team, name);
            });
      }
      ++tag;
      cluster->Advance(Millis(20));
    }
  };
  traffic(40);
  arm();
  traffic(20);
  cluster->Publish("n2", 6);
  traffic(20);
  // A wave over the whole pool, announced at once.
  cluster->RequestMaintenance("w1");
  cluster->RequestMaintenance("w2");
  cluster->WithdrawKey("n3", "b");
  cluster->SetLeaving("w2", true);
  traffic(20);
  // A home of places is replaced while the load runs.
  cluster->Restart("n1");
  traffic(120);
  cluster->SetLeaving("w2", false);
  cluster->AddKey("n2", "b");
  cluster->Publish("n3", 5, "main");
  traffic(100);
  cluster->Advance(Millis(14000));
}

/// After all faults every entry serves again.
void CheckRecovery(TestCluster* cluster) {
  for (const char* name : {"n1", "n2", "n3"}) {
    if (!cluster->Get(name)->alive) cluster->Restart(name);
  }
  cluster->Advance(Millis(9000));
  int n = 0;
  for (const char* name : {"n1", "n2", "n3"}) {
    cluster->Request(name, "once", "a", "after" + std::to_string(n++));
    cluster->Request(name, "many", "a", "after" + std::to_string(n++));
  }
  cluster->Advance(Millis(5000));
  for (const auto& row : cluster->calls) {
    if (row.second.tag.compare(0, 5, "after") != 0) continue;
    if (row.second.answer.outcome == Outcome::kRan) continue;
    cluster->violations.push_back(
        "no service after the fault: " + row.second.node + " " +
        row.second.tag + " code " +
        std::to_string(static_cast<int>(row.second.answer.code)) + " " +
        row.second.answer.text);
  }
  for (const char* worker : {"w1", "w2"}) {
    if (cluster->worker_infos.at(worker).maintained == 1) continue;
    cluster->violations.push_back(std::string("not maintained: ") + worker);
  }
  // A publication that a fault refused moves nothing.
  if (cluster->WantedPoolOf("w3") != cluster->StoredAssignments()["w3"].pool) {
    cluster->violations.push_back("w3 was not moved");
  }
  for (const char* name : {"n1", "n2", "n3"}) {
    const ViewPtr view = cluster->Get(name)->views.Current();
    // What the store has accepted is what must be in force, whether or not the
    // publisher lived to hear of it.
    if (!view->intent || view->intent->version != cluster->AcceptedVersion()) {
      cluster->violations.push_back(std::string("intent not in force at ") +
                                    name);
    }
  }
}

bool MatchesStep(Step step, const StepEvent& event) {
  const std::string_view prefix = NameOf(kSteps, step);
  return event.name.compare(0, prefix.size(), prefix) == 0;
}

/// Calls by outcome over all scenarios, so that an idle matrix is seen.
std::map<Outcome, int>& TheOutcomes() {
  static std::map<Outcome, int> outcomes;
  return outcomes;
}

void CountOutcomes(const TestCluster& cluster) {
  for (const auto& row : cluster.calls) {
    if (row.second.answers > 0) ++TheOutcomes()[row.second.answer.outcome];
  }
}

struct MatrixCount {
  int run = 0;
  int not_applicable = 0;
  int red = 0;
};

MatrixCount& TheCount() {
  static MatrixCount count;
  return count;
}

class FaultMatrix : public ::testing::TestWithParam<int> {
 public:
  static void TearDownTestSuite() {
    const MatrixCount& count = TheCount();
    std::printf("fault matrix: %d cells run, %d not applicable, %d red\n",
                count.run, count.not_applicable, count.red);
    for (const auto& row : TheOutcomes()) {
      std::printf("answers %s: %d\n",
                  std::string(NameOf(kOutcomeNames, row.first)).c_str(),
                  row.second);
    }
  }
};

TEST_P(FaultMatrix, KeepsAllPromises) {
  const Step step = kSteps[static_cast<std::size_t>(GetParam())].first;
  for (const auto& fault : kFaults) {
    std::string reason;
    if (!Applies(step, fault.first, &reason)) {
      ++TheCount().not_applicable;
      continue;
    }
    TestCluster cluster(static_cast<std::uint64_t>(GetParam()) + 1);
    bool armed = false;
    bool struck = false;
    cluster.fault_hook = [&](const StepEvent& event) -> FaultEffect {
      if (!armed || struck || !MatchesStep(step, event)) return {};
      struck = true;
      return Strike(&cluster, fault.first, event.instance);
    };
    RunScenario(&cluster, [&armed] { armed = true; });
    CheckRecovery(&cluster);
    cluster.CheckEnd();
    CountOutcomes(cluster);
    ++TheCount().run;
    if (!cluster.violations.empty()) ++TheCount().red;
    EXPECT_TRUE(struck) << "the step never came";
    for (const std::string& line : cluster.violations) {
      ADD_FAILURE() << NameOf(kSteps, step) << " x " << fault.second << ": "
                    << line;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Steps, FaultMatrix, ::testing::Range(0, static_cast<int>(kSteps.size())),
    [](const ::testing::TestParamInfo<int>& param) {
      std::string name(kSteps[static_cast<std::size_t>(param.param)].second);
      for (char& c : name) {
        if (std::isalnum(static_cast<unsigned char>(c)) == 0) c = '_';
      }
      return name;
    });

TEST(RandomFaults, KeepAllPromises) {
  const char* text = std::getenv("BASILUSHER_SEEDS");
  const char* first_text = std::getenv("BASILUSHER_FIRST_SEED");
  const int seeds = text == nullptr ? 40 : std::atoi(text);
  const int first = first_text == nullptr ? 1 : std::atoi(first_text);
  int red = 0;
  for (int seed = first; seed < first + seeds; ++seed) {
    TestCluster cluster(static_cast<std::uint64_t>(seed));
    SeededRandom dice(static_cast<std::uint64_t>(seed) * 7919);
    // Each event strikes with a small chance, with a fault of any kind.
    std::vector<std::string> strikes;
    bool armed = false;
    cluster.fault_hook = [&](const StepEvent& event) -> FaultEffect {
      constexpr std::size_t kMostStrikes = 4;
      constexpr std::uint64_t kChance = 400;
      if (!armed || strikes.size() >= kMostStrikes ||
          dice.Next() % kChance != 0) {
        return {};
      }
      const auto& fault = kFaults[dice.Next() % kFaults.size()];
      strikes.push_back(
          std::to_string(cluster.clock.Now().time_since_epoch().count()) + " " +
          event.instance + " " + event.name + " x " +
          std::string(fault.second));
      return Strike(&cluster, fault.first, event.instance);
    };
    RunScenario(&cluster, [&armed] { armed = true; });
    armed = false;
    CheckRecovery(&cluster);
    cluster.CheckEnd();
    if (!cluster.violations.empty()) ++red;
    for (const std::string& line : cluster.violations) {
      ADD_FAILURE() << "seed " << seed << ": " << line;
    }
    for (const std::string& strike : strikes) {
      if (!cluster.violations.empty()) {
        std::printf("  strike: %s\n", strike.c_str());
      }
    }
  }
  std::printf("random faults: seeds %d to %d, %d red\n", first,
              first + seeds - 1, red);
}

}  // namespace
}  // namespace basilusher::testing
