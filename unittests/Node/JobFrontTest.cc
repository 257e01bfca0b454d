// Submissions while the store does not answer this node, or any node.
#include <gtest/gtest.h>

#include <optional>
#include <utility>
#include <vector>

#include "../Support/LogCapture.h"
#include "SimNode.h"

namespace basilusher {
namespace {

constexpr Millis kDeadline{2850};
constexpr char kJob[] = "00000000000000a1";
constexpr char kLateJob[] = "00000000000000a2";
constexpr Millis kCancelBound{3000};
/// The cancel bound and the longest StopTimeoutMs of deployments that have it.
constexpr Millis kGoneAfterCancel{3000 + 900};
constexpr int kManyCalls = 1000;

class JobFrontTest : public ::testing::Test {
 protected:
  JobFrontTest() { sim.Run(Millis(2000)); }

  /// Runs `kJob` and returns its owner and another node.
  std::pair<SimNode*, SimNode*> RunLongJob() {
    sim.fleet.AddWorker("pool");
    sim.Run(Millis(1500));
    SimNode* owner = nullptr;
    SimNode* other = nullptr;
    for (SimNode* node : {&a, &b, &c}) {
      (node->agent->LocalOwner() != nullptr ? owner : other) = node;
    }
    const JobSpec job = FleetSim::MakeJob(kJob, 1, 30000);
    sim.fleet.RegisterJob(job);
    other->Submit(job, kDeadline);
    sim.Run(Millis(200));
    return {owner, other};
  }

  /// Returns once the cancellation is stored.
  void Cancel(SimNode* node) {
    bool stored = false;
    node->front->Cancel(
        kJob, sim.timers.Now() + kDeadline,
        [&](CancelResult it) { stored = it == CancelResult::kDone; });
    for (int i = 0; i < 100 && !stored; ++i) sim.Run(Millis(1));
    ASSERT_TRUE(stored);
    sim.fleet.RecordCancellation(kJob);
  }

  bool Stored() const { return sim.store.Has(std::string("b/in/job/") + kJob); }

  FleetSim sim;
  SimPeers peers{&sim.timers};
  SimNode a{&sim, &peers, "a"};
  SimNode b{&sim, &peers, "b"};
  SimNode c{&sim, &peers, "c"};
};

TEST_F(JobFrontTest, AnOutageOfTheStoreIsToldAtOnceAndNothingIsSent) {
  for (SimNode* node : {&a, &b, &c}) node->store.silent = true;
  sim.Run(Millis(4000));
  const std::int64_t commits = a.store.commits;
  const auto told = a.Submit(FleetSim::MakeJob(kJob, 2, 500), kDeadline);
  sim.Run(Millis(1));
  EXPECT_EQ(*told, SubmitResult::kRefused);
  EXPECT_EQ(a.store.commits, commits);
  for (SimNode* node : {&a, &b, &c}) node->store.silent = false;
  sim.Run(Millis(4000));
  EXPECT_FALSE(Stored());
}

TEST_F(JobFrontTest, ATryThatTheStoreDoesNotAnswerIsSettledThroughAPeer) {
  // The node cannot know yet that the store turned it away.
  a.store.silent = true;
  const auto told = a.Submit(FleetSim::MakeJob(kJob, 2, 500), kDeadline);
  sim.Run(Millis(1500));
  EXPECT_EQ(*told, SubmitResult::kAccepted);
  EXPECT_TRUE(Stored());
}

TEST_F(JobFrontTest, ANodeThatTheStoreTurnsAwaySubmitsThroughPeersThatReachIt) {
  a.store.silent = true;
  b.store.silent = true;
  sim.Run(Millis(3000));
  const auto told = a.Submit(FleetSim::MakeJob(kJob, 2, 500), kDeadline);
  sim.Run(Millis(100));
  EXPECT_EQ(*told, SubmitResult::kAccepted);
  EXPECT_TRUE(Stored());
}

TEST_F(JobFrontTest, WhatMayStillBeStoredIsNeverCalledRefused) {
  for (SimNode* node : {&a, &b, &c}) node->store.silent = true;
  const auto told = a.Submit(FleetSim::MakeJob(kJob, 2, 500), kDeadline);
  sim.Run(Millis(6000));
  EXPECT_EQ(*told, SubmitResult::kUnknown);
}

TEST_F(JobFrontTest,
       AnOwnerThatTheStoreTurnsAwayHearsOfNewJobsFromTheirFronts) {
  for (int i = 0; i < 2; ++i) sim.fleet.AddWorker("pool");
  sim.Run(Millis(1500));
  SimNode* owner = nullptr;
  SimNode* other = nullptr;
  for (SimNode* node : {&a, &b, &c}) {
    (node->agent->LocalOwner() != nullptr ? owner : other) = node;
  }
  ASSERT_NE(owner, nullptr);
  owner->store.silent = true;
  const JobSpec job = FleetSim::MakeJob(kJob, 2, 500);
  sim.fleet.RegisterJob(job);
  const auto told = other->Submit(job, kDeadline);
  sim.Run(Millis(100));
  EXPECT_EQ(*told, SubmitResult::kAccepted);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 2);
  sim.Run(Millis(12000));
  EXPECT_EQ(sim.fleet.DoneTasks(kJob), 2);
  EXPECT_TRUE(sim.fleet.Violations().empty());
}

/// The owner's own watch cannot tell it.
TEST_F(JobFrontTest, ACancelledJobIsNotStartedByAnOwnerThatTheStoreTurnsAway) {
  sim.fleet.AddWorker("pool");
  sim.Run(Millis(1500));
  SimNode* owner = nullptr;
  SimNode* other = nullptr;
  for (SimNode* node : {&a, &b, &c}) {
    (node->agent->LocalOwner() != nullptr ? owner : other) = node;
  }
  ASSERT_NE(owner, nullptr);
  const JobSpec running = FleetSim::MakeJob(kJob, 16, 4000);
  const JobSpec waiting = FleetSim::MakeJob(kLateJob, 4, 500);
  for (const JobSpec& job : {running, waiting}) {
    sim.fleet.RegisterJob(job);
    other->Submit(job, kDeadline);
    sim.Run(Millis(100));
  }
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 16);
  owner->store.silent = true;
  std::optional<CancelResult> told;
  other->front->Cancel(kLateJob, sim.timers.Now() + kDeadline,
                       [&](CancelResult it) {
                         told = it;
                         sim.fleet.RecordCancellation(kLateJob);
                       });
  sim.Run(Millis(12000));
  EXPECT_EQ(told, CancelResult::kDone);
  EXPECT_EQ(sim.fleet.DoneTasks(kLateJob), 0);
  EXPECT_TRUE(sim.fleet.Violations().empty());
}

TEST_F(JobFrontTest, ACancellationReachesTheOwnerAlthoughAMessageIsLost) {
  const auto [owner, other] = RunLongJob();
  ASSERT_NE(owner, nullptr);
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 1);
  owner->store.silent = true;
  peers.lose_next[PeerPaths::kCancelled] = 1;
  Cancel(other);
  sim.Run(kGoneAfterCancel);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 0);
  EXPECT_TRUE(sim.fleet.Violations().empty());
}

/// The next owner has read the inbox when the cancellation is stored by a node
/// that has not heard of it yet.
TEST_F(JobFrontTest, ACancellationReachesAnOwnerThatIsNotKnownYet) {
  const auto [first, other] = RunLongJob();
  ASSERT_NE(first, nullptr);
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 1);
  sim.store.delayed_prefix = RecordKeys().control_prefix;
  sim.store.watch_delay = Millis(1500);
  first->agent->Stop([] {});
  sim.store.Remove(RecordKeys().owner);
  SimNode* next = nullptr;
  for (int i = 0; i < 5000 && next == nullptr; ++i) {
    sim.Run(Millis(1));
    for (SimNode* node : {&a, &b, &c}) {
      if (node->agent->LocalOwner() != nullptr) next = node;
    }
  }
  ASSERT_NE(next, nullptr);
  SimNode* front = nullptr;
  for (SimNode* node : {&a, &b, &c}) {
    if (node != first && node != next) front = node;
  }
  ASSERT_NE(front, nullptr);
  ASSERT_EQ(front->agent->RemoteOwner(), nullptr);
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 1);
  next->store.silent = true;
  Cancel(front);
  sim.Run(kGoneAfterCancel);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 0);
  EXPECT_TRUE(sim.fleet.Violations().empty());
}

TEST_F(JobFrontTest, AnOwnerThatDoesNotAnswerIsToldAFewTimesOnly) {
  const auto [owner, other] = RunLongJob();
  ASSERT_NE(owner, nullptr);
  const int& calls = peers.calls[PeerPaths::kCancelled];
  peers.lose_next[PeerPaths::kCancelled] = kManyCalls;
  Cancel(other);
  sim.Run(kCancelBound + Millis(1));
  EXPECT_GT(calls, 2);
  EXPECT_LE(calls, 8);
  const int before = calls;
  sim.Run(Millis(20000));
  EXPECT_EQ(calls, before);
}

TEST_F(JobFrontTest, AnOwnerThatHasConfirmedACancellationIsNotToldAgain) {
  const auto [owner, other] = RunLongJob();
  ASSERT_NE(owner, nullptr);
  Cancel(other);
  sim.Run(Millis(20000));
  EXPECT_EQ(peers.calls[PeerPaths::kCancelled], 1);
}

TEST_F(JobFrontTest,
       AStoppingNodeLeavesNoCallerUnansweredWhileTheStoreIsSilent) {
  for (SimNode* node : {&a, &b, &c}) node->store.silent = true;
  const auto told = a.Submit(FleetSim::MakeJob(kJob, 2, 500), kDeadline);
  std::vector<FindResult> found;
  std::vector<CancelResult> cancelled;
  std::vector<std::optional<int>> pending;
  const TimePoint deadline = sim.timers.Now() + kDeadline;
  a.front->Find(kJob, deadline,
                [&](const FindAnswer& it) { found.push_back(it.result); });
  a.front->Cancel(kJob, deadline,
                  [&](CancelResult it) { cancelled.push_back(it); });
  sim.Run(Millis(500));
  a.front->AnswerAll();
  // The submission was sent and may be stored.
  EXPECT_EQ(*told, SubmitResult::kUnknown);
  EXPECT_EQ(found, std::vector{FindResult::kUnavailable});
  EXPECT_EQ(cancelled, std::vector{CancelResult::kUnavailable});
  // Whoever asks later is told at once.
  const std::int64_t commits = a.store.commits;
  const auto late = a.Submit(FleetSim::MakeJob(kLateJob, 2, 500), kDeadline);
  a.front->Find(kJob, deadline,
                [&](const FindAnswer& it) { found.push_back(it.result); });
  a.front->Cancel(kJob, deadline,
                  [&](CancelResult it) { cancelled.push_back(it); });
  a.front->Pending("in", [&](std::optional<int> it) { pending.push_back(it); });
  EXPECT_EQ(*late, SubmitResult::kRefused);
  EXPECT_EQ(found.size(), 2U);
  EXPECT_EQ(cancelled.size(), 2U);
  EXPECT_EQ(pending, std::vector{std::optional<int>()});
  // The store's return changes no answer, and what was refused stays out.
  for (SimNode* node : {&a, &b, &c}) node->store.silent = false;
  sim.Run(Millis(4000));
  EXPECT_EQ(a.store.commits, commits);
  EXPECT_FALSE(sim.store.Has(std::string("b/in/job/") + kLateJob));
  EXPECT_EQ(*told, SubmitResult::kUnknown);
  EXPECT_EQ(found.size(), 2U);
  EXPECT_EQ(cancelled.size(), 2U);
}

TEST_F(JobFrontTest, AStoppingNodeRefusesWhatItHasNotSentAndNeverSendsIt) {
  for (SimNode* node : {&a, &b, &c}) node->store.silent = true;
  // It has just lost the store and sends nothing until the peers have answered.
  while (a.catalogs->Reach() == StoreReach::kDirect) sim.Run(Millis(10));
  ASSERT_EQ(a.catalogs->Reach(), StoreReach::kUnknown);
  const auto told = a.Submit(FleetSim::MakeJob(kJob, 2, 500), kDeadline);
  sim.Run(Millis(10));
  a.front->AnswerAll();
  EXPECT_EQ(*told, SubmitResult::kRefused);
  for (SimNode* node : {&a, &b, &c}) node->store.silent = false;
  sim.Run(Millis(4000));
  EXPECT_FALSE(Stored());
}

TEST_F(JobFrontTest, AStoppingNodeStillGivesAnswersThatComeInTime) {
  const auto told = a.Submit(FleetSim::MakeJob(kJob, 2, 500), kDeadline);
  sim.Run(Millis(500));
  a.front->AnswerAll();
  EXPECT_EQ(*told, SubmitResult::kAccepted);
  EXPECT_TRUE(Stored());
}

/// Guards against a burst of submissions that fills the log: without a bound,
/// 38 nodes wrote 20,000 lines a second.
TEST_F(JobFrontTest, LinesAboutRefusedSubmissionsAreBounded) {
  for (SimNode* node : {&a, &b, &c}) node->store.silent = true;
  sim.Run(Millis(4000));
  const LogCapture log;
  for (int i = 0; i < kManyCalls; ++i) {
    a.Submit(FleetSim::MakeJob(kJob, 2, 500), kDeadline);
  }
  sim.Run(Millis(1100));
  EXPECT_EQ(log.Lines("submission-not-accepted").size(), 20U);
  a.Submit(FleetSim::MakeJob(kJob, 2, 500), kDeadline);
  sim.Run(Millis(10));
  EXPECT_EQ(log.Lines("submission-not-accepted").back().at("omitted"),
            kManyCalls - 20);
}

}  // namespace
}  // namespace basilusher
