// Progress of accepted jobs: which tasks wait, run and are done. Pure state
// with no input, output or clock of its own.
#ifndef BASILUSHER_JOBS_JOBTABLE_H_
#define BASILUSHER_JOBS_JOBTABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "basilusher/Jobs/Interfaces.h"
#include "basilusher/Jobs/Job.h"
#include "basilusher/Support/Clock.h"

namespace basilusher {

enum class TaskState : std::uint8_t {
  kWaiting,
  /// A start was sent and its effect is not known yet.
  kStarting,
  kRunning,
  /// A stop was sent; its place is taken until the end is listed.
  kStopping,
  kDone,
};

struct TaskRecord {
  TaskState state = TaskState::kWaiting;
  /// A start was sent and not answered: it may take effect until the worker's
  /// lists, read under a later fencing token, show otherwise.
  bool start_outcome_unknown = false;
  /// This owner has started or adopted a run: no earlier owner's run of the
  /// task can turn up any more.
  bool started_or_adopted = false;
  int failures = 0;
  /// The runs that were counted as failures; their ends may be listed again,
  /// and in any order.
  std::vector<std::int64_t> failed_runs;
  /// Current run, or the last one.
  std::int64_t run = 0;
  /// Worker of the current run; empty while waiting or done.
  std::string worker;
  /// Worker of the last failed run.
  std::string avoid_worker;
  /// Times that a run was given up for being slow or stuck.
  int restarts = 0;
  /// The run's speed has been taken as evidence on its worker.
  bool speed_sampled = false;
  std::string checkpoint;
  /// When the start was sent, and when it was known to have taken effect.
  TimePoint sent_at{};
  TimePoint started_at{};
  /// No start before this time, after a failure or a refused start.
  TimePoint not_before{};
  int percent = 0;
  /// When `percent` last changed.
  TimePoint progressed_at{};
  std::int64_t reported_load = 0;
  /// Pace that the worker has confirmed, percent; negative if an earlier owner
  /// may have changed it.
  int pace = 100;
};

struct StepRecord {
  std::vector<TaskRecord> tasks;
  int done = 0;
  /// Tasks that are starting, running or stopping.
  int active = 0;
  /// Index below which no task waits.
  int first_waiting = 0;
};

struct OccurrenceRecord {
  std::vector<StepRecord> steps;
  int steps_done = 0;
};

struct JobRecord {
  JobSpec spec;
  JobState state = JobState::kQueued;
  /// Occurrences under way, by number.
  std::map<int, OccurrenceRecord> occurrences;
  /// Occurrences done; those below `next_occurrence` that are not under way.
  int occurrences_done = 0;
  int next_occurrence = 0;
  /// When this process heard of the job, less its age.
  TimePoint accepted_at{};
  /// Some of its tasks may have been started by an earlier owner.
  bool inherited = false;
  /// Revision of the stored progress; zero if none is stored.
  std::int64_t progress_revision = 0;
  /// True once a submitter's cancellation is known.
  bool cancelled = false;
  /// True once the final state is durable and may be shown.
  bool final_stored = false;
  /// When the final state was stored.
  TimePoint final_at{};
};

/// What an end did to its job.
enum class EndEffect { kIgnored, kRequeued, kTaskDone, kJobDone, kJobFailed };

/// All jobs that one owner knows. Not thread-safe.
class JobTable {
 public:
  /// Adds a job; returns the existing one if the id is known.
  JobRecord* Add(JobSpec spec, TimePoint accepted_at);
  JobRecord* Find(const std::string& id);
  const JobRecord* Find(const std::string& id) const;
  void Erase(const std::string& id);
  std::unordered_map<std::string, std::unique_ptr<JobRecord>>& All() {
    return jobs_;
  }
  const std::unordered_map<std::string, std::unique_ptr<JobRecord>>& All()
      const {
    return jobs_;
  }

  /// The task's record; null if the job, occurrence or index is not known.
  TaskRecord* FindTask(const TaskId& id);

 private:
  std::unordered_map<std::string, std::unique_ptr<JobRecord>> jobs_;
};

/// Opens the occurrences that are due at `unix_ms`. Returns true if one was
/// opened.
bool OpenDueOccurrences(JobRecord* job, std::int64_t unix_ms);
/// True if all steps that `step` follows are done.
bool StepReady(const JobRecord& job, const OccurrenceRecord& occurrence,
               int step);
/// Marks a waiting task as starting on `worker` with a new run.
void MarkStarting(JobRecord* job, const TaskId& id, const std::string& worker,
                  std::int64_t run, TimePoint now);
/// Adopts a run that a worker lists and nobody here started.
void AdoptRun(JobRecord* job, const TaskId& id, const std::string& worker,
              const RunningTask& running, TimePoint now);
/// Returns an active task to the waiting ones.
void Requeue(JobRecord* job, const TaskId& id);
/// Applies the end of `run`. `max_attempts` failed runs fail the job.
EndEffect ApplyEnd(JobRecord* job, const EndedTask& end,
                   const std::string& worker, int max_attempts);
/// Calls `visit` for each active task.
void ForEachActive(
    JobRecord* job,
    const std::function<void(const TaskId&, TaskRecord*)>& visit);

/// Encodes and decodes what must outlive the owner. Decoding throws
/// Error(kStoreConflict) for bytes that no owner wrote.
std::string EncodeJobSpec(const JobSpec& spec);
JobSpec DecodeJobSpec(const std::string& bytes);
std::string EncodeProgress(const JobRecord& job);
void DecodeProgress(const std::string& bytes, JobRecord* job);

}  // namespace basilusher

#endif  // BASILUSHER_JOBS_JOBTABLE_H_
