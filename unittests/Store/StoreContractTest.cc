// One contract, run against the store in memory and against the stand-in over
// HTTP through the product's adapter.
#include <gtest/gtest.h>

#include <memory>

#include "basilusher/Standin/Servers.h"
#include "basilusher/Store/HttpStore.h"
#include "basilusher/Store/MemoryStore.h"
#include "basilusher/Store/StoreSession.h"

namespace basilusher {
namespace {

/// The calls of the contract, whichever side serves them.
class StoreUnderTest {
 public:
  virtual ~StoreUnderTest() = default;
  virtual StoreReply Get(const std::string& key) = 0;
  virtual StoreReply List(const std::string& prefix) = 0;
  virtual StoreReply Swap(const SwapRequest& request) = 0;
  virtual StoreReply KeepLease(const std::string& id, Millis ttl) = 0;
  virtual StoreReply EndLease(const std::string& id) = 0;
};

class InMemory : public StoreUnderTest {
 public:
  StoreReply Get(const std::string& key) override { return store_.Get(key); }
  StoreReply List(const std::string& prefix) override {
    return store_.List(prefix);
  }
  StoreReply Swap(const SwapRequest& request) override {
    return store_.Swap(request);
  }
  StoreReply KeepLease(const std::string& id, Millis ttl) override {
    return store_.KeepLease(id, ttl, TimePoint{});
  }
  StoreReply EndLease(const std::string& id) override {
    return store_.EndLease(id);
  }

 private:
  MemoryStore store_;
};

class OverHttp : public StoreUnderTest {
 public:
  OverHttp() : server_(PlatformOptions{}) {
    store_ = std::make_unique<HttpStore>(
        HttpStoreOptions{.address = "127.0.0.1", .port = server_.Start()});
  }
  StoreReply Get(const std::string& key) override { return store_->Get(key); }
  StoreReply List(const std::string& prefix) override {
    return store_->List(prefix);
  }
  StoreReply Swap(const SwapRequest& request) override {
    return store_->Swap(request);
  }
  StoreReply KeepLease(const std::string& id, Millis ttl) override {
    return store_->KeepLease(id, ttl);
  }
  StoreReply EndLease(const std::string& id) override {
    return store_->EndLease(id);
  }

 private:
  PlatformServer server_;
  std::unique_ptr<HttpStore> store_;
};

class StoreContract : public ::testing::TestWithParam<bool> {
 protected:
  void SetUp() override {
    if (GetParam()) {
      store_ = std::make_unique<OverHttp>();
    } else {
      store_ = std::make_unique<InMemory>();
    }
  }
  std::unique_ptr<StoreUnderTest> store_;
};

TEST_P(StoreContract, SwapsOnlyFromTheExpectedVersion) {
  EXPECT_EQ(store_->Get("k").status, StoreStatus::kNotFound);
  const StoreReply made = store_->Swap({.key = "k", .value = "one"});
  ASSERT_EQ(made.status, StoreStatus::kOk);
  const StoreReply conflict = store_->Swap({.key = "k", .value = "two"});
  EXPECT_EQ(conflict.status, StoreStatus::kConflict);
  EXPECT_EQ(conflict.version, made.version);
  const StoreReply next = store_->Swap(
      {.key = "k", .expected_version = made.version, .value = "two"});
  ASSERT_EQ(next.status, StoreStatus::kOk);
  EXPECT_GT(next.version, made.version);
  const StoreReply read = store_->Get("k");
  EXPECT_EQ(read.entries.at(0).value, "two");
  EXPECT_EQ(read.entries.at(0).version, next.version);
}

TEST_P(StoreContract, ListsByPrefixInOrder) {
  for (const char* key : {"a/2", "a/1", "b/1"}) {
    store_->Swap({.key = key, .value = key});
  }
  const StoreReply list = store_->List("a/");
  ASSERT_EQ(list.entries.size(), 2U);
  EXPECT_EQ(list.entries[0].key, "a/1");
  EXPECT_EQ(list.entries[1].key, "a/2");
}

TEST_P(StoreContract, ErasesFromTheExpectedVersion) {
  const StoreReply made = store_->Swap({.key = "k", .value = "v"});
  EXPECT_EQ(store_->Swap({.key = "k", .erase = true}).status,
            StoreStatus::kConflict);
  EXPECT_EQ(
      store_
          ->Swap({.key = "k", .expected_version = made.version, .erase = true})
          .status,
      StoreStatus::kOk);
  EXPECT_EQ(store_->Get("k").status, StoreStatus::kNotFound);
}

TEST_P(StoreContract, LeasedKeysGoWithTheirLease) {
  EXPECT_EQ(store_->Swap({.key = "k", .value = "v", .lease = "l"}).status,
            StoreStatus::kConflict);
  store_->KeepLease("l", Millis(60000));
  EXPECT_EQ(store_->Swap({.key = "k", .value = "v", .lease = "l"}).status,
            StoreStatus::kOk);
  EXPECT_EQ(store_->EndLease("l").status, StoreStatus::kOk);
  EXPECT_EQ(store_->Get("k").status, StoreStatus::kNotFound);
}

INSTANTIATE_TEST_SUITE_P(Sides, StoreContract, ::testing::Bool(),
                         [](const ::testing::TestParamInfo<bool>& param) {
                           return param.param ? "OverHttp" : "InMemory";
                         });

TEST(MemoryStore, LeasesEndOnTime) {
  MemoryStore store;
  const TimePoint start{Millis(1000)};
  store.KeepLease("l", Millis(100), start);
  store.Swap({.key = "k", .value = "v", .lease = "l"});
  EXPECT_EQ(store.ExpireLeases(start + Millis(99)), 0);
  EXPECT_EQ(store.ExpireLeases(start + Millis(100)), 1);
  EXPECT_EQ(store.Get("k").status, StoreStatus::kNotFound);
  const std::vector<StoreEntry> changes = store.ChangesAfter({"k"}, 1);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].version, 0);
}

struct FaultRow {
  FaultKind kind;
  StoreStatus write;
  bool took_effect;
};

TEST(StandinFaults, EachKindIsToldTruly) {
  PlatformServer server(PlatformOptions{});
  const int port = server.Start();
  const std::vector<FaultRow> rows = {
      {FaultKind::kRefuse, StoreStatus::kUnavailable, false},
      {FaultKind::kCut, StoreStatus::kAnswerLost, false},
      {FaultKind::kLoseAnswer, StoreStatus::kAnswerLost, true}};
  HttpStore store({.address = "127.0.0.1", .port = port});
  for (const FaultRow& row : rows) {
    const std::string key = std::string(NameOf(kFaultNames, row.kind));
    server.Faults()->Add({.operation = "swap", .kind = row.kind, .calls = 1});
    EXPECT_EQ(store.Swap({.key = key, .value = "v"}).status, row.write) << key;
    EXPECT_EQ(store.Get(key).status == StoreStatus::kOk, row.took_effect)
        << key;
  }
  server.Stop();
  EXPECT_EQ(store.Swap({.key = "k", .value = "v"}).status,
            StoreStatus::kUnavailable);
}

TEST(StoreLimiter, KeepsARestForPressingPurposes) {
  StoreLimiter limiter(100);
  const TimePoint now{Millis(1000)};
  int background = 0;
  while (limiter.TryDraw(StorePurpose::kBackground, now)) ++background;
  int leases = 0;
  while (limiter.TryDraw(StorePurpose::kLease, now)) ++leases;
  EXPECT_EQ(background, 50);
  EXPECT_EQ(leases, 50);
  EXPECT_TRUE(limiter.TryDraw(StorePurpose::kLease, now + Millis(10)));
  EXPECT_FALSE(limiter.TryDraw(StorePurpose::kLease, now + Millis(10)));
}

}  // namespace
}  // namespace basilusher
