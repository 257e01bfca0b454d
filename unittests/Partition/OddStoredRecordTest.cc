// Guards against records in the store, of other writers or left by a fault,
// that end each owner that reads them.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"
#include "basilusher/Support/Json.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOther = "00000000000000b2";
/// Nesting at which a recursive decoder runs out of stack.
constexpr std::size_t kDeep = 200000;
/// First byte of a CBOR array with one element.
constexpr char kCborArrayOfOne = '\x81';

class OddStoredRecordTest : public ::testing::Test {
 protected:
  OddStoredRecordTest() {
    for (int i = 0; i < 2; ++i) sim.fleet.AddWorker("pool");
  }

  /// Two owners in turn read the records; a job that is handed in then is done.
  void TearDown() override {
    for (int i = 0; i < 2; ++i) {
      sim.BeginTerm();
      sim.Run(Millis(1000));
    }
    sim.Submit(FleetSim::MakeJob(kJob, 2, 300));
    sim.Run(Millis(2000));
    EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }

  FleetSim sim;
  RecordKeys keys;
};

// The empty id is the key of the last fully read term in the record of workers:
// each node that was elected aborted.
TEST_F(OddStoredRecordTest, ADirectoryEntryWithoutAnId) {
  sim.store.Put("workers/", sim.store.Value("workers/w0"));
}

TEST_F(OddStoredRecordTest, ARecordOfWorkersWithAnAddressUnderTheEmptyId) {
  sim.store.Put(keys.workers, Json({{"", "10.1.2.3:80"},
                                    {"w0", "w0:1"},
                                    {"w1", 5},
                                    {"w2", Json::array()}})
                                  .dump());
}

TEST_F(OddStoredRecordTest, ARecordOfWorkersThatIsNoObject) {
  sim.store.Put(keys.workers, "[5]");
}

TEST_F(OddStoredRecordTest, OddOrdersOfInstances) {
  sim.store.Put(keys.orders, R"({"m-w0":"x","m-w1":1e300,"":[]})");
}

TEST_F(OddStoredRecordTest, AnOddFinalState) {
  sim.store.Put(keys.final_prefix + kOther, R"({"s":5,"q":[]})");
  sim.store.Put(keys.final_prefix, R"({"s":"failed","q":5})");
}

TEST_F(OddStoredRecordTest, AnOddRecordOfAWave) {
  sim.store.Put(keys.wave_prefix + "1",
                R"({"done":[5,{}],"finished":"yes","begun_unix_ms":"x"})");
  sim.BeginTerm();
  sim.owner->SetWave({.number = 1, .ramp_s = 10, .max_at_once = 1});
  sim.Run(Millis(1000));
}

TEST_F(OddStoredRecordTest, ADeeplyNestedJob) {
  const std::string bytes(kDeep, kCborArrayOfOne);
  sim.store.Put(keys.job_prefix + kOther, bytes);
  sim.store.Put(keys.progress_prefix + kOther, bytes);
}

TEST_F(OddStoredRecordTest, AJobThatNoFrontEndAccepts) {
  JobSpec job = FleetSim::MakeJob(kOther, 1, 300);
  job.steps[0].count = 2000000000;
  sim.store.Put(keys.job_prefix + kOther, EncodeJobSpec(job));
  job.steps[0].count = 1;
  job.steps[0].after = {7};
  sim.store.Put(keys.job_prefix + "00000000000000c3", EncodeJobSpec(job));
}

TEST_F(OddStoredRecordTest, AnOddCancellation) {
  sim.store.Put(keys.cancel_prefix, "[");
  sim.store.Put(keys.cancel_prefix + std::string("\xff\r\n"), "");
}

}  // namespace
}  // namespace basilusher
