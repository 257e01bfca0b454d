// Check of the counts of a job's steps against the states of their tasks.
#ifndef BASILUSHER_UNITTESTS_JOBS_JOBCOUNTS_H_
#define BASILUSHER_UNITTESTS_JOBS_JOBCOUNTS_H_

#include <string>

#include "basilusher/Jobs/JobTable.h"

namespace basilusher {

/// Describes the first step of the job whose counts do not match its tasks;
/// empty if all do.
inline std::string CheckCounts(const JobRecord& job) {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const StepRecord& step = occurrence.steps[s];
      int done = 0;
      int active = 0;
      int first_waiting = static_cast<int>(step.tasks.size());
      for (int i = first_waiting - 1; i >= 0; --i) {
        const TaskRecord& task = step.tasks[static_cast<std::size_t>(i)];
        if (task.state == TaskState::kWaiting) {
          first_waiting = i;
        } else if (task.state == TaskState::kDone) {
          ++done;
        } else {
          ++active;
        }
      }
      if (done == step.done && active == step.active &&
          first_waiting >= step.first_waiting) {
        continue;
      }
      return job.spec.id + "." + std::to_string(number) + "." +
             std::to_string(s) + ": done " + std::to_string(step.done) +
             " of " + std::to_string(done) + ", active " +
             std::to_string(step.active) + " of " + std::to_string(active) +
             ", first waiting " + std::to_string(step.first_waiting) + " of " +
             std::to_string(first_waiting);
    }
  }
  return {};
}

}  // namespace basilusher

#endif  // BASILUSHER_UNITTESTS_JOBS_JOBCOUNTS_H_
