// Message handling of the home of slots.
#include "basilusher/Control/SlotHome.h"

#include <utility>

namespace basilusher {

std::string SlotSubject(const std::string& pool) { return "slots/" + pool; }

SlotHome::SlotHome(Context context) : context_(std::move(context)) {}

const SlotScheduler* SlotHome::SchedulerOf(const std::string& pool) const {
  const auto it = pools_.find(pool);
  return it == pools_.end() ? nullptr : &it->second;
}

SlotScheduler* SlotHome::RefreshedScheduler(const std::string& pool) {
  const ViewPtr view = context_.views->Current();
  const auto [it, fresh] = pools_.try_emplace(pool);
  if ((fresh || view != applied_view_) && view->intent != nullptr) {
    const auto intent = view->intent->pools.find(pool);
    const int budget = intent == view->intent->pools.end()
                           ? 0
                           : intent->second.availability_budget;
    it->second.SetPool(WorkersOf(*view, pool), budget, view->intent->teams);
  }
  return &it->second;
}

void SlotHome::SendDecision(const SlotDecision& decision) {
  const std::string& to = decision.key.requester.instance;
  if (!decision.worker.empty()) {
    context_.counters->Add("slot_grants");
    context_.bus->Send(to, SlotGrant{.request_id = decision.key.request_id,
                                     .attempt = decision.key.attempt,
                                     .worker = decision.worker});
    return;
  }
  context_.counters->Add("slot_refusals");
  context_.bus->Send(to,
                     SlotRefusal{.request_id = decision.key.request_id,
                                 .attempt = decision.key.attempt,
                                 .code = static_cast<int>(decision.code),
                                 .retry_after_ms = decision.retry_after_ms});
}

void SlotHome::RunPool(SlotScheduler* scheduler) {
  for (const SlotDecision& decision :
       scheduler->Schedule(context_.clock->Now())) {
    SendDecision(decision);
  }
}

void SlotHome::OnMessage(const PeerId& from, const Message& message) {
  const TimePoint now = context_.clock->Now();
  if (const SlotAsk* ask = std::get_if<SlotAsk>(&message)) {
    SlotScheduler* scheduler = RefreshedScheduler(ask->pool);
    const std::optional<SlotDecision> decision =
        scheduler->OnAsk(from, *ask, now);
    if (decision) SendDecision(*decision);
    RunPool(scheduler);
  }
  if (const SlotHeld* held = std::get_if<SlotHeld>(&message)) {
    RefreshedScheduler(held->pool)->OnHeld(from, *held, now);
  }
  if (const SlotDone* done = std::get_if<SlotDone>(&message)) {
    SlotScheduler* scheduler = RefreshedScheduler(done->pool);
    scheduler->OnDone(from, *done, now);
    RunPool(scheduler);
  }
}

void SlotHome::OnTick() {
  const ViewPtr view = context_.views->Current();
  for (std::pair<const std::string, SlotScheduler>& row : pools_) {
    SlotScheduler* scheduler = RefreshedScheduler(row.first);
    scheduler->DropRequesters([&view](const PeerId& requester) {
      const auto it = view->entries.find(requester.instance);
      return it != view->entries.end() &&
             it->second.incarnation == requester.incarnation;
    });
    RunPool(scheduler);
  }
  applied_view_ = view;
}

}  // namespace basilusher
