// Verdicts on tasks whose workers crashed.
#include "basilusher/Jobs/CrashEvidence.h"

#include <algorithm>
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

/// Returns false if the crash under `run` is known already.
bool AddRun(CrashEvidence* evidence, std::int64_t run) {
  evidence->unconfirmed.erase(run);
  std::vector<std::int64_t>& runs = evidence->runs;
  if (std::find(runs.begin(), runs.end(), run) != runs.end()) return false;
  runs.push_back(run);
  return true;
}

}  // namespace

Millis CrashAge(const StepSpec& step, Millis worked_for) {
  return step.lasting ? worked_for
                      : std::min(worked_for, kProvenHarmless - Millis(1));
}

void RecordCrash(CrashEvidence* evidence, std::int64_t run,
                 const std::string& worker, Millis worked_for,
                 bool others_in_startup, bool start_confirmed) {
  if (worked_for >= kProvenHarmless) {
    *evidence = {};
    return;
  }
  if (!AddRun(evidence, run)) return;
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

void RecordPossibleCrash(CrashEvidence* evidence, std::int64_t run) {
  AddRun(evidence, run);
}

CrashVerdict JudgeCrashesOfLasting(const CrashEvidence& evidence,
                                   bool must_stay_available) {
  const bool crashes_at_start =
      evidence.in_startup - evidence.unconfirmed_starts >= kSufficientAlone &&
      evidence.alone_in_startup > 0;
  if ((crashes_at_start && !must_stay_available) ||
      evidence.runs.size() >=
          kSufficientAtAnyAge +
              static_cast<std::size_t>(evidence.explained_by_others)) {
    return CrashVerdict::kCrashesWorkers;
  }
  return evidence.in_startup > 0 || evidence.runs.size() >= kSuspectAtAnyAge
             ? CrashVerdict::kSuspect
             : CrashVerdict::kUnsuspected;
}

CrashVerdict JudgeCrashes(const CrashEvidence& evidence) {
  if (evidence.in_startup >= kSufficientShared ||
      evidence.runs.size() >= kSufficientIfExplained) {
    return CrashVerdict::kCrashesWorkers;
  }
  return JudgeCrashesOfLasting(evidence, /*must_stay_available=*/false);
}

}  // namespace basilusher
