// Why lasting tasks wait, and since when.
#include "basilusher/Partition/TaskWaits.h"

namespace basilusher {
namespace {

/// Conditions under which the owner starts no task at all, or none of the step.
std::optional<WaitCondition> ConditionOfOwnerAndStep(const WaitFacts& facts) {
  if (!facts.owner_may_start) return WaitCondition::kTermUnconfirmed;
  if (facts.loop_late) return WaitCondition::kLoopLate;
  if (facts.view_stale) return WaitCondition::kViewStale;
  if (!facts.queue_configured) return WaitCondition::kQueueNotConfigured;
  if (!facts.step_ready) return WaitCondition::kStepNotReady;
  return std::nullopt;
}

std::optional<WaitCondition> ConditionOfTask(const WaitFacts& facts) {
  if (facts.in_retry_delay) {
    return facts.suspected ? WaitCondition::kPausedAfterCrashes
                           : WaitCondition::kRetryDelay;
  }
  if (facts.end_unreported && !facts.term_confirmed) {
    return WaitCondition::kEndUnreported;
  }
  if (facts.loss_unconfirmed) return WaitCondition::kLossUnconfirmed;
  if (facts.start_may_be_late) return WaitCondition::kStartMayBeLate;
  if (facts.evidence_unstored) return WaitCondition::kEvidenceNotStored;
  if (!facts.may_be_orphaned) return std::nullopt;
  if (facts.earlier_lease_may_last) return WaitCondition::kEarlierLeases;
  return facts.term_confirmed ? WaitCondition::kReportIncomplete
                              : WaitCondition::kEarlierLeasesInDoubt;
}

WaitCondition ConditionOfPlacement(const WaitFacts& facts) {
  if (facts.gang_member_held) return WaitCondition::kGangMember;
  if (!facts.within_cap) return WaitCondition::kWorkspaceLimit;
  const EligibleWorkers& workers = facts.workers;
  if (workers.usable == 0) return WaitCondition::kNoUsableWorker;
  if (workers.with_room == 0) return WaitCondition::kNoRoom;
  if (workers.not_isolated == 0) return WaitCondition::kWorkersIsolated;
  if (workers.with_label == 0) return WaitCondition::kNoLabel;
  if (workers.with_ticket == 0) return WaitCondition::kNoTicket;
  if (workers.below_sibling_limit == 0) return WaitCondition::kSiblingLimit;
  return facts.in_gang ? WaitCondition::kGangRoom : WaitCondition::kNoneFound;
}

}  // namespace

WaitCondition ConditionOf(const WaitFacts& facts) {
  if (facts.start_held) return WaitCondition::kStartNotStored;
  if (facts.start_sent) return WaitCondition::kStartUnanswered;
  if (!facts.counted_as_waiting) return WaitCondition::kMiscounted;
  // It ends neither with the owner's term nor with any other condition.
  if (facts.given_up) return WaitCondition::kGivenUp;
  std::optional<WaitCondition> condition = ConditionOfOwnerAndStep(facts);
  if (!condition) condition = ConditionOfTask(facts);
  return condition ? *condition : ConditionOfPlacement(facts);
}

TaskWaits::Wait* TaskWaits::Note(const TaskId& task, std::int64_t run,
                                 bool run_began, TimePoint now) {
  const auto [it, added] = waits_.try_emplace(task);
  Wait& wait = it->second;
  if (added || (wait.run != run && run_began)) wait = {.since = now};
  wait.run = run;
  wait.round = round_;
  return &wait;
}

std::optional<TaskWaits::Wait> TaskWaits::End(const TaskId& task) {
  const auto it = waits_.find(task);
  if (it == waits_.end()) return std::nullopt;
  const Wait wait = it->second;
  waits_.erase(it);
  return wait;
}

void TaskWaits::EndRound() {
  std::erase_if(waits_, [this](const auto& entry) {
    return entry.second.round != round_;
  });
}

}  // namespace basilusher
