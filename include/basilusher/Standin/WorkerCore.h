// A worker's slots, runs and bars: the core of the stand-in and of the fake.
#ifndef BASILUSHER_STANDIN_WORKERCORE_H_
#define BASILUSHER_STANDIN_WORKERCORE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/Json.h"

namespace basilusher {

/// Work that one attempt brought to a worker, kept for ever as evidence.
struct RunRecord {
  std::string request_id;
  int attempt = 0;
  std::string team;
  std::string holder;
  /// First line of the body, by which tests know their requests.
  std::string tag;
  bool finished = false;
  std::int64_t started_micros = 0;
  std::int64_t finished_micros = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunRecord, request_id, attempt, team, holder,
                                   tag, finished, started_micros,
                                   finished_micros)

/// State of a task's run at its worker.
enum class WorkerTaskState { kRunning, kDone, kStopped, kNeverStarted };

/// Not thread-safe.
class WorkerCore {
 public:
  explicit WorkerCore(int slots) : slots_(slots) {}

  /// Starts a run; false if no slot is free, the worker is leaving, or the
  /// holder or the attempt is barred: then nothing ran.
  bool Start(const RunRecord& run);
  /// Ends a run that was started.
  void Finish(const std::string& request_id, int attempt,
              std::int64_t finished_micros);
  /// Starts a task's run of `work` under a lease; false as for Start.
  bool StartTask(const RunRecord& run, Millis work, Millis lease,
                 TimePoint now);
  /// Renews a run's lease and tells its state. A run whose lease ran out was
  /// stopped.
  WorkerTaskState RenewTask(const std::string& request_id, Millis lease,
                            TimePoint now);
  /// Stops a run, or bars it from starting, and tells its state.
  WorkerTaskState StopTask(const std::string& request_id, TimePoint now);
  /// Ends runs that are done and stops those whose lease is over.
  void AdvanceTasks(TimePoint now);
  /// Bars an attempt from starting; returns whether it runs.
  bool BarRun(const std::string& request_id, int attempt);
  /// Bars a holder; returns its runs in progress.
  int BarHolder(const std::string& holder);
  /// Refuses new runs from now on.
  void Leave() { leaving_ = true; }
  /// Refuses new runs under the token `fence`; returns what runs, -1 if the
  /// worker was admitted under that token or a higher one.
  int Drain(std::int64_t fence);
  /// Takes new runs again and bars drains up to the token `fence`.
  void Admit(std::int64_t fence);
  /// Comes back from a reboot: takes runs and has forgotten all tokens.
  void Reboot();
  bool Leaving() const { return leaving_; }
  int Running() const { return static_cast<int>(running_.size()); }
  int RunningOf(const std::string& team) const;
  /// The most that ran at once.
  int Peak() const { return peak_; }
  const std::vector<RunRecord>& Records() const { return records_; }

 private:
  using RunKey = std::pair<std::string, int>;
  struct Task {
    int attempt = 0;
    WorkerTaskState state = WorkerTaskState::kRunning;
    TimePoint done_at{};
    TimePoint lease_until{};
  };

  int slots_;
  bool leaving_ = false;
  std::int64_t drain_fence_ = 0;
  std::int64_t admit_fence_ = 0;
  int peak_ = 0;
  /// Index of each run in progress in `records_`.
  std::map<RunKey, std::size_t> running_;
  std::vector<RunRecord> records_;
  std::set<RunKey> barred_runs_;
  std::set<std::string> barred_holders_;
  /// Tasks' runs by request.
  std::map<std::string, Task> tasks_;
  std::set<std::string> barred_tasks_;
};

}  // namespace basilusher

#endif  // BASILUSHER_STANDIN_WORKERCORE_H_
