// Rules of single control components (some tested within a simulated cluster),
// mostly in the failure case that a rule covers.
#include <gtest/gtest.h>
// The GoogleTest integration of RapidCheck requires gtest.h to be included
// first.
#include <rapidcheck/gtest.h>

#include "TestCluster.h"
#include "basilusher/Control/FleetPlan.h"
#include "basilusher/Control/RetryBudget.h"
#include "basilusher/Control/SlotScheduler.h"

namespace basilusher::testing {
namespace {

TEST(Isolation, AnEntryWithoutStoreAndPeersStopsKeyedWork) {
  TestCluster cluster(1);
  cluster.Get("n3")->store_cut = true;
  cluster.Get("n3")->peers_cut = true;
  cluster.WithdrawKey("n1", "b");
  cluster.Advance(Millis(4000));
  cluster.Request("n3", "many", "b", "isolated");
  cluster.Advance(Millis(5000));
  EXPECT_EQ(cluster.RunsOf("isolated"), 0);
  const Call& call = cluster.calls.begin()->second;
  EXPECT_EQ(call.answer.code, ResultCode::kIsolated);
  EXPECT_EQ(call.answer.outcome, Outcome::kNotRun);
}

TEST(Isolation, AMajorityServesWithoutTheStore) {
  TestCluster cluster(1);
  cluster.store_down = true;
  cluster.Advance(Millis(30000));
  cluster.Request("n2", "many", "a", "outage");
  cluster.Advance(Millis(1000));
  EXPECT_EQ(cluster.RunsOf("outage"), 1);
}

TEST(Isolation, AnEntryStartedInAnOutageServesTheIntentOfItsPeers) {
  TestCluster cluster(1);
  cluster.store_down = true;
  cluster.Restart("n2");
  cluster.Advance(Millis(3000));
  const ViewPtr view = cluster.Get("n2")->views.Current();
  ASSERT_NE(view->intent, nullptr);
  EXPECT_EQ(view->intent->version, cluster.AcceptedVersion());
}

/// A PlaceHolder with a fake bus that records its asks, and a fixed view.
class PlaceHolderTest : public Bus, public ::testing::Test {
 public:
  PlaceHolderTest() {
    views_.Update([](ClusterView* view) {
      view->intent = std::make_shared<const Intent>(
          ParseIntent(TestIntentDocument(6, "spare"), 1));
    });
    holder_ = std::make_unique<PlaceHolder>(Context{.self = {.instance = "n1"},
                                                    .clock = &clock_,
                                                    .random = &random_,
                                                    .bus = this,
                                                    .views = &views_});
  }
  void Send(const std::string& /*to*/, const Message& message) override {
    asks_.push_back(std::get<PlaceAsk>(message));
  }
  void Answer(const PeerId& from, std::int64_t term, std::int64_t sequence,
              int ceiling) {
    holder_->OnMessage(from, PlaceAnswer{.team = "a",
                                         .term = term,
                                         .sequence = sequence,
                                         .ceiling = ceiling,
                                         .basis = 6});
  }
  void Announce(std::int64_t term, const PeerId& home) {
    holder_->OnMessage(home,
                       PlaceTerm{.team = "a", .term = term, .home = home});
  }

 protected:
  FakeClock clock_;
  SeededRandom random_{1};
  ViewHub views_;
  std::vector<PlaceAsk> asks_;
  std::unique_ptr<PlaceHolder> holder_;
  PeerId first_{"h1", 1};
  PeerId second_{"h2", 1};
};

TEST_F(PlaceHolderTest, TakesOnlyTheAnswerToItsLastAsk) {
  Announce(1, first_);
  const std::int64_t early = asks_.back().sequence;
  Announce(1, first_);
  Answer(first_, 1, early, 5);
  EXPECT_EQ(holder_->Ceiling("a"), 0);
  Answer(first_, 1, asks_.back().sequence, 5);
  EXPECT_EQ(holder_->Ceiling("a"), 5);
  Answer(first_, 1, asks_.back().sequence, 6);
  EXPECT_EQ(holder_->Ceiling("a"), 5) << "an answer was taken twice";
}

TEST_F(PlaceHolderTest, RefusesAnswersOfAStaleTerm) {
  Announce(1, first_);
  const std::int64_t sequence = asks_.back().sequence;
  Announce(2, second_);
  EXPECT_EQ(asks_.back().term, 2);
  Answer(first_, 1, sequence, 5);
  Answer(first_, 1, asks_.back().sequence, 5);
  Answer(first_, 2, asks_.back().sequence, 5);
  EXPECT_EQ(holder_->Ceiling("a"), 0);
  Announce(1, first_);
  Answer(first_, 1, asks_.back().sequence, 5);
  EXPECT_EQ(holder_->Ceiling("a"), 0);
}

TEST_F(PlaceHolderTest, KeepsItsCeilingWithoutAnswers) {
  Announce(1, first_);
  Answer(first_, 1, asks_.back().sequence, 4);
  ASSERT_TRUE(holder_->TryAcquire("a"));
  for (int n = 0; n < 200; ++n) {
    clock_.now += kTickPeriod;
    holder_->SetWaiting("a", 3);
    holder_->OnTick();
  }
  EXPECT_EQ(holder_->Ceiling("a"), 4);
  EXPECT_EQ(holder_->InUse("a"), 1);
}

TEST(Journal, KeepsTheLastSegmentSoThatNumbersAreNotReused) {
  TestCluster cluster(1);
  Node* node = cluster.Get("n1");
  const Context context{.self = node->info,
                        .clock = &cluster.clock,
                        .random = &cluster.random,
                        .store = node->store.get(),
                        .counters = &node->counters};
  Journal journal(context, {.prefix = "t/", .segment_bytes = 60},
                  [](const Json& /*record*/) {});
  int committed = 0;
  for (int n = 0; n < 6; ++n) {
    journal.Append(
        {{"n", n}}, [] { return true; },
        [&committed](AppendResult result) {
          if (result == AppendResult::kCommitted) ++committed;
        });
    for (int tick = 0; tick < 10; ++tick) {
      cluster.Advance(Millis(20));
      journal.OnTick();
    }
  }
  EXPECT_EQ(committed, 6);
  ASSERT_GT(cluster.store.List("t/").entries.size(), 2U);
  journal.ExpireSegments(Millis(-1000));
  cluster.Advance(Millis(100));
  EXPECT_EQ(cluster.store.List("t/").entries.size(), 1U);
  // A writer that reads the journal now continues after the last number.
  Journal other(context, {.prefix = "t/", .segment_bytes = 60},
                [](const Json& /*record*/) {});
  other.Append(
      {{"n", 7}}, [] { return true; }, [](AppendResult) {});
  for (int tick = 0; tick < 10; ++tick) {
    cluster.Advance(Millis(20));
    other.OnTick();
  }
  const StoreReply after = cluster.store.List("t/");
  ASSERT_EQ(after.entries.size(), 2U);
  EXPECT_GT(after.entries[1].key, after.entries[0].key);
}

TEST(FrontDoorAttempts, AResultServesItsOwnAttemptOnly) {
  TestCluster cluster(1);
  cluster.Request("n1", "many", "a", "own");
  cluster.Advance(Millis(20));
  cluster.Get("n1")->front->OnDispatched(
      "r0", 7, {.status = DispatchStatus::kAnswered, .body = "another's"});
  cluster.Advance(Millis(2000));
  const Call& call = cluster.calls.at("r0");
  EXPECT_EQ(call.answers, 1);
  EXPECT_EQ(call.answer.body, "answer to own");
}

/// A ledger under random holders' reports, some of whose answers are lost.
RC_GTEST_PROP(PlaceLedger, NeverGrantsMoreThanTheLimit, ()) {
  const int limit = *rc::gen::inRange(0, 30);
  const int holders = *rc::gen::inRange(1, 8);
  PlaceLedger ledger({.team = "t", .term = 1, .basis = limit});
  ledger.SetLimit(limit);
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(holders));
  std::vector<int> held(static_cast<std::size_t>(holders), 0);
  for (int n = 0; n < holders; ++n) {
    names.push_back("h" + std::to_string(n) + "#1");
  }
  ledger.SetRecord(ledger.DesiredRecord(names));
  const std::vector<std::pair<int, int>> steps =
      *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, holders), rc::gen::inRange(0, 40)));
  std::int64_t sequence = 0;
  for (const std::pair<int, int>& step : steps) {
    int& own = held[static_cast<std::size_t>(step.first)];
    // A holder may lower its ceiling before it reports.
    if (step.second % 3 == 0) own /= 2;
    const std::optional<PlaceAnswer> answer = ledger.OnAsk(
        {"h" + std::to_string(step.first), 1}, {.team = "t",
                                                .term = 1,
                                                .sequence = ++sequence,
                                                .ceiling = own,
                                                .basis = limit,
                                                .wanted = step.second});
    RC_ASSERT(answer.has_value());
    RC_ASSERT(answer->ceiling >= own);
    // Some answers are lost; the next report then has the holder's old ceiling.
    if (step.second % 5 != 0) own = answer->ceiling;
    int out = 0;
    for (int part : held) out += part;
    RC_ASSERT(out <= limit);
    RC_ASSERT(ledger.Outstanding() >= out);
  }
}

TEST(RetryBudget, RetriesStayAFractionOfFirstAttempts) {
  RetryBudget budget;
  int retries = 0;
  for (int n = 0; n < 1000; ++n) {
    budget.OnFirstAttempt("q", "t");
    while (budget.TryRetry("q", "t")) ++retries;
  }
  EXPECT_LE(retries, 210);
  EXPECT_GT(retries, 190);
}

TEST(WorkerHealth, FailingWorkersAreQuarantinedAndProbed) {
  WorkerHealth health;
  health.SetBudget(1);
  const TimePoint now{Millis(1000)};
  for (int n = 0; n < 8; ++n) {
    const std::string request = "r" + std::to_string(n);
    health.Record("bad", request, SlotResult::kFailed, now);
    health.Record("worse", request + "x", SlotResult::kFailed, now);
  }
  EXPECT_TRUE(health.IsQuarantined("bad"));
  EXPECT_FALSE(health.IsQuarantined("worse")) << "beyond the pool's budget";
  EXPECT_EQ(health.AllowedSlots("bad", 8, now), 0);
  EXPECT_EQ(health.AllowedSlots("bad", 8, now + Millis(600)), 1);
  health.Record("bad", "probe", SlotResult::kAnswered, now + Millis(600));
  EXPECT_EQ(health.AllowedSlots("bad", 8, now + Millis(600)), 8);
}

TEST(WorkerHealth, RequestsThatFailOnEveryWorkerDoNotQuarantineThem) {
  WorkerHealth health;
  const TimePoint now{Millis(1000)};
  for (int n = 0; n < 20; ++n) {
    const std::string poison = "poison" + std::to_string(n);
    for (const char* worker : {"w1", "w2", "w3"}) {
      health.Record(worker, poison, SlotResult::kFailed, now);
    }
  }
  for (const char* worker : {"w2", "w3"}) {
    EXPECT_FALSE(health.IsQuarantined(worker)) << worker;
  }
}

TEST(SlotScheduler, SharesAFullPoolByWeight) {
  SlotScheduler scheduler;
  const TimePoint now{Millis(1000)};
  std::vector<WorkerInfo> workers(3);
  for (int n = 0; n < 3; ++n) {
    workers[static_cast<std::size_t>(n)].id = "w" + std::to_string(n);
  }
  scheduler.SetPool(
      workers, 1,
      {{"a", {.name = "a", .share = 2}}, {"b", {.name = "b", .share = 1}}});
  for (int n = 0; n < 100; ++n) {
    for (const char* team : {"a", "b"}) {
      scheduler.OnAsk({"e", 1},
                      {.request_id = team + std::to_string(n),
                       .team = team,
                       .wait_ms = 5000,
                       .hold_ms = 5000,
                       .max_waiting = 1000},
                      now);
    }
  }
  EXPECT_EQ(scheduler.Schedule(now).size(), 24U);
  EXPECT_EQ(scheduler.InUseOf("a"), 16);
  EXPECT_EQ(scheduler.InUseOf("b"), 8);
}

TEST(SlotScheduler, UrgentWorkGoesFirstAndBackgroundWorkDoesNotStarve) {
  SlotScheduler scheduler;
  TimePoint now{Millis(1000)};
  WorkerInfo worker{.id = "w", .slots = 1};
  scheduler.SetPool({worker}, 1, {});
  const auto ask = [&](const std::string& id, WorkClass work_class) {
    scheduler.OnAsk({"e", 1},
                    {.request_id = id,
                     .team = "t",
                     .work_class = work_class,
                     .wait_ms = 60000,
                     .hold_ms = 60000,
                     .max_waiting = 1000},
                    now);
  };
  ask("ledger", WorkClass::kBackground);
  ask("gate", WorkClass::kUrgent);
  EXPECT_EQ(scheduler.Schedule(now).at(0).key.request_id, "gate");
  bool ledger_ran = false;
  std::string running = "gate";
  for (int n = 0; n < 200 && !ledger_ran; ++n) {
    now += Millis(50);
    scheduler.OnDone(
        {"e", 1},
        {.request_id = running, .worker = "w", .result = SlotResult::kAnswered},
        now);
    ask("gate" + std::to_string(n), WorkClass::kUrgent);
    running = scheduler.Schedule(now).at(0).key.request_id;
    ledger_ran = running == "ledger";
  }
  EXPECT_TRUE(ledger_ran);
}

/// Returns a pool of `count` serving members, four to a rack.
PoolSnapshot ServingPool(int count, int budget) {
  PoolSnapshot snapshot{.pool = "p", .budget = budget};
  for (int n = 0; n < count; ++n) {
    const std::string id = "w" + std::to_string(n);
    snapshot.members.push_back(id);
    snapshot.listed[id] = {.id = id, .rack = "r" + std::to_string(n / 4)};
    snapshot.desired_pools[id] = "p";
  }
  return snapshot;
}

TEST(FleetPlan, LossesCountAgainstTheBudget) {
  PoolSnapshot snapshot = ServingPool(8, 2);
  for (auto& row : snapshot.listed) row.second.wants_maintenance = true;
  EXPECT_EQ(PlanPool(snapshot).size(), 1U);
  snapshot.listed.erase("w7");
  EXPECT_EQ(PlanPool(snapshot).size(), 1U);
  snapshot.record.places["w0"] = {};
  for (const FleetAction& action : PlanPool(snapshot)) {
    EXPECT_NE(action.step, FleetStep::kTakePlace);
  }
}

TEST(FleetPlan, CorrelatedLossesStopNewDrains) {
  PoolSnapshot snapshot = ServingPool(12, 6);
  for (auto& row : snapshot.listed) row.second.wants_maintenance = true;
  snapshot.listed.erase("w1");
  snapshot.listed.erase("w2");
  EXPECT_TRUE(PlanPool(snapshot).empty());
}

TEST(FleetPlan, AWaveFinishesARackFirst) {
  PoolSnapshot snapshot = ServingPool(8, 3);
  for (auto& row : snapshot.listed) row.second.wants_maintenance = true;
  snapshot.record.places["w5"] = {};
  const std::vector<FleetAction> actions = PlanPool(snapshot);
  EXPECT_EQ(actions.back().step, FleetStep::kTakePlace);
  EXPECT_EQ(snapshot.listed[actions.back().instance].rack, "r1");
}

TEST(FleetPlan, AStaleInstanceListDoesNotEndAMaintenance) {
  PoolSnapshot snapshot = ServingPool(2, 1);
  snapshot.record.places["w0"] = {.maintained = 3};
  snapshot.listed["w0"].maintained = 3;
  snapshot.drained = {"w0"};
  EXPECT_EQ(PlanPool(snapshot).at(0).step, FleetStep::kRelease);
  snapshot.listed["w0"].maintained = 4;
  snapshot.listed["w0"].rebooting = true;
  EXPECT_NE(PlanPool(snapshot).at(0).step, FleetStep::kReturnPlace);
  snapshot.listed["w0"].rebooting = false;
  EXPECT_EQ(PlanPool(snapshot).at(0).step, FleetStep::kAdmit);
  snapshot.admitted = {"w0"};
  EXPECT_EQ(PlanPool(snapshot).at(0).step, FleetStep::kReturnPlace);
}

}  // namespace
}  // namespace basilusher::testing
