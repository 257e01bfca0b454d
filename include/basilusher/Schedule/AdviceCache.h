// Which workers may run which step, as the placement advisor has said. Pure
// state without input, output or clock of its own.
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

/// Not thread-safe.
class AdviceCache {
 public:
  /// Workers to ask about next: the first of `candidates`, best first, that the
  /// advisor has neither refused nor given a ticket that is still valid. Empty
  /// while a question about the step is open or a failed one is too recent.
  std::vector<std::string> WorkersToAsk(
      const StepKey& key, const std::vector<std::string>& candidates,
      TimePoint now) const;

  /// A question about `key` has been sent.
  void RecordQuestion(const StepKey& key);
  /// The advisor has answered: of `asked`, those in `allowed` have a ticket
  /// that holds until `valid_until`; the others may never run the step.
  void RecordAnswer(
      const StepKey& key, const std::vector<std::string>& asked,
      const std::vector<std::pair<std::string, std::string>>& allowed,
      TimePoint valid_until);
  /// No answer came; the step is asked about again after a short while.
  void RecordFailure(const StepKey& key, TimePoint now);

  /// The worker's ticket for the step; null if it has none that is valid.
  const std::string* Ticket(const StepKey& key, const std::string& worker,
                            TimePoint now) const;
  /// Living workers that may never run the step.
  int RefusedCount(const StepKey& key) const;
  /// The worker has refused the ticket.
  void DropTicket(const StepKey& key, const std::string& worker);
  /// Tickets end with the life of their worker.
  void ForgetWorker(const std::string& worker);
  void ForgetJob(const std::string& job);
  std::size_t Size() const { return steps_.size(); }

 private:
  struct StoredTicket {
    std::string text;
    TimePoint valid_until{};
  };
  struct Step {
    bool open = false;
    TimePoint not_before{};
    std::map<std::string, StoredTicket> tickets;
    std::set<std::string> refused;
  };

  std::map<StepKey, Step> steps_;
};

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_ADVICECACHE_H_
