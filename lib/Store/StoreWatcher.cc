// List-and-watch loop.
#include "basilusher/Store/StoreWatcher.h"

#include <algorithm>
#include <set>

namespace basilusher {
namespace {

constexpr Millis kFirstRetryDelay{50};
constexpr Millis kMaxRetryDelay{400};

}  // namespace

StoreWatcher::StoreWatcher(TransactionalStore* store, TimerService* timers,
                           const Clock* clock, StoreWatcherOptions options,
                           Listener listener)
    : store_(store),
      timers_(timers),
      clock_(clock),
      options_(std::move(options)),
      listener_(std::move(listener)) {}

void StoreWatcher::Begin() { List(); }

void StoreWatcher::Report(const StoredItem& item) {
  if (item.removed) {
    if (revisions_.erase(item.key) == 0) return;
  } else {
    std::int64_t& known = revisions_[item.key];
    if (known >= item.revision) return;
    known = item.revision;
  }
  listener_.on_item(item);
}

void StoreWatcher::List() {
  const TimePoint sent_at = clock_->Now();
  store_->List(options_.prefix,
               [self = shared_from_this(), sent_at](const StoreAnswer& answer) {
                 if (self->closed_) return;
                 if (answer.status != TxnStatus::kOk) return self->Retry();
                 self->failures_ = 0;
                 self->must_list_ = false;
                 self->revision_ = answer.revision;
                 std::set<std::string> present;
                 for (const StoredItem& item : answer.items) {
                   present.insert(item.key);
                   self->Report(item);
                   if (self->closed_) return;
                 }
                 std::vector<std::string> gone;
                 for (const auto& [key, revision] : self->revisions_) {
                   if (!present.contains(key)) gone.push_back(key);
                 }
                 for (const std::string& key : gone) {
                   self->Report({.key = key, .value = {}, .removed = true});
                   if (self->closed_) return;
                 }
                 self->fresh_at_ = sent_at;
                 if (!self->loaded_) {
                   self->loaded_ = true;
                   if (self->listener_.on_loaded) self->listener_.on_loaded();
                 }
                 if (!self->closed_) self->Watch();
               });
}

void StoreWatcher::Watch() {
  const TimePoint sent_at = clock_->Now();
  store_->Watch(
      options_.prefix, revision_, options_.wait,
      [self = shared_from_this(), sent_at](const StoreAnswer& answer) {
        if (self->closed_) return;
        if (answer.status == TxnStatus::kCompacted) {
          self->must_list_ = true;
          return self->List();
        }
        if (answer.status != TxnStatus::kOk) return self->Retry();
        self->failures_ = 0;
        self->revision_ = std::max(self->revision_, answer.revision);
        for (const StoredItem& item : answer.items) {
          self->Report(item);
          if (self->closed_) return;
        }
        self->fresh_at_ = sent_at;
        self->Watch();
      });
}

void StoreWatcher::Retry() {
  ++failures_;
  const Millis delay = std::min(
      kMaxRetryDelay, kFirstRetryDelay * (1 << std::min(failures_, 4)));
  timers_->After(delay, [self = shared_from_this()] {
    if (self->closed_) return;
    if (self->must_list_) {
      self->List();
    } else {
      self->Watch();
    }
  });
}

}  // namespace basilusher
