// Abstract interfaces through which the owner reaches workers, instances and
// the placement advisor. Times on a worker's clock have "worker" in their names
// and are never compared with local times.
#ifndef BASILUSHER_JOBS_INTERFACES_H_
#define BASILUSHER_JOBS_INTERFACES_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "basilusher/Jobs/Job.h"
#include "basilusher/Support/Clock.h"
#include "basilusher/Support/EnumTable.h"

namespace basilusher {

/// A worker's entry in the platform's worker directory.
struct WorkerEntry {
  std::string id;
  std::string pool;
  std::string address;
  std::string data_centre;
  /// Total capacity.
  Resources room;
  std::vector<std::string> labels;
  /// Failure domain; empty if not known.
  std::string rack;
  /// True once a planned shutdown was announced.
  bool draining = false;
  /// Time until a draining worker shuts down, as the entry states it; zero if
  /// not known. Not adjusted for the age of the entry.
  std::int64_t remaining_ms = 0;
  /// Start of this incarnation of the worker, Unix milliseconds, as the
  /// directory states it; zero if not known. It identifies the incarnation and
  /// is compared only with other starts of the same worker, never with local
  /// times.
  std::int64_t born_unix_ms = 0;
};

/// Worker to which a command is addressed. It does not identify an incarnation:
/// those differ in `born_unix_ms`.
struct WorkerAddress {
  std::string id;
  std::string address;
};

struct StartCommand {
  TaskId task;
  std::int64_t run = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  std::int64_t fence = 0;
  /// End of the run's lease on the worker's clock.
  std::int64_t lease_worker_ms = 0;
};

/// How a worker answered a command.
enum class CommandResult {
  kDone,
  /// The worker has seen a higher fencing token.
  kFenced,
  /// A run of the task with this or a higher number was stopped or has ended
  /// at the worker.
  kSuperseded,
  /// The offered lease has already expired on the worker's clock.
  kLate,
  kNoRoom,
  kNoTicket,
  /// The worker is unhealthy and did nothing.
  kUnhealthy,
  /// A worker with another id, or another service, answered at the address.
  kOtherWorker,
  /// The worker rejected the command as malformed.
  kMalformed,
  /// Nothing was sent.
  kNotSent,
  /// No answer: the command may have been executed or may be executed later.
  kUnknown,
};

inline constexpr EnumTable<CommandResult, 11> kCommandResultNames = {{
    {CommandResult::kDone, "done"},
    {CommandResult::kFenced, "fenced"},
    {CommandResult::kSuperseded, "superseded"},
    {CommandResult::kLate, "late"},
    {CommandResult::kNoRoom, "no-room"},
    {CommandResult::kNoTicket, "no-ticket"},
    {CommandResult::kUnhealthy, "unhealthy"},
    {CommandResult::kOtherWorker, "other-worker"},
    {CommandResult::kMalformed, "malformed"},
    {CommandResult::kNotSent, "not-sent"},
    {CommandResult::kUnknown, "unknown"},
}};

struct StartAnswer {
  CommandResult result = CommandResult::kUnknown;
  /// The worker's clock, as the answer states it; absent if it does not.
  std::optional<std::int64_t> worker_clock_ms;
};

/// How a run ended.
enum class EndKind { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };

inline constexpr EnumTable<EndKind, 6> kEndKindNames = {{
    {EndKind::kDone, "done"},
    {EndKind::kFailed, "failed"},
    {EndKind::kStopped, "stopped"},
    {EndKind::kLapsed, "lapsed"},
    {EndKind::kBroken, "broken"},
    {EndKind::kAlone, "alone"},
}};

struct RunningTask {
  TaskId task;
  std::int64_t run = 0;
  std::string checkpoint;
  /// Progress of the task, or, of a lasting task, the share of its full speed
  /// at which it works, 100 at full speed; percent.
  int percent = 0;
  /// For a task that serves users, its tail latency in milliseconds; for other
  /// tasks, the processor use in thousandths of a core.
  std::int64_t reported_load = 0;
};

struct EndedTask {
  /// Sequence number of the end in this incarnation of the worker, from 1.
  std::int64_t number = 0;
  TaskId task;
  std::int64_t run = 0;
  EndKind kind = EndKind::kStopped;
  std::string checkpoint;
};

struct HoldCommand {
  std::int64_t fence = 0;
  /// Acknowledges ends up to this number: they are durable and the worker may
  /// drop them.
  std::int64_t seen_up_to = 0;
  /// New end of the lease of all runs on the worker; zero renews nothing.
  std::int64_t lease_worker_ms = 0;
  /// Long poll: how long the worker may wait for an end before it answers.
  Millis wait{0};
};

struct HoldAnswer {
  CommandResult result = CommandResult::kUnknown;
  std::int64_t worker_clock_ms = 0;
  /// As in `WorkerEntry`, but as the worker states it.
  std::int64_t born_unix_ms = 0;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  /// The list of ends is truncated: the worker may report further ends once
  /// these are acknowledged.
  bool more_ends = false;
};

/// Sends commands to workers. Each callback runs once. Not thread-safe: use on
/// the I/O thread.
class WorkerGateway {
 public:
  virtual ~WorkerGateway() = default;
  virtual void Start(const WorkerAddress& worker, const StartCommand& command,
                     std::function<void(const StartAnswer&)> done) = 0;
  virtual void Stop(const WorkerAddress& worker, const TaskId& task,
                    std::int64_t run, std::int64_t fence,
                    std::function<void(CommandResult)> done) = 0;
  /// Long poll, named after the call of the worker's protocol; it suspends
  /// nothing. Reads the running and ended tasks, renews leases and acknowledges
  /// ends.
  virtual void Hold(const WorkerAddress& worker, const HoldCommand& command,
                    std::function<void(const HoldAnswer&)> done) = 0;
  /// Sets a filler's pace, percent.
  virtual void Pace(const WorkerAddress& worker, const TaskId& task,
                    std::int64_t run, int percent, std::int64_t fence,
                    std::function<void(CommandResult)> done) = 0;
};

enum class InstanceState { kUp, kMoving, kMaintenance, kDown };

inline constexpr EnumTable<InstanceState, 4> kInstanceStateNames = {{
    {InstanceState::kUp, "up"},
    {InstanceState::kMoving, "moving"},
    {InstanceState::kMaintenance, "maintenance"},
    {InstanceState::kDown, "down"},
}};

struct Instance {
  std::string id;
  std::string pool;
  InstanceState state = InstanceState::kDown;
  std::string data_centre;
  std::vector<std::string> labels;
  /// Failure domain; empty if not known.
  std::string rack;
  Resources room;
  /// Worker that runs on the instance; empty if none.
  std::string worker;
};

struct InstanceList {
  bool complete = false;
  std::vector<Instance> instances;
};

enum class InstanceResult {
  kDone,
  kFenced,
  /// The instance is not up, or is draining.
  kBusy,
  kNotInWave,
  kMalformed,
  kRefused,
  kUnknown,
};

inline constexpr EnumTable<InstanceResult, 7> kInstanceResultNames = {{
    {InstanceResult::kDone, "done"},
    {InstanceResult::kFenced, "fenced"},
    {InstanceResult::kBusy, "busy"},
    {InstanceResult::kNotInWave, "not-in-wave"},
    {InstanceResult::kMalformed, "malformed"},
    {InstanceResult::kRefused, "refused"},
    {InstanceResult::kUnknown, "unknown"},
}};

/// Lists and changes the platform's instances. Not thread-safe: use on the I/O
/// thread.
class InstanceProvider {
 public:
  virtual ~InstanceProvider() = default;
  virtual void List(std::function<void(const InstanceList&)> done) = 0;
  /// Moves an instance to another pool; all tasks on it end immediately.
  virtual void Move(const std::string& instance, const std::string& pool,
                    std::int64_t fence,
                    std::function<void(InstanceResult)> done) = 0;
  /// Takes an instance down for maintenance as part of `wave`.
  virtual void Maintain(const std::string& instance, std::int64_t wave,
                        std::int64_t fence,
                        std::function<void(InstanceResult)> done) = 0;
};

struct AdviceAnswer {
  bool answered = false;
  std::int64_t valid_ms = 0;
  /// Worker ids that may run the step, each with its ticket.
  std::vector<std::pair<std::string, std::string>> allowed;
};

/// When the answer to a question is needed.
enum class AdviceNeed : std::uint8_t {
  kNow,
  /// The step waits for others.
  kLater,
};

/// Decides which workers may run a step. Not thread-safe: use on the I/O
/// thread.
class PlacementAdvisor {
 public:
  virtual ~PlacementAdvisor() = default;
  /// True if a question would be answered in time. Otherwise it had better be
  /// put later, when others have been answered.
  virtual bool MayAsk(AdviceNeed) const { return true; }
  /// `answer_time` is what the advisor takes for the answer by the queue's
  /// policy, without the questions before this one. `done` runs once; without
  /// an answer if none comes in a time that the implementation chooses.
  virtual void Advise(const std::string& job, int occurrence, int step,
                      const std::vector<std::string>& workers,
                      Millis answer_time,
                      std::function<void(const AdviceAnswer&)> done) = 0;
};

/// Calls the placement advisor from this machine. Not thread-safe: use on the
/// I/O thread.
class AdvisorCaller {
 public:
  virtual ~AdvisorCaller() = default;
  /// `done` runs once, without an answer if none comes within `timeout`.
  virtual void Advise(const std::string& job, int occurrence, int step,
                      const std::vector<std::string>& workers, Millis timeout,
                      std::function<void(const AdviceAnswer&)> done) = 0;
};

}  // namespace basilusher

#endif  // BASILUSHER_JOBS_INTERFACES_H_
