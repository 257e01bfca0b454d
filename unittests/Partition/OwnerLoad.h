// A seeded load of many short jobs for an owner of a large fleet, and a record
// of the starts that the owner sends.
#ifndef BASILUSHER_UNITTESTS_PARTITION_OWNERLOAD_H_
#define BASILUSHER_UNITTESTS_PARTITION_OWNERLOAD_H_

#include <cstdint>
#include <functional>
#include <random>

#include "FleetSim.h"

namespace basilusher {

/// Passes calls on to the fleet and adds each start (time, worker, task, run)
/// to a digest, in the order in which they are sent. Polls are delayed by some
/// milliseconds, so that reports do not arrive together. Not thread-safe.
class StartRecorder : public WorkerGateway {
 public:
  StartRecorder(WorkerGateway* fleet, SimTimers* timers)
      : fleet_(fleet), timers_(timers) {}

  void Start(const WorkerAddress& worker, const StartCommand& command,
             std::function<void(const StartAnswer&)> done) override;
  void Stop(const WorkerAddress& worker, const TaskId& task, std::int64_t run,
            std::int64_t fence,
            std::function<void(CommandResult)> done) override;
  void Hold(const WorkerAddress& worker, const HoldCommand& command,
            std::function<void(const HoldAnswer&)> done) override;
  void Pace(const WorkerAddress& worker, const TaskId& task, std::int64_t run,
            int percent, std::int64_t fence,
            std::function<void(CommandResult)> done) override;

  std::int64_t Starts() const { return starts_; }
  std::int64_t Polls() const { return polls_; }
  /// 64-bit FNV-1a over all starts so far.
  std::uint64_t Digest() const { return digest_; }

 private:
  void Mix(const void* data, std::size_t size);

  WorkerGateway* fleet_;
  SimTimers* timers_;
  std::mt19937 random_{1};
  std::int64_t starts_ = 0;
  std::int64_t polls_ = 0;
  std::uint64_t digest_ = 14695981039346656037U;
};

struct OwnerLoadOptions {
  std::uint32_t seed = 1;
  int workers = 350;
  /// Mean number of submitted jobs, per second; bursts of two and a half times
  /// as many alternate with quieter seconds.
  double jobs_per_s = 33;
  /// OwnerOptions::rank_all_pools.
  bool rank_all_pools = false;
};

/// Fleet with five pools, one owner and a load of jobs with one to four steps
/// of up to 32 tasks; some tasks last, some fail on a faulty worker. Not
/// thread-safe.
class OwnerLoad {
 public:
  explicit OwnerLoad(const OwnerLoadOptions& options);
  /// Begins the term and waits until the workers are known.
  void Begin();
  /// Submits jobs for `duration` of virtual time.
  void Run(Millis duration);

  const StartRecorder& Starts() const { return starts_; }
  FleetSim& Sim() { return sim_; }

 private:
  JobSpec NextJob();
  void SubmitServices();
  int Below(int bound) {
    return static_cast<int>(random_() % static_cast<std::uint32_t>(bound));
  }

  OwnerLoadOptions options_;
  std::mt19937 random_;
  FleetSim sim_;
  StartRecorder starts_{&sim_.fleet, &sim_.timers};
  int jobs_ = 0;
  double due_jobs_ = 0;
  std::int64_t elapsed_ms_ = 0;
};

}  // namespace basilusher

#endif  // BASILUSHER_UNITTESTS_PARTITION_OWNERLOAD_H_
