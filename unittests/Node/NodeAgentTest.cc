// Election of the owner.
#include <gtest/gtest.h>

#include "FleetSim.h"
#include "basilusher/Node/NodeAgent.h"

namespace basilusher {
namespace {

/// A node on the fakes; it has no peers to call.
struct SimNode {
  SimNode(FleetSim* sim, const std::string& name)
      : agent(std::make_shared<NodeAgent>(
            OwnerPorts{.store = &sim->store,
                       .workers = &sim->fleet,
                       .instances = &sim->fleet,
                       .timers = &sim->timers,
                       .clock = &sim->timers,
                       .formats = &sim->formats},
            &peers,
            NodeOptions{
                .node = name, .incarnation = name + "-1", .strength = 0.1},
            [sim] { return std::make_shared<Catalog>(sim->catalog); })) {
    agent->Begin();
  }

  PeerClient peers{nullptr};
  std::shared_ptr<NodeAgent> agent;
};

TEST(NodeAgentTest, OneOfTheNodesIsElectedAndTheOthersHearOfIt) {
  FleetSim sim;
  SimNode a(&sim, "a");
  SimNode b(&sim, "b");
  sim.Run(Millis(1000));
  const bool a_owns = a.agent->LocalOwner() != nullptr;
  const bool b_owns = b.agent->LocalOwner() != nullptr;
  EXPECT_NE(a_owns, b_owns);
}

TEST(NodeAgentTest, AnElectionWhoseAnswerIsLostIsNoticedByTheWatch) {
  FleetSim sim;
  SimNode a(&sim, "a");
  sim.Run(Millis(200));
  ASSERT_EQ(a.agent->LocalOwner(), nullptr);
  // The election's write is done and not answered.
  sim.store.fault = SimFault::kAnswerLost;
  sim.Run(Millis(1000));
  sim.store.fault = SimFault::kNone;
  sim.Run(Millis(3000));
  ASSERT_NE(a.agent->LocalOwner(), nullptr);
}

}  // namespace
}  // namespace basilusher
