// Guards against starts in a data centre whose evacuation was acknowledged, and
// against runs and jobs that an evacuation loses.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "../Support/LogCapture.h"
#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOther = "00000000000000a2";
constexpr const char* kPrefix = "config/evacuate/";
/// Half of the bound of 5 s.
constexpr Millis kMaxAge{2500};
constexpr Millis kBound{5000};
/// A quiet store tells of a request within its latency, and a start that was
/// sent before takes some more.
constexpr Millis kTold{50};
constexpr Millis kStep{50};
constexpr Millis kOutage{6000};
/// The watch of the keys notices the store's return within two probes.
constexpr Millis kBackInTouch{700};

class EvacuationTest : public ::testing::Test {
 protected:
  EvacuationTest() {
    sim.fleet.ends_on_time = true;
    sim.fleet.reports_progress = true;
    sim.fleet.evacuation_bound = kTold;
    // Idle workers stay in the pool, unless a test has a spare pool.
    sim.catalog.pools.erase("spare");
    sim.evacuations = &view;
    view.SetMaxAge(kMaxAge);
    watcher = std::make_shared<StoreWatcher>(
        &sim.store, &sim.timers, &sim.timers,
        StoreWatcherOptions{.prefix = kPrefix, .wait = Millis(500)},
        StoreWatcher::Listener{
            .on_item =
                [this](const StoredItem& item) {
                  const std::string name =
                      item.key.substr(std::string(kPrefix).size());
                  if (item.removed) {
                    view.End(name, item.revision);
                  } else {
                    view.Begin(name, item.value, item.revision);
                  }
                },
            .on_loaded = {}});
    view.Follow([this] { return watcher->FreshAt(); });
  }
  ~EvacuationTest() override {
    if (sim.owner != nullptr) sim.owner->Close();
    for (const auto& owner : sim.former_owners) owner->Close();
    watcher->Close();
  }

  /// Workers of one data centre after the other, in the order of their ids.
  void AddWorkers(const std::vector<std::string>& data_centres) {
    for (const std::string& name : data_centres) {
      sim.fleet.AddWorker("pool", name);
    }
  }
  void BeginTerm() {
    watcher->Begin();
    sim.BeginTerm();
    sim.Run(Millis(300));
  }
  /// The operator's write, which the store acknowledges at once.
  void Evacuate(const std::string& name) {
    sim.store.Put(kPrefix + name, "{}");
    sim.fleet.RecordEvacuation(name);
  }
  void Cancel(const std::string& name) {
    sim.store.Remove(kPrefix + name);
    sim.fleet.EndEvacuation(name);
  }
  static JobSpec Lasting(int tasks, int max_unavailable) {
    JobSpec job = FleetSim::MakeJob(kJob, tasks, 0);
    job.steps[0].lasting = true;
    job.steps[0].max_unavailable = max_unavailable;
    return job;
  }
  /// Short tasks for minutes: whenever one ends, another may start.
  void SubmitSteadyWork() {
    JobSpec job = FleetSim::MakeJob(kOther, 2000, 400);
    sim.Submit(job);
  }
  /// Fewest running tasks of the job at any time of the next `duration`.
  int FewestRunning(const std::string& job, Millis duration) {
    int fewest = sim.fleet.RunningTasks(job);
    for (Millis passed{0}; passed < duration; passed += kStep) {
      sim.Run(kStep);
      fewest = std::min(fewest, sim.fleet.RunningTasks(job));
    }
    return fewest;
  }

  FleetSim sim;
  EvacuationView view{&sim.timers, nullptr};
  std::shared_ptr<StoreWatcher> watcher;
};

TEST_F(EvacuationTest, NothingStartsThereAndWorkGoesOnElsewhere) {
  AddWorkers({"a", "a", "b", "b"});
  BeginTerm();
  SubmitSteadyWork();
  sim.Run(Millis(2000));
  ASSERT_GT(sim.fleet.StartsIn("a"), 0);
  ASSERT_GT(sim.fleet.StartsIn("b"), 0);
  Evacuate("a");
  sim.Run(kTold);
  const int there = sim.fleet.StartsIn("a");
  const int elsewhere = sim.fleet.StartsIn("b");
  sim.Run(Millis(5000));
  EXPECT_EQ(sim.fleet.StartsIn("a"), there);
  EXPECT_EQ(sim.fleet.RunningIn("a"), 0);
  EXPECT_GT(sim.fleet.StartsIn("b"), elsewhere + 100);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// Deployments that do not ask for it behave as before.
TEST_F(EvacuationTest, WithoutABoundTheRequestHasNoEffect) {
  view.SetMaxAge(std::nullopt);
  AddWorkers({"a"});
  watcher->Begin();
  sim.store.Put(std::string(kPrefix) + "a", "{}");
  BeginTerm();
  sim.Submit(FleetSim::MakeJob(kJob, 2, 1000));
  sim.Run(Millis(300));
  EXPECT_EQ(sim.fleet.RunningIn("a"), 2);
}

TEST_F(EvacuationTest, AStartThatWasHeldIsNotSentThereOnceItIsStored) {
  AddWorkers({"a"});
  BeginTerm();
  sim.store.refused_prefixes = {RecordKeys().progress_prefix};
  sim.Submit(Lasting(1, 1));
  sim.Run(Millis(300));
  ASSERT_EQ(sim.fleet.StartedRuns(), 0);
  Evacuate("a");
  sim.Run(Millis(100));
  sim.store.refused_prefixes.clear();
  sim.Run(Millis(8000));
  EXPECT_EQ(sim.fleet.StartsIn("a"), 0);
  EXPECT_EQ(sim.StateOf(kJob), JobState::kQueued);
  Cancel("a");
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.fleet.RunningIn("a"), 1);
}

TEST_F(EvacuationTest, AnOwnerThatHasNotReadTheKeysStartsNothing) {
  AddWorkers({"a", "b"});
  sim.store.Put(std::string(kPrefix) + "a", "{}");
  sim.fleet.RecordEvacuation("a");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Submit(FleetSim::MakeJob(kJob, 4, 1000));
  sim.Run(Millis(4000));
  EXPECT_EQ(sim.fleet.StartedRuns(), 0);
  watcher->Begin();
  sim.Run(Millis(300));
  EXPECT_EQ(sim.fleet.RunningIn("b"), 4);
  EXPECT_EQ(sim.fleet.StartsIn("a"), 0);
}

/// The watch of the keys is silent while the store answers all other calls.
TEST_F(EvacuationTest, NothingStartsByAnOldViewOfTheKeys) {
  sim.fleet.evacuation_bound = kBound;
  AddWorkers({"a", "b"});
  BeginTerm();
  SubmitSteadyWork();
  sim.Run(Millis(2000));
  sim.store.delayed_prefix = kPrefix;
  sim.store.watch_delay = Millis(12000);
  sim.Run(Millis(400));
  Evacuate("a");
  sim.Run(Millis(3500));
  const std::int64_t starts = sim.fleet.StartedRuns();
  sim.Run(Millis(5000));
  EXPECT_EQ(sim.fleet.StartedRuns(), starts);
  sim.store.watch_delay = Millis(0);
  sim.Run(Millis(8000));
  EXPECT_GT(sim.fleet.StartedRuns(), starts);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(EvacuationTest, AnOwnerThatTakesOverMidwayKnowsOfIt) {
  AddWorkers({"a", "a", "b", "b"});
  BeginTerm();
  SubmitSteadyWork();
  sim.Run(Millis(2000));
  Evacuate("a");
  sim.Run(kTold);
  const int there = sim.fleet.StartsIn("a");
  const int elsewhere = sim.fleet.StartsIn("b");
  // The former owner goes on until it learns of the new term.
  sim.BeginTerm(/*close_former=*/false);
  sim.Run(Millis(8000));
  EXPECT_EQ(sim.fleet.StartsIn("a"), there);
  EXPECT_GT(sim.fleet.StartsIn("b"), elsewhere);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// Nothing is acknowledged in the outage, so starts go on in it. The write that
/// the store acknowledges when it is back is heard of before any further start.
TEST_F(EvacuationTest, AStoreThatWasDownBeforeTheAcknowledgement) {
  AddWorkers({"a", "b"});
  BeginTerm();
  SubmitSteadyWork();
  sim.Run(Millis(2000));
  sim.store.fault = SimFault::kRequestLost;
  sim.Run(Millis(1000));
  const int there = sim.fleet.StartsIn("a");
  sim.Run(kOutage - Millis(1000));
  EXPECT_GT(sim.fleet.StartsIn("a"), there);
  sim.store.fault = SimFault::kNone;
  Evacuate("a");
  const int at_return = sim.fleet.StartsIn("a");
  sim.Run(kBackInTouch);
  EXPECT_EQ(sim.fleet.StartsIn("a"), at_return);
  const int elsewhere = sim.fleet.StartsIn("b");
  sim.Run(Millis(4000));
  EXPECT_EQ(sim.fleet.StartsIn("a"), at_return);
  EXPECT_GT(sim.fleet.StartsIn("b"), elsewhere);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(EvacuationTest, AStoreThatIsDownAfterTheAcknowledgement) {
  AddWorkers({"a", "b"});
  BeginTerm();
  SubmitSteadyWork();
  sim.Run(Millis(2000));
  Evacuate("a");
  sim.Run(kTold);
  sim.store.fault = SimFault::kRequestLost;
  const int there = sim.fleet.StartsIn("a");
  const int elsewhere = sim.fleet.StartsIn("b");
  sim.Run(kOutage);
  EXPECT_GT(sim.fleet.StartsIn("b"), elsewhere);
  sim.store.fault = SimFault::kNone;
  sim.Run(Millis(4000));
  EXPECT_EQ(sim.fleet.StartsIn("a"), there);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(EvacuationTest, AWaveGoesOnThere) {
  AddWorkers({"a", "a", "b", "b"});
  BeginTerm();
  SubmitSteadyWork();
  sim.Run(Millis(2000));
  Evacuate("a");
  sim.Run(kTold);
  const int there = sim.fleet.StartsIn("a");
  sim.owner->SetWave({.number = 1,
                      .instances = {"m-w2", "m-w0", "m-w1"},
                      .ramp_s = 30,
                      .max_at_once = 1});
  sim.Run(Millis(2000));
  // An instance that takes no tasks is the best one to maintain.
  EXPECT_FALSE(sim.fleet.Find("w0")->alive && sim.fleet.Find("w1")->alive);
  EXPECT_TRUE(sim.fleet.Find("w2")->alive);
  sim.Run(Millis(28000));
  EXPECT_EQ(sim.store.Value("status/1"), "finished");
  EXPECT_EQ(sim.fleet.StartsIn("a"), there);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// Their maintenance takes no capacity away, unlike that of other empty ones.
TEST_F(EvacuationTest, AWaveBeginsWithEmptyInstancesThere) {
  AddWorkers({"a", "a", "b", "b"});
  BeginTerm();
  Evacuate("a");
  sim.Run(kTold);
  sim.owner->SetWave({.number = 1,
                      .instances = {"m-w2", "m-w3", "m-w0", "m-w1"},
                      .ramp_s = 60,
                      .max_at_once = 2});
  sim.Run(Millis(1500));
  EXPECT_FALSE(sim.fleet.Find("w0")->alive);
  EXPECT_FALSE(sim.fleet.Find("w1")->alive);
  EXPECT_TRUE(sim.fleet.Find("w2")->alive);
  EXPECT_TRUE(sim.fleet.Find("w3")->alive);
}

TEST_F(EvacuationTest, TwoDataCentres) {
  AddWorkers({"a", "b", "c"});
  BeginTerm();
  SubmitSteadyWork();
  sim.Run(Millis(2000));
  Evacuate("a");
  Evacuate("b");
  sim.Run(kTold);
  const int there = sim.fleet.StartsIn("a") + sim.fleet.StartsIn("b");
  const int elsewhere = sim.fleet.StartsIn("c");
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.fleet.StartsIn("a") + sim.fleet.StartsIn("b"), there);
  EXPECT_GT(sim.fleet.StartsIn("c"), elsewhere);
  Cancel("a");
  const int in_b = sim.fleet.StartsIn("b");
  const int in_a = sim.fleet.StartsIn("a");
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.fleet.StartsIn("b"), in_b);
  EXPECT_GT(sim.fleet.StartsIn("a"), in_a);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(EvacuationTest, AllDataCentresJobsWaitAndAreDoneAfterwards) {
  AddWorkers({"a", "b"});
  BeginTerm();
  sim.Submit(FleetSim::MakeJob(kJob, 8, 30000));
  sim.Run(Millis(500));
  Evacuate("a");
  Evacuate("b");
  sim.Run(kTold);
  const std::int64_t starts = sim.fleet.StartedRuns();
  sim.Submit(FleetSim::MakeJob(kOther, 8, 500));
  sim.Run(Millis(60000));
  EXPECT_EQ(sim.fleet.StartedRuns(), starts);
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.StateOf(kOther), JobState::kQueued);
  Cancel("a");
  Cancel("b");
  sim.Run(Millis(1500));
  EXPECT_EQ(sim.StateOf(kOther), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(EvacuationTest, ACancellationMidwayMovesNothingBack) {
  AddWorkers({"a"});
  BeginTerm();
  sim.Submit(Lasting(8, 1));
  sim.Run(Millis(1500));
  ASSERT_EQ(sim.fleet.RunningIn("a"), 8);
  AddWorkers({"b"});
  sim.Run(Millis(500));
  Evacuate("a");
  // Some tasks have moved, one at a time.
  sim.Run(Millis(1500));
  Cancel("a");
  sim.Run(Millis(1000));
  const int stay = sim.fleet.RunningIn("a");
  EXPECT_GT(stay, 0);
  EXPECT_LT(stay, 8);
  EXPECT_EQ(stay + sim.fleet.RunningIn("b"), 8);
  const std::int64_t starts = sim.fleet.StartedRuns();
  sim.Run(Millis(10000));
  EXPECT_EQ(sim.fleet.StartedRuns(), starts);
  // The data centre is used again.
  sim.Submit(FleetSim::MakeJob(kOther, 20, 500));
  sim.Run(Millis(200));
  EXPECT_GT(sim.fleet.RunningIn("a"), stay);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(EvacuationTest, LastingTasksMoveAsTheirStepAllows) {
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

TEST_F(EvacuationTest, NoRunIsStoppedWhileThereIsNoRoomElsewhere) {
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

TEST_F(EvacuationTest, CheckpointableRunsMoveAndOthersFinishThere) {
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

TEST_F(EvacuationTest, AGangDoesNotStartInPartThere) {
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
TEST_F(EvacuationTest, ARunOnASilentWorkerIsNotStartedAgainThere) {
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

TEST_F(EvacuationTest, NoAdviceIsAskedForWorkersThere) {
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

TEST_F(EvacuationTest, SpareInstancesComeFromOtherDataCentres) {
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
TEST_F(EvacuationTest, InstancesThereMeetNoDemand) {
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
TEST_F(EvacuationTest, AMoveThatIsNotOrderedYetIsGivenUp) {
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

TEST_F(EvacuationTest, AnUnknownDataCentreIsLoggedOnceAndKept) {
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
}  // namespace basilusher
