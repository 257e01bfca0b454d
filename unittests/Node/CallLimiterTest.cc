// Guards against callers' requests that flood a slow or refusing store, so that
// no node renews its lease in time.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "SimNode.h"
#include "basilusher/Node/CallLimiter.h"

namespace basilusher {
namespace {

constexpr CallLimiterOptions kOptions{.least = 4, .most = 16};

/// Takes as many calls as are allowed and ends them with `status`.
int EndAll(CallLimiter* limiter, TxnStatus status) {
  int n = 0;
  while (limiter->TryBegin()) ++n;
  for (int i = 0; i < n; ++i) limiter->End(status);
  return n;
}

TEST(CallLimiterTest, CallsThatFailTogetherLowerTheLimitOnce) {
  SimTimers timers;
  CallLimiter limiter(&timers, kOptions);
  EXPECT_EQ(EndAll(&limiter, TxnStatus::kLost), 16);
  EXPECT_EQ(EndAll(&limiter, TxnStatus::kLost), 8);
  EXPECT_EQ(limiter.Limit(), 8);
}

/// Refusals come at once: a limit on calls under way alone would let a node
/// send hundreds a second.
TEST(CallLimiterTest, ARefusingStoreIsAskedTenTimesASecondByEachCall) {
  SimTimers timers;
  CallLimiter limiter(&timers, kOptions);
  int calls = 0;
  for (int ms = 0; ms < 1000; ms += 5) {
    calls += EndAll(&limiter, TxnStatus::kRefused);
    timers.Run(Millis(5));
  }
  EXPECT_GT(calls, 0);
  EXPECT_LE(calls, 16 + 8 + 10 * 4);
}

TEST(CallLimiterTest, TheLimitStaysAtItsLeastAndReturnsWithAnswers) {
  SimTimers timers;
  CallLimiter limiter(&timers, kOptions);
  for (int i = 0; i < 10; ++i) {
    EndAll(&limiter, TxnStatus::kLost);
    timers.Run(Millis(1000));
  }
  EXPECT_EQ(EndAll(&limiter, TxnStatus::kConflict), 4);
  for (int i = 0; i < 20; ++i) EndAll(&limiter, TxnStatus::kOk);
  EXPECT_EQ(limiter.Limit(), 16);
}

/// Answers reads and writes of callers after a second.
class SlowPath : public SimStorePath {
 public:
  SlowPath(TransactionalStore* store, SimTimers* timers)
      : SimStorePath(store, timers), timers_(timers) {}
  void Get(const std::string& key, StoreAnswerCallback done) override {
    SimStorePath::Get(key, Slow(std::move(done)));
  }
  void Commit(const Txn& txn, StoreAnswerCallback done) override {
    SimStorePath::Commit(txn, Slow(std::move(done)));
  }

  int under_way = 0;
  int most_under_way = 0;

 private:
  StoreAnswerCallback Slow(StoreAnswerCallback done) {
    most_under_way = std::max(most_under_way, ++under_way);
    return [this, done = std::move(done)](const StoreAnswer& answer) {
      timers_->After(Millis(1000), [this, done, answer] {
        --under_way;
        done(answer);
      });
    };
  }

  SimTimers* timers_;
};

class SlowStoreTest : public ::testing::Test {
 protected:
  SlowStoreTest() {
    sim.Run(Millis(2000));
    front = std::make_shared<JobFront>(JobFrontPorts{.store = &path,
                                                     .timers = &sim.timers,
                                                     .clock = &sim.timers,
                                                     .peers = &peers},
                                       JobFrontOptions{}, node.agent,
                                       node.catalogs);
  }

  FleetSim sim;
  SimPeers peers{&sim.timers};
  SimNode node{&sim, &peers, "a"};
  SlowPath path{&sim.store, &sim.timers};
  std::shared_ptr<JobFront> front;
};

TEST_F(SlowStoreTest, SubmissionsBeyondWhatTheStoreCarriesAreRefusedSoon) {
  constexpr int kJobs = 500;
  int accepted = 0;
  int refused = 0;
  for (int n = 0; n < kJobs; ++n) {
    const std::string digits = std::to_string(n);
    front->Submit(FleetSim::MakeJob(
                      std::string(16 - digits.size(), '0') + digits, 1, 500),
                  sim.timers.Now() + Millis(2850), [&](SubmitResult result) {
                    accepted += result == SubmitResult::kAccepted ? 1 : 0;
                    refused += result == SubmitResult::kRefused ? 1 : 0;
                  });
  }
  sim.Run(Millis(500));
  EXPECT_LE(path.most_under_way, 16);
  // A caller that cannot be served is told while it has time to return.
  EXPECT_EQ(refused, kJobs - path.under_way);
  sim.Run(Millis(3000));
  EXPECT_EQ(accepted + refused, kJobs);
  EXPECT_GT(accepted, 0);
}

TEST_F(SlowStoreTest, LookUpsDoNotFloodTheStore) {
  constexpr int kRequests = 500;
  int answered = 0;
  for (int n = 0; n < kRequests; ++n) {
    front->Find("00000000000000ff", sim.timers.Now() + Millis(2850),
                [&](const FindAnswer&) { ++answered; });
  }
  sim.Run(Millis(4000));
  EXPECT_EQ(answered, kRequests);
  EXPECT_LE(path.most_under_way, 16);
}

}  // namespace
}  // namespace basilusher
