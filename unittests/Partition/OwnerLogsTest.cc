// Guards against log lines that leave open which owner started a run, under
// which lease, and why an earlier run was taken for over.
#include <gtest/gtest.h>

#include "../Support/LogCapture.h"
#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";

TEST(OwnerLogsTest, AStartNamesItsTermItsFenceAndItsLease) {
  LogCapture log;
  FleetSim sim;
  const std::string worker = sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  sim.Run(Millis(20));
  const std::vector<Json> starts = log.Lines("run-start");
  ASSERT_EQ(starts.size(), 1);
  EXPECT_EQ(starts[0].at("term"), 2);
  EXPECT_EQ(starts[0].at("fence"), sim.fleet.Find(worker)->fence);
  EXPECT_EQ(starts[0].at("lease_worker_ms"), sim.fleet.Find(worker)->lease_ms);
  EXPECT_GE(starts[0].at("lease_ends_in_ms"),
            OwnerOptions().task_lease.count());
  EXPECT_GT(starts[0].at("confirmed_for_ms"), 0);
}

TEST(OwnerLogsTest, AWorkerThatIsTakenForGoneNamesItsEvidence) {
  LogCapture log;
  FleetSim sim;
  const std::string worker = sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Submit(FleetSim::MakeJob(kJob, 1, 60000));
  sim.Run(Millis(200));
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.store.Remove("workers/" + worker);
  sim.BeginTerm();
  sim.Run(Millis(20000));
  const std::vector<Json> gone = log.Lines("worker-gone");
  ASSERT_EQ(gone.size(), 1);
  EXPECT_EQ(gone[0].at("worker"), worker);
  EXPECT_EQ(gone[0].at("term"), 2);
  EXPECT_EQ(gone[0].at("listed"), false);
  EXPECT_TRUE(gone[0].at("unread"));
  EXPECT_GT(gone[0].at("unlisted_for_ms"), 0);
  EXPECT_TRUE(gone[0].at("since_answer_ms").is_null());
  EXPECT_TRUE(gone[0].at("lease_ends_in_ms").is_null());
  EXPECT_TRUE(gone[0].at("earlier_lease_ends_in_ms").is_number());
  EXPECT_TRUE(gone[0].at("on_instance"));
  const std::vector<Json> waits = log.Lines("take-over-wait");
  ASSERT_EQ(waits.size(), 1);
  EXPECT_EQ(waits[0].at("previous_stopped"), false);
  EXPECT_GT(waits[0].at("leases_end_in_ms"), 0);
  ASSERT_EQ(log.Lines("take-over-wait-ended").size(), 1);
}

TEST(OwnerLogsTest, AnOwnerThatIsDeposedNamesWhoToldIt) {
  LogCapture log;
  FleetSim sim;
  const std::string worker = sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.BeginTerm(/*close_former=*/false);
  sim.Run(Millis(2000));
  const std::vector<Json> deposed = log.Lines("owner-deposed");
  ASSERT_EQ(deposed.size(), 1);
  EXPECT_EQ(deposed[0].at("term"), 1);
  EXPECT_EQ(deposed[0].at("by"),
            NameOf(kDeposedByNames, DeposedBy::kWorkerFence));
  EXPECT_EQ(deposed[0].at("source"), worker);
}

// A restarted worker that falls silent: without these lines the lease with
// which the next owner counted, and the poll that may reach the new process,
// were not known.
TEST(OwnerLogsTest, ARestartShowsTheClockTheLeaseAndTheUnansweredPoll) {
  LogCapture log;
  FleetSim sim;
  const std::string worker = sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(12000));
  sim.Restart(worker, Millis(600));
  sim.Run(Millis(1000));
  const std::vector<Json> unanswered = log.Lines("poll-unanswered");
  ASSERT_EQ(unanswered.size(), 1);
  EXPECT_EQ(unanswered[0].at("worker"), worker);
  EXPECT_GT(unanswered[0].at("lease_worker_ms"), 12000);
  const std::vector<Json> read = log.Lines("incarnation-read");
  ASSERT_EQ(read.size(), 2);
  EXPECT_LT(read[1].at("clock_ms"), 1000);
  EXPECT_GT(read[1].at("born"), read[0].at("born"));
  EXPECT_EQ(read[1].at("fence"), sim.fleet.Find(worker)->fence);
  EXPECT_GT(read[1].at("lease_ends_in_ms"), 9000);
  EXPECT_EQ(read[1].at("lease_origin"),
            NameOf(kLeaseOriginNames, LeaseOrigin::kEarlierClock));
}

// The next incarnation's clock may be behind the former one's or ahead of it.
TEST(OwnerLogsTest, AStartThatReachedTheNextIncarnationIsNamed) {
  for (const std::int64_t offset_ms : {0, 14000}) {
    LogCapture log;
    FleetSim sim;
    const std::string worker = sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(12000));
    sim.Restart(worker, Millis(20), offset_ms);
    sim.Submit(FleetSim::MakeJob(kJob, 1, 3000));
    sim.Run(Millis(100));
    const std::vector<Json> reached =
        log.Lines("start-reached-other-incarnation");
    ASSERT_EQ(reached.size(), 1) << offset_ms;
    EXPECT_EQ(reached[0].at("worker"), worker);
    const bool ahead = offset_ms > 12000;
    EXPECT_EQ(reached[0].at("clock_ms") < reached[0].at("earliest_clock_ms"),
              !ahead);
    EXPECT_EQ(reached[0].at("clock_ms") > reached[0].at("latest_clock_ms"),
              ahead);
    EXPECT_EQ(reached[0].at("lease_ends_in_ms") > 9000, !ahead);
  }
}

}  // namespace
}  // namespace basilusher
