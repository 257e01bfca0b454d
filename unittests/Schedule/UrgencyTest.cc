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

class ScaledDurations : public StepDurationSource {
 public:
  double StepMs(const JobRecord& job, const OccurrenceRecord&, std::size_t step,
                TimePoint) const override {
    return StepDurationMs(job.spec.steps[step], 1.3);
  }
};

/// Guards against two computations of a rank that drift apart.
TEST(Urgency, RanksByASourceAreThoseByTheSameDurations) {
  JobRecord job;
  job.spec.steps.resize(3);
  job.spec.steps[0].estimate_ms = 700;
  job.spec.steps[1] = {.estimate_ms = 900, .after = {0}};
  job.spec.steps[2] = {.estimate_ms = 1500, .after = {0}};
  OpenDueOccurrences(&job, 0);
  OccurrenceRecord& occurrence = job.occurrences.at(0);
  const QueueConfig queue{.stretch = 1.6, .objective_ms = 600};
  job.accepted_at = TimePoint{Millis(100000)};
  for (const int done : {0, 1}) {
    occurrence.steps[0].done = done;
    for (const int age : {0, 2000, 4000, 20000}) {
      const TimePoint now = job.accepted_at + Millis(age);
      const Urgency by_ratio = RankJob(job, occurrence, queue, 1.3, now);
      const Urgency by_source =
          RankJob(job, occurrence, queue, ScaledDurations(), now);
      EXPECT_EQ(by_source.lateness, by_ratio.lateness);
      EXPECT_EQ(by_source.slack_ms, by_ratio.slack_ms);
    }
  }
}

}  // namespace
}  // namespace basilusher
