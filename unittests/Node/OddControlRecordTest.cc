// Guards against control records and answers of peers that end a node.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "SimNode.h"
#include "basilusher/Node/AdviceRelay.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";

TEST(OddControlRecordTest, ANodeIsElectedBesideOddRecords) {
  FleetSim sim;
  sim.fleet.AddWorker("pool");
  const RecordKeys keys;
  sim.store.Put(keys.term, R"({"term":"five"})");
  sim.store.Put(keys.owner, R"({"node":5,"address":[],"term":1e30})");
  sim.store.Put(keys.node_prefix + "x", R"({"address":5,"strength":"much"})");
  sim.store.Put(keys.node_prefix, R"({"strength":1e300})");
  sim.store.Put(keys.control_prefix + "other", "[[");
  SimPeers peers(&sim.timers);
  SimNode a(&sim, &peers, "a");
  sim.Run(Millis(3000));
  ASSERT_NE(a.agent->LocalOwner(), nullptr);
}

class SilentAdvisor : public AdvisorCaller {
 public:
  void Advise(const std::string&, int, int, const std::vector<std::string>&,
              Millis, std::function<void(const AdviceAnswer&)>) override {}
};

/// A node whose only peer, the owner, answers each call with an odd body.
class OddPeerTest : public ::testing::Test {
 protected:
  OddPeerTest() {
    sim.store.Put(keys.term, Json({{"term", 1}}).dump());
    sim.store.Put(keys.owner, Json({{"node", "b"},
                                    {"address", "b:7000"},
                                    {"incarnation", "b-1"},
                                    {"term", 1}})
                                  .dump());
    sim.store.Put(keys.node_prefix + "b",
                  Json({{"address", "b:7000"}, {"strength", 1.0}}).dump());
    for (const char* path :
         {PeerPaths::kFind, PeerPaths::kPending, PeerPaths::kCancelled,
          PeerPaths::kEndTerm, PeerPaths::kStatus, PeerPaths::kSubmit,
          PeerPaths::kCancel, PeerPaths::kAdvise}) {
      b.On(path, [](const Json&, PeerCallback done) {
        done(Json{{"known", 5},
                  {"state", 5},
                  {"pending", "x"},
                  {"term", "x"},
                  {"ended", "yes"},
                  {"long_leases", 5},
                  {"fresh", 1},
                  {"version", "x"},
                  {"result", 7},
                  {"allowed", {5}}});
      });
    }
    peers.Attach("b:7000", &b);
  }

  FleetSim sim;
  RecordKeys keys;
  SimPeers peers{&sim.timers};
  PeerMethods b;
};

TEST_F(OddPeerTest, ANodeGoesOnBesideOddAnswers) {
  SimNode a(&sim, &peers, "a");
  sim.Run(Millis(1000));
  const TimePoint deadline = sim.timers.Now() + Millis(2000);
  int answers = 0;
  a.front->Find(kJob, deadline, [&](const FindAnswer&) { ++answers; });
  a.front->Pending("queue", [&](std::optional<int>) { ++answers; });
  a.front->Cancel(kJob, deadline, [&](CancelResult) { ++answers; });
  sim.Run(Millis(2500));
  EXPECT_EQ(answers, 3);
  // Without the store it asks the peer to hand things on.
  a.store.silent = true;
  sim.Run(Millis(3000));
  a.Submit(FleetSim::MakeJob(kJob, 1, 100), Millis(2000));
  sim.Run(Millis(3000));
  a.store.silent = false;
  sim.store.Remove(keys.owner);
  sim.Run(Millis(3000));
  EXPECT_NE(a.agent->LocalOwner(), nullptr);
}

TEST_F(OddPeerTest, AnOddAnswerToAQuestionIsNoAdvice) {
  const std::map<std::string, std::string> nodes = {{"b", "b:7000"}};
  SilentAdvisor local;
  AdviceRelay relay(
      &local, &peers, &sim.timers, [&]() -> const auto& { return nodes; });
  relay.Advise(kJob, 0, 0, {"w"}, Millis(500), [](const AdviceAnswer&) {});
  // The local advisor is busy now.
  std::optional<AdviceAnswer> advice;
  relay.Advise(kJob, 0, 1, {"w"}, Millis(500),
               [&](const AdviceAnswer& answer) { advice = answer; });
  sim.Run(Millis(1000));
  ASSERT_TRUE(advice);
  EXPECT_FALSE(advice->answered);
}

}  // namespace
}  // namespace basilusher
