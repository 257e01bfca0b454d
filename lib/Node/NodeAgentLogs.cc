// Log lines from which it can be told who held which term, in which life of its
// process, and what a new owner heard of the one before.
#include "basilusher/Node/NodeAgent.h"
#include "basilusher/Support/Json.h"
#include "basilusher/Support/Log.h"

namespace basilusher {

void NodeAgent::LogElected(const OwnerView& earlier) const {
  if (ports_.counters != nullptr) ports_.counters->Add("terms_begun_total");
  LogEvent(LogLevel::kInfo, "elected",
           {{"term", owner_view_.term},
            {"revision", owner_view_.revision},
            {"incarnation", options_.incarnation},
            {"last_own_term", held_term_},
            {"earlier_node", earlier.node},
            {"earlier_incarnation", earlier.incarnation},
            {"earlier_term", earlier.term}});
}

void NodeAgent::LogTermEnded(const char* reason) const {
  Json fields = {
      {"term", owner_->Term()},
      {"reason", reason},
      {"incarnation", options_.incarnation},
      {"loaded", owner_->Loaded()},
      {"unread", owner_->UnreadWorkers()},
      {"long_leases", owner_->FindLongLeases().size()},
      {"confirmed_for_ms", (confirmed_until_ - ports_.clock->Now()).count()}};
  if (const std::optional<Deposal>& deposal = owner_->Deposed()) {
    fields["by"] = NameOf(kDeposedByNames, deposal->by);
    fields["source"] = deposal->source;
    fields["ours"] = deposal->ours;
    fields["found"] = deposal->found;
  }
  LogEvent(LogLevel::kWarning, "term-ended", fields);
}

void NodeAgent::LogEarlierOwner(const OwnerView& earlier, const char* answer,
                                const std::optional<LongLeases>& long_leases) {
  // A request without an answer is repeated.
  if (logged_answer_ == std::pair(owner_->Term(), std::string(answer))) return;
  logged_answer_ = {owner_->Term(), answer};
  LogEvent(LogLevel::kInfo, "earlier-owner",
           {{"term", owner_->Term()},
            {"earlier_node", earlier.node},
            {"earlier_term", earlier.term},
            {"answer", answer},
            {"long_leases", long_leases ? Json(long_leases->size()) : Json()}});
}

}  // namespace basilusher
