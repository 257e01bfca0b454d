// Limits retries to a fraction of first attempts.
#ifndef BASILUSHER_CONTROL_RETRYBUDGET_H_
#define BASILUSHER_CONTROL_RETRYBUDGET_H_

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace basilusher {

/// A token bucket for each queue and team: a first attempt adds a fraction of a
/// token, a retry takes one, so that retries can't outgrow the load that caused
/// them. Not thread-safe.
class RetryBudget {
 public:
  /// Adds the tokens of a first attempt.
  void OnFirstAttempt(const std::string& queue, const std::string& team) {
    double& tokens = TokensOf(queue, team);
    tokens = std::min(kMaxTokens, tokens + kTokensPerFirstAttempt);
  }

  /// Takes one token for a retry; false if the budget is spent.
  bool TryRetry(const std::string& queue, const std::string& team) {
    double& tokens = TokensOf(queue, team);
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }

 private:
  static constexpr double kMaxTokens = 10;
  static constexpr double kTokensPerFirstAttempt = 0.2;

  double& TokensOf(const std::string& queue, const std::string& team) {
    return tokens_.try_emplace({queue, team}, kMaxTokens).first->second;
  }

  std::map<std::pair<std::string, std::string>, double> tokens_;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_RETRYBUDGET_H_
