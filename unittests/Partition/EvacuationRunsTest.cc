// Guards against runs that an evacuation stops without need, and against
// starts, questions and moves of instances that reach an evacuated data centre
// by a way of their own.
#include <set>

#include "../Support/LogCapture.h"
#include "EvacuationFixture.h"

namespace basilusher::evacuation_test {
namespace {

using EvacuationRunsTest = EvacuationFixture;

TEST_F(EvacuationRunsTest, LastingTasksMoveAsTheirStepAllows) {
  AddWorkers({"a"});
  BeginTerm();
  sim.Submit(Lasting(6, 2));
  sim.Run(Millis(1500));
  ASSERT_EQ(sim.fleet.RunningIn("a"), 6);
  AddWorkers({"b"});
  sim.Run(Millis(500));
  Evacuate("a");
  EXPECT_GE(FewestRunning(kJob, Millis(6000)), 4);
  EXPECT_EQ(sim.fleet.RunningIn("a"), 0);
  EXPECT_EQ(sim.fleet.RunningIn("b"), 6);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(EvacuationRunsTest, NoRunIsStoppedWhileThereIsNoRoomElsewhere) {
  AddWorkers({"a"});
  BeginTerm();
  JobSpec job = FleetSim::MakeJob(kOther, 4, 30000);
  job.steps[0].checkpointable = true;
  sim.Submit(job);
  sim.Submit(Lasting(4, 4));
  sim.Run(Millis(1500));
  ASSERT_EQ(sim.fleet.RunningIn("a"), 8);
  const std::string small = sim.fleet.AddWorker("pool", "b");
  sim.fleet.SetRoom(small, {.cpu_millis = 1000, .memory_mb = 65536});
  sim.Run(Millis(500));
  Evacuate("a");
  const std::int64_t starts = sim.fleet.StartedRuns();
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.fleet.RunningIn("a"), 8);
  // Room for three of the eight.
  sim.fleet.SetRoom(small, {.cpu_millis = 7000, .memory_mb = 65536});
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.fleet.RunningIn("a"), 5);
  EXPECT_EQ(sim.fleet.RunningIn("b"), 3);
  EXPECT_EQ(sim.fleet.StartedRuns(), starts + 3);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(EvacuationRunsTest, CheckpointableRunsMoveAndOthersFinishThere) {
  AddWorkers({"a"});
  BeginTerm();
  JobSpec saves = FleetSim::MakeJob(kJob, 4, 30000);
  saves.steps[0].checkpointable = true;
  sim.Submit(saves);
  sim.Submit(FleetSim::MakeJob(kOther, 4, 6000));
  sim.Run(Millis(1000));
  ASSERT_EQ(sim.fleet.RunningIn("a"), 8);
  AddWorkers({"b"});
  sim.Run(Millis(500));
  Evacuate("a");
  sim.Run(Millis(1500));
  EXPECT_EQ(sim.fleet.RunningIn("a"), 4);
  EXPECT_EQ(sim.fleet.RunningIn("b"), 4);
  sim.Run(Millis(5000));
  EXPECT_EQ(sim.StateOf(kOther), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(EvacuationRunsTest, AGangDoesNotStartInPartThere) {
  AddWorkers({"a", "a", "b", "b"});
  BeginTerm();
  Evacuate("a");
  sim.Run(kTold);
  JobSpec gang = FleetSim::MakeJob(kJob, 3, 1000);
  gang.steps[0].gang = true;
  gang.steps[0].max_per_worker = 1;
  sim.Submit(gang);
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.fleet.StartedRuns(), 0);
  Cancel("a");
  sim.Run(Millis(300));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 3);
}

/// Guards against a straggler's restart on a worker of the data centre.
TEST_F(EvacuationRunsTest, ARunOnASilentWorkerIsNotStartedAgainThere) {
  AddWorkers({"b"});
  BeginTerm();
  JobSpec job = FleetSim::MakeJob(kJob, 2, 60000);
  job.steps[0].speculative = true;
  sim.Submit(job);
  sim.Run(Millis(500));
  ASSERT_EQ(sim.fleet.RunningIn("b"), 2);
  AddWorkers({"a"});
  Evacuate("a");
  sim.Run(Millis(300));
  sim.fleet.Find("w0")->fault = SimFault::kRequestLost;
  sim.Run(Millis(8000));
  EXPECT_EQ(sim.fleet.StartsIn("a"), 0);
  Cancel("a");
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.fleet.RunningIn("a"), 2);
}

/// Records which workers are asked for; allows all of them.
class AskedWorkers : public PlacementAdvisor {
 public:
  explicit AskedWorkers(SimTimers* timers) : timers_(timers) {}
  void Advise(const std::string&, int, int,
              const std::vector<std::string>& workers, Millis,
              std::function<void(const AdviceAnswer&)> done) override {
    AdviceAnswer answer{.answered = true};
    for (const std::string& worker : workers) {
      asked.insert(worker);
      answer.allowed.emplace_back(worker, "ticket-" + worker);
    }
    timers_->After(Millis(40), [answer, done] { done(answer); });
  }

  std::set<std::string> asked;

 private:
  SimTimers* timers_;
};

TEST_F(EvacuationRunsTest, NoAdviceIsAskedForWorkersThere) {
  AskedWorkers advisor(&sim.timers);
  sim.advisor = &advisor;
  sim.fleet.requires_tickets = true;
  sim.catalog.queues["queue"].advice = {
      .needed = true, .decide_ms = 20, .per_worker_ms = 2, .valid_ms = 2000};
  AddWorkers({"a", "b"});
  BeginTerm();
  Evacuate("a");
  sim.Run(kTold);
  sim.Submit(FleetSim::MakeJob(kJob, 20, 500));
  sim.Run(Millis(4000));
  EXPECT_THAT(advisor.asked, testing::ElementsAre("w1"));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
}

TEST_F(EvacuationRunsTest, SpareInstancesComeFromOtherDataCentres) {
  sim.catalog.pools["spare"] = {.name = "spare", .spare = true};
  AddWorkers({"a", "b"});
  std::vector<std::string> there;
  std::vector<std::string> elsewhere;
  for (int i = 0; i < 3; ++i) {
    there.push_back(sim.fleet.AddSpare("a"));
    elsewhere.push_back(sim.fleet.AddSpare("b"));
  }
  BeginTerm();
  Evacuate("a");
  sim.Run(kTold);
  // Four workers' worth.
  sim.Submit(FleetSim::MakeJob(kJob, 64, 10000));
  sim.Run(Millis(5000));
  for (const std::string& id : there) {
    EXPECT_EQ(sim.fleet.PoolOf(id), "spare") << id;
  }
  for (const std::string& id : elsewhere) {
    EXPECT_EQ(sim.fleet.PoolOf(id), "pool") << id;
  }
  EXPECT_EQ(sim.fleet.StartsIn("a"), 0);
  EXPECT_EQ(sim.fleet.RunningIn("b"), 64);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// Guards against a pool that counts on instances which take no tasks.
TEST_F(EvacuationRunsTest, InstancesThereMeetNoDemand) {
  sim.catalog.pools["spare"] = {.name = "spare", .spare = true};
  AddWorkers({"a", "b"});
  const std::string spare = sim.fleet.AddSpare("b");
  BeginTerm();
  Evacuate("a");
  sim.Run(kTold);
  // Two workers' worth.
  sim.Submit(Lasting(28, 28));
  sim.Run(Millis(4000));
  EXPECT_EQ(sim.fleet.PoolOf(spare), "pool");
  EXPECT_EQ(sim.fleet.RunningIn("b"), 28);
  EXPECT_EQ(sim.fleet.StartsIn("a"), 0);
}

/// Guards against an order that was planned before the request.
TEST_F(EvacuationRunsTest, AMoveThatIsNotOrderedYetIsGivenUp) {
  sim.catalog.pools["spare"] = {.name = "spare", .spare = true};
  AddWorkers({"b"});
  const std::string spare = sim.fleet.AddSpare("a");
  BeginTerm();
  sim.store.refused_prefixes = {RecordKeys().orders};
  sim.Submit(Lasting(28, 28));
  sim.Run(Millis(1500));
  Evacuate("a");
  sim.Run(Millis(500));
  sim.store.refused_prefixes.clear();
  sim.Run(Millis(5000));
  EXPECT_EQ(sim.fleet.PoolOf(spare), "spare");
  Cancel("a");
  sim.Run(Millis(5000));
  EXPECT_EQ(sim.fleet.PoolOf(spare), "pool");
  EXPECT_EQ(sim.fleet.RunningIn("a"), 12);
}

TEST_F(EvacuationRunsTest, AnUnknownDataCentreIsLoggedOnceAndKept) {
  LogCapture log;
  AddWorkers({"b"});
  BeginTerm();
  Evacuate("later");
  sim.Submit(FleetSim::MakeJob(kJob, 4, 1000));
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(log.Lines("evacuation-unknown-data-centre").size(), 1U);
  const std::vector<Json> lines = log.Lines("evacuation");
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(lines[0].at("state"), "begun");
  // Its workers appear.
  AddWorkers({"later", "later"});
  sim.Submit(FleetSim::MakeJob(kOther, 40, 1000));
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.fleet.StartsIn("later"), 0);
}

}  // namespace
}  // namespace basilusher::evacuation_test
