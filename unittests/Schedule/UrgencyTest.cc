// Order of waiting jobs.
#include <gtest/gtest.h>

#include "basilusher/Schedule/Urgency.h"

namespace basilusher {
namespace {

/// Returns the rank of a job of one step of 1 s that was accepted `age` ago.
/// Its objective is 2 s.
Urgency RankAt(Millis age, bool lasting) {
  JobRecord job;
  job.spec.steps.resize(1);
  job.spec.steps[0].estimate_ms = 1000;
  job.spec.steps[0].lasting = lasting;
  OpenDueOccurrences(&job, 0);
  const QueueConfig queue{.stretch = 1.0, .objective_ms = 1000};
  const TimePoint now{Millis(100000)};
  job.accepted_at = now - age;
  return RankJob(job, job.occurrences.at(0), queue, 1.0, now);
}

TEST(Urgency, JobsThatCanBeInTimeComeBeforeLateOnes) {
  EXPECT_LT(RankAt(Millis(900), false), RankAt(Millis(100), false));
  EXPECT_LT(RankAt(Millis(900), false), RankAt(Millis(1100), false));
  EXPECT_LT(RankAt(Millis(1100), false), RankAt(Millis(6000), false));
}

/// A lasting job that has run for long counted as too late to be of value, so
/// its lost or evicted tasks started behind the whole backlog of a burst.
TEST(Urgency, LastingTasksAreRestartedBeforeTheBacklogOfABurst) {
  EXPECT_LT(RankAt(Millis(60000), true), RankAt(Millis(900), false));
}

}  // namespace
}  // namespace basilusher
