// Questions to the placement advisor, for queues whose policy lets only some
// workers run a step.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Under a policy without a validity period a ticket is valid for the life of
/// its worker. It is requested again after this time all the same.
constexpr Millis kUnlimitedTicket{600000};
/// A ticket is not used this shortly before it expires, since the start command
/// takes time to arrive.
constexpr Millis kTicketMargin{150};

}  // namespace

bool PartitionOwner::PredecessorsStarted(const JobRecord& job,
                                         const OccurrenceRecord& occurrence,
                                         int step) {
  const std::vector<int>& after =
      job.spec.steps[static_cast<std::size_t>(step)].after;
  return std::all_of(after.begin(), after.end(), [&](int earlier) {
    const StepRecord& record =
        occurrence.steps[static_cast<std::size_t>(earlier)];
    return record.done + record.active == static_cast<int>(record.tasks.size());
  });
}

void PartitionOwner::AskAdvice(const JobRecord& job, int occurrence, int step,
                               const std::vector<WorkerCapacity*>& workers,
                               AdviceNeed need) {
  const QueueConfig* queue = QueueOf(job);
  if (queue == nullptr || deps_.advisor == nullptr ||
      !deps_.advisor->MayAsk(need)) {
    return;
  }
  const TimePoint now = deps_.clock->Now();
  const StepKey key = {
      .job = job.spec.id, .occurrence = occurrence, .step = step};
  PlacementRequest request;
  request.step = &job.spec.steps[static_cast<std::size_t>(step)];
  std::vector<const WorkerCapacity*> fitting;
  for (const WorkerCapacity* worker : workers) {
    if (CanPlace(request, *worker)) fitting.push_back(worker);
  }
  // Workers with the most free CPU come first: they will get most tasks of the
  // step.
  std::stable_sort(fitting.begin(), fitting.end(),
                   [](const WorkerCapacity* a, const WorkerCapacity* b) {
                     return a->room.cpu_millis - a->used.cpu_millis >
                            b->room.cpu_millis - b->used.cpu_millis;
                   });
  std::vector<std::string> candidates;
  candidates.reserve(fitting.size());
  for (const WorkerCapacity* worker : fitting) candidates.push_back(worker->id);
  const std::vector<std::string> asked =
      advice_.WorkersToAsk(key, candidates, now);
  if (asked.empty()) return;
  advice_.RecordQuestion(key);
  Count("advice_questions_total");
  const AdvicePolicy& policy = queue->advice;
  const Millis answer_time(policy.decide_ms +
                           policy.per_worker_ms *
                               static_cast<std::int64_t>(asked.size()));
  deps_.advisor->Advise(
      key.job, occurrence, step, asked, answer_time,
      [self = shared_from_this(), key, asked, now,
       valid = policy.valid_ms > 0
                   ? Millis(policy.valid_ms) - kTicketMargin
                   : kUnlimitedTicket](const AdviceAnswer& answer) {
        if (self->closed_) return;
        self->OnAdvice(key, asked, now + valid, answer);
      });
}

void PartitionOwner::OnAdvice(const StepKey& key,
                              const std::vector<std::string>& asked,
                              TimePoint valid_until,
                              const AdviceAnswer& answer) {
  const TimePoint now = deps_.clock->Now();
  LogEvent(answer.answered ? LogLevel::kInfo : LogLevel::kWarning, "advice",
           {{"job", key.job},
            {"occurrence", key.occurrence},
            {"step", key.step},
            {"asked", asked.size()},
            {"answered", answer.answered},
            {"allowed", answer.allowed.size()},
            {"valid_ms", (valid_until - now).count()}});
  if (answer.answered) {
    advice_.RecordAnswer(key, asked, answer.allowed, valid_until);
  } else {
    Count("advice_failures_total");
    advice_.RecordFailure(key, now);
  }
  ScheduleDispatch();
}

void PartitionOwner::RequireTickets(const StepKey& key,
                                    PlacementRequest* request) const {
  request->allowed = [this, key](const WorkerCapacity& worker) {
    return advice_.Ticket(key, worker.id, deps_.clock->Now()) != nullptr;
  };
}

}  // namespace basilusher
