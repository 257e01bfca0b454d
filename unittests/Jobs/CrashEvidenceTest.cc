// Verdicts on tasks whose workers crashed.
#include <gtest/gtest.h>

#include "basilusher/Jobs/CrashEvidence.h"
#include "basilusher/Jobs/JobTable.h"

namespace basilusher {
namespace {

TEST(CrashEvidenceTest, TwoCrashesAtTheStartSufficeIfOneHasNoOtherCause) {
  CrashEvidence evidence;
  RecordCrash(&evidence, 1, "w1", Millis(0), /*others_in_startup=*/true);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kSuspect);
  RecordCrash(&evidence, 2, "w2", Millis(10), /*others_in_startup=*/false);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kCrashesWorkers);
}

TEST(CrashEvidenceTest, CrashesThatOtherTasksMayHaveCausedNeedAThird) {
  CrashEvidence evidence;
  RecordCrash(&evidence, 1, "w1", Millis(0), /*others_in_startup=*/true);
  RecordCrash(&evidence, 2, "w2", Millis(0), /*others_in_startup=*/true);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kSuspect);
  RecordCrash(&evidence, 3, "w3", Millis(0), /*others_in_startup=*/true);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kCrashesWorkers);
}

TEST(CrashEvidenceTest, StartsThatWereNeverConfirmedNeedAThird) {
  CrashEvidence evidence;
  RecordCrash(&evidence, 1, "w1", Millis(0), /*others_in_startup=*/false);
  RecordCrash(&evidence, 2, "w2", Millis(0), /*others_in_startup=*/false,
              /*start_confirmed=*/false);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kSuspect);
  RecordCrash(&evidence, 3, "w3", Millis(0), /*others_in_startup=*/false,
              /*start_confirmed=*/false);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kCrashesWorkers);
}

// Of a task that crashes its workers, one crash may not be known: a fifth that
// is known would come too late.
TEST(CrashEvidenceTest, StartsOfWhichNoneIsConfirmedNeedAFourth) {
  CrashEvidence evidence;
  for (std::int64_t run = 1; run <= 3; ++run) {
    RecordCrash(&evidence, run, "w" + std::to_string(run), Millis(0),
                /*others_in_startup=*/false, /*start_confirmed=*/false);
    EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kSuspect) << run;
  }
  RecordCrash(&evidence, 4, "w4", Millis(0), /*others_in_startup=*/false,
              /*start_confirmed=*/false);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kCrashesWorkers);
}

TEST(CrashEvidenceTest, ARunCountsOnce) {
  CrashEvidence evidence;
  for (int i = 0; i < 5; ++i) {
    RecordCrash(&evidence, 1, "w" + std::to_string(i), Millis(0),
                /*others_in_startup=*/false);
  }
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kSuspect);
}

TEST(CrashEvidenceTest, OneWorkerThatRestartsTwiceCountsOnce) {
  CrashEvidence evidence;
  RecordCrash(&evidence, 1, "w1", Millis(0), /*others_in_startup=*/false);
  RecordCrash(&evidence, 2, "w1", Millis(0), /*others_in_startup=*/false);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kSuspect);
  RecordCrash(&evidence, 3, "w2", Millis(0), /*others_in_startup=*/false);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kCrashesWorkers);
}

TEST(CrashEvidenceTest, CrashesOfOneWorkerSufficeBeforeTheBudgetIsReached) {
  CrashEvidence evidence;
  for (std::int64_t run = 1; run <= 3; ++run) {
    RecordCrash(&evidence, run, "w1", Millis(0), /*others_in_startup=*/false);
    EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kSuspect) << run;
  }
  RecordCrash(&evidence, 4, "w1", Millis(0), /*others_in_startup=*/false);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kCrashesWorkers);
}

TEST(CrashEvidenceTest, CrashesAtAnyAgeSufficeBeforeTheBudgetIsReached) {
  CrashEvidence evidence;
  RecordCrash(&evidence, 1, "w1", Millis(2000), /*others_in_startup=*/false);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kUnsuspected);
  RecordCrash(&evidence, 2, "w2", Millis(2000), /*others_in_startup=*/false);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kSuspect);
  RecordCrash(&evidence, 3, "w3", Millis(2000), /*others_in_startup=*/false);
  RecordCrash(&evidence, 4, "w4", Millis(2000), /*others_in_startup=*/false);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kCrashesWorkers);
}

TEST(CrashEvidenceTest, RunsThatMayNotHaveStartedDoNotDecide) {
  CrashEvidence evidence;
  RecordCrash(&evidence, 1, "w1", Millis(0), /*others_in_startup=*/false);
  RecordPossibleCrash(&evidence, 2);
  RecordPossibleCrash(&evidence, 3);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kSuspect);
  RecordCrash(&evidence, 4, "w4", Millis(0), /*others_in_startup=*/false);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kCrashesWorkers);
}

TEST(CrashEvidenceTest, CrashesThatOtherTasksExplainBetterNeedAFifth) {
  CrashEvidence evidence;
  for (int run = 1; run <= 4; ++run) {
    RecordCrash(&evidence, run, "w" + std::to_string(run), Millis(2000),
                /*others_in_startup=*/true);
  }
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kSuspect);
  RecordCrash(&evidence, 5, "w5", Millis(2000), /*others_in_startup=*/true);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kCrashesWorkers);
}

TEST(CrashEvidenceTest, ALastingTaskThatMustStayAvailableNeedsFourCrashes) {
  CrashEvidence evidence;
  for (std::int64_t run = 1; run <= 4; ++run) {
    EXPECT_NE(JudgeCrashesOfLasting(evidence, /*must_stay_available=*/true),
              CrashVerdict::kCrashesWorkers)
        << run;
    RecordCrash(&evidence, run, "w" + std::to_string(run), Millis(0),
                /*others_in_startup=*/false);
  }
  EXPECT_EQ(JudgeCrashesOfLasting(evidence, /*must_stay_available=*/true),
            CrashVerdict::kCrashesWorkers);
}

TEST(CrashEvidenceTest, CrashesThatOthersExplainDoNotGiveALastingTaskUp) {
  CrashEvidence evidence;
  for (std::int64_t run = 1; run <= 9; ++run) {
    RecordCrash(&evidence, run, "w" + std::to_string(run), Millis(2000),
                /*others_in_startup=*/true);
  }
  EXPECT_EQ(JudgeCrashesOfLasting(evidence, /*must_stay_available=*/false),
            CrashVerdict::kSuspect);
}

TEST(CrashEvidenceTest, WorkersThatWereOnlyCutOffDoNotGiveALastingTaskUp) {
  CrashEvidence evidence;
  for (std::int64_t run = 1; run <= 9; ++run) {
    RecordCrash(&evidence, run, "w" + std::to_string(run), Millis(0),
                /*others_in_startup=*/false, /*start_confirmed=*/true,
                /*crash_seen=*/false);
    EXPECT_EQ(JudgeCrashesOfLasting(evidence, /*must_stay_available=*/false),
              CrashVerdict::kSuspect);
    const std::optional<Millis> pause =
        RestartPauseOfLasting(evidence, /*must_stay_available=*/false);
    ASSERT_TRUE(pause.has_value());
    // Of the 9 s in which it must run again, its confirmation takes up to 5 s.
    EXPECT_LE(*pause, Millis(4000));
  }
}

TEST(CrashEvidenceTest, TwoCrashesAtTheStartDoNotGiveALastingTaskUp) {
  CrashEvidence evidence;
  RecordCrash(&evidence, 1, "w1", Millis(0), /*others_in_startup=*/false);
  RecordCrash(&evidence, 2, "w2", Millis(0), /*others_in_startup=*/false);
  EXPECT_EQ(RestartPauseOfLasting(evidence, /*must_stay_available=*/false),
            Millis(1000));
}

TEST(CrashEvidenceTest, ALastingTaskStartsTwiceAfterThreeCrashes) {
  CrashEvidence evidence;
  const auto pause = [&evidence](int run) {
    RecordCrash(&evidence, run, "w" + std::to_string(run), Millis(0),
                /*others_in_startup=*/false);
    return RestartPauseOfLasting(evidence, /*must_stay_available=*/false);
  };
  pause(1);
  pause(2);
  const std::optional<Millis> before_first = pause(3);
  const std::optional<Millis> before_last = pause(4);
  ASSERT_TRUE(before_first && before_last);
  EXPECT_GT(*before_first, Millis(60000));
  EXPECT_GT(*before_last, *before_first);
  EXPECT_FALSE(pause(5).has_value());
}

TEST(CrashEvidenceTest, ARunThatWorkedForLongIsNoSuspect) {
  CrashEvidence evidence;
  RecordCrash(&evidence, 1, "w1", Millis(0), /*others_in_startup=*/false);
  RecordCrash(&evidence, 2, "w2", kProvenHarmless, /*others_in_startup=*/false);
  EXPECT_EQ(JudgeCrashes(evidence), CrashVerdict::kUnsuspected);
}

TEST(CrashEvidenceTest, OnlyALastingTaskIsProvenHarmlessByItsAge) {
  EXPECT_EQ(CrashAge({.lasting = true}, kProvenHarmless), kProvenHarmless);
  EXPECT_LT(CrashAge({}, 10 * kProvenHarmless), kProvenHarmless);
  EXPECT_GE(CrashAge({}, 10 * kProvenHarmless), kStartupPhase);
  EXPECT_EQ(CrashAge({}, Millis(10)), Millis(10));
}

TEST(CrashEvidenceTest, ALaterOwnerReadsTheEvidence) {
  JobTable table;
  JobSpec spec;
  spec.id = "00000000000000a1";
  spec.steps.push_back({.count = 2});
  JobRecord* job = table.Add(spec, TimePoint{});
  OpenDueOccurrences(job, 0);
  RecordCrash(&job->occurrences.at(0).steps[0].tasks[1].crashes, 7, "w7",
              Millis(0),
              /*others_in_startup=*/false);
  RecordCrash(&job->occurrences.at(0).steps[0].tasks[1].crashes, 8, "w8",
              Millis(0),
              /*others_in_startup=*/false, /*start_confirmed=*/false);
  RecordCrash(&job->occurrences.at(0).steps[0].tasks[1].crashes, 9, "w9",
              Millis(1000), /*others_in_startup=*/true);
  job->occurrences.at(0).steps[0].tasks[0].crashes.unconfirmed[8] = {
      .worker = "w1", .born_unix_ms = 9, .in_startup = true};
  const std::string stored = EncodeProgress(*job);
  JobTable later;
  JobRecord* read = later.Add(spec, TimePoint{});
  DecodeProgress(stored, read);
  const CrashEvidence& evidence =
      read->occurrences.at(0).steps[0].tasks[1].crashes;
  EXPECT_EQ(evidence.runs, (std::vector<std::int64_t>{7, 8, 9}));
  EXPECT_EQ(evidence.in_startup, 2);
  EXPECT_EQ(evidence.alone_in_startup, 1);
  EXPECT_EQ(evidence.unconfirmed_starts, 1);
  EXPECT_EQ(evidence.explained_by_others, 1);
  EXPECT_EQ(evidence.startup_workers, (std::vector<std::string>{"w7", "w8"}));
  const CrashEvidence& unconfirmed =
      read->occurrences.at(0).steps[0].tasks[0].crashes;
  EXPECT_TRUE(unconfirmed.runs.empty());
  ASSERT_EQ(unconfirmed.unconfirmed.size(), 1U);
  EXPECT_EQ(unconfirmed.unconfirmed.at(8).worker, "w1");
  EXPECT_EQ(unconfirmed.unconfirmed.at(8).born_unix_ms, 9);
  EXPECT_TRUE(unconfirmed.unconfirmed.at(8).in_startup);
}

}  // namespace
}  // namespace basilusher
