// Guards against starts of lasting tasks that wait behind the records of
// thousands of ended runs, and against records that fall behind the ends.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "FleetSim.h"
#include "basilusher/Partition/Recorder.h"

namespace basilusher {
namespace {

constexpr Millis kCommitTime{200};

/// Answers each commit after kCommitTime, as a slow store or a busy loop does.
class SlowCommits : public SimStore {
 public:
  explicit SlowCommits(SimTimers* timers) : SimStore(timers), timers_(timers) {}
  void Commit(const Txn& txn, StoreAnswerCallback done) override {
    ++under_way;
    most_under_way = std::max(most_under_way, under_way);
    SimStore::Commit(txn, [this, done](const StoreAnswer& answer) {
      timers_->After(kCommitTime, [this, done, answer] {
        --under_way;
        done(answer);
      });
    });
  }

  int under_way = 0;
  int most_under_way = 0;

 private:
  SimTimers* timers_;
};

class RecorderTest : public ::testing::Test {
 protected:
  RecorderTest() {
    RecorderKeys keys{.term_key = "owner",
                      .progress_prefix = "progress/",
                      .final_prefix = "final/"};
    keys.term_revision = store.Put(keys.term_key, "1");
    recorder = std::make_shared<Recorder>(
        &store, &timers, keys,
        Recorder::Listener{.snapshot =
                               [](const std::string& job) {
                                 return JobSnapshot{.bytes = job};
                               },
                           .on_final = [](const std::string&) {},
                           .on_deposed = [](std::int64_t) {}});
  }

  /// Saves `n` jobs, each by itself.
  void SaveMany(int n) {
    for (int i = 0; i < n; ++i) {
      recorder->Save({"job" + std::to_string(i)}, [this] { ++stored; });
    }
  }

  SimTimers timers;
  SlowCommits store{&timers};
  std::shared_ptr<Recorder> recorder;
  int stored = 0;
};

TEST_F(RecorderTest, AnUrgentSaveIsNotHeldUpByOthers) {
  SaveMany(5000);
  timers.Run(Millis(500));
  bool urgent_stored = false;
  recorder->Save(
      {"lasting"}, [&] { urgent_stored = true; }, SavePriority::kUrgent);
  timers.Run(2 * kCommitTime + Millis(100));
  EXPECT_TRUE(urgent_stored);
  EXPECT_LT(stored, 5000);
}

/// The job waits for other reasons already when its start is to be stored.
TEST_F(RecorderTest, AJobThatWaitsBecomesUrgent) {
  SaveMany(5000);
  bool urgent_stored = false;
  recorder->Save(
      {"job4999"}, [&] { urgent_stored = true; }, SavePriority::kUrgent);
  timers.Run(2 * kCommitTime + Millis(100));
  EXPECT_TRUE(urgent_stored);
  timers.Run(Millis(60000));
  EXPECT_EQ(stored, 5000);
  EXPECT_TRUE(recorder->Idle());
}

TEST_F(RecorderTest, ABacklogIsWrittenWithMoreTransactionsSideBySide) {
  SaveMany(30);
  timers.Run(Millis(5000));
  EXPECT_LE(store.most_under_way, 3);
  SaveMany(2000);
  timers.Run(Millis(10000));
  EXPECT_EQ(stored, 2030);
  EXPECT_LE(store.most_under_way, 12);
}

}  // namespace
}  // namespace basilusher
