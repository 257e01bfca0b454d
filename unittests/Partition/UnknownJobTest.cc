// Guards against owners that restart or lose work which a worker runs or
// reports before the owner knows its job or occurrence, or has read the worker.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";

/// A job that its front end offers to the owner of term 1, which is still
/// active, after the owner of term 2 has listed the jobs.
class UnknownJobTest : public ::testing::Test {
 protected:
  UnknownJobTest() {
    for (int i = 0; i < 3; ++i) sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(300));
    sim.BeginTerm(/*close_former=*/false);
    sim.Run(Millis(5));
    job.offered_term = 1;
    sim.fleet.RegisterJob(job);
    sim.former_owners.back()->OfferJob(kJob, 1, EncodeJobSpec(job));
  }

  FleetSim sim;
  JobSpec job = FleetSim::MakeJob(kJob, 1, 500);
};

TEST_F(UnknownJobTest, ARunOfAnUnknownJobIsNotDuplicated) {
  // The watch shows the job a little after its front end has offered it.
  sim.Run(Millis(30));
  sim.Submit(job);
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(UnknownJobTest, AnEndOfAnUnknownJobIsNotLost) {
  sim.Submit(job);
  sim.Run(Millis(2));
  std::string worker;
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    if (!sim.fleet.Find(id)->running.empty()) worker = id;
  }
  ASSERT_FALSE(worker.empty());
  // The worker is not read before its run has ended, and the store stops
  // answering before the owner learns of the job.
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.store.fault = SimFault::kRequestLost;
  sim.Run(Millis(700));
  sim.fleet.Find(worker)->fault = SimFault::kNone;
  sim.Run(Millis(800));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 1);
  sim.store.fault = SimFault::kNone;
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(UnreadWorkerTest,
     TasksThatMayRunOnAnUnreadWorkerCountTowardsTheWorkspaceLimit) {
  FleetSim sim;
  const Resources cap = {.cpu_millis = 8000};
  sim.catalog.workspaces["team"].cap = cap;
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  JobSpec lasting = FleetSim::MakeJob(kJob, 4, 0);
  lasting.steps[0].lasting = true;
  sim.Submit(lasting);
  sim.Run(Millis(300));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 4);
  const std::string worker = sim.fleet.AliveWorkerIds().front();
  sim.fleet.AddWorker("pool");
  sim.Run(Millis(200));
  // The next owner does not reach the worker that runs the whole job.
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.BeginTerm();
  sim.Run(Millis(500));
  const char* later = "00000000000000b2";
  sim.Submit(FleetSim::MakeJob(later, 4, 1000));
  // The limit may be exceeded by a tenth and one task.
  const std::int64_t task_cpu = lasting.steps[0].need.cpu_millis;
  const std::int64_t bound = cap.cpu_millis * 11 / 10 + task_cpu;
  for (int i = 0; i < 100; ++i) {
    sim.Run(Millis(10));
    ASSERT_LE((sim.fleet.RunningTasks(kJob) + sim.fleet.RunningTasks(later)) *
                  task_cpu,
              bound);
  }
}

TEST(UnknownOccurrenceTest, AnEndOfAnOccurrenceNotOpenedYetIsNotLost) {
  FleetSim sim;
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  // The earlier owner's wall clock was ahead of this one's, so it has opened an
  // occurrence that is not due yet here.
  JobSpec job = FleetSim::MakeJob(kJob, 1, 500);
  job.times = 2;
  job.start_at_unix_ms = job.accepted_unix_ms + 600000;
  job.interval_ms = 600000;
  sim.Submit(job);
  SimWorker* worker = sim.fleet.Find(sim.fleet.AliveWorkerIds().front());
  worker->ended.push_back({.number = ++worker->last_end_number,
                           .task = {.job = kJob},
                           .run = 1,
                           .kind = EndKind::kDone});
  sim.BeginTerm();
  sim.Run(Millis(2500));
  JobRecord stored;
  stored.spec = job;
  const std::string progress =
      sim.store.Value(RecordKeys().progress_prefix + kJob);
  if (!progress.empty()) DecodeProgress(progress, &stored);
  EXPECT_TRUE(!worker->ended.empty() || stored.occurrences_done == 1)
      << "the end is acknowledged and recorded nowhere";
}

}  // namespace
}  // namespace basilusher
