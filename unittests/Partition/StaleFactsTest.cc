// Guards against conclusions about a worker from an entry of its earlier life,
// from ends that were read in part, and from a term in doubt.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"
#include "basilusher/Support/Json.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOther = "00000000000000a2";
constexpr std::int64_t kTasks = 4;
constexpr std::int64_t kSecond = 2000000;

JobSpec Lasting(const char* id) {
  JobSpec job = FleetSim::MakeJob(id, kTasks, 0);
  job.steps[0].lasting = true;
  return job;
}

// A heartbeat of a worker's earlier life, at another address, is carried out
// late.
TEST(StaleFactsTest, AnEntryOfAnEarlierLifeEndsNoRuns) {
  FleetSim sim;
  sim.fleet.ends_on_time = true;
  sim.catalog.pools.erase("spare");
  const std::string worker = sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  const std::string earlier = sim.store.Value("workers/" + worker);
  sim.Restart(worker, Millis(300));
  sim.fleet.ChangeAddress(worker, "elsewhere:2");
  sim.Run(Millis(300));
  sim.Submit(Lasting(kJob));
  sim.Run(Millis(300));
  sim.fleet.AddWorker("pool");
  sim.Run(Millis(300));
  ASSERT_EQ(sim.fleet.Find(worker)->running.size(),
            static_cast<std::size_t>(kTasks));
  const std::string present = sim.store.Value("workers/" + worker);
  sim.store.Put("workers/" + worker, earlier);
  sim.Run(Millis(1000));
  sim.store.Put("workers/" + worker, present);
  sim.Run(Millis(10000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), kTasks);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

// The limit of a workspace while an owner in doubt has lost a worker that the
// next one reads.
TEST(StaleFactsTest, AnOwnerInDoubtKeepsTheLimitOfAWorkspace) {
  FleetSim sim;
  sim.fleet.ends_on_time = true;
  sim.catalog.pools.erase("spare");
  sim.catalog.workspaces["team"].cap = {.cpu_millis = 2000 * kTasks};
  const std::string busy = sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Submit(Lasting(kJob));
  sim.Run(Millis(300));
  sim.Submit(Lasting(kOther));
  const std::string idle = sim.fleet.AddWorker("pool");
  sim.Run(Millis(300));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), kTasks);
  ASSERT_EQ(sim.fleet.RunningTasks(kOther), 0);
  sim.connections[1]->cut = true;
  sim.fleet.Find(busy)->unreachable_below_fence = kSecond;
  sim.fleet.Find(idle)->unreachable_from_fence = kSecond;
  sim.Run(Millis(2000));
  sim.BeginTerm(/*close_former=*/false);
  for (int t = 2000; t < 16000; t += 10) {
    sim.Run(Millis(10));
    const int running =
        sim.fleet.RunningTasks(kJob) + sim.fleet.RunningTasks(kOther);
    ASSERT_LE(running, kTasks) << "at " << t;
  }
}

// A worker that is not read moves. It is the last unread one.
TEST(StaleFactsTest, AnOwnerThatHasNotReadAMovedWorkerHasNotReadAll) {
  FleetSim sim;
  sim.catalog.pools.erase("spare");
  const std::string worker = sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(1000));
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.BeginTerm();
  sim.Run(Millis(500));
  sim.fleet.Find(worker)->born_at = sim.timers.Now();
  sim.fleet.ChangeAddress(worker, "elsewhere:2");
  sim.Run(Millis(500));
  const Json record =
      Json::parse(sim.store.Value(RecordKeys().workers), nullptr, false);
  EXPECT_NE(record.value("", 0), 2) << record.dump();
}

// A worker has more unread ends than one report shows. The owner in doubt reads
// some, and the worker falls silent to it; the next owner reads all.
TEST(StaleFactsTest, AnOwnerInDoubtThatReadSomeEndsStartsNothingAgain) {
  FleetSim sim;
  sim.fleet.ends_on_time = true;
  sim.catalog.pools.erase("spare");
  const std::string busy = sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Submit(FleetSim::MakeJob(kJob, kTasks, 500));
  sim.Run(Millis(100));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), kTasks);
  const std::string idle = sim.fleet.AddWorker("pool");
  sim.Run(Millis(50));
  sim.fleet.Find(busy)->unreachable_below_fence = kSecond;
  sim.Run(Millis(600));
  sim.fleet.max_ends_per_poll = 1;
  sim.BeginTerm();
  sim.owner->NoteEarlierOwnerStopped(sim.former_leases);
  while (!sim.owner->Loaded()) sim.Run(Millis(1));
  sim.connections[2]->cut = true;
  sim.Run(Millis(300));
  sim.fleet.Find(busy)->unreachable_below_fence = 3 * kSecond / 2;
  sim.fleet.Find(idle)->unreachable_from_fence = 3 * kSecond / 2;
  sim.Run(Millis(1700));
  sim.fleet.max_ends_per_poll = 500;
  sim.BeginTerm(/*close_former=*/false);
  sim.Run(Millis(10000));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  for (int i = 0; i < kTasks; ++i) {
    EXPECT_EQ(sim.fleet.StartsOf(
                  {.job = kJob, .occurrence = 0, .step = 0, .index = i}),
              1);
  }
}

}  // namespace
}  // namespace basilusher
