// Guards against a watcher that reports a removal which is older than an item
// it has listed. The pages of a list are not one snapshot: a later page may
// show a newer state than the revision of the list.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

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

  void List(const std::string&, StoreAnswerCallback done) override {
    timers_->After(kLatency, [this, done] { done(list); });
  }
  void Watch(const std::string&, std::int64_t, Millis wait,
             StoreAnswerCallback done) override {
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

}  // namespace
}  // namespace basilusher
