// A fleet in several data centres, an operator who evacuates them, and the
// watch that tells the owner.
#ifndef BASILUSHER_UNITTESTS_PARTITION_EVACUATIONFIXTURE_H_
#define BASILUSHER_UNITTESTS_PARTITION_EVACUATIONFIXTURE_H_

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "FleetSim.h"

namespace basilusher::evacuation_test {

inline constexpr const char* kJob = "00000000000000a1";
inline constexpr const char* kOther = "00000000000000a2";
inline constexpr const char* kPrefix = "config/evacuate/";
/// Half of the bound of 5 s.
inline constexpr Millis kMaxAge{2500};
/// A quiet store tells of a request within its latency, and a start that was
/// sent before takes some more.
inline constexpr Millis kTold{50};
inline constexpr Millis kStep{50};

class EvacuationFixture : public ::testing::Test {
 protected:
  EvacuationFixture() {
    sim.fleet.ends_on_time = true;
    sim.fleet.reports_progress = true;
    sim.fleet.evacuation_bound = kTold;
    // Idle workers stay in the pool, unless a test has a spare pool.
    sim.catalog.pools.erase("spare");
    sim.evacuations = &view;
    view.SetMaxAge(kMaxAge);
    watcher = std::make_shared<StoreWatcher>(
        &sim.store, &sim.timers, &sim.timers,
        StoreWatcherOptions{.prefix = kPrefix, .wait = Millis(500)},
        StoreWatcher::Listener{
            .on_item =
                [this](const StoredItem& item) {
                  const std::string name =
                      item.key.substr(std::string(kPrefix).size());
                  if (item.removed) {
                    view.End(name, item.revision);
                  } else {
                    view.Begin(name, item.value, item.revision);
                  }
                },
            .on_loaded = {}});
    view.Follow([this] { return watcher->FreshAt(); });
  }
  ~EvacuationFixture() override {
    if (sim.owner != nullptr) sim.owner->Close();
    for (const auto& owner : sim.former_owners) owner->Close();
    watcher->Close();
  }

  /// Workers of one data centre after the other, in the order of their ids.
  void AddWorkers(const std::vector<std::string>& data_centres) {
    for (const std::string& name : data_centres) {
      sim.fleet.AddWorker("pool", name);
    }
  }
  void BeginTerm() {
    watcher->Begin();
    sim.BeginTerm();
    sim.Run(Millis(300));
  }
  /// The operator's write, which the store acknowledges at once.
  void Evacuate(const std::string& name) {
    sim.store.Put(kPrefix + name, "{}");
    sim.fleet.RecordEvacuation(name);
  }
  void Cancel(const std::string& name) {
    sim.store.Remove(kPrefix + name);
    sim.fleet.EndEvacuation(name);
  }
  static JobSpec Lasting(int tasks, int max_unavailable) {
    JobSpec job = FleetSim::MakeJob(kJob, tasks, 0);
    job.steps[0].lasting = true;
    job.steps[0].max_unavailable = max_unavailable;
    return job;
  }
  /// Short tasks for minutes: whenever one ends, another may start.
  void SubmitSteadyWork() {
    JobSpec job = FleetSim::MakeJob(kOther, 2000, 400);
    sim.Submit(job);
  }
  /// Fewest running tasks of the job at any time of the next `duration`.
  int FewestRunning(const std::string& job, Millis duration) {
    int fewest = sim.fleet.RunningTasks(job);
    for (Millis passed{0}; passed < duration; passed += kStep) {
      sim.Run(kStep);
      fewest = std::min(fewest, sim.fleet.RunningTasks(job));
    }
    return fewest;
  }

  FleetSim sim;
  EvacuationView view{&sim.timers, nullptr};
  std::shared_ptr<StoreWatcher> watcher;
};

}  // namespace basilusher::evacuation_test

#endif  // BASILUSHER_UNITTESTS_PARTITION_EVACUATIONFIXTURE_H_
