// Bounds retries to a fraction of first attempts.
#ifndef BASILUSHER_CONTROL_RETRYBUDGET_H_
#define BASILUSHER_CONTROL_RETRYBUDGET_H_

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace basilusher {

/// A token bucket for each queue and team: first attempts pay in, retries draw
/// out, so that retries can't outgrow the load that caused them. Not
/// thread-safe.
class RetryBudget {
 public:
  /// Notes a first attempt.
  void OnFirstAttempt(const std::string& queue, const std::string& team) {
    double& tokens = TokensOf(queue, team);
    tokens = std::min(kMostTokens, tokens + kTokensPerAttempt);
  }

  /// Draws one retry; false if the budget is spent.
  bool TryRetry(const std::string& queue, const std::string& team) {
    double& tokens = TokensOf(queue, team);
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }

 private:
  static constexpr double kMostTokens = 10;
  static constexpr double kTokensPerAttempt = 0.2;

  double& TokensOf(const std::string& queue, const std::string& team) {
    return tokens_.try_emplace({queue, team}, kMostTokens).first->second;
  }

  std::map<std::pair<std::string, std::string>, double> tokens_;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_RETRYBUDGET_H_
