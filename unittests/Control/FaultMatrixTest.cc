// Injects every fault at every step of the entries' protocols and checks all
// guarantees against the records of the simulated cluster.
#include <gtest/gtest.h>

#include <array>
#include <cstdlib>

#include "TestCluster.h"

namespace basilusher::testing {
namespace {

constexpr Millis kFaultDuration{4000};
constexpr Millis kLongDelay{2500};
constexpr Millis kShortDelay{700};

enum class ProtocolStep {
  kClaim,
  kAskSlot,
  kAskPlace,
  kDispatchMany,
  kDispatchOnce,
  kAnswerMany,
  kAnswerOnce,
  kRelease,
  kRecordOutcome,
  kTakeOverHome,
  kAnnounceTerm,
  kAnswerPlace,
  kPublish,
  kPushIntent,
  kStoreKeys,
  kPushKeys,
  kBudgetPlace,
  kDrain,
  kReleaseInstance,
  kMoveInstance,
};

constexpr EnumTable<ProtocolStep, 20> kSteps = {{
    {ProtocolStep::kClaim, "swap claims/"},
    {ProtocolStep::kAskSlot, "slot-ask"},
    {ProtocolStep::kAskPlace, "place-ask"},
    {ProtocolStep::kDispatchMany, "dispatch many"},
    {ProtocolStep::kDispatchOnce, "dispatch once"},
    {ProtocolStep::kAnswerMany, "answer many"},
    {ProtocolStep::kAnswerOnce, "answer once"},
    {ProtocolStep::kRelease, "slot-done"},
    {ProtocolStep::kRecordOutcome, "claim-done"},
    {ProtocolStep::kTakeOverHome, "swap places/"},
    {ProtocolStep::kAnnounceTerm, "place-term"},
    {ProtocolStep::kAnswerPlace, "place-answer"},
    {ProtocolStep::kPublish, "swap intent/head"},
    {ProtocolStep::kPushIntent, "intent-push"},
    {ProtocolStep::kStoreKeys, "swap keys"},
    {ProtocolStep::kPushKeys, "keys-push"},
    {ProtocolStep::kBudgetPlace, "swap fleet/pool/"},
    {ProtocolStep::kDrain, "drain"},
    {ProtocolStep::kReleaseInstance, "release"},
    {ProtocolStep::kMoveInstance, "swap fleet/instances"},
}};

enum class InjectedFault {
  kCrash,
  kCrashAndRestart,
  kPause,
  kCutStore,
  kCutPeers,
  kCutWorkers,
  kStoreDown,
  kStoreSlow,
  kAnswerLost,
  kDelayed,
  kDelayedWithinTimeouts,
  kDuplicated,
  kReordered,
  kCrashAndStoreDown,
  kPauseAndStoreDown,
  kCutPeersAndStoreSlow,
};

constexpr EnumTable<InjectedFault, 16> kFaults = {{
    {InjectedFault::kCrash, "crash"},
    {InjectedFault::kCrashAndRestart, "crash-restart"},
    {InjectedFault::kPause, "pause-beyond-lease"},
    {InjectedFault::kCutStore, "cut-to-store"},
    {InjectedFault::kCutPeers, "cut-to-peers"},
    {InjectedFault::kCutWorkers, "cut-to-workers"},
    {InjectedFault::kStoreDown, "store-down"},
    {InjectedFault::kStoreSlow, "store-slow"},
    {InjectedFault::kAnswerLost, "answer-lost"},
    {InjectedFault::kDelayed, "late"},
    {InjectedFault::kDelayedWithinTimeouts, "late-within-timeouts"},
    {InjectedFault::kDuplicated, "twice"},
    {InjectedFault::kReordered, "crossed"},
    {InjectedFault::kCrashAndStoreDown, "crash+store-down"},
    {InjectedFault::kPauseAndStoreDown, "pause+store-down"},
    {InjectedFault::kCutPeersAndStoreSlow, "cut-to-peers+store-slow"},
}};

/// Injects a fault at the entry that executes the step; returns its effect on
/// the step's own message or call.
FaultEffect InjectFault(TestCluster* cluster, InjectedFault fault,
                        const std::string& node) {
  const auto end = [cluster](std::function<void()> work) {
    cluster->RunAfter(kFaultDuration, std::move(work));
  };
  const auto store_down = [cluster, &end] {
    cluster->store_down = true;
    end([cluster] { cluster->store_down = false; });
  };
  const auto store_slow = [cluster, &end] {
    cluster->store_delay = Millis(800);
    end([cluster] { cluster->store_delay = Millis(1); });
  };
  const auto pause = [cluster, &end, &node] {
    cluster->RunAfter(Millis(0), [cluster, node] { cluster->Pause(node); });
    end([cluster, node] { cluster->Resume(node); });
  };
  const auto cut_peers = [cluster, &end, &node] {
    cluster->Get(node)->peers_cut = true;
    end([cluster, node] { cluster->Get(node)->peers_cut = false; });
  };
  // An entry crashes between two events, not within a call.
  const auto crash = [cluster, &node] {
    cluster->RunAfter(Millis(0), [cluster, node] { cluster->Crash(node); });
  };
  switch (fault) {
    case InjectedFault::kCrash:
      crash();
      return {};
    case InjectedFault::kCrashAndRestart:
      crash();
      cluster->RunAfter(Millis(600),
                        [cluster, node] { cluster->Restart(node); });
      return {};
    case InjectedFault::kPause:
      pause();
      return {};
    case InjectedFault::kCutStore:
      cluster->Get(node)->store_cut = true;
      end([cluster, node] { cluster->Get(node)->store_cut = false; });
      return {};
    case InjectedFault::kCutPeers:
      cut_peers();
      return {};
    case InjectedFault::kCutWorkers:
      cluster->Get(node)->workers_cut = true;
      end([cluster, node] { cluster->Get(node)->workers_cut = false; });
      return {};
    case InjectedFault::kStoreDown:
      store_down();
      return {};
    case InjectedFault::kStoreSlow:
      store_slow();
      return {};
    case InjectedFault::kAnswerLost:
      return {.lose_answer = true};
    case InjectedFault::kDelayed:
      return {.delay = kLongDelay};
    case InjectedFault::kDelayedWithinTimeouts:
      return {.delay = kShortDelay};
    case InjectedFault::kDuplicated:
      return {.twice = true};
    case InjectedFault::kReordered:
      return {.delay = Millis(30)};
    case InjectedFault::kCrashAndStoreDown:
      crash();
      store_down();
      return {};
    case InjectedFault::kPauseAndStoreDown:
      pause();
      store_down();
      return {};
    case InjectedFault::kCutPeersAndStoreSlow:
      cut_peers();
      store_slow();
      return {};
  }
  return {};
}

/// Whether `fault` can be injected at `step`; otherwise `reason` says why not.
bool Applies(ProtocolStep step, InjectedFault fault, std::string* reason) {
  const std::string_view name = NameOf(kSteps, step);
  const bool is_call = name.compare(0, 5, "swap ") == 0;
  const bool is_fleet_call =
      step == ProtocolStep::kDrain || step == ProtocolStep::kReleaseInstance;
  const bool is_answer =
      step == ProtocolStep::kAnswerMany || step == ProtocolStep::kAnswerOnce;
  const bool is_work = is_answer || is_fleet_call ||
                       step == ProtocolStep::kDispatchMany ||
                       step == ProtocolStep::kDispatchOnce;
  if (fault == InjectedFault::kAnswerLost && !is_call && !is_answer) {
    *reason = "the step has no answer of its own; a lost message is cut-to-...";
    return false;
  }
  if (fault == InjectedFault::kDuplicated && (is_call || is_work)) {
    *reason = "the connection delivers a call at most once";
    return false;
  }
  if (fault == InjectedFault::kReordered && is_call) {
    *reason = "one call at a time is under way for a key";
    return false;
  }
  return true;
}

/// Runs some seconds of traffic with operators' changes, maintenance and
/// changes of homes. `arm` is called once the traffic runs, to enable fault
/// injection.
void RunScenario(TestCluster* cluster, const std::function<void()>& arm) {
  const std::array<std::string, 3> names = {"n1", "n2", "n3"};
  int tag = 0;
  int burst = 0;
  const auto traffic = [cluster, &names, &tag, &burst](int rounds) {
    for (int n = 0; n < rounds; ++n) {
      if (n % 10 == 0) {
        // A burst above team a's limit, spread over all entries.
        for (int part = 0; part < 9; ++part) {
          const bool is_long = part == 0 && n % 40 == 0;
          const std::string length = is_long ? "long" : "short";
          cluster->Request(names[static_cast<std::size_t>(part) % 3], "many",
                           "a", length + "-burst" + std::to_string(burst++));
        }
      }
      const std::string& node = names[static_cast<std::size_t>(tag) % 3];
      const std::string team = tag % 4 == 3 ? "b" : "a";
      const std::string queue = tag % 2 == 0 ? "once" : "many";
      const std::string name = queue + std::to_string(tag);
      cluster->Request(node, queue, team, name);
      if (tag % 6 == 0) {
        // The same idempotency key again, at another entry.
        cluster->RunAfter(
            Millis(25), [cluster, &names, queue, team, name, tag] {
              cluster->Request(names[static_cast<std::size_t>(tag + 1) % 3],
                               queue, team, name);
            });
      }
      ++tag;
      cluster->Advance(Millis(20));
    }
  };
  traffic(40);
  arm();
  traffic(20);
  cluster->Publish("n2", 6);
  traffic(20);
  // Maintenance of the whole pool, requested at the same time.
  cluster->RequestMaintenance("w1");
  cluster->RequestMaintenance("w2");
  cluster->WithdrawKey("n3", "b");
  cluster->SetLeaving("w2", true);
  traffic(20);
  // A home of places is restarted under load.
  cluster->Restart("n1");
  traffic(120);
  cluster->SetLeaving("w2", false);
  cluster->AddKey("n2", "b");
  cluster->Publish("n3", 5, "main");
  traffic(100);
  cluster->Advance(Millis(14000));
}

/// Checks that every entry serves requests again after all faults have ended.
void CheckRecovery(TestCluster* cluster) {
  for (const char* name : {"n1", "n2", "n3"}) {
    if (!cluster->Get(name)->alive) cluster->Restart(name);
  }
  cluster->Advance(Millis(9000));
  int n = 0;
  for (const char* name : {"n1", "n2", "n3"}) {
    cluster->Request(name, "once", "a", "after" + std::to_string(n++));
    cluster->Request(name, "many", "a", "after" + std::to_string(n++));
  }
  cluster->Advance(Millis(5000));
  for (const auto& row : cluster->calls) {
    if (row.second.tag.compare(0, 5, "after") != 0) continue;
    if (row.second.answer.outcome == Outcome::kRan) continue;
    cluster->violations.push_back(
        "no service after the fault: " + row.second.node + " " +
        row.second.tag + " code " +
        std::to_string(static_cast<int>(row.second.answer.code)) + " " +
        row.second.answer.text);
  }
  for (const char* worker : {"w1", "w2"}) {
    if (cluster->worker_infos.at(worker).maintained == 1) continue;
    cluster->violations.push_back(std::string("not maintained: ") + worker);
  }
  // If a fault made a publication fail, w3 stays in its pool.
  if (cluster->WantedPoolOf("w3") != cluster->StoredAssignments()["w3"].pool) {
    cluster->violations.push_back("w3 was not moved");
  }
  for (const char* name : {"n1", "n2", "n3"}) {
    const ViewPtr view = cluster->Get(name)->views.Current();
    // The version that the store accepted must be in force, whether or not the
    // publisher received the store's reply.
    if (!view->intent || view->intent->version != cluster->AcceptedVersion()) {
      cluster->violations.push_back(std::string("intent not in force at ") +
                                    name);
    }
  }
}

bool MatchesStep(ProtocolStep step, const StepEvent& event) {
  const std::string_view prefix = NameOf(kSteps, step);
  return event.name.compare(0, prefix.size(), prefix) == 0;
}

/// Calls by outcome over all scenarios; printed, so that a run in which nothing
/// was executed is noticed.
std::map<Outcome, int>& OutcomeCounts() {
  static std::map<Outcome, int> outcomes;
  return outcomes;
}

void CountOutcomes(const TestCluster& cluster) {
  for (const auto& row : cluster.calls) {
    if (row.second.answers > 0) ++OutcomeCounts()[row.second.answer.outcome];
  }
}

struct MatrixCount {
  int run = 0;
  int not_applicable = 0;
  int red = 0;
};

MatrixCount& CellCounts() {
  static MatrixCount count;
  return count;
}

class FaultMatrix : public ::testing::TestWithParam<int> {
 public:
  static void TearDownTestSuite() {
    const MatrixCount& count = CellCounts();
    std::printf("fault matrix: %d cells run, %d not applicable, %d red\n",
                count.run, count.not_applicable, count.red);
    for (const auto& row : OutcomeCounts()) {
      std::printf("answers %s: %d\n",
                  std::string(NameOf(kOutcomeNames, row.first)).c_str(),
                  row.second);
    }
  }
};

TEST_P(FaultMatrix, KeepsAllPromises) {
  const ProtocolStep step = kSteps[static_cast<std::size_t>(GetParam())].first;
  for (const auto& fault : kFaults) {
    std::string reason;
    if (!Applies(step, fault.first, &reason)) {
      ++CellCounts().not_applicable;
      continue;
    }
    TestCluster cluster(static_cast<std::uint64_t>(GetParam()) + 1);
    bool armed = false;
    bool injected = false;
    cluster.fault_hook = [&](const StepEvent& event) -> FaultEffect {
      if (!armed || injected || !MatchesStep(step, event)) return {};
      injected = true;
      return InjectFault(&cluster, fault.first, event.instance);
    };
    RunScenario(&cluster, [&armed] { armed = true; });
    CheckRecovery(&cluster);
    cluster.CheckEnd();
    CountOutcomes(cluster);
    ++CellCounts().run;
    if (!cluster.violations.empty()) ++CellCounts().red;
    EXPECT_TRUE(injected) << "the step never came";
    for (const std::string& line : cluster.violations) {
      ADD_FAILURE() << NameOf(kSteps, step) << " x " << fault.second << ": "
                    << line;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Steps, FaultMatrix, ::testing::Range(0, static_cast<int>(kSteps.size())),
    [](const ::testing::TestParamInfo<int>& param) {
      std::string name(kSteps[static_cast<std::size_t>(param.param)].second);
      for (char& c : name) {
        if (std::isalnum(static_cast<unsigned char>(c)) == 0) c = '_';
      }
      return name;
    });

TEST(RandomFaults, KeepAllPromises) {
  const char* text = std::getenv("BASILUSHER_SEEDS");
  const char* first_text = std::getenv("BASILUSHER_FIRST_SEED");
  const int seeds = text == nullptr ? 40 : std::atoi(text);
  const int first = first_text == nullptr ? 1 : std::atoi(first_text);
  int red = 0;
  for (int seed = first; seed < first + seeds; ++seed) {
    TestCluster cluster(static_cast<std::uint64_t>(seed));
    SeededRandom fault_random(static_cast<std::uint64_t>(seed) * 7919);
    // At each step a random fault is injected with a probability of 1 in 400.
    std::vector<std::string> injected_faults;
    bool armed = false;
    cluster.fault_hook = [&](const StepEvent& event) -> FaultEffect {
      constexpr std::size_t kMaxFaults = 4;
      constexpr std::uint64_t kInverseProbability = 400;
      if (!armed || injected_faults.size() >= kMaxFaults ||
          fault_random.Next() % kInverseProbability != 0) {
        return {};
      }
      const auto& fault = kFaults[fault_random.Next() % kFaults.size()];
      injected_faults.push_back(
          std::to_string(cluster.clock.Now().time_since_epoch().count()) + " " +
          event.instance + " " + event.name + " x " +
          std::string(fault.second));
      return InjectFault(&cluster, fault.first, event.instance);
    };
    RunScenario(&cluster, [&armed] { armed = true; });
    armed = false;
    CheckRecovery(&cluster);
    cluster.CheckEnd();
    if (!cluster.violations.empty()) ++red;
    for (const std::string& line : cluster.violations) {
      ADD_FAILURE() << "seed " << seed << ": " << line;
    }
    for (const std::string& fault_text : injected_faults) {
      if (!cluster.violations.empty()) {
        std::printf("  strike: %s\n", fault_text.c_str());
      }
    }
  }
  std::printf("random faults: seeds %d to %d, %d red\n", first,
              first + seeds - 1, red);
}

}  // namespace
}  // namespace basilusher::testing
