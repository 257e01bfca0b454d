// Verdicts on tasks whose workers crashed.
#include "basilusher/Jobs/CrashEvidence.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace basilusher {
namespace {

/// Crashes in the startup phase that suffice if nothing else explains one of
/// them, and if other runs might.
constexpr int kSufficientAlone = 2;
constexpr int kSufficientShared = 3;
/// Crashes that suffice at any age of the run, and those that do even if other
/// runs explain them better: a task may be started twice after three crashes.
constexpr std::size_t kSufficientAtAnyAge = 4;
constexpr std::size_t kSufficientIfExplained = 5;
constexpr std::size_t kSuspectAtAnyAge = 2;
/// Crashes that were seen after which a lasting task is never started again: a
/// task may be started twice after three crashes.
constexpr int kMostOfLasting = 5;
/// Pauses of a lasting suspect after its second crash and each later one. The
/// longest still lets it run again a few seconds after its last run.
constexpr std::array<Millis, 3> kSuspectPauses = {Millis(1000), Millis(2000),
                                                  Millis(4000)};
/// Pauses of a lasting task that crashes its workers: before an earlier start,
/// and before its last one.
constexpr Millis kCrashLoopPause{120000};
constexpr Millis kLastCrashLoopPause{480000};

/// Returns false if the crash under `run` is known already.
bool AddRun(CrashEvidence* evidence, std::int64_t run, bool crash_seen) {
  evidence->unconfirmed.erase(run);
  std::vector<std::int64_t>& runs = evidence->runs;
  if (std::find(runs.begin(), runs.end(), run) != runs.end()) return false;
  runs.push_back(run);
  if (crash_seen) ++evidence->seen;
  return true;
}

bool IsSuspected(const CrashEvidence& evidence) {
  return evidence.in_startup > 0 || evidence.runs.size() >= kSuspectAtAnyAge;
}

}  // namespace

Millis CrashAge(const StepSpec& step, Millis worked_for) {
  return step.lasting ? worked_for
                      : std::min(worked_for, kProvenHarmless - Millis(1));
}

void RecordCrash(CrashEvidence* evidence, std::int64_t run,
                 const std::string& worker, Millis worked_for,
                 bool others_in_startup, bool start_confirmed,
                 bool crash_seen) {
  if (worked_for >= kProvenHarmless) {
    *evidence = {};
    return;
  }
  if (!AddRun(evidence, run, crash_seen)) return;
  if (worked_for >= kStartupPhase) {
    if (others_in_startup) ++evidence->explained_by_others;
    return;
  }
  if (start_confirmed && !others_in_startup) ++evidence->alone_in_startup;
  std::vector<std::string>& workers = evidence->startup_workers;
  if (std::find(workers.begin(), workers.end(), worker) != workers.end()) {
    return;
  }
  workers.push_back(worker);
  ++evidence->in_startup;
  if (!start_confirmed) ++evidence->unconfirmed_starts;
}

void RecordPossibleCrash(CrashEvidence* evidence, std::int64_t run,
                         bool crash_seen) {
  AddRun(evidence, run, crash_seen);
}

CrashVerdict JudgeCrashesOfLasting(const CrashEvidence& evidence,
                                   bool must_stay_available) {
  const bool crashes_at_start =
      evidence.in_startup - evidence.unconfirmed_starts >= kSufficientShared &&
      evidence.seen >= kSufficientShared && evidence.alone_in_startup > 0;
  const bool crashes_at_any_age =
      evidence.seen >=
      static_cast<int>(kSufficientAtAnyAge) + evidence.explained_by_others;
  if ((crashes_at_start && !must_stay_available) || crashes_at_any_age) {
    return CrashVerdict::kCrashesWorkers;
  }
  return IsSuspected(evidence) ? CrashVerdict::kSuspect
                               : CrashVerdict::kUnsuspected;
}

CrashVerdict JudgeCrashes(const CrashEvidence& evidence) {
  const int confirmed_starts =
      evidence.in_startup - evidence.unconfirmed_starts;
  // A fault that restarts many workers at once takes starts on their way with
  // it, of tasks that have run on none of them.
  const bool crashes_at_start =
      (evidence.in_startup >= kSufficientShared && confirmed_starts > 0) ||
      (confirmed_starts >= kSufficientAlone && evidence.alone_in_startup > 0);
  const bool crashes_at_any_age =
      evidence.runs.size() >= kSufficientIfExplained ||
      evidence.runs.size() >=
          kSufficientAtAnyAge +
              static_cast<std::size_t>(evidence.explained_by_others);
  if (crashes_at_start || crashes_at_any_age) {
    return CrashVerdict::kCrashesWorkers;
  }
  return IsSuspected(evidence) ? CrashVerdict::kSuspect
                               : CrashVerdict::kUnsuspected;
}

std::optional<Millis> RestartPauseOfLasting(const CrashEvidence& evidence,
                                            bool must_stay_available) {
  if (JudgeCrashesOfLasting(evidence, must_stay_available) !=
      CrashVerdict::kCrashesWorkers) {
    if (evidence.runs.size() < kSuspectAtAnyAge) return Millis(0);
    const std::size_t later = evidence.runs.size() - kSuspectAtAnyAge;
    return kSuspectPauses[std::min(later, kSuspectPauses.size() - 1)];
  }
  const int most = kMostOfLasting + evidence.explained_by_others;
  if (evidence.seen >= most) return std::nullopt;
  return evidence.seen == most - 1 ? kLastCrashLoopPause : kCrashLoopPause;
}

}  // namespace basilusher
