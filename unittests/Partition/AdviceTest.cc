// Tests of queues whose tasks start only on workers that the placement advisor
// allows.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"
#include "basilusher/Schedule/AdviceCache.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";

/// Answers after 40 ms. Allows the workers in `allows`, and all that are not in
/// `refuses` unless that is empty.
class SimAdvisor : public PlacementAdvisor {
 public:
  explicit SimAdvisor(SimTimers* timers) : timers_(timers) {}
  void Advise(const std::string&, int, int step,
              const std::vector<std::string>& workers, Millis,
              std::function<void(const AdviceAnswer&)> done) override {
    ++questions;
    asked_steps.insert(step);
    AdviceAnswer answer{.answered = !unresponsive};
    for (const std::string& worker : workers) {
      const bool refused = refuses.contains(worker);
      if (allows.contains(worker) || (!refuses.empty() && !refused)) {
        answer.allowed.emplace_back(worker, "ticket-" + worker);
      }
    }
    timers_->After(Millis(40), [answer, done] { done(answer); });
  }

  std::set<std::string> allows;
  /// Unless empty, all others are allowed.
  std::set<std::string> refuses;
  std::set<int> asked_steps;
  bool unresponsive = false;
  int questions = 0;

 private:
  SimTimers* timers_;
};

class AdviceTest : public ::testing::Test {
 protected:
  AdviceTest() {
    for (int i = 0; i < 4; ++i) ids.push_back(sim.fleet.AddWorker("pool"));
    sim.fleet.requires_tickets = true;
    sim.advisor = &advisor;
    sim.catalog.queues["queue"].advice = {
        .needed = true, .decide_ms = 20, .per_worker_ms = 2, .valid_ms = 2000};
    sim.BeginTerm();
    sim.Run(Millis(300));
  }

  FleetSim sim;
  SimAdvisor advisor{&sim.timers};
  std::vector<std::string> ids;
};

TEST_F(AdviceTest, TasksStartOnlyOnWorkersWithATicket) {
  advisor.allows = {ids[1], ids[2]};
  sim.Submit(FleetSim::MakeJob(kJob, 6, 400));
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.starts_without_ticket, 0);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(AdviceTest, APolicyWithoutAValidityTimeGivesUsableTickets) {
  sim.catalog.queues["queue"].advice.valid_ms = 0;
  sim.owner->SetCatalog(std::make_shared<Catalog>(sim.catalog));
  advisor.allows = {ids[1], ids[2]};
  sim.Submit(FleetSim::MakeJob(kJob, 6, 400));
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
}

TEST_F(AdviceTest, TheNextStepIsAskedAboutWhileTheOneBeforeRuns) {
  advisor.allows = {ids[0], ids[3]};
  JobSpec job = FleetSim::MakeJob(kJob, 4, 1000);
  job.steps.push_back(job.steps[0]);
  job.steps[1].after = {0};
  sim.Submit(job);
  sim.Run(Millis(500));
  EXPECT_EQ(advisor.asked_steps, (std::set<int>{0, 1}));
  sim.Run(Millis(3500));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
}

TEST_F(AdviceTest, AnExpiredTicketIsAskedForAgain) {
  advisor.allows = {ids[1]};
  // Runs longer than its ticket is valid; the second job needs a new ticket.
  JobSpec job = FleetSim::MakeJob(kJob, 1, 0);
  job.steps[0].lasting = true;
  sim.Submit(job);
  sim.Run(Millis(3000));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 1);
  sim.Cancel(kJob, /*owner_told=*/false);
  JobSpec next = FleetSim::MakeJob("00000000000000a2", 1, 500);
  sim.Submit(next);
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.StateOf(next.id), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.starts_without_ticket, 0);
}

TEST_F(AdviceTest, APoolWhoseWorkersAreAllRefusedGetsSpareInstances) {
  advisor.refuses.insert(ids.begin(), ids.end());
  for (int i = 0; i < 3; ++i) sim.fleet.AddWorker("spare");
  sim.Submit(FleetSim::MakeJob(kJob, 2, 400));
  sim.Run(Millis(1000));
  ASSERT_EQ(sim.fleet.StartedRuns(), 0);
  sim.Run(Millis(5000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
}

TEST_F(AdviceTest, AnUnresponsiveAdvisorIsAskedAgainAtALimitedRate) {
  advisor.unresponsive = true;
  sim.Submit(FleetSim::MakeJob(kJob, 2, 400));
  sim.Run(Millis(1000));
  EXPECT_GE(advisor.questions, 3);
  EXPECT_LE(advisor.questions, 8);
  const std::vector<std::string> alive = sim.fleet.AliveWorkerIds();
  advisor.allows.insert(alive.begin(), alive.end());
  advisor.unresponsive = false;
  sim.Run(Millis(1500));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
}

TEST(AdviceCacheTest, ATicketIsValidUntilItsEndAndRequestedAgainAfterIt) {
  AdviceCache book;
  const StepKey key = {.job = kJob, .occurrence = 0, .step = 1};
  const TimePoint now{Millis(1000000)};
  book.RecordQuestion(key);
  EXPECT_TRUE(book.WorkersToAsk(key, {"a", "b"}, now).empty());
  book.RecordAnswer(key, {"a", "b"}, {{"a", "ticket"}}, now + Millis(500));
  ASSERT_NE(book.Ticket(key, "a", now), nullptr);
  EXPECT_EQ(*book.Ticket(key, "a", now), "ticket");
  EXPECT_EQ(book.Ticket(key, "b", now), nullptr);
  EXPECT_TRUE(book.WorkersToAsk(key, {"a", "b"}, now).empty());
  EXPECT_EQ(book.Ticket(key, "a", now + Millis(500)), nullptr);
  EXPECT_EQ(book.WorkersToAsk(key, {"a", "b"}, now + Millis(500)),
            std::vector<std::string>{"a"});
  EXPECT_EQ(book.RefusedCount(key), 1);
  book.ForgetWorker("b");
  EXPECT_EQ(book.RefusedCount(key), 0);
  book.ForgetJob(kJob);
  EXPECT_EQ(book.Size(), 0U);
}

}  // namespace
}  // namespace basilusher
