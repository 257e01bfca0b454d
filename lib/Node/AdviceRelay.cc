// Questions to the advisor, directly and through peers.
#include "basilusher/Node/AdviceRelay.h"

#include <algorithm>
#include <set>

#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Questions that may wait behind another one of their machine. Below the
/// advisor's own limit: it refuses a question that would wait behind 32 others.
constexpr int kMaxWaiting = 24;
/// Added to the time-out of a question for the way to the peer that asks it.
constexpr Millis kPeerAllowance{500};

Json EncodeAdvice(const AdviceAnswer& answer) {
  Json rows = Json::array();
  for (const auto& [worker, ticket] : answer.allowed) {
    rows.push_back({worker, ticket});
  }
  return {{"allowed", std::move(rows)}, {"valid_ms", answer.valid_ms}};
}

AdviceAnswer DecodeAdvice(const std::optional<Json>& in) {
  if (!in || !in->contains("allowed")) return {};
  AdviceAnswer answer{.answered = true,
                      .valid_ms = FieldOr(*in, "valid_ms", std::int64_t{0})};
  try {
    for (const Json& row : in->at("allowed")) {
      answer.allowed.emplace_back(row.at(0).get<std::string>(),
                                  row.at(1).get<std::string>());
    }
  } catch (const Json::exception& error) {
    LogEvent(LogLevel::kError, "advice-malformed", {{"error", error.what()}});
    return {};
  }
  return answer;
}

}  // namespace

AdviceRelay::AdviceRelay(AdvisorCaller* local, PeerCaller* caller,
                         const Clock* clock, PeerSource peers)
    : local_(local), caller_(caller), clock_(clock), peers_(std::move(peers)) {}

std::optional<int> AdviceRelay::OpenAt(const std::string& address) const {
  const auto it = windows_.find(address);
  if (it == windows_.end()) return 0;
  if (!it->second.MayAsk(clock_->Now())) return std::nullopt;
  return it->second.InFlight();
}

std::optional<std::string> AdviceRelay::LeastBusy() const {
  std::optional<std::string> best;
  int least = 0;
  const auto consider = [&](const std::string& address) {
    const std::optional<int> open = OpenAt(address);
    if (!open || (best && *open >= least)) return;
    best = address;
    least = *open;
  };
  consider(std::string());
  for (const auto& [node, address] : peers_()) consider(address);
  if (!best || least == 0) return best;
  int waiting = 0;
  for (const auto& [address, window] : windows_) {
    waiting += std::max(0, window.InFlight() - 1);
  }
  return waiting < kMaxWaiting ? best : std::nullopt;
}

bool AdviceRelay::MayAsk(AdviceNeed need) const {
  const std::optional<std::string> address = LeastBusy();
  return address &&
         (need == AdviceNeed::kNow || OpenAt(*address).value_or(1) == 0);
}

void AdviceRelay::Advise(const std::string& job, int occurrence, int step,
                         const std::vector<std::string>& workers,
                         Millis answer_time,
                         std::function<void(const AdviceAnswer&)> done) {
  DropUnused();
  const std::optional<std::string> address = LeastBusy();
  if (!address) return done({});
  const AdviceWindow::Question question =
      windows_[*address].Begin(clock_->Now(), answer_time);
  const auto finish = [this, address = *address, question,
                       done = std::move(done)](const AdviceAnswer& answer) {
    OnEnd(address, question, answer.answered);
    done(answer);
  };
  if (address->empty()) {
    local_->Advise(job, occurrence, step, workers, question.timeout, finish);
    return;
  }
  caller_->Call(*address, PeerPaths::kAdvise,
                {{"job", job},
                 {"occurrence", occurrence},
                 {"step", step},
                 {"workers", workers},
                 {"timeout_ms", question.timeout.count()}},
                question.timeout + kPeerAllowance,
                [finish](const std::optional<Json>& answer) {
                  finish(DecodeAdvice(answer));
                });
}

void AdviceRelay::OnEnd(const std::string& address,
                        const AdviceWindow::Question& question, bool answered) {
  const TimePoint now = clock_->Now();
  AdviceWindow& window = windows_[address];
  window.End(question, now, answered);
  if (answered) return;
  LogEvent(LogLevel::kWarning, "advice-failed",
           {{"through", address},
            {"after_ms", (now - question.sent_at).count()},
            {"answer_time_ms", question.answer_time.count()},
            {"timeout_ms", question.timeout.count()},
            {"in_flight", window.InFlight()},
            {"failures", window.Failures()}});
}

void AdviceRelay::DropUnused() {
  std::set<std::string> used = {std::string()};
  for (const auto& [node, address] : peers_()) used.insert(address);
  std::erase_if(windows_, [&used](const auto& entry) {
    return entry.second.InFlight() == 0 && !used.contains(entry.first);
  });
}

void AdviceRelay::Serve(PeerMethods* methods) {
  methods->On(PeerPaths::kAdvise, [this](const Json& body, PeerCallback done) {
    local_->Advise(body.at("job").get<std::string>(), body.at("occurrence"),
                   body.at("step"),
                   body.at("workers").get<std::vector<std::string>>(),
                   Millis(body.value("timeout_ms", std::int64_t{1000})),
                   [done](const AdviceAnswer& answer) {
                     if (!answer.answered) return done(std::nullopt);
                     done(EncodeAdvice(answer));
                   });
  });
}

}  // namespace basilusher
