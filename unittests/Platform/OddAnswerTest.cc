// Guards against answers of the store, of workers and of peers that end a node,
// or whose odd rows hide the others.
#include <gtest/gtest.h>

#include <deque>

#include "InstanceClient.h"
#include "StoreClient.h"
#include "TestLoop.h"
#include "WorkerClient.h"
#include "basilusher/Net/HttpServer.h"
#include "basilusher/Node/Peers.h"
#include "basilusher/Support/Base64.h"

namespace basilusher::platform {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;

/// Answers of one server, given in turn; the last one is given again.
class OddAnswerTest : public ::testing::Test {
 protected:
  OddAnswerTest()
      : address(FreeAddress(&loop)),
        server(
            &loop, {.address = address},
            [this](const HttpRequest& request, const HttpResponder& respond) {
              targets.push_back(request.target);
              respond(answers.front());
              if (answers.size() > 1) answers.pop_front();
            }),
        http(&loop, {}) {}

  void Answer(int status, const std::string& body) {
    answers.push_back({.status = status, .body = body});
  }

  template <typename Result>
  Result Await(std::optional<Result>* result) {
    while (!*result) loop.Get()->context.run_one();
    return **result;
  }

  static Json Item(const std::string& key) {
    return {{"Key", key}, {"Rev", 5}, {"Value", EncodeBase64("value")}};
  }

  IoLoop loop;
  std::string address;
  std::deque<HttpResponse> answers;
  std::vector<std::string> targets;
  HttpServer server;
  HttpClient http;
};

/// Guards against a watch that is repeated in vain, since the changes that it
/// missed are more than the client takes.
TEST_F(OddAnswerTest, ChangesBeyondTheLimitOfAnAnswerAreToBeListed) {
  constexpr std::size_t kMaxBody = 1000;
  HttpClient client(&loop, {.max_body_bytes = kMaxBody});
  Answer(kStatusOk, std::string(kMaxBody + 1, ' '));
  StoreClient store(&client, address);
  std::optional<StoreAnswer> watched;
  store.Watch(
      "", 1, Millis(0), [&](const StoreAnswer& answer) { watched = answer; },
      nullptr);
  EXPECT_EQ(Await(&watched).status, TxnStatus::kCompacted);
}

TEST_F(OddAnswerTest, AnItemThatCannotBeReadDoesNotHideTheOthers) {
  Json rows = {Item("a"), Item("b"), Item("c"), 5, Json::array(), Item("d")};
  rows[0]["Value"] = "no base64!";
  rows[1]["Rev"] = "five";
  rows[2].erase("Key");
  Answer(kStatusOk, Json({{"items", rows}, {"CurrentRev", 9}}).dump());
  StoreClient store(&http, address);
  std::optional<StoreAnswer> listed;
  store.List(
      "", [&](const StoreAnswer& answer) { listed = answer; }, nullptr);
  const StoreAnswer answer = Await(&listed);
  EXPECT_EQ(answer.status, TxnStatus::kOk);
  ASSERT_EQ(answer.items.size(), 1U);
  EXPECT_EQ(answer.items[0].key, "d");
}

TEST_F(OddAnswerTest, APageOfItemsThatCannotBeReadDoesNotEndTheList) {
  Json odd = Item("b");
  odd["Value"] = "no base64!";
  Answer(kStatusOk,
         Json({{"items", {odd}}, {"CurrentRev", 9}, {"HasMore", true}}).dump());
  Answer(kStatusOk, Json({{"items", {Item("c")}}, {"CurrentRev", 9}}).dump());
  StoreClient store(&http, address);
  std::optional<StoreAnswer> listed;
  store.List(
      "", [&](const StoreAnswer& answer) { listed = answer; }, nullptr);
  const StoreAnswer answer = Await(&listed);
  ASSERT_EQ(answer.items.size(), 1U);
  EXPECT_EQ(answer.items[0].key, "c");
  ASSERT_EQ(targets.size(), 2U);
  EXPECT_TRUE(targets[1].ends_with("After=b")) << targets[1];
}

TEST_F(OddAnswerTest, AReasonOfAnotherTypeLeavesTheOutcomeUnknown) {
  Answer(kStatusConflict, R"({"Reason":5})");
  WorkerClient workers(&http, &http);
  std::optional<CommandResult> stopped;
  workers.Stop({.id = "w", .address = address}, {.job = "j"}, 1, 1,
               [&](CommandResult result) { stopped = result; });
  EXPECT_EQ(Await(&stopped), CommandResult::kUnknown);
  InstanceClient instances(&http, address, "node");
  std::optional<InstanceResult> moved;
  instances.Move("m", "pool", 1,
                 [&](InstanceResult result) { moved = result; });
  EXPECT_EQ(Await(&moved), InstanceResult::kBusy);
}

TEST_F(OddAnswerTest, AReportWithNumbersOutOfRangeIsNotRead) {
  WorkerClient workers(&http, &http);
  for (const char* body :
       {R"({"ClockMs":1e30})", R"({"ClockMs":-1})",
        R"({"ClockMs":1,"born":18446744073709551615})",
        R"({"ClockMs":1,"Running":[["a.0.0.0",9223372036854775807,"",1]]})",
        R"({"ClockMs":1,"Ended":[[1e19,"a.0.0.0",1,"done",""]]})"}) {
    answers.clear();
    Answer(kStatusOk, body);
    std::optional<HoldAnswer> report;
    workers.Hold({.id = "w", .address = address}, {},
                 [&](const HoldAnswer& answer) { report = answer; });
    EXPECT_EQ(Await(&report).result, CommandResult::kUnknown) << body;
  }
}

// The worker of an instance that is listed counts as alive.
TEST_F(OddAnswerTest, AnInstanceThatCannotBeReadKeepsItsWorker) {
  Answer(kStatusOk, R"({"Machines":[5,{"Pool":"p"},
      {"HostId":"m","Id":"w","Pool":7,"State":"up","Room":{"Cpu":1e30}},
      {"HostId":"n","Id":"v","Pool":"p","State":"up","Room":{"Cpu":5}}]})");
  InstanceClient instances(&http, address, "node");
  std::optional<InstanceList> listed;
  instances.List([&](const InstanceList& list) { listed = list; });
  const InstanceList list = Await(&listed);
  EXPECT_TRUE(list.complete);
  ASSERT_EQ(list.instances.size(), 2U);
  EXPECT_EQ(list.instances[0].worker, "w");
  EXPECT_EQ(list.instances[0].state, InstanceState::kDown);
  EXPECT_EQ(list.instances[1].state, InstanceState::kUp);
}

}  // namespace
}  // namespace basilusher::platform
