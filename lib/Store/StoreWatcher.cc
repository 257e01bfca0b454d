// List-and-watch loop.
#include "basilusher/Store/StoreWatcher.h"

#include <algorithm>
#include <set>
#include <string_view>

#include "basilusher/Net/Slices.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Between calls while the store does not answer: a quarter of the time that a
/// configuration may take to be in force is lost at most.
constexpr Millis kProbePeriod{250};
/// A single lost call is repeated soon.
constexpr Millis kFirstProbeDelay{50};
/// Unanswered calls at a time: each may take up to its timeout.
constexpr int kMaxProbes = 4;
/// A view that is older than this is reported: one lost call and a quiet watch
/// make it about 2 s old.
constexpr Millis kBehind{2500};
constexpr Millis kReportPeriod{1000};

}  // namespace

StoreWatcher::StoreWatcher(TransactionalStore* store, TimerService* timers,
                           const Clock* clock, StoreWatcherOptions options,
                           Listener listener)
    : store_(store),
      timers_(timers),
      clock_(clock),
      options_(std::move(options)),
      listener_(std::move(listener)) {}

void StoreWatcher::Begin() {
  begun_at_ = clock_->Now();
  ReportAge();
  Continue();
}

void StoreWatcher::ReportAge() {
  const TimePoint now = clock_->Now();
  const Millis age = now - std::max(fresh_at_, begun_at_);
  if (age >= kBehind) {
    LogEvent(LogLevel::kWarning, "view-behind",
             {{"prefix", options_.prefix},
              {"age_ms", age.count()},
              {"loaded", loaded_},
              {"step", step_},
              {"step_ms", (now - step_began_at_).count()},
              {"calls", in_flight_},
              {"failed_calls", failed_calls_}});
  }
  timers_->After(kReportPeriod, [self = shared_from_this()] {
    if (!self->closed_) self->ReportAge();
  });
}

void StoreWatcher::Continue() {
  ++round_;
  in_flight_ = 1;
  recovering_ = false;
  if (must_list_) {
    List(round_);
  } else {
    Watch(round_, options_.wait);
  }
}

void StoreWatcher::OnFailure(std::int64_t round) {
  if (round != round_) return;
  --in_flight_;
  ++failed_calls_;
  const bool first = !recovering_;
  recovering_ = true;
  ProbeLater(first ? kFirstProbeDelay : kProbePeriod);
}

void StoreWatcher::ProbeLater(Millis delay) {
  if (probe_planned_) return;
  probe_planned_ = true;
  timers_->After(delay, [self = shared_from_this()] {
    self->probe_planned_ = false;
    if (self->closed_ || !self->recovering_) return;
    if (!self->probes_paused_ && self->in_flight_ < kMaxProbes) {
      ++self->in_flight_;
      if (self->must_list_) {
        self->List(self->round_);
      } else {
        self->Watch(self->round_, Millis(0));
      }
    }
    self->ProbeLater(kProbePeriod);
  });
}

void StoreWatcher::OnAnswered(TimePoint sent_at) {
  if (recovering_ || !loaded_) unbroken_since_ = sent_at;
  fresh_at_ = sent_at;
  failed_calls_ = 0;
}

void StoreWatcher::Report(const StoredItem& item) {
  if (item.removed) {
    const auto it = revisions_.find(item.key);
    if (it == revisions_.end()) return;
    // A later page may have shown what was written after this removal. What a
    // list does not show any more has no revision.
    if (item.revision != 0 && item.revision < it->second) return;
    revisions_.erase(it);
  } else {
    std::int64_t& known = revisions_[item.key];
    if (known >= item.revision) return;
    known = item.revision;
  }
  try {
    listener_.on_item(item);
  } catch (const std::exception& error) {
    // The others hold.
    LogEvent(LogLevel::kError, "record-not-handled",
             {{"key", item.key}, {"error", error.what()}});
  }
}

void StoreWatcher::List(std::int64_t round) {
  const TimePoint sent_at = clock_->Now();
  step_ = "list";
  step_began_at_ = sent_at;
  store_->List(options_.prefix, [self = shared_from_this(), sent_at,
                                 round](const StoreAnswer& answer) {
    if (self->closed_ || round != self->round_) return;
    if (answer.status != TxnStatus::kOk) return self->OnFailure(round);
    self->must_list_ = false;
    self->revision_ = answer.revision;
    const SharedItems items =
        std::make_shared<const std::vector<StoredItem>>(answer.items);
    self->ReportInSlices(items, [self, sent_at, items] {
      self->ReportGone(*items);
      if (self->closed_) return;
      self->OnAnswered(sent_at);
      if (!self->loaded_) {
        self->loaded_ = true;
        if (self->listener_.on_loaded) self->listener_.on_loaded();
      }
      if (!self->closed_) self->Continue();
    });
  });
}

void StoreWatcher::ReportGone(const std::vector<StoredItem>& listed) {
  std::set<std::string_view> present;
  for (const StoredItem& item : listed) present.insert(item.key);
  std::vector<std::string> gone;
  for (const auto& [key, revision] : revisions_) {
    // A list of an older state does not show what was written after it.
    if (!present.contains(key) && revision <= revision_) gone.push_back(key);
  }
  for (const std::string& key : gone) {
    Report({.key = key, .value = {}, .removed = true});
    if (closed_) return;
  }
}

void StoreWatcher::ReportInSlices(const SharedItems& items,
                                  std::function<void()> done) {
  // Answers to other calls of this round are passed over from now on.
  ++round_;
  probes_paused_ = true;
  step_ = "handling";
  step_began_at_ = clock_->Now();
  RunInSlices(
      timers_, clock_, items->size(),
      [self = shared_from_this(), items](std::size_t i) {
        if (self->closed_) return false;
        self->Report((*items)[i]);
        return !self->closed_;
      },
      [self = shared_from_this(), done = std::move(done)] {
        self->probes_paused_ = false;
        done();
      });
}

void StoreWatcher::Watch(std::int64_t round, Millis wait) {
  const TimePoint sent_at = clock_->Now();
  step_ = "watch";
  step_began_at_ = sent_at;
  store_->Watch(
      options_.prefix, revision_, wait,
      [self = shared_from_this(), sent_at, round](const StoreAnswer& answer) {
        if (self->closed_ || round != self->round_) return;
        if (answer.status == TxnStatus::kCompacted) {
          self->must_list_ = true;
          return self->Continue();
        }
        if (answer.status != TxnStatus::kOk) {
          return self->OnFailure(round);
        }
        self->revision_ = std::max(self->revision_, answer.revision);
        const SharedItems items =
            std::make_shared<const std::vector<StoredItem>>(answer.items);
        self->ReportInSlices(items, [self, sent_at] {
          if (self->closed_) return;
          self->OnAnswered(sent_at);
          self->Continue();
        });
      });
}

}  // namespace basilusher
