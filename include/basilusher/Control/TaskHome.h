// Home of tasks: accepts them into a journal, runs them under leases at
// workers and settles them when their holder is lost.
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
/// Time to live of a task's lease at its worker.
inline constexpr Millis kTaskLeaseTtl{5000};
/// Largest body of a task, which is kept in the journal.
inline constexpr std::size_t kMaxTaskBodyBytes = 16384;
/// Longest time a task may wait and run.
inline constexpr Millis kTaskDeadline{3600000};
/// Runs after which an idempotent task that was stopped each time is ended.
inline constexpr int kMaxTaskRuns = 5;

/// Bucket of a task. Thread-safe.
int TaskBucketOf(const std::string& task_id);
/// Subject by which the home of `bucket` is placed. Thread-safe.
std::string TaskSubject(int bucket);

/// What a worker says of a task's run.
enum class TaskRunState {
  kRunning,
  kDone,
  /// It was stopped before its end, or its lease ran out.
  kStopped,
  /// It never started and will not.
  kNeverStarted,
  kNoAnswer,
};

struct TaskRunReport {
  TaskRunState state = TaskRunState::kNoAnswer;
  std::string body;
};

/// Side effects of the task home; calls return at once, reports come back on
/// the task home's actor.
class TaskDelegate {
 public:
  virtual ~TaskDelegate() = default;
  /// Hands a run to the front door of this entry.
  virtual void Submit(const Submission& submission) = 0;
  /// Tells the front door how its command ended.
  virtual void Report(const std::string& request_id, int attempt,
                      const DispatchResult& result) = 0;
  /// Starts a run at its worker; `done` gets kAnswered if the worker took it.
  virtual void Start(const DispatchCommand& command, const std::string& body,
                     std::function<void(DispatchStatus)> done) = 0;
  /// Renews the lease of a run.
  virtual void Renew(const WorkerInfo& worker, const std::string& request_id,
                     std::function<void(const TaskRunReport&)> done) = 0;
  /// Stops a run and bars it from starting later.
  virtual void Stop(const WorkerInfo& worker, const std::string& request_id,
                    std::function<void(const TaskRunReport&)> done) = 0;
  /// Hands the answer to a call of this entry's HTTP interface.
  virtual void Reply(const TaskAnswer& answer) = 0;
};

/// Not thread-safe.
class TaskHome : public Component {
 public:
  TaskHome(Context context, TaskDelegate* port);

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;
  /// The front door ordered a run to start at a worker.
  void OnCommand(const DispatchCommand& command);
  /// Stops a run; its task is run again later.
  void StopRun(const std::string& request_id);
  /// The front door is done with a run.
  void OnFinished(const std::string& request_id, const Answer& answer);
  /// Starts no more runs; those in progress are stopped, to be taken up by
  /// other entries.
  void BeginShutdown();
  /// Runs that this entry holds and records that wait for the store.
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
    /// Number of the present run; grows with each start.
    int run = 0;
    std::string worker;
    /// Entry run that holds the present run.
    std::string holder;
    bool cancelled = false;
    RecordedOutcome outcome;
    /// Held here only: whether the front door has the run.
    bool submitted = false;
    bool transition_in_flight = false;
    TimePoint retry_at{};
  };
  struct Bucket {
    std::unique_ptr<Journal> journal;
    std::map<std::string, Task> tasks;
    /// Started tasks whose present run this entry holds, by the records read.
    std::set<std::string> held;
    /// Whether the journal has been read since this entry became the home.
    bool loaded_as_home = false;
  };
  struct ActiveRun {
    std::string task_id;
    DispatchCommand command;
    TimePoint next_renewal{};
    TimePoint last_renewal{};
    bool renewing = false;
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
  /// Settles runs of this entry that nothing watches any more, such as those
  /// whose transition_in_flight call was not answered or whose end was not
  /// stored.
  void ReconcileOrphanedRuns(Bucket* bucket);
  void TickTask(Bucket* bucket, Task* task);
  void TickRun(const std::string& request_id, ActiveRun* run);
  void OnRenewed(const std::string& request_id, const TaskRunReport& report);
  void StartRun(const DispatchCommand& command, const std::string& task_id);
  void EndRun(const std::string& request_id, const DispatchResult& result);
  void ReconcileRun(Bucket* bucket, Task* task);
  void OnRunReconciled(const std::string& task_id, int run,
                       const TaskRunReport& report);
  void RecordEnd(Task* task, const RecordedOutcome& outcome);
  void Requeue(Task* task);
  bool IsAlive(const std::string& holder) const;
  bool IsHome(int number) const;

  Context context_;
  TaskDelegate* port_;
  std::map<int, Bucket> buckets_;
  std::map<std::string, ActiveRun> runs_;
  TimePoint next_reload_{};
  bool shutting_down_ = false;
};

/// Request id of run `run` of a task, and back. Thread-safe.
std::string TaskRequestId(const std::string& task_id, int run);
/// Task of a request id; empty if it is not a task's. Thread-safe.
std::string TaskIdOfRequest(const std::string& request_id);

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_TASKHOME_H_
