// Questions to the advisor, directly and through peers.
#include "basilusher/Node/AdviceRelay.h"

#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

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

AdviceRelay::AdviceRelay(PlacementAdvisor* local, PeerCaller* caller,
                         PeerSource peers)
    : local_(local), caller_(caller), peers_(std::move(peers)) {}

std::string AdviceRelay::LeastBusy() const {
  const auto open_at = [this](const std::string& address) {
    const auto it = open_.find(address);
    return it == open_.end() ? 0 : it->second;
  };
  std::string best;
  int least = open_at(best);
  for (const auto& [node, address] : peers_()) {
    const int open = open_at(address);
    if (open >= least) continue;
    best = address;
    least = open;
  }
  return best;
}

void AdviceRelay::Advise(const std::string& job, int occurrence, int step,
                         const std::vector<std::string>& workers,
                         Millis timeout,
                         std::function<void(const AdviceAnswer&)> done) {
  const std::string address = LeastBusy();
  ++open_[address];
  const auto finish = [this, address,
                       done = std::move(done)](const AdviceAnswer& answer) {
    if (--open_[address] == 0) open_.erase(address);
    done(answer);
  };
  if (address.empty()) {
    local_->Advise(job, occurrence, step, workers, timeout, finish);
    return;
  }
  caller_->Call(address, PeerPaths::kAdvise,
                {{"job", job},
                 {"occurrence", occurrence},
                 {"step", step},
                 {"workers", workers},
                 {"timeout_ms", timeout.count()}},
                timeout, [finish](std::optional<Json> answer) {
                  finish(DecodeAdvice(answer));
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
