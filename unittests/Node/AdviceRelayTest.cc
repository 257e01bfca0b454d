// Questions to the advisor spread over nodes.
#include <gtest/gtest.h>

#include "SimNode.h"
#include "basilusher/Node/AdviceRelay.h"

namespace basilusher {
namespace {

/// Serves one question at a time, as the advisor does for each machine.
class SerialAdvisor : public AdvisorCaller {
 public:
  explicit SerialAdvisor(SimTimers* timers) : timers_(timers) {}
  void Advise(const std::string&, int, int,
              const std::vector<std::string>& workers, Millis,
              std::function<void(const AdviceAnswer&)> done) override {
    ++questions;
    busy_until_ = std::max(busy_until_, timers_->Now()) + Millis(100);
    AdviceAnswer answer{.answered = true, .valid_ms = 500};
    for (const std::string& worker : workers) {
      answer.allowed.emplace_back(worker, "t");
    }
    timers_->After(busy_until_ - timers_->Now(),
                   [answer, done] { done(answer); });
  }

  int questions = 0;

 private:
  SimTimers* timers_;
  TimePoint busy_until_{};
};

TEST(AdviceRelayTest, QuestionsOfOneMomentAreAnsweredSideBySide) {
  SimTimers timers;
  SimPeers peers(&timers);
  SerialAdvisor own(&timers);
  SerialAdvisor other(&timers);
  const std::map<std::string, std::string> addresses = {{"b", "b:7000"}};
  const std::map<std::string, std::string> none;
  AdviceRelay asking(
      &own, &peers, &timers, [&]() -> const auto& { return addresses; });
  AdviceRelay helping(
      &other, &peers, &timers, [&]() -> const auto& { return none; });
  PeerMethods methods;
  helping.Serve(&methods);
  peers.Attach("b:7000", &methods);
  int answered = 0;
  for (int i = 0; i < 4; ++i) {
    asking.Advise("00000000000000a1", 0, i, {"w1"}, Millis(2000),
                  [&answered](const AdviceAnswer& answer) {
                    if (answer.answered && answer.allowed.size() == 1) {
                      ++answered;
                    }
                  });
  }
  timers.Run(Millis(220));
  EXPECT_EQ(answered, 4);
  EXPECT_EQ(own.questions, 2);
  EXPECT_EQ(other.questions, 2);
}

TEST(AdviceRelayTest, APeerThatDoesNotAnswerFailsTheQuestion) {
  SimTimers timers;
  SimPeers peers(&timers);
  SerialAdvisor own(&timers);
  const std::map<std::string, std::string> addresses = {{"b", "b:7000"}};
  AdviceRelay asking(
      &own, &peers, &timers, [&]() -> const auto& { return addresses; });
  int failed = 0;
  for (int i = 0; i < 3; ++i) {
    asking.Advise("00000000000000a1", 0, i, {"w1"}, Millis(500),
                  [&failed](const AdviceAnswer& answer) {
                    if (!answer.answered) ++failed;
                  });
  }
  timers.Run(Millis(4000));
  EXPECT_EQ(failed, 1);
}

}  // namespace
}  // namespace basilusher
