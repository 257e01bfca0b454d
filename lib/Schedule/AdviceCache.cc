// Tickets and refusals by step.
#include "basilusher/Schedule/AdviceCache.h"

namespace basilusher {
namespace {

/// Maximum number of workers in one question. The advisor takes time for each
/// worker, and a job's latency objective allows for about this many for each
/// step.
constexpr std::size_t kWorkersPerQuestion = 30;
/// Backoff after a question that was not answered.
constexpr Millis kRetryBackoff{150};

}  // namespace

std::vector<std::string> AdviceCache::WorkersToAsk(
    const StepKey& key, const std::vector<std::string>& candidates,
    TimePoint now) const {
  const auto it = steps_.find(key);
  const Step* step = it == steps_.end() ? nullptr : &it->second;
  std::vector<std::string> workers;
  if (step != nullptr && (step->open || now < step->not_before)) return workers;
  for (const std::string& worker : candidates) {
    if (workers.size() >= kWorkersPerQuestion) break;
    if (step != nullptr && step->refused.contains(worker)) continue;
    if (Ticket(key, worker, now) == nullptr) workers.push_back(worker);
  }
  return workers;
}

void AdviceCache::RecordQuestion(const StepKey& key) {
  Step& step = steps_[key];
  step.open = true;
  step.forgotten.clear();
}

void AdviceCache::RecordAnswer(
    const StepKey& key, const std::vector<std::string>& asked,
    const std::vector<std::pair<std::string, std::string>>& allowed,
    TimePoint valid_until) {
  const auto it = steps_.find(key);
  if (it == steps_.end()) return;  // the job has ended in the meantime
  Step& step = it->second;
  step.open = false;
  for (const std::string& worker : asked) {
    if (!step.forgotten.contains(worker)) step.refused.insert(worker);
  }
  for (const auto& [worker, ticket] : allowed) {
    if (step.forgotten.contains(worker)) continue;
    step.refused.erase(worker);
    step.tickets[worker] = {.text = ticket, .valid_until = valid_until};
  }
}

void AdviceCache::RecordFailure(const StepKey& key, TimePoint now) {
  const auto it = steps_.find(key);
  if (it == steps_.end()) return;
  it->second.open = false;
  it->second.not_before = now + kRetryBackoff;
}

const std::string* AdviceCache::Ticket(const StepKey& key,
                                       const std::string& worker,
                                       TimePoint now) const {
  const auto step = steps_.find(key);
  if (step == steps_.end()) return nullptr;
  const auto ticket = step->second.tickets.find(worker);
  if (ticket == step->second.tickets.end() ||
      now >= ticket->second.valid_until) {
    return nullptr;
  }
  return &ticket->second.text;
}

int AdviceCache::RefusedCount(const StepKey& key) const {
  const auto step = steps_.find(key);
  return step == steps_.end() ? 0
                              : static_cast<int>(step->second.refused.size());
}

void AdviceCache::DropTicket(const StepKey& key, const std::string& worker) {
  const auto step = steps_.find(key);
  if (step != steps_.end()) step->second.tickets.erase(worker);
}

void AdviceCache::ForgetWorker(const std::string& worker) {
  for (auto& [key, step] : steps_) {
    step.tickets.erase(worker);
    step.refused.erase(worker);
    if (step.open) step.forgotten.insert(worker);
  }
}

void AdviceCache::ForgetJob(const std::string& job) {
  const auto begin = steps_.lower_bound({.job = job});
  auto end = begin;
  while (end != steps_.end() && end->first.job == job) ++end;
  steps_.erase(begin, end);
}

}  // namespace basilusher
