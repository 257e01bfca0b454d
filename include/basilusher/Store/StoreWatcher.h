// Follows all keys under a prefix of the store.
#ifndef BASILUSHER_STORE_STOREWATCHER_H_
#define BASILUSHER_STORE_STOREWATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "basilusher/Net/IoLoop.h"
#include "basilusher/Store/TransactionalStore.h"

namespace basilusher {

struct StoreWatcherOptions {
  std::string prefix;
  /// How long one watch waits; also how soon a quiet prefix is known to be
  /// quiet.
  Millis wait{5000};
  /// Pause after changes before the next call, so that one answer brings what
  /// changes within it.
  Millis gather{0};
};

/// Lists a prefix, then watches it; after lost history it lists again and
/// reports only what differs. While the store does not answer, several short
/// calls are under way at a time, so that its return is noticed within a
/// fraction of a call's timeout. While an answer is arriving, no further call
/// is sent: on a slow link each would take its share from the others. Not
/// thread-safe: I/O thread only.
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher> {
 public:
  struct Listener {
    /// A key was written or removed (`removed`). May run for an older revision
    /// only if the store answered so.
    std::function<void(const StoredItem&)> on_item;
    /// The first list is complete.
    std::function<void()> on_loaded;
    /// A part of a long answer has come. May be empty.
    std::function<void()> on_progress;
  };

  StoreWatcher(TransactionalStore* store, TimerService* timers,
               const Clock* clock, StoreWatcherOptions options,
               Listener listener);

  void Begin();
  /// No callback runs after this.
  void Close() { closed_ = true; }
  bool Loaded() const { return loaded_; }
  /// A part of an answer has come, and the call has not ended.
  bool Receiving() const { return receiving_ > 0; }
  /// All changes that the store had acknowledged at this time are known; zero
  /// before the first list.
  TimePoint FreshAt() const { return fresh_at_; }
  /// Since when no call has failed; what came later is not due to an outage
  /// that this watcher has seen.
  TimePoint UnbrokenSince() const { return unbroken_since_; }

 private:
  using SharedItems = std::shared_ptr<const std::vector<StoredItem>>;

  /// One call to the store. Calls of earlier rounds that are answered late are
  /// passed over.
  struct Call {
    std::int64_t round = 0;
    TimePoint sent_at{};
    bool receiving = false;
  };
  using SharedCall = std::shared_ptr<Call>;

  SharedCall BeginCall(const char* step);
  void List();
  void Watch(Millis wait);
  /// The next regular call, once no other is under way.
  void Continue();
  /// A part of the call's answer has come.
  void OnProgress(Call* call);
  void OnFailure(const Call& call);
  void ProbeLater(Millis delay);
  void OnAnswered(const Call& call);
  void Report(const StoredItem& item);
  /// Logs a view that has not been confirmed for long, and what it waits for.
  void ReportAge();
  /// Reports each item, leaving the event loop to other events in between, and
  /// then runs `done`.
  void ReportInSlices(const SharedItems& items, std::function<void()> done);
  /// Reports keys that a complete list does not show any more.
  void ReportGone(const std::vector<StoredItem>& listed);

  TransactionalStore* store_;
  TimerService* timers_;
  const Clock* clock_;
  StoreWatcherOptions options_;
  Listener listener_;
  std::map<std::string, std::int64_t> revisions_;
  std::int64_t revision_ = 0;
  TimePoint fresh_at_{};
  TimePoint unbroken_since_{};
  TimePoint begun_at_{};
  /// When the latest call was sent; also the moment from which its answer is
  /// handled.
  TimePoint step_began_at_{};
  const char* step_ = "none";
  /// Failed calls since the view was confirmed last.
  int failed_calls_ = 0;
  std::int64_t round_ = 0;
  /// Calls under way in this round, and those whose answer is arriving.
  int in_flight_ = 0;
  int receiving_ = 0;
  bool recovering_ = false;
  /// The answer that confirmed the view last came in parts.
  bool long_answer_ = false;
  bool probe_planned_ = false;
  /// An answer is being reported: nothing further is asked meanwhile.
  bool probes_paused_ = false;
  bool loaded_ = false;
  bool must_list_ = true;
  bool closed_ = false;
};

}  // namespace basilusher

#endif  // BASILUSHER_STORE_STOREWATCHER_H_
