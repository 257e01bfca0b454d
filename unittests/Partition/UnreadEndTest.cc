// Guards against a wrong verdict of the fake fleet on a task that starts again
// after an end that the owner has not read.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "FleetSim.h"

namespace basilusher {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

constexpr std::int64_t kTaskMs = 500;
constexpr std::int64_t kShortLeaseMs = 1000;
constexpr std::int64_t kLongLeaseMs = 5000;
/// The task is due and the short lease is over after this time.
constexpr Millis kUnread{1200};

class UnreadEndTest : public ::testing::Test {
 protected:
  UnreadEndTest() {
    fleet.RegisterJob(FleetSim::MakeJob(task.job, 1, kTaskMs));
    fleet.RegisterJob(FleetSim::MakeJob(another_task.job, 2, kTaskMs));
  }

  WorkerAddress Address(const std::string& worker) {
    return {.id = worker, .address = AddressOf(*fleet.Find(worker))};
  }

  void Start(const std::string& worker, const TaskId& id, std::int64_t run,
             std::int64_t lease_ms) {
    std::optional<CommandResult> result;
    fleet.Start(
        Address(worker),
        {.task = id, .run = run, .fence = 1, .lease_worker_ms = lease_ms},
        [&result](const StartAnswer& answer) { result = answer.result; });
    timers.Run(Millis(10));
    EXPECT_EQ(result, CommandResult::kDone);
  }

  void AcknowledgeFirstEnd() {
    fleet.Hold(Address(first), {.fence = 1, .seen_up_to = 1},
               [](const HoldAnswer&) {});
    timers.Run(Millis(10));
  }

  SimTimers timers;
  SimStore store{&timers};
  SimFleet fleet{&timers, &store};
  std::string first = fleet.AddWorker("pool");
  std::string second = fleet.AddWorker("pool");
  TaskId task{.job = "0000000000001000"};
  TaskId another_task{.job = "0000000000001001"};
  TaskId one_more_task{.job = "0000000000001001", .index = 1};
};

// Guards against the fake taking a run that was due within its lease for one
// that ended after the lease: any start makes it look at all workers.
TEST_F(UnreadEndTest, ATaskStartsAgainAfterTheLeaseOfItsUnreadEndExpired) {
  Start(first, task, 1, kShortLeaseMs);
  timers.Run(kUnread);
  Start(second, another_task, 1, kLongLeaseMs);
  Start(second, task, 2, kLongLeaseMs);
  AcknowledgeFirstEnd();
  EXPECT_THAT(fleet.Violations(), IsEmpty());
}

// Guards against the same for a run that hung when it was due and went on
// before the lease expired.
TEST_F(UnreadEndTest, ATaskStartsAgainAfterTheLeaseOfAHungRunExpired) {
  Start(first, task, 1, kShortLeaseMs);
  fleet.SetHangs(first, true);
  timers.Run(Millis(kTaskMs + 100));
  Start(second, another_task, 1, kLongLeaseMs);
  fleet.SetHangs(first, false);
  timers.Run(kUnread);
  Start(second, one_more_task, 1, kLongLeaseMs);
  Start(second, task, 2, kLongLeaseMs);
  AcknowledgeFirstEnd();
  EXPECT_THAT(fleet.Violations(), IsEmpty());
}

// Guards against a check that passes over a run that hung and ended within its
// lease.
TEST_F(UnreadEndTest, ATaskDoesNotStartAgainWithinTheLeaseOfAHungRun) {
  Start(first, task, 1, kLongLeaseMs);
  fleet.SetHangs(first, true);
  timers.Run(Millis(kTaskMs + 100));
  Start(second, another_task, 1, kLongLeaseMs);
  fleet.SetHangs(first, false);
  timers.Run(kUnread);
  Start(second, one_more_task, 1, kLongLeaseMs);
  Start(second, task, 2, kLongLeaseMs);
  AcknowledgeFirstEnd();
  EXPECT_THAT(fleet.Violations(),
              ElementsAre(HasSubstr("started again after it was done")));
}

// Guards against a worker that reports a run as done which hung until after its
// lease, when the worker kills what runs.
TEST_F(UnreadEndTest, ARunThatHungUntilItsLeaseExpiredHasLapsed) {
  Start(first, task, 1, kShortLeaseMs);
  fleet.SetHangs(first, true);
  timers.Run(kUnread);
  fleet.SetHangs(first, false);
  std::vector<EndedTask> ends;
  fleet.Hold(Address(first), {.fence = 1},
             [&ends](const HoldAnswer& answer) { ends = answer.ended; });
  timers.Run(Millis(10));
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].kind, EndKind::kLapsed);
}

// Guards against a check that passes over a start within the lease.
TEST_F(UnreadEndTest, ATaskDoesNotStartAgainWithinTheLeaseOfItsUnreadEnd) {
  Start(first, task, 1, kLongLeaseMs);
  timers.Run(kUnread);
  Start(second, another_task, 1, kLongLeaseMs);
  Start(second, task, 2, kLongLeaseMs);
  AcknowledgeFirstEnd();
  EXPECT_THAT(fleet.Violations(),
              ElementsAre(HasSubstr("started again after it was done")));
}

// Guards against the fake noting the end at the moment of the second start, as
// if the start did not come after it.
TEST_F(UnreadEndTest, ASecondStartThatShowsTheUnreadEndComesAfterIt) {
  Start(first, task, 1, kLongLeaseMs);
  timers.Run(kUnread);
  Start(second, task, 2, kLongLeaseMs);
  AcknowledgeFirstEnd();
  EXPECT_THAT(fleet.Violations(),
              ElementsAre(HasSubstr("started again after it was done")));
}

}  // namespace
}  // namespace basilusher
