// Crashes of workers as evidence against the tasks that ran on them. Pure
// functions: no I/O, no clock.
#ifndef BASILUSHER_JOBS_CRASHEVIDENCE_H_
#define BASILUSHER_JOBS_CRASHEVIDENCE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilusher/Jobs/Job.h"
#include "basilusher/Support/Clock.h"

namespace basilusher {

/// A run that is known to have worked for this long is less suspect than one
/// that had just started when its worker crashed.
inline constexpr Millis kStartupPhase{300};
/// A lasting task's run that is known to have worked for this long did not
/// cause the crash.
inline constexpr Millis kProvenHarmless{5000};

/// A run of which it is not known whether its worker has crashed.
struct UnconfirmedRun {
  std::string worker;
  /// Start of the worker's incarnation, Unix milliseconds. Zero if unknown.
  std::int64_t born_unix_ms = 0;
  /// The start was sent and the run was in its startup phase when the worker
  /// stopped answering. Otherwise the start may not have been sent, or the run
  /// may have worked for longer.
  bool in_startup = false;
};

/// Crashes of workers that one task's runs were on.
struct CrashEvidence {
  /// Runs that were lost in a crash. Each counts once.
  std::vector<std::int64_t> runs;
  /// Number of workers that crashed while one of these was in its startup
  /// phase.
  int in_startup = 0;
  /// Ids of these workers. One that restarts by itself time after time counts
  /// once.
  std::vector<std::string> startup_workers;
  /// Number of these in their startup phase while no other run on the worker
  /// was.
  int alone_in_startup = 0;
  /// Number of runs in their startup phase whose start was never confirmed: it
  /// may have been sent to a worker that had crashed already.
  int unconfirmed_starts = 0;
  /// Number of runs past their startup phase that were lost while another run
  /// on the worker was in its startup phase, which explains the crash better.
  int explained_by_others = 0;
  /// Number of `runs` whose worker is known to have crashed: the others may
  /// only have been cut off.
  int seen = 0;
  /// Time of the last crash, Unix milliseconds; zero if none is known.
  std::int64_t last_unix_ms = 0;
  /// Runs whose worker does not answer, and those of a suspect that have not
  /// worked for `kProvenHarmless` yet: stored before the start is sent, so that
  /// a later owner can count them.
  std::map<std::int64_t, UnconfirmedRun> unconfirmed;

  bool Empty() const { return runs.empty() && unconfirmed.empty(); }
};

enum class CrashVerdict : std::uint8_t {
  kUnsuspected,
  /// Starts alone, where a crash harms few other tasks.
  kSuspect,
  /// Crashes its workers and is not started again.
  kCrashesWorkers,
};

/// Age of a run of `step` at a crash, as evidence. Tasks that last are there at
/// many crashes of workers; one that ends by itself may crash its workers
/// however long it works, so its runs never prove that it is harmless.
/// Thread-safe.
Millis CrashAge(const StepSpec& step, Millis worked_for);

/// Adds the crash of `worker` under `run`. `worked_for` is the time for which
/// the run is known to have worked; `others_in_startup` tells whether further
/// runs on the worker were in their startup phase; `start_confirmed` whether
/// the run is known to have begun; `crash_seen` whether the worker is known to
/// have crashed, and was not only cut off. Thread-safe.
void RecordCrash(CrashEvidence* evidence, std::int64_t run,
                 const std::string& worker, Millis worked_for,
                 bool others_in_startup, bool start_confirmed = true,
                 bool crash_seen = true);

/// Adds the crash of a worker on which `run` may not have started, or may have
/// worked for some time. It counts like one at any age, so that at least three
/// others are needed for a verdict. Thread-safe.
void RecordPossibleCrash(CrashEvidence* evidence, std::int64_t run,
                         bool crash_seen = true);

/// Thread-safe.
CrashVerdict JudgeCrashes(const CrashEvidence& evidence);

/// The same for a lasting task, which must run again unless it truly crashes
/// its workers: only crashes that were seen count. It is beside all that its
/// worker starts, so crashes that other runs may have caused do not suffice by
/// themselves. If it `must_stay_available`, only as many crashes suffice as do
/// at any age. Thread-safe.
CrashVerdict JudgeCrashesOfLasting(const CrashEvidence& evidence,
                                   bool must_stay_available);

/// Time after its last crash for which a lasting task is not started again;
/// nothing if it is never. Thread-safe.
std::optional<Millis> RestartPauseOfLasting(const CrashEvidence& evidence,
                                            bool must_stay_available);

}  // namespace basilusher

#endif  // BASILUSHER_JOBS_CRASHEVIDENCE_H_
