// Choice of the next waiter and of its worker.
#include "basilusher/Control/SlotScheduler.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace basilusher {
namespace {

/// A waiter's priority rises by one class each time it has waited this long.
constexpr Millis kAgeingPeriod{2000};
/// A slot that was not released becomes free this long after its request's
/// deadline.
constexpr Millis kHoldMargin{2000};
/// Weight of a new service time in the moving average.
constexpr double kServiceSmoothing = 0.05;

}  // namespace

void SlotScheduler::SetPool(const std::vector<WorkerInfo>& workers,
                            int availability_budget,
                            const std::map<std::string, TeamIntent>& teams) {
  workers_.clear();
  std::set<std::string> names;
  for (const WorkerInfo& worker : workers) {
    workers_[worker.id] = worker;
    names.insert(worker.id);
  }
  health_.SetBudget(availability_budget);
  health_.RetainOnly(names);
  shares_.clear();
  for (const std::pair<const std::string, TeamIntent>& row : teams) {
    shares_[row.first] = row.second.share;
  }
}

std::optional<SlotDecision> SlotScheduler::OnAsk(const PeerId& requester,
                                                 const SlotAsk& ask,
                                                 TimePoint now) {
  const SlotKey key{requester, ask.request_id, ask.attempt};
  const auto use = uses_.find(key);
  if (use != uses_.end()) {
    return SlotDecision{.key = key, .worker = use->second.worker};
  }
  int ahead = 0;
  for (const Waiter& waiter : waiting_) {
    if (waiter.key == key) return std::nullopt;
    if (waiter.ask.queue == ask.queue) ++ahead;
  }
  const int wait_ms = ExpectedWaitMs();
  if (ahead >= ask.max_waiting || wait_ms > ask.wait_ms) {
    return SlotDecision{.key = key,
                        .code = workers_.empty() ? ResultCode::kNoWorker
                                                 : ResultCode::kOverloaded,
                        .retry_after_ms = std::max(wait_ms, 100)};
  }
  waiting_.push_back({.key = key,
                      .ask = ask,
                      .since = now,
                      .until = now + Millis(ask.wait_ms)});
  return std::nullopt;
}

int SlotScheduler::ExpectedWaitMs() const {
  int slots = 0;
  for (const std::pair<const std::string, WorkerInfo>& row : workers_) {
    slots += row.second.slots;
  }
  if (slots == 0) return std::numeric_limits<int>::max() / 2;
  const int ahead = Waiting() + InUse() - slots;
  return ahead <= 0 ? 0 : static_cast<int>(ahead * service_ms_ / slots);
}

void SlotScheduler::OnHeld(const PeerId& requester, const SlotHeld& held,
                           TimePoint now) {
  const SlotKey key{requester, held.request_id, held.attempt};
  const auto [it, fresh] =
      uses_.try_emplace(key, Use{held.worker, held.team, {}});
  it->second.until = now + Millis(held.hold_ms) + kHoldMargin;
  if (!fresh) return;
  ++worker_use_[held.worker];
  ++team_use_[held.team];
}

void SlotScheduler::EndUse(std::map<SlotKey, Use>::iterator it) {
  --worker_use_[it->second.worker];
  if (--team_use_[it->second.team] == 0) team_use_.erase(it->second.team);
  uses_.erase(it);
}

void SlotScheduler::OnDone(const PeerId& requester, const SlotDone& done,
                           TimePoint now) {
  const SlotKey key{requester, done.request_id, done.attempt};
  std::erase_if(waiting_, [&key](const Waiter& row) { return row.key == key; });
  const auto it = uses_.find(key);
  if (it == uses_.end()) return;
  health_.Record(done.worker, done.request_id, done.result, now);
  if (done.result == SlotResult::kAnswered) {
    service_ms_ += kServiceSmoothing *
                   (static_cast<double>(done.service_ms) - service_ms_);
  }
  EndUse(it);
}

void SlotScheduler::DropRequesters(
    const std::function<bool(const PeerId&)>& alive) {
  std::erase_if(waiting_, [&alive](const Waiter& row) {
    return !alive(row.key.requester);
  });
  for (auto it = uses_.begin(); it != uses_.end();) {
    const auto next = std::next(it);
    if (!alive(it->first.requester)) EndUse(it);
    it = next;
  }
}

int SlotScheduler::InUseOf(const std::string& team) const {
  const auto it = team_use_.find(team);
  return it == team_use_.end() ? 0 : it->second;
}

double SlotScheduler::LoadOf(const std::string& team) const {
  const auto share = shares_.find(team);
  const double weight = share == shares_.end() ? 1 : share->second;
  return (InUseOf(team) + 1) / weight;
}

int SlotScheduler::PriorityOf(const Waiter& waiter, TimePoint now) const {
  const int tier = static_cast<int>(waiter.ask.work_class);
  const int aged = static_cast<int>((now - waiter.since) / kAgeingPeriod);
  return std::max(0, tier - aged);
}

std::list<SlotScheduler::Waiter>::iterator SlotScheduler::ChooseWaiter(
    TimePoint now) {
  auto best = waiting_.end();
  std::pair<int, double> best_rank;
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    const std::pair<int, double> rank{PriorityOf(*it, now),
                                      LoadOf(it->ask.team)};
    // The list is in order of arrival: of equal ranks the first one is chosen.
    if (best != waiting_.end() && rank >= best_rank) continue;
    if (ChooseWorker(*it, now).empty()) continue;
    best = it;
    best_rank = rank;
  }
  return best;
}

std::string SlotScheduler::ChooseWorker(const Waiter& waiter,
                                        TimePoint now) const {
  std::string best;
  int best_free = 0;
  bool best_avoided = true;
  for (const std::pair<const std::string, WorkerInfo>& row : workers_) {
    const auto use = worker_use_.find(row.first);
    const int in_use = use == worker_use_.end() ? 0 : use->second;
    const int free =
        health_.AllowedSlots(row.first, row.second.slots, now) - in_use;
    if (free <= 0) continue;
    const bool avoided =
        std::find(waiter.ask.avoid.begin(), waiter.ask.avoid.end(),
                  row.first) != waiter.ask.avoid.end();
    const bool better = best.empty() || (best_avoided && !avoided) ||
                        (best_avoided == avoided && free > best_free);
    if (!better) continue;
    best = row.first;
    best_free = free;
    best_avoided = avoided;
  }
  return best;
}

void SlotScheduler::Grant(const Waiter& waiter, const std::string& worker,
                          TimePoint now) {
  uses_[waiter.key] = {worker, waiter.ask.team,
                       now + Millis(waiter.ask.hold_ms) + kHoldMargin};
  ++worker_use_[worker];
  ++team_use_[waiter.ask.team];
}

std::vector<SlotDecision> SlotScheduler::Schedule(TimePoint now) {
  std::vector<SlotDecision> decisions;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const auto next = std::next(it);
    if (it->until <= now) {
      decisions.push_back(
          {.key = it->key, .code = ResultCode::kDeadlineExpired});
      waiting_.erase(it);
    }
    it = next;
  }
  for (auto it = uses_.begin(); it != uses_.end();) {
    const auto next = std::next(it);
    if (it->second.until <= now) EndUse(it);
    it = next;
  }
  while (true) {
    const auto it = ChooseWaiter(now);
    if (it == waiting_.end()) break;
    const std::string worker = ChooseWorker(*it, now);
    Grant(*it, worker, now);
    decisions.push_back({.key = it->key, .worker = worker});
    waiting_.erase(it);
  }
  return decisions;
}

}  // namespace basilusher
