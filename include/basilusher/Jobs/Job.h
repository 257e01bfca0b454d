// Jobs as their submitters describe them: a graph of steps, each of many tasks.
#ifndef BASILUSHER_JOBS_JOB_H_
#define BASILUSHER_JOBS_JOB_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilusher/Support/EnumTable.h"

namespace basilusher {

/// Capacity of a worker, or what tasks take of it.
struct Resources {
  /// Thousandths of a core.
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend bool operator==(const Resources&, const Resources&) = default;
};

Resources operator+(Resources a, const Resources& b);
Resources operator-(Resources a, const Resources& b);
Resources operator*(const Resources& a, std::int64_t n);

/// The larger, or smaller, of each dimension. Thread-safe.
Resources ElementwiseMax(const Resources& a, const Resources& b);
Resources ElementwiseMin(const Resources& a, const Resources& b);

/// True if `need` fits into `room` in every dimension. Thread-safe.
bool Fits(const Resources& need, const Resources& room);

/// One step: `count` tasks that run side by side.
struct StepSpec {
  int count = 1;
  /// What one task takes.
  Resources need;
  /// The submitter's rough estimate of one task's duration; zero if unknown.
  std::int64_t estimate_ms = 0;
  /// Indexes of earlier steps that must be done first.
  std::vector<int> after;
  /// Tasks save checkpoints and can resume from one.
  bool checkpointable = false;
  /// Tasks run only all together, and end together.
  bool gang = false;
  /// Tasks slow down when they span racks.
  bool same_rack = false;
  /// Several copies of a task may run at the same time.
  bool speculative = false;
  /// Tasks run until the job is cancelled and are restarted when they end.
  bool lasting = false;
  /// Tasks take only processor time that others leave unused.
  bool filler = false;
  /// Label that a worker must have; empty for any.
  std::string required_label;
  /// Rack that holds the data; empty for none.
  std::string preferred_rack;
  /// Tasks of one occurrence on one worker; zero for no limit.
  int max_per_worker = 0;
  /// Lasting tasks that may be away at once through the system's own doing;
  /// absent if the step sets no such limit.
  std::optional<int> max_unavailable;
  /// Program that the tasks run; those of one image behave alike.
  std::string image;
  /// Bound of the tail of the tasks' response times; zero for none.
  std::int64_t target_ms = 0;
};

struct JobSpec {
  /// The submitter's identifier, 16 hexadecimal digits.
  std::string id;
  std::string queue;
  std::string workspace;
  /// Opaque text that is passed to each task.
  std::string payload;
  std::vector<StepSpec> steps;
  /// Occurrences of a scheduled job; zero for a job that runs once at once.
  int times = 0;
  std::int64_t start_at_unix_ms = 0;
  std::int64_t interval_ms = 0;
  /// When the entry process took the job, for its age after a restart.
  std::int64_t accepted_unix_ms = 0;
  /// Term of the owner that the entry process knew of and told about the job;
  /// zero if it knew of none. No owner of a later term can take it for granted
  /// that nobody has started the job.
  std::int64_t offered_term = 0;
};

/// What a submitter is shown.
enum class JobState { kQueued, kRunning, kSucceeded, kFailed, kCancelled };

inline constexpr EnumTable<JobState, 5> kJobStateNames = {{
    {JobState::kQueued, "queued"},
    {JobState::kRunning, "running"},
    {JobState::kSucceeded, "succeeded"},
    {JobState::kFailed, "failed"},
    {JobState::kCancelled, "cancelled"},
}};

/// True if `state` never changes again. Thread-safe.
bool IsFinal(JobState state);

/// Identity of one task.
struct TaskId {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  friend bool operator==(const TaskId&, const TaskId&) = default;
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/// "JOB.OCCURRENCE.STEP.INDEX". Thread-safe.
std::string FormatTaskId(const TaskId& id);
/// Parses FormatTaskId's form; nothing if `text` has another. Thread-safe.
std::optional<TaskId> ParseTaskId(std::string_view text);

/// Why a job's description is refused; empty if it can be run. Thread-safe.
std::string ValidateJob(const JobSpec& job);

}  // namespace basilusher

#endif  // BASILUSHER_JOBS_JOB_H_
