// Guards against a watcher that reports a removal which is older than an item
// it has listed. The pages of a list are not one snapshot: a later page may
// show a newer state than the revision of the list.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "../Support/LogCapture.h"
#include "FleetSim.h"
#include "basilusher/Store/StoreWatcher.h"

namespace basilusher {
namespace {

constexpr Millis kLatency{4};

/// Answers List with `list` and the first Watch with `watch`; later watches
/// report no changes.
class ScriptedStore : public SimStore {
 public:
  explicit ScriptedStore(SimTimers* timers)
      : SimStore(timers), timers_(timers) {}

  void List(const std::string&, StoreAnswerCallback done,
            StoreProgressCallback) override {
    timers_->After(kLatency, [this, done] { done(list); });
  }
  void Watch(const std::string&, std::int64_t, Millis wait,
             StoreAnswerCallback done, StoreProgressCallback) override {
    const StoreAnswer answer = watch;
    watch.items.clear();
    timers_->After(answer.items.empty() ? wait : kLatency,
                   [done, answer] { done(answer); });
  }

  StoreAnswer list{.status = TxnStatus::kOk};
  StoreAnswer watch{.status = TxnStatus::kOk};

 private:
  SimTimers* timers_;
};

TEST(StoreWatcherTest, ARemovalOlderThanAListedItemIsNotReported) {
  SimTimers timers;
  ScriptedStore store(&timers);
  // The first page was read at revision 10. The key was removed at 11 and
  // written again at 12, before the second page was read.
  store.list.revision = 10;
  store.list.items = {{.key = "w/a", .value = "1", .revision = 3},
                      {.key = "w/b", .value = "2", .revision = 12}};
  store.watch.revision = 13;
  store.watch.items = {{.key = "w/b", .revision = 11, .removed = true},
                       {.key = "w/b", .value = "2", .revision = 12},
                       {.key = "w/a", .revision = 13, .removed = true}};
  std::vector<std::string> reported;
  const std::shared_ptr<StoreWatcher> watcher = std::make_shared<StoreWatcher>(
      &store, &timers, &timers, StoreWatcherOptions{.prefix = "w/"},
      StoreWatcher::Listener{.on_item =
                                 [&reported](const StoredItem& item) {
                                   reported.push_back(
                                       (item.removed ? "-" : "+") + item.key);
                                 },
                             .on_loaded = {}});
  watcher->Begin();
  timers.Run(Millis(100));
  watcher->Close();
  EXPECT_THAT(reported, testing::ElementsAre("+w/a", "+w/b", "-w/a"));
}

/// Guards against a list of an older state, after lost history, that ends what
/// was written after that state.
TEST(StoreWatcherTest, AListOfAnOlderStateRemovesNothingThatIsNewer) {
  SimTimers timers;
  ScriptedStore store(&timers);
  store.list.revision = 10;
  store.list.items = {{.key = "w/a", .value = "1", .revision = 3},
                      {.key = "w/c", .value = "1", .revision = 4}};
  store.watch.revision = 12;
  store.watch.items = {{.key = "w/b", .value = "2", .revision = 12}};
  std::vector<std::string> reported;
  const std::shared_ptr<StoreWatcher> watcher = std::make_shared<StoreWatcher>(
      &store, &timers, &timers,
      StoreWatcherOptions{.prefix = "w/", .wait = Millis(50)},
      StoreWatcher::Listener{.on_item =
                                 [&reported](const StoredItem& item) {
                                   reported.push_back(
                                       (item.removed ? "-" : "+") + item.key);
                                 },
                             .on_loaded = {}});
  watcher->Begin();
  timers.Run(Millis(20));
  store.list.revision = 11;
  store.list.items.pop_back();
  store.watch = {.status = TxnStatus::kCompacted};
  timers.Run(Millis(200));
  watcher->Close();
  EXPECT_THAT(reported, testing::ElementsAre("+w/a", "+w/c", "+w/b", "-w/c"));
}

/// A store over a slow link: a list takes `transfer_time` to arrive.
class SlowLinkStore : public SimStore {
 public:
  explicit SlowLinkStore(SimTimers* timers)
      : SimStore(timers), timers_(timers) {}

  void List(const std::string&, StoreAnswerCallback done,
            StoreProgressCallback on_progress) override {
    if (silent) {
      timers_->After(kCallTimeout,
                     [done] { done({.status = TxnStatus::kLost}); });
      return;
    }
    ++list_calls;
    most_arriving = std::max(most_arriving, ++arriving_);
    Arrive(timers_->Now() + transfer_time, done, on_progress);
  }
  void Watch(const std::string&, std::int64_t, Millis wait,
             StoreAnswerCallback done,
             StoreProgressCallback on_progress) override {
    waits.push_back(wait);
    if (watches_end_after > Millis(0)) {
      on_progress();
      timers_->After(watches_end_after,
                     [done] { done({.status = TxnStatus::kLost}); });
      return;
    }
    timers_->After(wait + kLatency, [this, done] {
      done({.status = silent ? TxnStatus::kLost : TxnStatus::kOk});
    });
  }

  bool silent = false;
  Millis transfer_time{0};
  /// Lists whose answers were on their way side by side.
  int most_arriving = 0;
  /// Of the watches so far.
  std::vector<Millis> waits;
  int list_calls = 0;
  /// Watches are cut off after this time if it is not zero.
  Millis watches_end_after{0};

 private:
  static constexpr Millis kCallTimeout{800};
  static constexpr Millis kProgressPeriod{10};

  void Arrive(TimePoint at, const StoreAnswerCallback& done,
              const StoreProgressCallback& on_progress) {
    if (timers_->Now() >= at) {
      --arriving_;
      return done({.status = TxnStatus::kOk});
    }
    on_progress();
    timers_->After(kProgressPeriod, [this, at, done, on_progress] {
      Arrive(at, done, on_progress);
    });
  }

  SimTimers* timers_;
  int arriving_ = 0;
};

std::shared_ptr<StoreWatcher> BeginWatcher(SlowLinkStore* store,
                                           SimTimers* timers) {
  std::shared_ptr<StoreWatcher> watcher = std::make_shared<StoreWatcher>(
      store, timers, timers,
      StoreWatcherOptions{.prefix = "w/", .wait = Millis(500)},
      StoreWatcher::Listener{.on_item = [](const StoredItem&) {},
                             .on_loaded = {},
                             .on_progress = {}});
  watcher->Begin();
  return watcher;
}

/// Guards against several copies of a long answer that share a slow link when
/// the store is back, so that none arrives in time.
TEST(StoreWatcherTest, OneLongAnswerArrivesAtATime) {
  SimTimers timers;
  SlowLinkStore store(&timers);
  store.silent = true;
  store.transfer_time = Millis(3000);
  const std::shared_ptr<StoreWatcher> watcher = BeginWatcher(&store, &timers);
  timers.Run(Millis(2000));
  store.silent = false;
  timers.Run(Millis(3300));
  EXPECT_TRUE(watcher->Loaded());
  EXPECT_EQ(store.most_arriving, 1);
  watcher->Close();
}

/// Guards against a view that was old when its answer had arrived and stays so
/// for the whole wait of the next watch.
TEST(StoreWatcherTest, ALateAnswerIsConfirmedAtOnce) {
  SimTimers timers;
  SlowLinkStore store(&timers);
  store.transfer_time = Millis(2000);
  const std::shared_ptr<StoreWatcher> watcher = BeginWatcher(&store, &timers);
  timers.Run(Millis(2000) + 2 * kLatency);
  EXPECT_LE(timers.Now() - watcher->FreshAt(), 2 * kLatency);
  timers.Run(Millis(600));
  watcher->Close();
  ASSERT_GE(store.waits.size(), 2U);
  EXPECT_EQ(store.waits[0], Millis(0));
  EXPECT_EQ(store.waits[1], Millis(500));
}

/// Guards against a watch that is repeated in vain, since the changes that it
/// missed take longer to arrive than a call may last.
TEST(StoreWatcherTest, ChangesThatNeverArriveWholeAreListed) {
  SimTimers timers;
  SlowLinkStore store(&timers);
  const std::shared_ptr<StoreWatcher> watcher = BeginWatcher(&store, &timers);
  timers.Run(Millis(1000));
  ASSERT_EQ(store.list_calls, 1);
  store.watches_end_after = Millis(15000);
  timers.Run(Millis(17000));
  EXPECT_EQ(store.list_calls, 2);
  watcher->Close();
}

/// Guards against a view that only grows older while no line tells why.
TEST(StoreWatcherTest, AViewThatFallsBehindIsReported) {
  SimTimers timers;
  SlowLinkStore store(&timers);
  const std::shared_ptr<StoreWatcher> watcher = BeginWatcher(&store, &timers);
  timers.Run(Millis(5000));
  const LogCapture log;
  timers.Run(Millis(5000));
  EXPECT_TRUE(log.Lines("view-behind").empty());
  store.silent = true;
  timers.Run(Millis(6000));
  watcher->Close();
  const std::vector<Json> lines = log.Lines("view-behind");
  ASSERT_FALSE(lines.empty());
  EXPECT_EQ(lines.back().at("prefix"), "w/");
  EXPECT_EQ(lines.back().at("step"), "watch");
  EXPECT_GT(lines.back().at("failed_calls"), 0);
}

}  // namespace
}  // namespace basilusher
