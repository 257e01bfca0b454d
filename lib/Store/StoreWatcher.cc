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
/// A view whose long answer has left it older than a quiet watch would, by this
/// time, is confirmed by a watch that does not wait.
constexpr Millis kConfirmAfter{300};
/// Changes that could not be read in this time are listed.
constexpr Millis kLongestWatch{10000};

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
  receiving_ = 0;
  recovering_ = false;
  if (must_list_) return List();
  const bool late = clock_->Now() - fresh_at_ > options_.wait + kConfirmAfter;
  Watch(long_answer_ && late ? Millis(0) : options_.wait);
}

StoreWatcher::SharedCall StoreWatcher::BeginCall(const char* step) {
  step_ = step;
  step_began_at_ = clock_->Now();
  return std::make_shared<Call>(
      Call{.round = round_, .sent_at = step_began_at_});
}

void StoreWatcher::OnProgress(Call* call) {
  if (closed_ || call->round != round_) return;
  if (!call->receiving) ++receiving_;
  call->receiving = true;
  if (listener_.on_progress) listener_.on_progress();
}

void StoreWatcher::OnFailure(const Call& call) {
  if (call.round != round_) return;
  --in_flight_;
  if (call.receiving) --receiving_;
  if (call.receiving && clock_->Now() - call.sent_at >= kLongestWatch) {
    must_list_ = true;
  }
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
    if (!self->probes_paused_ && !self->Receiving() &&
        self->in_flight_ < kMaxProbes) {
      ++self->in_flight_;
      if (self->must_list_) {
        self->List();
      } else {
        self->Watch(Millis(0));
      }
    }
    self->ProbeLater(kProbePeriod);
  });
}

void StoreWatcher::OnAnswered(const Call& call) {
  if (recovering_ || !loaded_) unbroken_since_ = call.sent_at;
  fresh_at_ = call.sent_at;
  long_answer_ = call.receiving;
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

void StoreWatcher::List() {
  const SharedCall call = BeginCall("list");
  store_->List(
      options_.prefix,
      [self = shared_from_this(), call](const StoreAnswer& answer) {
        if (self->closed_ || call->round != self->round_) return;
        if (answer.status != TxnStatus::kOk) return self->OnFailure(*call);
        self->must_list_ = false;
        self->revision_ = answer.revision;
        const SharedItems items =
            std::make_shared<const std::vector<StoredItem>>(answer.items);
        self->ReportInSlices(items, [self, call, items] {
          self->ReportGone(*items);
          if (self->closed_) return;
          self->OnAnswered(*call);
          if (!self->loaded_) {
            self->loaded_ = true;
            if (self->listener_.on_loaded) self->listener_.on_loaded();
          }
          if (!self->closed_) self->Continue();
        });
      },
      [self = shared_from_this(), call] { self->OnProgress(call.get()); });
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
  receiving_ = 0;
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

void StoreWatcher::Watch(Millis wait) {
  const SharedCall call = BeginCall("watch");
  store_->Watch(
      options_.prefix, revision_, wait,
      [self = shared_from_this(), call](const StoreAnswer& answer) {
        if (self->closed_ || call->round != self->round_) return;
        if (answer.status == TxnStatus::kCompacted) {
          self->must_list_ = true;
          return self->Continue();
        }
        if (answer.status != TxnStatus::kOk) return self->OnFailure(*call);
        self->revision_ = std::max(self->revision_, answer.revision);
        const SharedItems items =
            std::make_shared<const std::vector<StoredItem>>(answer.items);
        self->ReportInSlices(items, [self, call] {
          if (self->closed_) return;
          self->OnAnswered(*call);
          self->Continue();
        });
      },
      [self = shared_from_this(), call] { self->OnProgress(call.get()); });
}

}  // namespace basilusher
