// Random sequences of jobs and faults. The fakes check the invariants at every
// event, and all jobs must end once the faults are over.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"
#include "SequenceSeeds.h"
#include "basilusher/Support/Json.h"

namespace basilusher {
namespace {

constexpr int kDefaultSeeds = 300;
constexpr int kEvents = 60;
constexpr int kMaxPauseMs = 250;
/// In sequences with owners in doubt, whose troubles and tasks last for
/// seconds.
constexpr int kDoubtEvents = 150;
constexpr int kDoubtMaxPauseMs = 500;
/// Number of kinds of events in basic sequences, in wide ones and in those with
/// owners in doubt.
constexpr int kBasicKinds = 14;
constexpr int kWideKinds = 30;
constexpr int kDoubtKinds = 44;
/// Time for which an answer of the store confirms an owner's term: no other
/// owner begins within it, unless the owner has stopped.
constexpr int kTermLeaseMs = 1500;
/// Directory entries expire after this much silence.
constexpr int kEntryExpiryMs = 4500;
/// Directory entries of live workers return within this time after an outage of
/// the store.
constexpr int kEntryReturnsMs = 2000;
constexpr int kMaxLastingJobs = 3;
/// A process's clock begins at any reading below this.
constexpr std::uint64_t kMaxClockOffsetMs = 8000000;
constexpr std::int64_t kFencesPerTerm = 1000000;
/// The last trouble of a sequence of each kind is over this long after its
/// faults are cleared: the last entry is back, and the last owner has begun.
constexpr Millis kWideTail{6000};
constexpr Millis kDoubtTail{13500};
/// A lasting task that no lease holds back runs within this time.
constexpr Millis kRunsAgain{3000};
/// Jobs have ended this long after the faults are cleared.
constexpr Millis kAllOver{60000};

enum class SequenceKind : std::uint8_t { kBasic, kWide, kDoubt };

/// One sequence, determined by its seed.
class Sequence {
 public:
  /// A wide sequence also has directory entries that expire and return, ends
  /// reported over several polls, refused records, gangs, lasting jobs,
  /// restarted workers and owners in quick succession. One of doubt also has
  /// owners that alone do not hear the store beside their successors, workers
  /// that some owners do not reach, and entries that stay away while the worker
  /// works.
  /// With `any_clock` the clocks of the first workers and of restarted ones
  /// begin at any reading.
  Sequence(std::uint64_t seed, SequenceKind kind, bool any_clock)
      : random_(seed),
        random_clocks_(seed),
        any_clock_(any_clock),
        wide_(kind != SequenceKind::kBasic),
        doubt_(kind == SequenceKind::kDoubt) {}

  void Run() {
    sim_.fleet.ends_on_time = doubt_;
    // Only the ends of leases tell that a silent worker runs nothing.
    sim_.fleet.list_shows_crashes = false;
    if (wide_) sim_.fleet.max_ends_per_poll = kMaxEndsPerPoll[Pick(4)];
    for (int i = 0; i < 6; ++i) {
      const std::string id = sim_.fleet.AddWorker("pool");
      sim_.fleet.Find(id)->clock_offset_ms = RandomClockOffset();
    }
    BeginTerm(/*close_former=*/true);
    sim_.Run(Millis(200));
    const int events = doubt_ ? kDoubtEvents : kEvents;
    const int max_pause_ms = doubt_ ? kDoubtMaxPauseMs : kMaxPauseMs;
    for (int i = 0; i < events; ++i) {
      Step();
      RunChecked(&sim_, Millis(Pick(max_pause_ms)));
    }
    ClearFaults();
    const Millis bound =
        (doubt_ ? kDoubtTail : kWideTail) + kEarlierLeases + kRunsAgain;
    RunChecked(&sim_, bound);
    ExpectLastingTasksRun();
    RunChecked(&sim_, kAllOver - bound);
    EXPECT_THAT(sim_.fleet.Violations(), testing::IsEmpty());
    for (const std::string& job : jobs_) {
      EXPECT_TRUE(IsFinal(sim_.StateOf(job))) << job << " never ended";
    }
    ExpectLastingTasksRun();
  }

 private:
  static constexpr std::size_t kMaxEndsPerPoll[] = {1, 3, 8, 500};

  int Pick(int below) {
    return static_cast<int>(random_() % static_cast<unsigned>(below));
  }

  /// Where the clock of a process that starts begins.
  std::int64_t RandomClockOffset() {
    if (!any_clock_) return 0;
    return static_cast<std::int64_t>(random_clocks_() % kMaxClockOffsetMs);
  }

  void ExpectLastingTasksRun() {
    for (const auto& [job, tasks] : lasting_) {
      EXPECT_EQ(sim_.fleet.RunningTasks(job), tasks)
          << job << " does not run at "
          << sim_.timers.Now().time_since_epoch().count();
    }
  }

  void Step() {
    const int kind = Pick(doubt_  ? kDoubtKinds
                          : wide_ ? kWideKinds
                                  : kBasicKinds);
    if (kind >= kWideKinds) return DoubtStep(kind);
    if (kind >= kBasicKinds) return WideStep(kind);
    switch (kind) {
      case 0:
      case 1:
      case 2:
      case 3:
      case 4:
        return Submit();
      case 5:
        // An owner in doubt need not hear of a cancellation.
        if (!jobs_.empty() && !doubt_) {
          const std::string& job = jobs_[static_cast<std::size_t>(
              Pick(static_cast<int>(jobs_.size())))];
          if (sim_.store.Has(RecordKeys().job_prefix + job)) sim_.Cancel(job);
        }
        return;
      case 6:
        return FaultOnWorker();
      case 7:
        sim_.store.fault = RandomFault();
        return;
      case 8:
        sim_.store.fault = SimFault::kNone;
        return;
      case 9:
        return TakeOver();
      case 10:
        sim_.fleet.AddWorker("pool");
        return;
      case 11: {
        const std::vector<std::string> ids = sim_.fleet.AliveWorkerIds();
        if (ids.size() > 3) sim_.fleet.Crash(RandomOf(ids));
        return;
      }
      case 12:
        sim_.store.Compact();
        return;
      case 13:
        sim_.owner->SetWave({.number = ++waves_,
                             .instances = {"m-w0", "m-w1", "m-w2"},
                             .ramp_s = 10,
                             .max_at_once = 1});
        return;
      default:
        return;
    }
  }

  void WideStep(int kind) {
    switch (kind) {
      case 14:
      case 15:
      case 16:
      case 17:
      case 18:
        return ExpireSomeEntries();
      case 19:
      case 20:
        return RefuseJobRecords();
      case 21:
      case 22:
        sim_.store.refused_prefixes.clear();
        return;
      case 23:
        return SubmitGang();
      case 24:
        return SubmitLasting();
      case 25:
      case 26:
        for (int i = 1 + Pick(3); i > 0; --i) {
          TakeOver();
          sim_.Run(Millis(Pick(100)));
        }
        return;
      case 27:
        return Restart();
      case 28:
        return CutOffFromNextOwner();
      default:
        for (const std::string& id : sim_.fleet.AliveWorkerIds()) {
          sim_.fleet.Find(id)->unreachable_from_fence.reset();
        }
        return;
    }
  }

  void DoubtStep(int kind) {
    switch (kind) {
      case 30:
      case 31:
      case 32:
        return CutOwnerOff();
      case 33:
      case 34:
      case 35:
        return CutWorkerOff();
      case 36:
      case 37:
      case 38:
        return LoseEntryOfBusyWorker();
      case 39:
      case 40:
        return CutOffFromFormerOwners();
      case 41:
        return CutOffFromNextOwner();
      default:
        return StopOwnersInTurn();
    }
  }

  /// The owner alone does not hear the store. Another one is elected, and in
  /// half of the cases hears from it later that its term is over.
  void CutOwnerOff() {
    if (successor_due_) return;
    successor_due_ = true;
    StoreConnection* connection = sim_.connections[term_].get();
    connection->cut = true;
    sim_.timers.After(Millis(3000 + Pick(10000)),
                      [connection] { connection->cut = false; });
    sim_.timers.After(Millis(kTermLeaseMs + Pick(2500)), [this] {
      successor_due_ = false;
      BeginTerm(/*close_former=*/false);
      if (Pick(2) == 0) AskFormerOwner(Pick(1500));
    });
  }

  void AskFormerOwner(int after_ms) {
    sim_.timers.After(Millis(after_ms), [this, owner = sim_.owner,
                                         former = sim_.former_owners.back()] {
      const LongLeases leases = former->FindLongLeases();
      former->Close();
      if (owner == sim_.owner) owner->NoteEarlierOwnerStopped(leases);
    });
  }

  /// A worker reaches nobody for a while and works on.
  void CutWorkerOff() {
    const std::vector<std::string> ids = sim_.fleet.AliveWorkerIds();
    if (ids.empty()) return;
    const std::string id = RandomOf(ids);
    SimWorker* worker = sim_.fleet.Find(id);
    const std::string key = "workers/" + id;
    if (worker->fault != SimFault::kNone || !sim_.store.Has(key)) return;
    worker->fault = SimFault::kRequestLost;
    const int cut_ms = 500 + Pick(12000);
    const std::string entry = sim_.store.Value(key);
    if (cut_ms > kEntryExpiryMs) {
      sim_.timers.After(Millis(kEntryExpiryMs),
                        [this, key] { sim_.store.Remove(key); });
    }
    sim_.timers.After(Millis(cut_ms), [this, worker, id, entry] {
      worker->fault = SimFault::kNone;
      ReturnLater(id, entry, Pick(1000));
    });
  }

  /// The entry stays away for longer than an owner waits for its return.
  void LoseEntryOfBusyWorker() {
    for (const std::string& id : sim_.fleet.AliveWorkerIds()) {
      const std::string key = "workers/" + id;
      const bool busy = !sim_.fleet.Find(id)->running.empty();
      if (!busy || !sim_.store.Has(key)) continue;
      const std::string entry = sim_.store.Value(key);
      sim_.store.Remove(key);
      return ReturnLater(id, entry, 2300 + Pick(8000));
    }
  }

  /// Makes a worker unreachable for all owners before the current one.
  void CutOffFromFormerOwners() {
    const std::vector<std::string> ids = sim_.fleet.AliveWorkerIds();
    if (ids.empty()) return;
    SimWorker* worker = sim_.fleet.Find(RandomOf(ids));
    worker->unreachable_below_fence = term_ * kFencesPerTerm;
    sim_.timers.After(Millis(1000 + Pick(9000)),
                      [worker] { worker->unreachable_below_fence.reset(); });
  }

  void StopOwnersInTurn() {
    for (int i = 2; i > 0; --i) {
      if (successor_due_) return;
      StopOwner();
      sim_.Run(Millis(Pick(900)));
    }
  }

  void StopOwner() {
    BeginTerm(/*close_former=*/true);
    sim_.TellOfFormerEnd();
  }

  /// Directory entries expire, as after missed heartbeats, and return: at once,
  /// so that one answer of the store shows both, soon, or seconds later.
  void ExpireSomeEntries() {
    for (int i = 1 + Pick(3); i > 0; --i) {
      const std::vector<std::string> ids = sim_.fleet.AliveWorkerIds();
      if (ids.empty()) return;
      const SimWorker* worker = sim_.fleet.Find(RandomOf(ids));
      const std::string key = "workers/" + worker->id;
      if (!sim_.store.Has(key)) continue;
      const std::string entry = sim_.store.Value(key);
      sim_.store.Remove(key);
      const bool idle = worker->running.empty() && worker->ended.empty() &&
                        worker->fault == SimFault::kNone;
      switch (Pick(4)) {
        case 0:
          ReturnEntry(worker->id, entry);
          break;
        case 1:
          ReturnLater(worker->id, entry, 1 + Pick(300));
          break;
        case 2:
          ReturnLater(worker->id, entry, 300 + Pick(kEntryReturnsMs - 300));
          break;
        default:
          // A worker whose entry stays away longer may be taken for gone, so
          // only an idle one's does.
          ReturnLater(worker->id, entry,
                      idle ? 3000 + Pick(3000) : Pick(kEntryReturnsMs));
      }
    }
  }

  bool StoreUnavailable() const {
    return sim_.store.fault == SimFault::kRequestLost ||
           sim_.store.fault == SimFault::kRefused;
  }

  void ReturnLater(const std::string& id, const std::string& entry,
                   int delay_ms) {
    sim_.timers.After(Millis(delay_ms), [this, id, entry] {
      if (!StoreUnavailable()) return ReturnEntry(id, entry);
      // No heartbeat reaches the store during the outage.
      ReturnLater(id, entry, 50);
    });
  }

  /// Another incarnation may have written an entry since.
  void ReturnEntry(const std::string& id, const std::string& entry) {
    const std::string key = "workers/" + id;
    if (sim_.fleet.Find(id)->alive && !sim_.store.Has(key)) {
      sim_.store.Put(key, entry);
    }
  }

  void RefuseJobRecords() {
    sim_.store.refused_prefixes = {RecordKeys().progress_prefix,
                                   RecordKeys().final_prefix};
    if (Pick(2) == 0) {
      sim_.store.refused_prefixes.push_back(RecordKeys().workers);
    }
  }

  std::string NextId() {
    return "000000000000" + std::to_string(1000 + next_job_++);
  }

  /// Submits a gang of one step: the fakes do not know that the end of one
  /// member counts for the whole gang.
  void SubmitGang() {
    const std::string id = NextId();
    JobSpec job = FleetSim::MakeJob(id, 2 + Pick(3), 200 + Pick(600));
    job.steps[0].gang = true;
    jobs_.push_back(id);
    sim_.Submit(job);
  }

  void SubmitLasting() {
    if (lasting_.size() >= kMaxLastingJobs) return;
    const std::string id = NextId();
    JobSpec job = FleetSim::MakeJob(id, 1 + Pick(3), 0);
    job.steps[0].lasting = true;
    lasting_[id] = job.steps[0].count;
    sim_.Submit(job);
  }

  /// Restarts a worker under its id, without its former state.
  void Restart() {
    const std::vector<std::string> ids = sim_.fleet.AliveWorkerIds();
    if (ids.empty()) return;
    SimWorker* worker = sim_.fleet.Find(RandomOf(ids));
    const std::string key = "workers/" + worker->id;
    Json entry = Json::parse(sim_.store.Value(key), nullptr, false);
    if (!entry.is_object() || worker->fault != SimFault::kNone) return;
    const SimWorker fresh = {.id = worker->id,
                             .pool = worker->pool,
                             .clock_offset_ms = RandomClockOffset(),
                             .born_at = sim_.timers.Now()};
    *worker = fresh;
    entry["born"] = worker->born_at.time_since_epoch().count();
    sim_.store.Put(key, entry.dump());
  }

  /// Makes a worker unreachable for all owners after the current one.
  void CutOffFromNextOwner() {
    const std::vector<std::string> ids = sim_.fleet.AliveWorkerIds();
    if (ids.empty()) return;
    sim_.fleet.Find(RandomOf(ids))->unreachable_from_fence =
        (term_ + 1) * kFencesPerTerm;
  }

  void BeginTerm(bool close_former) {
    ++term_;
    sim_.BeginTerm(close_former);
  }

  void Submit() {
    const std::string id = NextId();
    JobSpec job =
        FleetSim::MakeJob(id, 1 + Pick(8), 100 + Pick(doubt_ ? 8000 : 900));
    if (Pick(2) == 0) {
      job.steps.push_back(job.steps[0]);
      job.steps[1].after = {0};
    }
    if (Pick(4) == 0) job.steps[0].speculative = true;
    if (Pick(4) == 0) job.steps[0].max_per_worker = 2;
    jobs_.push_back(id);
    sim_.Submit(job);
  }

  SimFault RandomFault() {
    static constexpr SimFault kFaults[] = {
        SimFault::kRefused, SimFault::kRequestLost, SimFault::kAnswerLost,
        SimFault::kDelayed};
    return kFaults[Pick(4)];
  }

  const std::string& RandomOf(const std::vector<std::string>& ids) {
    return ids[static_cast<std::size_t>(Pick(static_cast<int>(ids.size())))];
  }

  void FaultOnWorker() {
    const std::vector<std::string> ids = sim_.fleet.AliveWorkerIds();
    if (ids.empty()) return;
    SimWorker* worker = sim_.fleet.Find(RandomOf(ids));
    switch (Pick(4)) {
      case 0:
        worker->fault = RandomFault();
        return;
      case 1:
        worker->fails_all_tasks = !worker->fails_all_tasks;
        return;
      case 2:
        sim_.fleet.SetHangs(worker->id, !worker->hangs);
        return;
      default:
        worker->fault = SimFault::kNone;
        return;
    }
  }

  /// In half of the cases the former owner goes on until it learns of the new
  /// term.
  void TakeOver() {
    if (successor_due_) return;
    const bool stopped = Pick(2) == 0;
    if (doubt_) return stopped ? StopOwner() : CutOwnerOff();
    BeginTerm(/*close_former=*/stopped);
    if (stopped) sim_.owner->NoteEarlierOwnerStopped(sim_.former_leases);
  }

  void ClearFaults() {
    sim_.store.fault = SimFault::kNone;
    sim_.store.refused_prefixes.clear();
    for (const std::string& id : sim_.fleet.AliveWorkerIds()) {
      SimWorker* worker = sim_.fleet.Find(id);
      worker->unreachable_from_fence.reset();
      worker->unreachable_below_fence.reset();
      worker->fault = SimFault::kNone;
      worker->fails_all_tasks = false;
      sim_.fleet.SetHangs(id, false);
    }
    for (int i = 0; i < 3; ++i) sim_.fleet.AddWorker("pool");
  }

  std::mt19937_64 random_;
  /// Draws clocks only, so that all else follows from the seed as it does with
  /// clocks that begin at zero.
  std::mt19937_64 random_clocks_;
  bool any_clock_;
  bool wide_;
  bool doubt_;
  /// The owner is cut off from the store, and the next one begins soon.
  bool successor_due_ = false;
  FleetSim sim_;
  std::vector<std::string> jobs_;
  /// Lasting jobs and the number of their tasks.
  std::map<std::string, int> lasting_;
  std::int64_t term_ = 0;
  int next_job_ = 0;
  std::int64_t waves_ = 0;
};

void RunAll(SequenceKind kind, bool any_clock = false) {
  RunSeeds(kDefaultSeeds, [kind, any_clock](std::uint64_t seed) {
    Sequence(seed, kind, any_clock).Run();
  });
}

TEST(SequenceTest, PromisesHoldUnderRandomFaults) {
  RunAll(SequenceKind::kBasic);
}

TEST(SequenceTest, PromisesHoldWhileEntriesLapseAndOwnersChange) {
  RunAll(SequenceKind::kWide);
}

TEST(SequenceTest, PromisesHoldWhileOwnersAreInDoubt) {
  RunAll(SequenceKind::kDoubt);
}

// Guards against conclusions from a worker's clock about its age or about which
// of two incarnations is the later one.
TEST(SequenceTest, PromisesHoldWhileClocksBeginAnywhere) {
  RunAll(SequenceKind::kDoubt, /*any_clock=*/true);
}

}  // namespace
}  // namespace basilusher
