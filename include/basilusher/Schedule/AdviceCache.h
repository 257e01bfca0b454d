// Cache of the placement advisor's answers: which workers may run which step.
// Pure state: does no I/O and reads no clock.
#ifndef BASILUSHER_SCHEDULE_ADVICECACHE_H_
#define BASILUSHER_SCHEDULE_ADVICECACHE_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "basilusher/Support/Clock.h"

namespace basilusher {

/// One step of one occurrence of a job.
struct StepKey {
  std::string job;
  int occurrence = 0;
  int step = 0;

  friend bool operator<(const StepKey& a, const StepKey& b) {
    return std::tie(a.job, a.occurrence, a.step) <
           std::tie(b.job, b.occurrence, b.step);
  }
};

/// Tickets and refusals of the placement advisor, by step. Not thread-safe.
class AdviceCache {
 public:
  /// Returns the workers for the next question to the advisor: the first of
  /// `candidates`, best first, that are neither refused nor have a valid
  /// ticket. Empty while a question about the step is in flight or during the
  /// backoff after a failed one.
  std::vector<std::string> WorkersToAsk(
      const StepKey& key, const std::vector<std::string>& candidates,
      TimePoint now) const;

  /// Records that a question about `key` was sent.
  void RecordQuestion(const StepKey& key);
  /// Records the advisor's answer: of `asked`, the workers in `allowed` have a
  /// ticket that is valid until `valid_until`; the others may never run the
  /// step.
  void RecordAnswer(
      const StepKey& key, const std::vector<std::string>& asked,
      const std::vector<std::pair<std::string, std::string>>& allowed,
      TimePoint valid_until);
  /// Records that a question failed; the step is asked about again after a
  /// short backoff.
  void RecordFailure(const StepKey& key, TimePoint now);

  /// Returns the worker's ticket for the step; null if it has no valid one.
  const std::string* Ticket(const StepKey& key, const std::string& worker,
                            TimePoint now) const;
  /// Number of live workers that may never run the step.
  int RefusedCount(const StepKey& key) const;
  /// Removes a ticket that the worker has refused.
  void DropTicket(const StepKey& key, const std::string& worker);
  /// Removes all answers about a worker, and what the questions in flight will
  /// say of it. Tickets are not valid for the worker's next incarnation.
  void ForgetWorker(const std::string& worker);
  void ForgetJob(const std::string& job);
  std::size_t Size() const { return steps_.size(); }

 private:
  struct StoredTicket {
    std::string text;
    TimePoint valid_until{};
  };
  struct Step {
    /// A question about the step is in flight.
    bool open = false;
    /// Earliest time of the next question.
    TimePoint not_before{};
    std::map<std::string, StoredTicket> tickets;
    std::set<std::string> refused;
    /// Workers that were forgotten since the question in flight was sent.
    std::set<std::string> forgotten;
  };

  std::map<StepKey, Step> steps_;
};

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_ADVICECACHE_H_
