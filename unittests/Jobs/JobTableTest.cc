// State transitions and stored forms of jobs.
#include <gtest/gtest.h>

#include "basilusher/Jobs/JobTable.h"
#include "basilusher/Support/Error.h"

namespace basilusher {
namespace {

JobSpec MakeSpec(int tasks) {
  JobSpec spec;
  spec.id = "00000000000000a1";
  spec.queue = "queue";
  spec.steps.push_back({.count = tasks, .estimate_ms = 100});
  return spec;
}

EndedTask Failed(std::int64_t run) {
  return {.number = run,
          .task = {.job = "00000000000000a1"},
          .run = run,
          .kind = EndKind::kFailed};
}

TEST(JobTableTest, FailedRunsCountOnceEachInAnyOrder) {
  JobTable table;
  JobRecord* job = table.Add(MakeSpec(1), TimePoint{});
  OpenDueOccurrences(job, 0);
  EXPECT_EQ(ApplyEnd(job, Failed(1), "w1", 3), EndEffect::kRequeued);
  EXPECT_EQ(ApplyEnd(job, Failed(3), "w3", 3), EndEffect::kRequeued);
  EXPECT_EQ(ApplyEnd(job, Failed(3), "w3", 3), EndEffect::kIgnored);
  EXPECT_EQ(ApplyEnd(job, Failed(2), "w2", 3), EndEffect::kJobFailed);
}

// A job with two billion occurrences that are due at once took all memory.
TEST(JobTableTest, OccurrencesBeyondTheLimitOpenOnceOthersAreDone) {
  JobTable table;
  JobSpec spec = MakeSpec(1);
  spec.times = 2000000000;
  const std::size_t most = MaxOpenOccurrences(spec);
  JobRecord* job = table.Add(spec, TimePoint{});
  OpenDueOccurrences(job, 1);
  ASSERT_EQ(job->occurrences.size(), most);
  EXPECT_FALSE(OpenDueOccurrences(job, 1));
  EndedTask done = Failed(1);
  done.kind = EndKind::kDone;
  ApplyEnd(job, done, "w1", 3);
  EXPECT_TRUE(OpenDueOccurrences(job, 1));
  EXPECT_EQ(job->occurrences.size(), most);
  EXPECT_EQ(job->next_occurrence, static_cast<int>(most) + 1);
}

TEST(JobTableTest, ProgressRoundTripsThroughStoredForm) {
  JobTable table;
  JobRecord* job = table.Add(MakeSpec(10), TimePoint{});
  OpenDueOccurrences(job, 0);
  EndedTask done = Failed(5);
  done.kind = EndKind::kDone;
  done.task.index = 9;
  ApplyEnd(job, done, "w1", 3);
  ApplyEnd(job, Failed(7), "w1", 3);
  JobRecord copy;
  copy.spec = job->spec;
  DecodeProgress(EncodeProgress(*job), &copy);
  const StepRecord& step = copy.occurrences.at(0).steps[0];
  EXPECT_EQ(step.done, 1);
  EXPECT_EQ(step.tasks[9].state, TaskState::kDone);
  EXPECT_EQ(step.tasks[0].failures, 1);
  EXPECT_EQ(ApplyEnd(&copy, Failed(7), "w1", 3), EndEffect::kIgnored);
}

TEST(JobTableTest, WorkersOfLastingTasksRoundTripThroughStoredForm) {
  JobTable table;
  JobSpec spec = MakeSpec(3);
  spec.steps[0].lasting = true;
  JobRecord* job = table.Add(spec, TimePoint{});
  OpenDueOccurrences(job, 0);
  job->occurrences.at(0).steps[0].tasks[1].run_workers = {"w1", "w2"};
  JobRecord copy;
  copy.spec = job->spec;
  // Starts may be missing, so nothing is stored.
  const std::string incomplete = EncodeProgress(*job);
  copy.placements_term = 4;
  DecodeProgress(incomplete, &copy);
  EXPECT_EQ(copy.placements_term, 0);
  job->placements_term = 7;
  DecodeProgress(EncodeProgress(*job), &copy);
  EXPECT_EQ(copy.placements_term, 7);
  const std::vector<TaskRecord>& tasks = copy.occurrences.at(0).steps[0].tasks;
  EXPECT_TRUE(tasks[0].run_workers.empty());
  EXPECT_EQ(tasks[1].run_workers, (std::set<std::string>{"w1", "w2"}));
}

TEST(JobTableTest, OtherJobsAreStoredAsByEarlierVersions) {
  JobTable table;
  JobRecord* job = table.Add(MakeSpec(3), TimePoint{});
  OpenDueOccurrences(job, 0);
  const std::string bytes = EncodeProgress(*job);
  job->placements_term = 7;
  EXPECT_EQ(EncodeProgress(*job), bytes);
}

TEST(JobTableTest, SpecRoundTripsThroughStoredForm) {
  JobSpec spec = MakeSpec(4);
  spec.workspace = "team";
  spec.payload = "text";
  spec.steps[0].lasting = true;
  spec.steps[0].max_unavailable = 0;
  spec.steps[0].required_label = "a";
  spec.times = 3;
  spec.start_at_unix_ms = 1000;
  spec.interval_ms = 500;
  const JobSpec copy = DecodeJobSpec(EncodeJobSpec(spec));
  EXPECT_EQ(copy.queue, spec.queue);
  EXPECT_EQ(copy.payload, spec.payload);
  EXPECT_TRUE(copy.steps[0].lasting);
  EXPECT_EQ(copy.steps[0].max_unavailable, 0);
  EXPECT_EQ(copy.steps[0].required_label, "a");
  EXPECT_EQ(copy.times, 3);
  EXPECT_EQ(copy.interval_ms, 500);
}

TEST(JobTableTest, MalformedBytesAreRefusedWithAnError) {
  for (const char* bytes : {"", "x", "\xa1\x61q\x01", "{}"}) {
    EXPECT_THROW(DecodeJobSpec(bytes), Error) << bytes;
  }
}

TEST(JobTableTest, OccurrencesOpenAtTheirTimes) {
  JobTable table;
  JobSpec spec = MakeSpec(1);
  spec.times = 3;
  spec.start_at_unix_ms = 1000;
  spec.interval_ms = 500;
  JobRecord* job = table.Add(spec, TimePoint{});
  EXPECT_FALSE(OpenDueOccurrences(job, 999));
  EXPECT_TRUE(OpenDueOccurrences(job, 1500));
  EXPECT_EQ(job->occurrences.size(), 2U);
}

TEST(TaskIdTest, MalformedIdsAreRefused) {
  EXPECT_TRUE(ParseTaskId("a.0.1.2").has_value());
  for (const char* text : {"", "a", "a.0.1", "a.0.1.2.3", "a.x.1.2", ".0.1.2",
                           "a.0.1.2 ", "a.-1.0.0"}) {
    EXPECT_FALSE(ParseTaskId(text).has_value()) << text;
  }
}

}  // namespace
}  // namespace basilusher
