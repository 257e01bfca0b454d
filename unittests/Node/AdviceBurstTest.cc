// Guards against jobs that never start because the owner asks the placement
// advisor more than it can answer in time: what it still works off of the
// questions that were given up kept all later answers late.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "SimNode.h"
#include "basilusher/Node/AdviceRelay.h"

namespace basilusher {
namespace {

constexpr int kJobs = 80;
constexpr int kWorkers = 9;
constexpr std::size_t kMaxWaitingCalls = 32;
/// The tasks' work, after the last answer.
constexpr Millis kWork{2000};

/// The advisor as one machine sees it: it answers in turn, and works off the
/// questions too that were given up.
class TurnAdvisor : public AdvisorCaller {
 public:
  explicit TurnAdvisor(SimTimers* timers) : timers_(timers) {}

  void Advise(const std::string&, int, int,
              const std::vector<std::string>& workers, Millis timeout,
              std::function<void(const AdviceAnswer&)> done) override {
    ++questions;
    if (silent) {
      timers_->After(timeout, [done] { done({}); });
      return;
    }
    const TimePoint now = timers_->Now();
    std::erase_if(ends_, [now](TimePoint end) { return end <= now; });
    if (ends_.size() > kMaxWaitingCalls) return done({});
    const TimePoint end =
        (ends_.empty() ? now : ends_.back()) + AnswerTime(workers.size());
    ends_.push_back(end);
    if (end - now > timeout) {
      ++late;
      timers_->After(timeout, [done] { done({}); });
      return;
    }
    AdviceAnswer answer{.answered = true};
    for (const std::string& worker : workers) {
      answer.allowed.emplace_back(worker, "ticket-" + worker);
    }
    timers_->After(end - now, [answer, done] { done(answer); });
  }

  /// Somebody else's questions wait before later ones.
  void AddQuestions(int count) {
    for (int i = 0; i < count; ++i) {
      const TimePoint begin = ends_.empty() ? timers_->Now() : ends_.back();
      ends_.push_back(begin + AnswerTime(kWorkers));
    }
  }

  Millis decide{250};
  Millis per_worker{10};
  bool silent = false;
  int questions = 0;
  /// Answers that came after the question was given up.
  int late = 0;

 private:
  Millis AnswerTime(std::size_t workers) const {
    return decide + per_worker * static_cast<std::int64_t>(workers);
  }

  SimTimers* timers_;
  /// When each question is answered that is not answered yet.
  std::vector<TimePoint> ends_;
};

/// The owner's node and two peers, with a queue whose advisor takes 0.34 s for
/// an answer about all workers.
class AdviceBurstTest : public ::testing::Test {
 protected:
  AdviceBurstTest() {
    sim.catalog.pools.erase("spare");
    for (int i = 0; i < kWorkers; ++i) sim.fleet.AddWorker("pool");
    sim.fleet.requires_tickets = true;
    sim.advisor = &relay;
    for (std::size_t i = 0; i < peer_relays.size(); ++i) {
      peer_relays[i].Serve(&methods[i]);
      peers.Attach("n" + std::to_string(i) + ":7000", &methods[i]);
    }
    SetAdvice(Millis(250), Millis(10));
  }

  void TearDown() override {
    EXPECT_EQ(sim.fleet.starts_without_ticket, 0);
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }

  /// The policy as the configuration states it.
  void SetAdvice(Millis decide, Millis per_worker) {
    sim.catalog.queues["queue"].advice = {.needed = true,
                                          .decide_ms = decide.count(),
                                          .per_worker_ms = per_worker.count(),
                                          .valid_ms = 10000};
  }

  void SubmitBurst(int count = kJobs) {
    sim.BeginTerm();
    sim.Run(Millis(300));
    for (int i = 0; i < count; ++i) {
      std::string id = std::to_string(i);
      id.insert(0, 16 - id.size(), '0');
      sim.Submit(FleetSim::MakeJob(id, 1, 500));
      jobs.push_back(id);
      sim.Run(Millis(50));
    }
  }

  std::ptrdiff_t Done() {
    return std::count_if(jobs.begin(), jobs.end(), [this](const auto& id) {
      return sim.StateOf(id) == JobState::kSucceeded;
    });
  }

  int Questions() const {
    int sum = 0;
    for (const TurnAdvisor& advisor : advisors) sum += advisor.questions;
    return sum;
  }
  int Late() const {
    int sum = 0;
    for (const TurnAdvisor& advisor : advisors) sum += advisor.late;
    return sum;
  }

  FleetSim sim;
  SimPeers peers{&sim.timers};
  /// The owner's and its peers'.
  std::vector<TurnAdvisor> advisors =
      std::vector<TurnAdvisor>(3, TurnAdvisor(&sim.timers));
  std::map<std::string, std::string> addresses = {{"n0", "n0:7000"},
                                                  {"n1", "n1:7000"}};
  std::map<std::string, std::string> none;
  AdviceRelay relay{&advisors[0], &peers,
                    &sim.timers, [this]() -> const auto& {return addresses;
}
};  // namespace
std::vector<AdviceRelay> peer_relays = {
    AdviceRelay(
        &advisors[1], &peers,
        &sim.timers, [this]() -> const auto& { return none; }),
    AdviceRelay(
        &advisors[2], &peers,
        &sim.timers, [this]() -> const auto& { return none; })};
std::vector<PeerMethods> methods = std::vector<PeerMethods>(2);
std::vector<std::string> jobs;
};  // namespace basilusher

// The advisor answers 8.8 questions a second, and 20 a second come in.
TEST_F(AdviceBurstTest, EachJobStartsInItsTurn) {
  SubmitBurst();
  sim.Run(Millis(kJobs * 340 / 3) - Millis(4000) + kWork);
  EXPECT_EQ(Done(), kJobs);
  EXPECT_EQ(Late(), 0);
  EXPECT_LE(Questions(), kJobs + 3);
}

// The same where each answer takes longer than the network allowance.
TEST_F(AdviceBurstTest, LongAnswersAreAwaited) {
  for (TurnAdvisor& advisor : advisors) advisor.decide = Millis(4000);
  SetAdvice(Millis(4000), Millis(10));
  SubmitBurst(30);
  sim.Run(Millis(30 * 4090 / 3) + kWork);
  EXPECT_EQ(Done(), 30);
  EXPECT_EQ(Late(), 0);
}

// Guards against time-outs that follow the configuration alone: the advisor is
// five times as slow as it states.
TEST_F(AdviceBurstTest, AnAdvisorSlowerThanItsPolicyIsAwaited) {
  for (TurnAdvisor& advisor : advisors) advisor.decide = Millis(1610);
  SubmitBurst(30);
  sim.Run(Millis(30 * 1700 / 3 + 10000) + kWork);
  EXPECT_EQ(Done(), 30);
}

// Guards against an owner that gives up one question after the other while the
// advisor works off what a former owner has asked.
TEST_F(AdviceBurstTest, EarlierQuestionsAreWorkedOff) {
  for (TurnAdvisor& advisor : advisors) advisor.AddQuestions(30);
  SubmitBurst(30);
  // What was left behind, and a pause and a time-out that fit it.
  sim.Run(Millis(30 * 340 + 30 * 340 / 3 + 12000) + kWork);
  EXPECT_EQ(Done(), 30);
}

// Guards against questions without bound to an advisor that does not answer,
// and against a job that is forgotten meanwhile.
TEST_F(AdviceBurstTest, ASilentAdvisorIsAskedAgainAtAFallingRate) {
  for (TurnAdvisor& advisor : advisors) advisor.silent = true;
  SubmitBurst(30);
  sim.Run(Millis(20000));
  EXPECT_LE(Questions(), 3 * 8);
  EXPECT_EQ(Done(), 0);
  for (TurnAdvisor& advisor : advisors) advisor.silent = false;
  sim.Run(Millis(20000));
  EXPECT_EQ(Done(), 30);
}

// Guards against a node without a way to the advisor that holds questions
// which the others could ask.
TEST_F(AdviceBurstTest, ANodeThatGetsNoAnswersIsPassedOver) {
  advisors[1].silent = true;
  SubmitBurst(40);
  sim.Run(Millis(40 * 340 / 2) + Millis(6000) + kWork);
  EXPECT_EQ(Done(), 40);
}

// Guards against questions about steps that wait for others which take the turn
// of steps that could start.
TEST_F(AdviceBurstTest, AStepThatCannotStartYetLeavesItsTurnToOthers) {
  const auto begin = [this](int in_flight) {
    for (int i = 0; i < in_flight; ++i) {
      relay.Advise("00000000000000a1", 0, i, {"w0"}, Millis(260),
                   [](const AdviceAnswer&) {});
    }
  };
  EXPECT_TRUE(relay.MayAsk(AdviceNeed::kLater));
  begin(3);
  EXPECT_FALSE(relay.MayAsk(AdviceNeed::kLater));
  EXPECT_TRUE(relay.MayAsk(AdviceNeed::kNow));
  begin(3);
  EXPECT_FALSE(relay.MayAsk(AdviceNeed::kNow));
  sim.Run(Millis(300));
  EXPECT_TRUE(relay.MayAsk(AdviceNeed::kNow));
  sim.Run(Millis(3000));
}

}  // namespace
}  // namespace basilusher
