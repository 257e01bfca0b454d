// Cancellations that the owner learns of: from its watch of the inbox, from the
// accepting nodes, and from lists while the watch is behind.
#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Age of the view of the inbox from which on cancellations are listed. The
/// watch of a quiet inbox leaves the view up to two of its waits (1 s) old.
constexpr Millis kListFromAge{1200};
constexpr Millis kListPeriod{500};

}  // namespace

void PartitionOwner::CancelJob(const std::string& id) {
  JobRecord* job = jobs_.Find(id);
  if (job == nullptr && !finals_.contains(id)) {
    // A list of the inbox has cancellations before the jobs that they refer to,
    // and a job is stored before its cancellation, so it becomes known.
    early_cancels_.insert(id);
    return;
  }
  if (job == nullptr || IsFinal(job->state)) return;
  Count("jobs_cancelled_total");
  job->cancelled = true;
  job->state = JobState::kCancelled;
  LogEvent(LogLevel::kInfo, "job-cancelled", {{"job", id}});
  EndJob(job);
}

void PartitionOwner::ListCancellations() {
  const TimePoint now = deps_.clock->Now();
  if (listing_cancellations_ || now - inbox_->FreshAt() < kListFromAge ||
      now - cancellations_asked_at_ < kListPeriod) {
    return;
  }
  listing_cancellations_ = true;
  cancellations_asked_at_ = now;
  Count("cancellation_lists_total");
  const std::string& prefix = options_.keys.cancel_prefix;
  deps_.store->List(
      prefix,
      [self = shared_from_this(),
       skip = prefix.size()](const StoreAnswer& answer) {
        self->listing_cancellations_ = false;
        if (self->closed_) return;
        if (answer.status != TxnStatus::kOk) return;
        for (const StoredItem& item : answer.items) {
          self->CancelJob(item.key.substr(skip));
        }
      },
      nullptr);
}

}  // namespace basilusher
