// One contract for workers, run against the core in memory and against the
// stand-in over HTTP.
#include <gtest/gtest.h>
#include <httplib.h>

#include <memory>

#include "basilusher/Standin/Servers.h"
#include "basilusher/Standin/WorkerCore.h"

namespace basilusher {
namespace {

constexpr int kSlots = 2;

/// The calls of the contract, whichever side serves them. Runs are tasks of an
/// hour, so that they are still in progress at the next call.
class WorkerUnderTest {
 public:
  virtual ~WorkerUnderTest() = default;
  virtual bool Start(const std::string& request, const std::string& holder) = 0;
  virtual bool BarRun(const std::string& request) = 0;
  virtual int BarHolder(const std::string& holder) = 0;
  virtual int Drain(int fence) = 0;
  virtual void Admit(int fence) = 0;
};

class InMemory : public WorkerUnderTest {
 public:
  bool Start(const std::string& request, const std::string& holder) override {
    return core_.StartTask(
        {.request_id = request, .attempt = 1, .holder = holder}, Millis(600000),
        Millis(600000), TimePoint{});
  }
  bool BarRun(const std::string& request) override {
    return core_.BarRun(request, 1);
  }
  int BarHolder(const std::string& holder) override {
    return core_.BarHolder(holder);
  }
  int Drain(int fence) override { return core_.Drain(fence); }
  void Admit(int fence) override { core_.Admit(fence); }

 private:
  WorkerCore core_{kSlots};
};

class OverHttp : public WorkerUnderTest {
 public:
  OverHttp()
      : server_({.info = {.id = "w", .address = "127.0.0.1", .slots = kSlots}}),
        client_("127.0.0.1", server_.Start()) {}
  bool Start(const std::string& request, const std::string& holder) override {
    const httplib::Headers headers{
        {"X-Attempt", "1"}, {"X-Holder", holder}, {"X-Lease-Millis", "600000"}};
    return client_
               .Post("/task/start/" + request, headers, "work=600000\n",
                     "text/plain")
               ->status == 200;
  }
  bool BarRun(const std::string& request) override {
    return Call("/bar/run", {{"request", request}, {"attempt", "1"}}) == 1;
  }
  int BarHolder(const std::string& holder) override {
    return Call("/bar/holder", {{"holder", holder}});
  }
  int Drain(int fence) override {
    return Call("/drain", {{"fence", std::to_string(fence)}});
  }
  void Admit(int fence) override {
    client_.Post("/admit", httplib::Params{{"fence", std::to_string(fence)}});
  }

 private:
  int Call(const std::string& path, const httplib::Params& params) {
    return std::stoi(client_.Post(path, params)->body);
  }

  WorkerServer server_;
  httplib::Client client_;
};

class WorkerContract : public ::testing::TestWithParam<bool> {
 protected:
  void SetUp() override {
    if (GetParam()) {
      worker_ = std::make_unique<OverHttp>();
    } else {
      worker_ = std::make_unique<InMemory>();
    }
  }
  std::unique_ptr<WorkerUnderTest> worker_;
};

TEST_P(WorkerContract, RefusesWorkBeyondItsSlots) {
  EXPECT_TRUE(worker_->Start("r1", "e#1"));
  EXPECT_TRUE(worker_->Start("r2", "e#1"));
  EXPECT_FALSE(worker_->Start("r3", "e#1"));
}

TEST_P(WorkerContract, ABarredAttemptNeverStarts) {
  EXPECT_FALSE(worker_->BarRun("late"));
  EXPECT_FALSE(worker_->Start("late", "e#1"));
  EXPECT_TRUE(worker_->Start("r1", "e#1"));
  EXPECT_TRUE(worker_->BarRun("r1"));
}

TEST_P(WorkerContract, ABarredHolderStartsNothingMore) {
  EXPECT_TRUE(worker_->Start("r1", "e#1"));
  EXPECT_EQ(worker_->BarHolder("e#1"), 1);
  EXPECT_FALSE(worker_->Start("r2", "e#1"));
  EXPECT_TRUE(worker_->Start("r2", "e#2"));
  EXPECT_EQ(worker_->BarHolder("e#3"), 0);
}

TEST_P(WorkerContract, ALateDrainIsFencedOff) {
  EXPECT_EQ(worker_->Drain(5), 0);
  EXPECT_FALSE(worker_->Start("r1", "e#1"));
  worker_->Admit(5);
  EXPECT_EQ(worker_->Drain(5), -1);
  EXPECT_TRUE(worker_->Start("r1", "e#1"));
  EXPECT_EQ(worker_->Drain(6), 1);
}

INSTANTIATE_TEST_SUITE_P(Sides, WorkerContract, ::testing::Bool(),
                         [](const ::testing::TestParamInfo<bool>& param) {
                           return param.param ? "OverHttp" : "InMemory";
                         });

}  // namespace
}  // namespace basilusher
