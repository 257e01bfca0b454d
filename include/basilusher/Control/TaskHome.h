// The home of tasks: accepts them into a journal, runs them at workers under
// leases and reconciles runs whose holder was lost.
#ifndef BASILUSHER_CONTROL_TASKHOME_H_
#define BASILUSHER_CONTROL_TASKHOME_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "basilusher/Control/Context.h"
#include "basilusher/Control/FrontDoor.h"
#include "basilusher/Control/Journal.h"

namespace basilusher {

/// Number of journals over which tasks are spread.
inline constexpr int kTaskBuckets = 4;
/// Time to live of a run's lease at its worker.
inline constexpr Millis kTaskLeaseTtl{5000};
/// Largest body of a task in bytes; bodies are kept in the journal.
inline constexpr std::size_t kMaxTaskBodyBytes = 16384;
/// Deadline of one run of a task, including its wait for a worker.
inline constexpr Millis kTaskDeadline{3600000};
/// Number of the run from which on an idempotent task is ended rather than
/// requeued when the run is stopped before its end.
inline constexpr int kMaxTaskRuns = 5;

/// Returns the bucket of a task. Thread-safe.
int TaskBucketOf(const std::string& task_id);
/// Returns the subject whose rendezvous hash chooses the home of `bucket`.
/// Thread-safe.
std::string TaskSubject(int bucket);

/// State of a task's run as its worker reports it.
enum class TaskRunState {
  kRunning,
  kDone,
  /// Stopped before its end, or its lease expired.
  kStopped,
  /// Did not start and is barred from starting later.
  kNeverStarted,
  /// The worker did not answer.
  kNoAnswer,
};

struct TaskRunReport {
  TaskRunState state = TaskRunState::kNoAnswer;
  std::string body;
};

/// Side effects of the task home. Calls do not block; callbacks run on the
/// actor of the task home.
class TaskDelegate {
 public:
  virtual ~TaskDelegate() = default;
  /// Submits a run to this entry's front door.
  virtual void Submit(const Submission& submission) = 0;
  /// Reports the result of a dispatch command to the front door.
  virtual void Report(const std::string& request_id, int attempt,
                      const DispatchResult& result) = 0;
  /// Starts a run at its worker; `done` gets kAnswered if the worker accepted
  /// it.
  virtual void Start(const DispatchCommand& command, const std::string& body,
                     std::function<void(DispatchStatus)> done) = 0;
  /// Renews the lease of a run; `done` gets the run's state.
  virtual void Renew(const WorkerInfo& worker, const std::string& request_id,
                     std::function<void(const TaskRunReport&)> done) = 0;
  /// Stops a run and bars it from starting later; `done` gets the run's state.
  virtual void Stop(const WorkerInfo& worker, const std::string& request_id,
                    std::function<void(const TaskRunReport&)> done) = 0;
  /// Passes the answer to the HTTP call of this entry that waits for it.
  virtual void Reply(const TaskAnswer& answer) = 0;
};

/// Decides on the tasks of the buckets whose home this entry is, and holds the
/// runs that this entry started, also after a home has moved. Not thread-safe.
class TaskHome : public Component {
 public:
  TaskHome(Context context, TaskDelegate* delegate);

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;
  /// Handles the front door's command to start a run at a worker: records the
  /// start, then starts the run. Reports kRefused if the start is not recorded.
  void OnCommand(const DispatchCommand& command);
  /// Stops a run. An idempotent task is then requeued, up to kMaxTaskRuns; a
  /// task that is not idempotent ends with an unknown outcome.
  void StopRun(const std::string& request_id);
  /// The front door has ended the request of a run with `answer`.
  void OnFinished(const std::string& request_id, const Answer& answer);
  /// Starts no more runs and stops those in progress, so that other entries can
  /// run their tasks.
  void BeginShutdown();
  /// Returns the number of runs that this entry holds plus the number of
  /// journal records that wait for the store.
  std::size_t InProgress() const;

 private:
  enum class Phase { kQueued, kStarted, kEnded };
  struct Task {
    std::string id;
    std::string team;
    std::string queue;
    std::string body;
    bool idempotent = true;
    Phase phase = Phase::kQueued;
    /// Number of the current run; grows with each start.
    int run = 0;
    std::string worker;
    /// Entry incarnation that started the current run and renews its lease.
    std::string holder;
    bool cancelled = false;
    RecordedOutcome outcome;
    /// Whether this entry's front door has the run; not in the journal.
    bool submitted = false;
    /// Whether a stop call, or an append that changes the phase, is in flight.
    bool transition_in_flight = false;
    /// Earliest time of the next submission or reconciliation.
    TimePoint retry_at{};
  };
  struct Bucket {
    std::unique_ptr<Journal> journal;
    std::map<std::string, Task> tasks;
    /// Started tasks whose current run this entry holds, by the records read.
    std::set<std::string> held;
    /// Whether the journal has been read since this entry became the home.
    bool loaded_as_home = false;
  };
  /// A run that this entry started and whose lease it renews.
  struct ActiveRun {
    std::string task_id;
    DispatchCommand command;
    TimePoint next_renewal{};
    /// When the worker last reported the run as running, or the start of the
    /// run.
    TimePoint last_renewal{};
    /// Whether a renew or stop call is in flight.
    bool renewing = false;
    /// Whether the run is to be stopped; then stop calls replace renewals.
    bool stopping = false;
  };

  Bucket* BucketFor(const std::string& task_id);
  Task* Find(const std::string& task_id);
  void Apply(Bucket* bucket, const Json& record);
  void OnAsk(const PeerId& from, const TaskAsk& ask);
  void AnswerAsk(const PeerId& from, const TaskAsk& ask);
  void Accept(const PeerId& from, const TaskAsk& ask);
  void Cancel(const PeerId& from, const TaskAsk& ask);
  void SendAnswer(const PeerId& to, const TaskAsk& ask, ResultCode code);
  void TickBucket(int number, Bucket* bucket);
  /// Reconciles orphaned runs of this entry: the journal has their start, but
  /// neither the front door nor `runs_` tracks them, as when a stop call was
  /// not answered or an end was not stored.
  void ReconcileOrphanedRuns(Bucket* bucket);
  void TickTask(Bucket* bucket, Task* task);
  void TickRun(const std::string& request_id, ActiveRun* run);
  void OnRenewed(const std::string& request_id, const TaskRunReport& report);
  void StartRun(const DispatchCommand& command, const std::string& task_id);
  void EndRun(const std::string& request_id, const DispatchResult& result);
  /// Stops the task's current run at its worker and records what became of it.
  void ReconcileRun(Bucket* bucket, Task* task);
  void OnRunReconciled(const std::string& task_id, int run,
                       const TaskRunReport& report);
  void RecordEnd(Task* task, const RecordedOutcome& outcome);
  void Requeue(Task* task);
  /// Whether the entry incarnation `holder` has a lease or is seen as alive.
  bool IsAlive(const std::string& holder) const;
  bool IsHome(int number) const;

  Context context_;
  TaskDelegate* delegate_;
  std::map<int, Bucket> buckets_;
  std::map<std::string, ActiveRun> runs_;
  TimePoint next_refresh_{};
  bool shutting_down_ = false;
};

/// Returns the request id of run `run` of a task. Thread-safe.
std::string TaskRequestId(const std::string& task_id, int run);
/// Returns the task id in a request id; empty if the request is not a task's
/// run. Thread-safe.
std::string TaskIdOfRequest(const std::string& request_id);

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_TASKHOME_H_
