// Log lines from which it can be told, for each task, who started it under
// which lease, and on what evidence its earlier run was taken for over.
#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

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
  const auto earlier = earlier_leases_until_.find(id);
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
          {"lost_lease_ends_in_ms", MillisUntil(link.LostLeaseEnd(), now)},
          {"earlier_lease_ends_in_ms", earlier == earlier_leases_until_.end()
                                           ? Json()
                                           : MillisUntil(earlier->second, now)},
          {"earlier_leases_end_in_ms",
           unread ? MillisUntil(orphaned_runs_until_, now) : Json()},
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
