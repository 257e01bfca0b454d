// Log lines from which it can be told, for each task, who started it under
// which lease, and on what evidence its earlier run was taken for over.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Waiting records that are reported: several seconds of a slow store.
constexpr std::size_t kRecordsBehind = 300;
constexpr Millis kRecordsPeriod{1000};

/// Milliseconds until `at`, negative if it has passed; null if it is zero.
Json MillisUntil(TimePoint at, TimePoint now) {
  return at == TimePoint{} ? Json() : Json((at - now).count());
}

/// Milliseconds since `at`; null if it is zero.
Json MillisSince(TimePoint at, TimePoint now) {
  return at == TimePoint{} ? Json() : Json((now - at).count());
}

}  // namespace

Json PartitionOwner::EvidenceOf(const WorkerState& worker) const {
  const TimePoint now = deps_.clock->Now();
  const std::string& id = worker.capacity.id;
  const WorkerLink& link = *worker.link;
  const bool unread = unread_workers_.contains(id);
  return {{"worker", id},
          {"term", options_.term},
          {"fence", link.Fence()},
          {"born", link.BornUnixMs()},
          {"tasks", worker.tasks.size()},
          {"unread", unread},
          {"since_answer_ms", MillisSince(link.LastAnswer(), now)},
          {"silent", link.Silent()},
          {"listed", worker.listed},
          {"unlisted_for_ms",
           worker.listed ? Json() : MillisSince(worker.unlisted_at, now)},
          {"directory_age_ms", MillisSince(directory_->FreshAt(), now)},
          {"lease_ends_in_ms", MillisUntil(link.LeaseEnd(), now)},
          {"lease_origin", NameOf(kLeaseOriginNames, link.LeaseEndOrigin())},
          {"lost_lease_ends_in_ms", MillisUntil(link.LostLeaseEnd(), now)},
          {"earlier_lease_ends_in_ms",
           unread ? MillisUntil(earlier_leases_.EndOn(id), now) : Json()},
          {"on_instance", worker_first_seen_at_.contains(id)},
          {"instances_age_ms", MillisSince(instances_asked_at_, now)},
          {"confirmed_for_ms", (listener_.confirmed_until() - now).count()}};
}

void PartitionOwner::LogTakenForOver(LogLevel level, const char* event,
                                     const WorkerState& worker,
                                     const Json& conclusion) const {
  if (!LogsAt(level)) return;
  Json fields = EvidenceOf(worker);
  fields.update(conclusion);
  LogEvent(level, event, fields);
}

void PartitionOwner::CountTakenForOver(std::string_view reason, std::size_t n) {
  if (n == 0) return;
  const std::string name =
      "runs_taken_for_over_total{reason=\"" + std::string(reason) + "\"}";
  Count(name.c_str(), static_cast<std::int64_t>(n));
}

void PartitionOwner::ReportTakeOverWait() {
  const bool was_waiting = take_over_wait_since_ != TimePoint{};
  if (!was_waiting && unread_workers_.empty()) return;
  const TimePoint now = deps_.clock->Now();
  const bool waiting = std::any_of(
      jobs_.All().begin(), jobs_.All().end(),
      [this](const auto& job) { return AnyAwaitsOrphanedRun(*job.second); });
  TimePoint until{};
  for (const std::string& id : unread_workers_) {
    until = std::max(until, earlier_leases_.EndOn(id));
  }
  if (waiting && (!was_waiting || until < take_over_wait_until_)) {
    LogEvent(
        LogLevel::kInfo, "take-over-wait",
        {{"term", options_.term},
         {"unread", unread_workers_.size()},
         {"leases_end_in_ms", MillisUntil(until, now)},
         {"previous_stopped", previous_told_leases_.has_value()},
         {"previous_told_leases", previous_told_leases_.value_or(false)},
         {"previous_ended_ago_ms",
          previous_end_ ? Json(previous_end_->ended_ago.count()) : Json()},
         {"earlier_left_ms",
          previous_end_ ? Json(previous_end_->earlier_left.count()) : Json()},
         {"fully_read_term", fully_read_term_},
         {"confirmed_for_ms", (listener_.confirmed_until() - now).count()}});
  }
  if (waiting && !was_waiting) take_over_wait_since_ = now;
  if (waiting) take_over_wait_until_ = until;
  if (waiting || !was_waiting) return;
  const Millis waited = now - take_over_wait_since_;
  const char* why = !unread_workers_.empty() && now < until
                        ? "no task waits any more"
                    : !unread_workers_.empty() ? "earlier leases have ended"
                    : gave_up_reading_         ? "unread workers are gone"
                                               : "all workers are read";
  take_over_wait_since_ = TimePoint{};
  Observe("take_over_wait_ms", waited);
  LogEvent(LogLevel::kInfo, "take-over-wait-ended",
           {{"term", options_.term},
            {"reason", why},
            {"unread", unread_workers_.size()},
            {"leases_end_in_ms", MillisUntil(take_over_wait_until_, now)},
            {"after_ms", waited.count()}});
}

void PartitionOwner::LogLoading(const char* records,
                                const StoreAnswer& answer) const {
  const TimePoint now = deps_.clock->Now();
  LogEvent(LogLevel::kNotice, "owner-loading",
           {{"term", options_.term},
            {"records", records},
            {"status", NameOf(kTxnStatusNames, answer.status)},
            {"count", answer.items.size()},
            {"after_ms", (now - began_at_).count()},
            {"confirmed_for_ms", (listener_.confirmed_until() - now).count()}});
}

void PartitionOwner::ReportRecords() {
  const std::size_t waiting = recorder_->Waiting();
  if (deps_.counters != nullptr) {
    deps_.counters->Set("records_waiting", static_cast<std::int64_t>(waiting));
  }
  const TimePoint now = deps_.clock->Now();
  if (waiting < kRecordsBehind || now - records_logged_at_ < kRecordsPeriod) {
    return;
  }
  records_logged_at_ = now;
  LogEvent(LogLevel::kNotice, "records-behind", {{"waiting", waiting}});
}

void PartitionOwner::LogRunStart(const JobRecord& job, const TaskId& id,
                                 std::int64_t run,
                                 const WorkerState& worker) const {
  if (!LogsAt(LogLevel::kInfo)) return;
  const TimePoint now = deps_.clock->Now();
  const GivenLease lease = worker.link->NextLease();
  LogEvent(LogLevel::kInfo, "run-start",
           {{"task", FormatTaskId(id)},
            {"run", run},
            {"worker", worker.capacity.id},
            {"born", worker.link->BornUnixMs()},
            {"term", options_.term},
            {"fence", worker.link->Fence()},
            {"lease_worker_ms", lease.end_worker_ms},
            {"lease_ends_in_ms", MillisUntil(lease.latest_end, now)},
            {"confirmed_for_ms", (listener_.confirmed_until() - now).count()},
            {"inherited", job.inherited},
            {"unread", unread_workers_.size()},
            {"waited_ms", (now - job.accepted_at).count()},
            {"free_cpu", worker.capacity.room.cpu_millis -
                             worker.capacity.used.cpu_millis}});
}

void PartitionOwner::OnDeposed(const Deposal& deposal) {
  if (!deposal_) {
    deposal_ = deposal;
    const TimePoint now = deps_.clock->Now();
    LogEvent(
        LogLevel::kWarning, "owner-deposed",
        {{"term", options_.term},
         {"term_revision", options_.term_revision},
         {"by", NameOf(kDeposedByNames, deposal.by)},
         {"source", deposal.source},
         {"ours", deposal.ours},
         {"found", deposal.found},
         {"confirmed_for_ms", (listener_.confirmed_until() - now).count()}});
  }
  listener_.on_deposed();
}

void PartitionOwner::OnFenced(const std::string& id) {
  const WorkerState* worker = FindWorker(id);
  OnDeposed({.by = DeposedBy::kWorkerFence,
             .source = id,
             .ours = worker == nullptr ? 0 : worker->link->Fence()});
}

void PartitionOwner::OnOwnerRecordChanged(std::int64_t found) {
  OnDeposed(
      {.by = found == 0 ? DeposedBy::kOwnerRecordGone : DeposedBy::kOwnerRecord,
       .source = options_.keys.owner,
       .ours = options_.term_revision,
       .found = found});
}

}  // namespace basilusher
