// Starts that got no answer and may still be executed.
#ifndef BASILUSHER_PARTITION_LATESTARTS_H_
#define BASILUSHER_PARTITION_LATESTARTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "basilusher/Jobs/Job.h"
#include "basilusher/Support/Clock.h"

namespace basilusher {

/// A start that may still be executed.
struct LateStart {
  TaskId task;
  std::int64_t run = 0;
  TimePoint sent_at{};
  /// The task must run again soon after its worker has died.
  bool lasting = false;
};

/// What is known of the worker to which a start was sent.
struct LateStartWorker {
  /// When the worker's last complete report was asked for; zero if it has given
  /// none. Starts that were sent earlier have an older fencing token.
  TimePoint reported_at{};
  /// No process is there now. One that begins later can only execute the start
  /// until a call's longest delay is over.
  bool gone = false;
};

/// Keeps the tasks whose last start got no answer and is not known to have been
/// executed. A report under a later fencing token rules it out for the
/// incarnation that has reported. The next one, which the owner may not have
/// learnt of, has seen no token: it may execute the start as late as a call can
/// be delayed, and run the task under the longest lease. Not thread-safe.
class LateStarts {
 public:
  using StartsByWorker = std::map<std::string, std::vector<LateStart>>;

  /// `longest_lease` is an upper bound, by the owner's clock, of the longest
  /// lease that a worker accepts.
  explicit LateStarts(Millis longest_lease) : longest_lease_(longest_lease) {}

  /// Time from which on no run of the start exists, unless the worker reports
  /// it. A lasting task does not wait for a worker that is gone.
  TimePoint EndOf(const LateStart& start, const LateStartWorker& worker) const;

  /// Adds a start; has no effect if it is known.
  void Note(const std::string& worker, const LateStart& start);
  /// True if a start on the worker may still be executed.
  bool MayHappenOn(const std::string& worker) const {
    return by_worker_.contains(worker);
  }
  /// The workers that may still execute a start of the task.
  std::set<std::string> WorkersOf(const TaskId& task) const;
  const StartsByWorker& All() const { return by_worker_; }
  /// Removes the start of this run: it has been executed. Returns false if it
  /// is not known.
  bool Remove(const TaskId& task, std::int64_t run);
  /// Removes and returns the starts on the worker: it cannot be reached under
  /// its id any more.
  std::vector<LateStart> RemoveAllOn(const std::string& worker);
  /// Removes and returns the starts that cannot be executed any more at `now`,
  /// and their workers.
  std::vector<std::pair<std::string, LateStart>> TakeExpired(
      TimePoint now,
      const std::function<LateStartWorker(const std::string& worker,
                                          const LateStart& start)>& facts);

 private:
  Millis longest_lease_;
  StartsByWorker by_worker_;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_LATESTARTS_H_
