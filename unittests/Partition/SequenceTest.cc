// Random sequences of work and faults: the fakes check the promises at every
// event, and all jobs end once the faults are over.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdlib>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr int kDefaultSeeds = 300;
constexpr int kFirstSeed = 20261204;
constexpr int kEvents = 60;

int Seeds() {
  const char* text = std::getenv("BASILUSHER_SEEDS");
  return text == nullptr ? kDefaultSeeds : std::atoi(text);
}

/// One run from a seed.
class Sequence {
 public:
  explicit Sequence(std::uint64_t seed) : random_(seed) {}

  void Run() {
    for (int i = 0; i < 6; ++i) sim_.fleet.AddWorker("pool");
    sim_.BeginTerm();
    sim_.Run(Millis(200));
    for (int i = 0; i < kEvents; ++i) {
      Step();
      sim_.Run(Millis(Pick(250)));
    }
    Heal();
    sim_.Run(Millis(60000));
    EXPECT_THAT(sim_.fleet.Broken(), testing::IsEmpty());
    for (const std::string& job : jobs_) {
      EXPECT_TRUE(IsFinal(sim_.StateOf(job))) << job << " never ended";
    }
  }

 private:
  int Pick(int below) {
    return static_cast<int>(random_() % static_cast<unsigned>(below));
  }

  void Step() {
    switch (Pick(14)) {
      case 0:
      case 1:
      case 2:
      case 3:
      case 4:
        return Submit();
      case 5:
        if (!jobs_.empty()) {
          const std::string& job = jobs_[static_cast<std::size_t>(
              Pick(static_cast<int>(jobs_.size())))];
          if (sim_.store.Has(RecordKeys().job_prefix + job)) sim_.Cancel(job);
        }
        return;
      case 6:
        return FaultOnWorker();
      case 7:
        sim_.store.fault = RandomFault();
        return;
      case 8:
        sim_.store.fault = SimFault::kNone;
        return;
      case 9:
        return TakeOver();
      case 10:
        sim_.fleet.AddWorker("pool");
        return;
      case 11: {
        const std::vector<std::string> ids = sim_.fleet.Ids();
        if (ids.size() > 3) sim_.fleet.Crash(RandomOf(ids));
        return;
      }
      case 12:
        sim_.store.Compact();
        return;
      case 13:
        sim_.owner->SetWave({.number = ++waves_,
                             .instances = {"m-w0", "m-w1", "m-w2"},
                             .ramp_s = 10,
                             .max_at_once = 1});
        return;
      default:
        return;
    }
  }

  void Submit() {
    const std::string id = "000000000000" + std::to_string(1000 + next_job_++);
    JobSpec job = FleetSim::MakeJob(id, 1 + Pick(8), 100 + Pick(900));
    if (Pick(2) == 0) {
      job.steps.push_back(job.steps[0]);
      job.steps[1].after = {0};
    }
    if (Pick(4) == 0) job.steps[0].speculative = true;
    if (Pick(4) == 0) job.steps[0].max_per_worker = 2;
    jobs_.push_back(id);
    sim_.Submit(job);
  }

  SimFault RandomFault() {
    static constexpr SimFault kFaults[] = {SimFault::kRefuse, SimFault::kSilent,
                                           SimFault::kAnswerLost,
                                           SimFault::kLate};
    return kFaults[Pick(4)];
  }

  const std::string& RandomOf(const std::vector<std::string>& ids) {
    return ids[static_cast<std::size_t>(Pick(static_cast<int>(ids.size())))];
  }

  void FaultOnWorker() {
    const std::vector<std::string> ids = sim_.fleet.Ids();
    if (ids.empty()) return;
    SimWorker* worker = sim_.fleet.Find(RandomOf(ids));
    switch (Pick(4)) {
      case 0:
        worker->fault = RandomFault();
        return;
      case 1:
        worker->fails_all = !worker->fails_all;
        return;
      case 2:
        worker->hangs = !worker->hangs;
        return;
      default:
        worker->fault = SimFault::kNone;
        return;
    }
  }

  /// The former owner sometimes goes on for as long as it cannot know better.
  void TakeOver() {
    const bool told = Pick(2) == 0;
    sim_.BeginTerm(/*close_former=*/told);
    if (told) sim_.owner->NoteEarlierOwnerStopped();
  }

  void Heal() {
    sim_.store.fault = SimFault::kNone;
    for (const std::string& id : sim_.fleet.Ids()) {
      SimWorker* worker = sim_.fleet.Find(id);
      worker->fault = SimFault::kNone;
      worker->fails_all = false;
      worker->hangs = false;
    }
    for (int i = 0; i < 3; ++i) sim_.fleet.AddWorker("pool");
  }

  std::mt19937_64 random_;
  FleetSim sim_;
  std::vector<std::string> jobs_;
  int next_job_ = 0;
  std::int64_t waves_ = 0;
};

TEST(SequenceTest, PromisesHoldUnderRandomFaults) {
  const int seeds = Seeds();
  for (int i = 0; i < seeds; ++i) {
    SCOPED_TRACE("seed " + std::to_string(kFirstSeed + i));
    Sequence(static_cast<std::uint64_t>(kFirstSeed + i)).Run();
    if (testing::Test::HasFailure()) return;
  }
}

}  // namespace
}  // namespace basilusher
