// Generates the load and records the starts.
#include "OwnerLoad.h"

#include <cstdio>
#include <string>
#include <utility>

namespace basilusher {
namespace {

constexpr int kPools = 5;
constexpr int kWorkspaces = 4;
/// Accepted by a clock that is ahead, so that no job's age depends on the wall
/// clock of this machine.
constexpr std::int64_t kAheadMs = 10'000'000;
/// Share of each worker that the limited workspace may use.
constexpr std::int64_t kCapPerWorkerMillis = 7500;
/// The fakes look for ends every 10 ms after a poll.
constexpr unsigned kMaxPollDelayMs = 10;
constexpr Millis kSubmitPeriod{10};
constexpr std::int64_t kBurstPeriodMs = 6000;
constexpr std::int64_t kBurstMs = 1500;
constexpr double kBurstFactor = 2.5;
constexpr double kQuietFactor = 0.5;

std::string Numbered(const char* name, int number) {
  return std::string(name) + std::to_string(number);
}

std::string JobId(int number) {
  char buf[17];
  std::snprintf(buf, sizeof buf, "%016x",
                static_cast<unsigned>(number) * 2654435761U);
  return buf;
}

}  // namespace

void StartRecorder::Mix(const void* data, std::size_t size) {
  const unsigned char* bytes = static_cast<const unsigned char*>(data);
  for (std::size_t i = 0; i < size; ++i) {
    digest_ = (digest_ ^ bytes[i]) * 1099511628211U;
  }
}

void StartRecorder::Start(const WorkerAddress& worker,
                          const StartCommand& command,
                          std::function<void(const StartAnswer&)> done) {
  ++starts_;
  const std::int64_t now_ms = timers_->Now().time_since_epoch().count();
  const std::string task = FormatTaskId(command.task);
  Mix(&now_ms, sizeof now_ms);
  Mix(worker.id.data(), worker.id.size());
  Mix(task.data(), task.size());
  Mix(&command.run, sizeof command.run);
  fleet_->Start(worker, command, std::move(done));
}

void StartRecorder::Stop(const WorkerAddress& worker, const TaskId& task,
                         std::int64_t run, std::int64_t fence,
                         std::function<void(CommandResult)> done) {
  fleet_->Stop(worker, task, run, fence, std::move(done));
}

void StartRecorder::Hold(const WorkerAddress& worker,
                         const HoldCommand& command,
                         std::function<void(const HoldAnswer&)> done) {
  ++polls_;
  timers_->After(Millis(random_() % kMaxPollDelayMs),
                 [this, worker, command, done = std::move(done)] {
                   fleet_->Hold(worker, command, done);
                 });
}

void StartRecorder::Pace(const WorkerAddress& worker, const TaskId& task,
                         std::int64_t run, int percent, std::int64_t fence,
                         std::function<void(CommandResult)> done) {
  fleet_->Pace(worker, task, run, percent, fence, std::move(done));
}

OwnerLoad::OwnerLoad(const OwnerLoadOptions& options)
    : options_(options), random_(options.seed) {
  sim_.workers = &starts_;
  sim_.rank_all_pools = options.rank_all_pools;
  sim_.catalog.pools.erase("pool");
  sim_.catalog.queues.clear();
  for (int i = 0; i < kPools; ++i) {
    const std::string pool = Numbered("pool-", i);
    sim_.catalog.pools[pool] = {.name = pool};
    for (int j = 0; j < 2; ++j) {
      const std::string queue = Numbered("queue-", 2 * i + j);
      sim_.catalog.queues[queue] = {.name = queue,
                                    .pool = pool,
                                    .priority = j,
                                    .max_attempts = 3,
                                    .stretch = 1.6,
                                    .objective_ms = 600 + 400 * j};
    }
  }
  for (int i = 0; i < kWorkspaces; ++i) {
    const std::string name = Numbered("team-", i);
    sim_.catalog.workspaces[name] = {.name = name};
  }
  // One workspace is limited to a part of the fleet.
  sim_.catalog.workspaces["team-0"].cap = {.cpu_millis = options.workers *
                                                         kCapPerWorkerMillis};
  for (int i = 0; i < options.workers; ++i) {
    const std::string id = sim_.fleet.AddWorker(Numbered("pool-", i % kPools));
    if (i % 50 == 7) sim_.fleet.Find(id)->fails_all_tasks = true;
  }
}

void OwnerLoad::SubmitServices() {
  for (int i = 0; i < kPools; ++i) {
    JobSpec job;
    job.id = JobId(++jobs_);
    job.queue = Numbered("queue-", 2 * i);
    job.workspace = Numbered("team-", 1);
    job.accepted_unix_ms = WallMicros() / 1000 + kAheadMs;
    job.steps.push_back({.count = 4,
                         .need = {.cpu_millis = 4000, .memory_mb = 4000},
                         .estimate_ms = 1000,
                         .lasting = true,
                         .max_per_worker = 1,
                         .target_ms = 100});
    sim_.Submit(job);
  }
}

void OwnerLoad::Begin() {
  sim_.BeginTerm();
  sim_.Run(Millis(2000));
  SubmitServices();
  sim_.Run(Millis(1000));
}

JobSpec OwnerLoad::NextJob() {
  constexpr int kCounts[] = {2, 4, 8, 8, 8, 8, 16, 32};
  JobSpec job;
  job.id = JobId(++jobs_);
  job.queue = Numbered("queue-", Below(2 * kPools));
  job.workspace = Numbered("team-", Below(kWorkspaces));
  job.accepted_unix_ms = WallMicros() / 1000 + kAheadMs;
  const int steps = 1 + Below(4);
  for (int s = 0; s < steps; ++s) {
    StepSpec step;
    step.count = kCounts[Below(8)];
    step.need = {.cpu_millis = std::int64_t{4000} * (1 + Below(3)),
                 .memory_mb = std::int64_t{2000} * (1 + Below(4))};
    step.estimate_ms = 500 + Below(1600);
    if (s > 0) step.after = {s - 1};
    if (Below(10) == 0) step.max_per_worker = 2;
    step.gang = step.count <= 8 && Below(20) == 0;
    step.checkpointable = Below(2) == 0;
    job.steps.push_back(step);
  }
  return job;
}

void OwnerLoad::Run(Millis duration) {
  for (Millis t{0}; t < duration; t += kSubmitPeriod) {
    const bool burst = elapsed_ms_ % kBurstPeriodMs < kBurstMs;
    due_jobs_ += options_.jobs_per_s * (burst ? kBurstFactor : kQuietFactor) *
                 static_cast<double>(kSubmitPeriod.count()) / 1000.0;
    for (; due_jobs_ >= 1; due_jobs_ -= 1) sim_.Submit(NextJob());
    sim_.Run(kSubmitPeriod);
    elapsed_ms_ += kSubmitPeriod.count();
  }
}

}  // namespace basilusher
