// Job descriptions: a job is a graph of steps, each with one or more tasks.
#ifndef BASILUSHER_JOBS_JOB_H_
#define BASILUSHER_JOBS_JOB_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilusher/Support/EnumTable.h"

namespace basilusher {

/// Capacity of a worker, or the part of it that tasks use.
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

/// Maximum, or minimum, in each dimension. Thread-safe.
Resources ElementwiseMax(const Resources& a, const Resources& b);
Resources ElementwiseMin(const Resources& a, const Resources& b);

/// True if `need` fits into `room` in every dimension. Thread-safe.
bool Fits(const Resources& need, const Resources& room);

/// One step: `count` tasks that may run in parallel.
struct StepSpec {
  int count = 1;
  /// Resources of one task.
  Resources need;
  /// The submitter's estimate of one task's duration; zero if unknown.
  std::int64_t estimate_ms = 0;
  /// Indexes of earlier steps that must be done first.
  std::vector<int> after;
  /// Tasks save checkpoints and can resume from one.
  bool checkpointable = false;
  /// Gang scheduling: all tasks run at the same time and end together.
  bool gang = false;
  /// Tasks are slower when they run in different racks.
  bool same_rack = false;
  /// A task may have several runs at the same time (speculative execution).
  bool speculative = false;
  /// Long-running tasks (services): they run until the job is cancelled and
  /// are restarted when they end.
  bool lasting = false;
  /// Background tasks that use only processor time which other tasks leave
  /// idle.
  bool filler = false;
  /// Label that a worker must have; empty if none is required.
  std::string required_label;
  /// Rack that holds the task's data; empty if there is no preference.
  std::string preferred_rack;
  /// Maximum number of tasks of one occurrence on one worker; zero for no
  /// limit.
  int max_per_worker = 0;
  /// Number of lasting tasks that planned operations of the system may make
  /// unavailable at the same time; absent if the step sets no such limit.
  std::optional<int> max_unavailable;
  /// Program that the tasks run; tasks of one image have similar load.
  std::string image;
  /// Target for the tail latency of the tasks' responses; zero for none.
  std::int64_t target_ms = 0;
};

struct JobSpec {
  /// The submitter's identifier, 16 hexadecimal digits.
  std::string id;
  std::string queue;
  std::string workspace;
  /// Opaque text that each task receives.
  std::string payload;
  std::vector<StepSpec> steps;
  /// Number of occurrences of a scheduled job; zero for a job that runs once
  /// and immediately.
  int times = 0;
  std::int64_t start_at_unix_ms = 0;
  std::int64_t interval_ms = 0;
  /// When an entry process accepted the job; gives the job's age after a
  /// restart.
  std::int64_t accepted_unix_ms = 0;
  /// Term of the owner to which the entry process offered the job; zero if it
  /// knew no owner. An owner of a later term must assume that an earlier owner
  /// may have started the job.
  std::int64_t offered_term = 0;
};

/// State of a job as clients see it.
enum class JobState { kQueued, kRunning, kSucceeded, kFailed, kCancelled };

inline constexpr EnumTable<JobState, 5> kJobStateNames = {{
    {JobState::kQueued, "queued"},
    {JobState::kRunning, "running"},
    {JobState::kSucceeded, "succeeded"},
    {JobState::kFailed, "failed"},
    {JobState::kCancelled, "cancelled"},
}};

/// True if `state` is terminal. Thread-safe.
bool IsFinal(JobState state);

/// Identity of one task.
struct TaskId {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  /// Compares the job last: most tasks that differ do so in a number.
  friend bool operator==(const TaskId& a, const TaskId& b) {
    return a.index == b.index && a.step == b.step &&
           a.occurrence == b.occurrence && a.job == b.job;
  }
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/// "JOB.OCCURRENCE.STEP.INDEX". Thread-safe.
std::string FormatTaskId(const TaskId& id);
/// Parses FormatTaskId's form; nothing if `text` has another. Thread-safe.
std::optional<TaskId> ParseTaskId(std::string_view text);

/// How many occurrences of the job may be in progress at the same time: their
/// records have to fit into memory. Thread-safe.
std::size_t MaxOpenOccurrences(const JobSpec& job);

/// Returns why the job description is invalid, or an empty string if it is
/// valid. Thread-safe.
std::string ValidateJob(const JobSpec& job);

}  // namespace basilusher

#endif  // BASILUSHER_JOBS_JOB_H_
