// Guards against a task that starts elsewhere while a late start of it may
// still be executed, and against one that waits for a start that cannot be.
#include <functional>
#include <string>

#include "HeldCallTest.h"

namespace basilusher {
namespace {

/// Sorts before kJob, so that its end is listed first.
constexpr const char* kFirstJob = "0000000000000011";
/// A list of instances may be this old.
constexpr Millis kListLag{1000};

/// The fleet's list of instances, from which one worker can be missing, and
/// which can be unavailable.
class PartialList : public InstanceProvider {
 public:
  explicit PartialList(SimFleet* fleet) : fleet_(fleet) {}
  void List(std::function<void(const InstanceList&)> done) override {
    fleet_->List([this, done](const InstanceList& list) {
      InstanceList shown = list;
      shown.complete = available;
      for (Instance& instance : shown.instances) {
        if (instance.worker != missing) continue;
        instance.worker.clear();
        instance.state = InstanceState::kDown;
      }
      done(shown);
    });
  }
  void Move(const std::string& instance, const std::string& pool,
            std::int64_t fence,
            std::function<void(InstanceResult)> done) override {
    fleet_->Move(instance, pool, fence, std::move(done));
  }
  void Maintain(const std::string& instance, std::int64_t wave,
                std::int64_t fence,
                std::function<void(InstanceResult)> done) override {
    fleet_->Maintain(instance, wave, fence, std::move(done));
  }

  bool available = true;
  std::string missing = "none";

 private:
  SimFleet* fleet_;
};

std::string NameOfMode(
    const ::testing::TestParamInfo<SimFleet::RestartMode>& mode) {
  switch (mode.param) {
    case SimFleet::RestartMode::kNewIdSameAddress:
      return "NewIdSameAddress";
    case SimFleet::RestartMode::kNewIdNewAddress:
      return "NewIdNewAddress";
    case SimFleet::RestartMode::kSameId:
      return "SameId";
  }
  return "Unknown";
}

class LateStartHoldTest : public HeldCallTest {
 protected:
  LateStartHoldTest() : HeldCallTest(Millis(30000)) {
    Worker().clock_offset_ms = 1000000;
    sim.instances = &list;
    sim.BeginTerm();
    sim.Run(kFormerLife);
  }

  PartialList list{&sim.fleet};
};

// The process begins after the list was read that shows none, 0.7 s before the
// longest delay of a call is over, and executes the start.
TEST_F(LateStartHoldTest, AProcessBeginsAfterTheListWasRead) {
  HoldBackStart();
  AddOther();
  list.missing = worker;
  sim.Restart(worker, Millis(11000));
  Silence();
  sim.Run(Millis(200));
  Execute();
  ASSERT_TRUE(RunsTask(worker));
  sim.Run(kListLag - Millis(200));
  list.missing = "none";
  sim.Run(every_bound);
  EXPECT_TRUE(RunsTask(other));
}

// The same where the list is unavailable since it showed that the process was
// dead: it is 9 s old when the longest delay of a call is over.
TEST_F(LateStartHoldTest, AProcessBeginsWhileTheListIsUnavailable) {
  HoldBackStart();
  AddOther();
  list.missing = worker;
  sim.Restart(worker, Millis(3000));
  Silence();
  list.available = false;
  sim.Run(Millis(4000));
  Execute();
  ASSERT_TRUE(RunsTask(worker));
  sim.Run(every_bound);
  EXPECT_TRUE(RunsTask(other));
}

// The late start has been executed and has ended as done, and the first report
// has no room for its end. The store takes 2 s to accept what it lists.
TEST_F(LateStartHoldTest, AnEndBeyondTheFirstReportIsAwaited) {
  sim.fleet.max_ends_per_poll = 1;
  Worker().holds_back_starts = true;
  sim.Submit(FleetSim::MakeJob(kFirstJob, 1, 100));
  sim.Submit(FleetSim::MakeJob(kJob, 1, 100));
  for (int i = 0; i < 1500 && sim.fleet.HeldCalls(worker) < 2; ++i) {
    sim.Run(Millis(1));
  }
  ASSERT_EQ(sim.fleet.HeldCalls(worker), 2U);
  Worker().holds_back_starts = false;
  AddOther();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.Run(Millis(6000));
  sim.fleet.ReleaseHeldCalls(worker);
  sim.Run(Millis(500));
  // The next report comes once the first one's end is stored.
  sim.store.refused_prefixes = {RecordKeys().progress_prefix};
  EndSilence();
  sim.Run(Millis(2000));
  sim.store.refused_prefixes.clear();
  sim.Run(Millis(10000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartsOf(kTask), 1);
}

// Another worker answers at the address of the dead one, so that the start is
// refused there. A lasting task must run again soon; the list of instances is
// unavailable.
TEST_F(LateStartHoldTest, ALastingTaskRunsAgainOnceAnotherWorkerAnswers) {
  sim.fleet.restart_mode = SimFleet::RestartMode::kNewIdSameAddress;
  sim.fleet.restart_delay = Millis(5000);
  JobSpec job = FleetSim::MakeJob(kJob, 1, 0);
  job.steps[0].lasting = true;
  Worker().holds_back_starts = true;
  sim.Submit(job);
  AwaitHeldCall();
  list.available = false;
  sim.fleet.CrashAndRestart(worker);
  sim.Run(Millis(9000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
}

// The task of a gang whose start is late waits, and with it the gang; the other
// members end.
TEST_F(LateStartHoldTest, AGangWaitsForTheLateStartOfAMember) {
  AddOther();
  JobSpec job = FleetSim::MakeJob(kJob, 2, 100000);
  job.steps[0].gang = true;
  job.steps[0].max_per_worker = 1;
  Worker().holds_back_starts = true;
  sim.Submit(job);
  AwaitHeldCall();
  Worker().holds_back_starts = false;
  sim.fleet.AddWorker("pool");
  sim.Restart(worker, kDowntime);
  Silence();
  sim.Run(Millis(8000));
  sim.fleet.ReleaseHeldCalls(worker);
  sim.Run(every_bound);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 2);
}

// A job is cancelled while its task waits for a late start: the worker is
// dropped all the same once the start cannot be executed any more.
TEST_F(LateStartHoldTest, ACancelledJobKeepsNoWorker) {
  HoldBackStart();
  sim.fleet.Crash(worker);
  sim.Run(Millis(6000));
  sim.Cancel(kJob);
  sim.Run(Millis(25000));
  EXPECT_EQ(sim.store.Value(RecordKeys().workers).find('"' + worker + "\":\""),
            std::string::npos);
}

// The start is settled by the second incarnation, and the third one executes
// it.
TEST_F(LateStartHoldTest, AThirdIncarnationExecutesTheStart) {
  HoldBackStart();
  AddOther();
  sim.Restart(worker, kDowntime);
  sim.Run(Millis(3000));
  sim.Restart(worker, kDowntime);
  sim.fleet.ReleaseHeldCalls(worker);
  sim.Run(Millis(15000));
}

// Guards against a task that waits although no call can be delayed for so long
// any more: its worker has answered all the time, and never gets the start.
TEST_F(LateStartHoldTest, ATaskOfAWorkerThatAnswersStartsOnceItsStartIsOver) {
  HoldBackStart();
  AddOther();
  sim.Run(kMaxCallDelay - kBriefly - Millis(100));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 0);
  sim.Run(Millis(1500));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
}

// Guards against a lasting task that waits for a lost answer while its worker
// answers. Its second run ends with the process that precedes the one which
// executes the first start.
TEST_F(LateStartHoldTest, ALastingTaskStartsAgainOnTheWorkerThatAnswers) {
  JobSpec job = FleetSim::MakeJob(kJob, 1, 0);
  job.steps[0].lasting = true;
  Worker().holds_back_starts = true;
  sim.Submit(job);
  AwaitHeldCall();
  Worker().holds_back_starts = false;
  AddOther();
  sim.Run(Millis(700));
  ASSERT_TRUE(RunsTask(worker));
  sim.Restart(worker, kDowntime);
  Silence();
  sim.Run(Millis(5000));
  sim.fleet.ReleaseHeldCalls(worker);
  ASSERT_TRUE(RunsTask(worker));
  sim.Run(every_bound);
  EXPECT_TRUE(RunsTask(other));
}

// Guards against a workspace above its limit: the start is executed late, while
// the room that its task would have taken is in use.
TEST_F(LateStartHoldTest, AStartThatMayBeExecutedCountsTowardsTheLimit) {
  // One task.
  sim.catalog.workspaces["team"].cap.cpu_millis = 2000;
  sim.BeginTerm();
  sim.Run(kBriefly);
  HoldBackStart();
  AddOther();
  sim.Submit(FleetSim::MakeJob(kFirstJob, 1, 100));
  sim.Run(Millis(8000));
  EXPECT_EQ(sim.fleet.DoneTasks(kFirstJob), 0);
  sim.Run(every_bound);
  EXPECT_TRUE(RunsTask(worker) || RunsTask(other));
}

// The worker drains when it falls silent, and returns under its id.
TEST_F(LateStartHoldTest, ADrainingWorkerReturns) {
  HoldBackStart();
  AddOther();
  sim.fleet.Drain(worker);
  Silence();
  sim.Run(Millis(3000));
  sim.Restart(worker, Millis(3000));
  sim.Run(Millis(2000));
  Execute();
  ASSERT_TRUE(RunsTask(worker));
  sim.Run(every_bound);
  EXPECT_TRUE(RunsTask(other));
}

// The worker's process begins at another address, and the next one at the first
// address again, where it executes the start.
TEST_F(LateStartHoldTest, AWorkerReturnsToItsAddress) {
  HoldBackStart();
  AddOther();
  const std::string address = AddressOf(Worker());
  sim.Restart(worker, kDowntime);
  sim.fleet.ChangeAddress(worker, "elsewhere:1");
  Silence();
  sim.Run(Millis(1000));
  sim.Restart(worker, kDowntime);
  sim.fleet.ChangeAddress(worker, address);
  sim.Run(Millis(2000));
  Execute();
  ASSERT_TRUE(RunsTask(worker));
  sim.Run(every_bound);
  EXPECT_TRUE(RunsTask(other));
}

/// The fleet's workers, whose answers to starts can be lost.
class LostStartAnswers : public WorkerGateway {
 public:
  LostStartAnswers(SimFleet* fleet, SimTimers* timers)
      : fleet_(fleet), timers_(timers) {}
  void Start(const WorkerAddress& worker, const StartCommand& command,
             std::function<void(const StartAnswer&)> done) override {
    fleet_->Start(worker, command, [](const StartAnswer&) {});
    timers_->After(Millis(1000), [done] { done({}); });
  }
  void Stop(const WorkerAddress& worker, const TaskId& task, std::int64_t run,
            std::int64_t fence,
            std::function<void(CommandResult)> done) override {
    fleet_->Stop(worker, task, run, fence, std::move(done));
  }
  void Hold(const WorkerAddress& worker, const HoldCommand& command,
            std::function<void(const HoldAnswer&)> done) override {
    fleet_->Hold(worker, command, std::move(done));
  }
  void Pace(const WorkerAddress& worker, const TaskId& task, std::int64_t run,
            int percent, std::int64_t fence,
            std::function<void(CommandResult)> done) override {
    fleet_->Pace(worker, task, run, percent, fence, std::move(done));
  }

 private:
  SimFleet* fleet_;
  SimTimers* timers_;
};

/// A task crashes each worker that starts it before that has answered. It may
/// be started at most twice after three crashes.
class UnansweredCrashTest
    : public ::testing::TestWithParam<SimFleet::RestartMode> {
 protected:
  void SetUp() override {
    sim.catalog.pools.erase("spare");
    sim.workers = &gateway;
    sim.fleet.restart_mode = GetParam();
    sim.fleet.crash_delay = Millis(0);
    sim.fleet.crashing_tasks = {kTask};
    for (int i = 0; i < 8; ++i) sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(kBriefly);
  }

  void AwaitStarts(int starts) {
    for (int i = 0; i < 4000 && sim.fleet.StartsOf(kTask) < starts; ++i) {
      sim.Run(Millis(10));
    }
  }

  void ExpectGivenUp() {
    sim.Run(Millis(150000));
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
    EXPECT_EQ(sim.StateOf(kJob), JobState::kFailed);
  }

  FleetSim sim;
  LostStartAnswers gateway{&sim.fleet, &sim.timers};
};

TEST_P(UnansweredCrashTest, TheTaskIsGivenUp) {
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  ExpectGivenUp();
}

// The list of instances shows a crashed worker until the next one begins, 30 s
// later.
TEST_P(UnansweredCrashTest, TheListShowsCrashedWorkers) {
  sim.fleet.list_shows_crashes = false;
  sim.fleet.restart_delay = Millis(30000);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  ExpectGivenUp();
}

// The owner ends just after the first start of the task: no later owner knows
// of that crash.
TEST_P(UnansweredCrashTest, TheFirstCrashIsUnknownToTheNextOwner) {
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  AwaitStarts(1);
  sim.BeginTerm();
  ExpectGivenUp();
}

// Each owner ends after its first start of the task is executed.
TEST_P(UnansweredCrashTest, AnOwnerEndsAfterEachOfTheFirstStarts) {
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  for (int starts = 1; starts <= 3; ++starts) {
    AwaitStarts(starts);
    sim.BeginTerm();
  }
  ExpectGivenUp();
}

INSTANTIATE_TEST_SUITE_P(
    RestartModes, UnansweredCrashTest,
    ::testing::Values(SimFleet::RestartMode::kNewIdSameAddress,
                      SimFleet::RestartMode::kNewIdNewAddress,
                      SimFleet::RestartMode::kSameId),
    NameOfMode);

/// The same for a task that crashes its workers after they have answered, while
/// the list of instances shows a crashed worker until the next one begins.
class ListedCrashTest : public ::testing::TestWithParam<SimFleet::RestartMode> {
};

TEST_P(ListedCrashTest, TheTaskIsGivenUp) {
  FleetSim sim;
  sim.catalog.pools.erase("spare");
  sim.fleet.restart_mode = GetParam();
  sim.fleet.list_shows_crashes = false;
  sim.fleet.restart_delay = Millis(60000);
  sim.fleet.crash_delay = Millis(30);
  sim.fleet.crashing_tasks = {kTask};
  for (int i = 0; i < 10; ++i) sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(kBriefly);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  sim.Run(Millis(150000));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  EXPECT_EQ(sim.StateOf(kJob), JobState::kFailed);
}

// The directory entry of a worker that returns under its id never goes away
// here.
INSTANTIATE_TEST_SUITE_P(
    RestartModes, ListedCrashTest,
    ::testing::Values(SimFleet::RestartMode::kNewIdSameAddress,
                      SimFleet::RestartMode::kNewIdNewAddress),
    NameOfMode);

}  // namespace
}  // namespace basilusher
