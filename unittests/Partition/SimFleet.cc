// Simulated workers and instances.
#include <algorithm>

#include "FleetSim.h"
#include "basilusher/Support/Json.h"

namespace basilusher {
namespace {

constexpr Millis kWorkerLatency{1};
constexpr Millis kCallTimeout{450};
constexpr Millis kDelayedBy{2500};
constexpr Millis kStopTime{100};
constexpr Millis kMoveTime{1500};
constexpr Millis kMaintenanceTime{2000};
constexpr std::int64_t kMaxLeaseMs = 10000;
/// No task may start later than this after its job's cancellation was
/// acknowledged.
constexpr Millis kCancelBound{3000};

}  // namespace

// Workers.

SimFleet::SimFleet(SimTimers* timers, SimStore* store)
    : timers_(timers), store_(store) {}

void SimFleet::AddViolation(const std::string& what) {
  violations_.push_back(
      std::to_string(timers_->Now().time_since_epoch().count()) + ": " + what);
}

std::string SimFleet::NewWorker(const std::string& pool,
                                const std::string& data_centre) {
  std::unique_ptr<SimWorker> worker = std::make_unique<SimWorker>();
  worker->id = "w" + std::to_string(next_id_++);
  worker->pool = pool;
  worker->data_centre = data_centre;
  worker->born_at = timers_->Now();
  std::string id = worker->id;
  WriteDirectoryEntry(*worker, false);
  workers_[id] = std::move(worker);
  return id;
}

std::string SimFleet::AddWorker(const std::string& pool,
                                const std::string& data_centre) {
  std::string id = NewWorker(pool, data_centre);
  const std::string instance = "m-" + id;
  instances_[instance] = {
      .id = instance, .pool = pool, .worker = id, .data_centre = data_centre};
  return id;
}

std::string SimFleet::AddSpare(const std::string& data_centre) {
  std::string id = "m-s" + std::to_string(next_id_++);
  instances_[id] = {.id = id, .pool = "spare", .data_centre = data_centre};
  return id;
}

void SimFleet::RecordEvacuation(const std::string& data_centre) {
  evacuated_at_[data_centre] = timers_->Now();
}

void SimFleet::EndEvacuation(const std::string& data_centre) {
  evacuated_at_.erase(data_centre);
}

int SimFleet::StartsIn(const std::string& data_centre) const {
  const auto it = starts_in_.find(data_centre);
  return it == starts_in_.end() ? 0 : it->second;
}

int SimFleet::RunningIn(const std::string& data_centre) const {
  std::size_t count = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker->data_centre == data_centre) count += worker->running.size();
  }
  return static_cast<int>(count);
}

std::string SimFleet::PoolOf(const std::string& instance) const {
  return instances_.at(instance).pool;
}

void SimFleet::WriteDirectoryEntry(const SimWorker& worker, bool draining) {
  store_->Put("workers/" + worker.id,
              Json({{"pool", worker.pool},
                    {"address", AddressOf(worker)},
                    {"cpu", worker.room.cpu_millis},
                    {"memory", worker.room.memory_mb},
                    {"draining", draining},
                    {"data_centre", worker.data_centre},
                    {"born", worker.born_at.time_since_epoch().count()}})
                  .dump());
}

void SimFleet::Crash(const std::string& id) {
  SimWorker* worker = Find(id);
  worker->alive = false;
  worker->running.clear();
  worker->ended.clear();
  for (auto& [instance_id, instance] : instances_) {
    if (instance.worker != id || !list_shows_crashes) continue;
    instance.worker.clear();
    instance.crashed_worker = id;
    instance.state = InstanceState::kDown;
  }
  timers_->After(Millis(4500), [this, id] { store_->Remove("workers/" + id); });
}

void SimFleet::CrashAndRestart(const std::string& id) {
  SimWorker* worker = Find(id);
  if (!worker->alive) return;
  for (const auto& [task, run] : worker->running) {
    if (crashing_tasks.contains(task)) ++crashes_[task];
    BreakGang(task, id);
  }
  if (restart_mode == RestartMode::kSameId) {
    worker->alive = false;
    worker->running.clear();
    worker->ended.clear();
  } else {
    Crash(id);
  }
  timers_->After(restart_delay, [this, id] { Restart(id); });
}

void SimFleet::BreakGang(const TaskId& lost, const std::string& lost_worker) {
  const StepSpec& step =
      jobs_.at(lost.job).steps[static_cast<std::size_t>(lost.step)];
  if (!step.gang) return;
  for (const auto& [id, worker] : workers_) {
    if (id == lost_worker) continue;
    TaskId member = lost;
    for (member.index = 0; member.index < step.count; ++member.index) {
      if (worker->running.contains(member)) {
        EndRun(worker.get(), member, EndKind::kBroken);
      }
    }
  }
}

void SimFleet::Restart(const std::string& id) {
  SimWorker* worker = Find(id);
  if (restart_mode == RestartMode::kSameId) {
    *worker = {.id = id,
               .pool = worker->pool,
               .data_centre = worker->data_centre,
               .room = worker->room};
    worker->born_at = timers_->Now();
    WriteDirectoryEntry(*worker, false);
    return;
  }
  worker->address_reused = restart_mode == RestartMode::kNewIdSameAddress;
  for (auto& [instance_id, instance] : instances_) {
    if (instance.crashed_worker != id && instance.worker != id) continue;
    instance.crashed_worker.clear();
    instance.state = InstanceState::kUp;
    instance.worker = NewWorker(instance.pool, instance.data_centre);
  }
}

void SimFleet::SetRoom(const std::string& id, const Resources& room) {
  SimWorker* worker = Find(id);
  worker->room = room;
  WriteDirectoryEntry(*worker, false);
}

int SimFleet::StartsOf(const TaskId& task) const {
  const auto it = starts_.find(task);
  return it == starts_.end() ? 0 : it->second;
}

void SimFleet::CheckCrashes(const TaskId& task) {
  ++starts_[task];
  if (crashes_[task] < 3) return;
  if (++starts_after_three_crashes_[task] == 3) {
    AddViolation("started three times after three workers crashed under it: " +
                 FormatTaskId(task));
  }
}

void SimFleet::Remove(const std::string& id) {
  Crash(id);
  instances_.erase("m-" + id);
}

void SimFleet::ChangeAddress(const std::string& id,
                             const std::string& address) {
  Find(id)->address = address;
  WriteDirectoryEntry(*Find(id), false);
}

void SimFleet::SetHangs(const std::string& id, bool hangs) {
  SimWorker* worker = Find(id);
  if (worker->hangs == hangs) return;
  EndDueRuns(worker);
  worker->hangs = hangs;
  for (auto& [task, run] : worker->running) {
    run.ends_at = std::max(run.ends_at, timers_->Now());
  }
}

void SimFleet::Drain(const std::string& id) {
  WriteDirectoryEntry(*Find(id), true);
}

std::size_t SimFleet::HeldCalls(const std::string& id) const {
  const auto it = held_calls_.find(id);
  return it == held_calls_.end() ? 0 : it->second.size();
}

void SimFleet::HoldBack(const SimWorker& worker, std::function<void()> effect) {
  held_calls_[worker.id].push_back(std::move(effect));
}

void SimFleet::ReleaseHeldCalls(const std::string& id) {
  const std::vector<std::function<void()>> calls = std::move(held_calls_[id]);
  held_calls_.erase(id);
  for (const std::function<void()>& call : calls) {
    if (Find(id)->alive) call();
  }
}

void SimFleet::ListIncarnation(const std::string& id) {
  WriteDirectoryEntry(*Find(id), false);
}

SimWorker* SimFleet::Find(const std::string& id) {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : it->second.get();
}

std::vector<std::string> SimFleet::AliveWorkerIds() const {
  std::vector<std::string> ids;
  for (const auto& [id, worker] : workers_) {
    if (worker->alive) ids.push_back(id);
  }
  return ids;
}

void SimFleet::RegisterJob(const JobSpec& job) { jobs_[job.id] = job; }

void SimFleet::RecordCancellation(const std::string& job) {
  cancelled_at_[job] = timers_->Now();
}

std::int64_t SimFleet::ClockMs(const SimWorker& worker) const {
  return (timers_->Now() - worker.born_at).count() + worker.clock_offset_ms;
}

void SimFleet::EndRun(SimWorker* worker, const TaskId& task, EndKind kind) {
  EndRunAt(worker, task, kind, timers_->Now());
}

void SimFleet::EndRunAt(SimWorker* worker, const TaskId& task, EndKind kind,
                        TimePoint at) {
  const SimWorker::Run run = worker->running.at(task);
  worker->running.erase(task);
  worker->ended.push_back({.number = ++worker->last_end_number,
                           .task = task,
                           .run = run.run,
                           .kind = kind,
                           .checkpoint = run.checkpoint});
  worker->end_times[worker->last_end_number] = at;
  worker->highest_run[task] = std::max(worker->highest_run[task], run.run);
  if (kind == EndKind::kDone) done_run_[task] = run.run;
}

void SimFleet::EndRunsOnTime(SimWorker* worker) {
  const TimePoint now = timers_->Now();
  const TimePoint lease_end = LeaseEndOf(*worker);
  if (lease_end < now) worker->expired_at = lease_end;
  std::multimap<TimePoint, std::pair<TaskId, EndKind>> ends;
  for (const auto& [task, run] : worker->running) {
    const bool hangs = worker->hangs && !run.stopping;
    const bool lapses = hangs || lease_end < run.ends_at;
    const EndKind kind = lapses         ? EndKind::kLapsed
                         : run.stopping ? EndKind::kStopped
                                        : run.kind;
    ends.emplace(lapses ? lease_end : run.ends_at, std::pair(task, kind));
  }
  for (const auto& [at, end] : ends) {
    const bool due = end.second == EndKind::kLapsed ? at < now : at <= now;
    if (due) EndRunAt(worker, end.first, end.second, at);
  }
}

void SimFleet::EndDueRuns(SimWorker* worker) {
  if (ends_on_time) return EndRunsOnTime(worker);
  const TimePoint now = timers_->Now();
  const bool lapsed = ClockMs(*worker) > worker->lease_ms;
  if (lapsed) worker->expired_at = LeaseEndOf(*worker);
  struct DueEnd {
    TaskId task;
    EndKind kind;
    TimePoint at;
  };
  std::vector<DueEnd> ends;
  for (const auto& [task, run] : worker->running) {
    // A run that was due within its lease ended then, and the lease may have
    // expired since.
    const TimePoint at = run.ends_at <= LeaseEndOf(*worker) ? run.ends_at : now;
    if (run.ends_at <= now && !worker->hangs) {
      ends.push_back({task, run.stopping ? EndKind::kStopped : run.kind, at});
    } else if (run.stopping && run.ends_at <= now) {
      ends.push_back({task, EndKind::kStopped, at});
    } else if (lapsed) {
      ends.push_back({task, EndKind::kLapsed, now});
    }
  }
  for (const DueEnd& end : ends) EndRunAt(worker, end.task, end.kind, end.at);
}

void SimFleet::CheckStart(const SimWorker& worker, const StartCommand& command,
                          const StepSpec& step) {
  const TaskId& task = command.task;
  const std::string name = FormatTaskId(task);
  if (!step.speculative) {
    for (const auto& [id, other] : workers_) {
      if (!other->alive) continue;
      EndDueRuns(other.get());
      if (other->running.contains(task)) {
        AddViolation("duplicate execution: " + name + " on " + worker.id +
                     " and " + id);
      }
    }
    if (acknowledged_.contains(task)) AddViolation("rerun after done: " + name);
  }
  if (acknowledged_failures_[task] >= 3) AddViolation("attempts > 3: " + name);
  for (const int earlier : step.after) {
    const int count =
        jobs_.at(task.job).steps[static_cast<std::size_t>(earlier)].count;
    for (int i = 0; i < count; ++i) {
      if (!done_run_.contains({.job = task.job,
                               .occurrence = task.occurrence,
                               .step = earlier,
                               .index = i})) {
        AddViolation("started out of order: " + name);
        return;
      }
    }
  }
  const auto evacuated = evacuated_at_.find(worker.data_centre);
  if (evacuated != evacuated_at_.end() &&
      timers_->Now() - evacuated->second > evacuation_bound) {
    AddViolation("started in an evacuated data centre: " + name + " on " +
                 worker.id);
  }
  const auto cancelled = cancelled_at_.find(task.job);
  if (cancelled != cancelled_at_.end() &&
      timers_->Now() - cancelled->second > kCancelBound) {
    AddViolation("started after its cancellation: " + name);
  }
}

void SimFleet::CheckGangCheckpoint(const StartCommand& command) {
  TaskId gang = command.task;
  gang.index = 0;
  const auto [it, added] =
      gang_checkpoints_.try_emplace({gang, command.run}, command.checkpoint);
  if (!added && it->second != command.checkpoint) {
    AddViolation("members resume from different checkpoints: " +
                 FormatTaskId(command.task));
  }
}

void SimFleet::CheckAcknowledgedEnd(const SimWorker& worker,
                                    const EndedTask& end) {
  if (end.kind != EndKind::kDone) return;
  acknowledged_.insert(end.task);
  const StepSpec& step =
      jobs_.at(end.task.job).steps[static_cast<std::size_t>(end.task.step)];
  const auto ended = worker.end_times.find(end.number);
  if (ended == worker.end_times.end()) return;  // added by a test
  const TimePoint ended_at = ended->second;
  // The task may start again if the worker's lease expired before the end was
  // acknowledged.
  if (step.speculative || worker.expired_at >= ended_at) return;
  if (last_start_[end.task] > ended_at) {
    AddViolation("started again after it was done, acknowledged only later: " +
                 FormatTaskId(end.task));
  }
}

std::string AddressOf(const SimWorker& worker) {
  return worker.address.empty() ? worker.id + ":1" : worker.address;
}

TimePoint LeaseEndOf(const SimWorker& worker) {
  return worker.born_at + Millis(worker.lease_ms - worker.clock_offset_ms);
}

SimFault SimFleet::FaultFor(const SimWorker& worker,
                            const WorkerAddress& address, std::int64_t fence) {
  const bool unreachable = (worker.unreachable_from_fence &&
                            fence >= *worker.unreachable_from_fence) ||
                           (worker.unreachable_below_fence &&
                            fence < *worker.unreachable_below_fence) ||
                           address.address != AddressOf(worker);
  return !worker.alive || unreachable ? SimFault::kRequestLost : worker.fault;
}

CommandResult SimFleet::DoStart(SimWorker* worker,
                                const StartCommand& command) {
  if (!worker->alive) return CommandResult::kUnknown;
  EndDueRuns(worker);
  if (command.fence < worker->fence) return CommandResult::kFenced;
  worker->fence = command.fence;
  const auto running = worker->running.find(command.task);
  if (running != worker->running.end() && running->second.run == command.run) {
    return CommandResult::kDone;
  }
  if (command.run <= worker->highest_run[command.task]) {
    return CommandResult::kSuperseded;
  }
  if (command.lease_worker_ms <= ClockMs(*worker)) return CommandResult::kLate;
  worker->lease_ms = std::max(
      worker->lease_ms,
      std::min(command.lease_worker_ms, ClockMs(*worker) + kMaxLeaseMs));
  if (requires_tickets && command.ticket != "ticket-" + worker->id) {
    ++starts_without_ticket;
    return CommandResult::kNoTicket;
  }
  const auto job = jobs_.find(command.task.job);
  if (job == jobs_.end()) {
    AddViolation("never submitted: " + FormatTaskId(command.task));
    return CommandResult::kMalformed;
  }
  const StepSpec& step =
      job->second.steps[static_cast<std::size_t>(command.task.step)];
  CheckStart(*worker, command, step);
  Resources used = Charge(step);
  for (const auto& [task, run] : worker->running) used += run.charge;
  if (!Fits(used, worker->room)) {
    AddViolation("exceeds the room of " + worker->id + ": " +
                 FormatTaskId(command.task));
  }
  if (step.gang) CheckGangCheckpoint(command);
  ++started_runs_;
  ++starts_in_[worker->data_centre];
  CheckCrashes(command.task);
  if (crashing_tasks.contains(command.task)) {
    timers_->After(crash_delay,
                   [this, id = worker->id] { CrashAndRestart(id); });
  }
  const TimePoint now = timers_->Now();
  const auto actual = actual_durations.find(command.task.job);
  const Millis duration = actual == actual_durations.end()
                              ? Millis(step.estimate_ms)
                              : actual->second;
  last_start_[command.task] = now;
  worker->running[command.task] = {
      .run = command.run,
      .started_at = now,
      .ends_at = now + (step.lasting ? Millis(100000000) : duration),
      .kind = worker->fails_all_tasks ? EndKind::kFailed : EndKind::kDone,
      .charge = Charge(step),
      .serving = step.target_ms > 0,
      .filler = step.filler,
      .lasting = step.lasting};
  return CommandResult::kDone;
}

template <typename Result>
void SimFleet::CallWithFault(SimFault fault, std::function<Result()> effect,
                             std::function<void(Result)> done, Result refused,
                             Result unknown) {
  switch (fault) {
    case SimFault::kNone:
      timers_->After(kWorkerLatency, [this, effect, done] {
        const Result result = effect();
        timers_->After(kWorkerLatency, [done, result] { done(result); });
      });
      return;
    case SimFault::kRefused:
      timers_->After(kWorkerLatency, [done, refused] { done(refused); });
      return;
    case SimFault::kAnswerLost:
      timers_->After(kWorkerLatency, [effect] { effect(); });
      break;
    case SimFault::kDelayed:
      timers_->After(kDelayedBy, [effect] { effect(); });
      break;
    case SimFault::kRequestLost:
      break;
  }
  timers_->After(kCallTimeout, [done, unknown] { done(unknown); });
}

void SimFleet::Start(const WorkerAddress& address, const StartCommand& command,
                     std::function<void(const StartAnswer&)> done) {
  if (command_delay == Millis(0)) return StartNow(address, command, done);
  timers_->After(command_delay, [this, address, command, done] {
    StartNow(address, command, done);
  });
}

void SimFleet::StartNow(const WorkerAddress& address,
                        const StartCommand& command,
                        const std::function<void(const StartAnswer&)>& done) {
  SimWorker* worker = Find(address.id);
  if (worker->address_reused) {
    timers_->After(kWorkerLatency,
                   [done] { done({.result = CommandResult::kOtherWorker}); });
    return;
  }
  if (worker->holds_back_starts) {
    HoldBack(*worker, [this, worker, command] { DoStart(worker, command); });
    timers_->After(kCallTimeout, [done] { done({}); });
    return;
  }
  CallWithFault<StartAnswer>(FaultFor(*worker, address, command.fence),
                             [this, worker, command]() -> StartAnswer {
                               return {.result = DoStart(worker, command),
                                       .worker_clock_ms = ClockMs(*worker)};
                             },
                             done, {.result = CommandResult::kUnhealthy}, {});
}

void SimFleet::Stop(const WorkerAddress& address, const TaskId& task,
                    std::int64_t run, std::int64_t fence,
                    std::function<void(CommandResult)> done) {
  if (command_delay == Millis(0)) {
    return StopNow(address, task, run, fence, done);
  }
  timers_->After(command_delay, [this, address, task, run, fence, done] {
    StopNow(address, task, run, fence, done);
  });
}

void SimFleet::StopNow(const WorkerAddress& address, const TaskId& task,
                       std::int64_t run, std::int64_t fence,
                       const std::function<void(CommandResult)>& done) {
  SimWorker* worker = Find(address.id);
  CallWithFault<CommandResult>(
      FaultFor(*worker, address, fence),
      [this, worker, task, run, fence] {
        if (!worker->alive) return CommandResult::kUnknown;
        EndDueRuns(worker);
        if (fence < worker->fence) return CommandResult::kFenced;
        worker->fence = fence;
        worker->highest_run[task] = std::max(worker->highest_run[task], run);
        const auto it = worker->running.find(task);
        if (it != worker->running.end() && it->second.run <= run &&
            !it->second.stopping) {
          it->second.stopping = true;
          it->second.ends_at = timers_->Now() + kStopTime;
        }
        return CommandResult::kDone;
      },
      done, CommandResult::kUnhealthy, CommandResult::kUnknown);
}

void SimFleet::Pace(const WorkerAddress& address, const TaskId& task,
                    std::int64_t run, int percent, std::int64_t fence,
                    std::function<void(CommandResult)> done) {
  SimWorker* worker = Find(address.id);
  CallWithFault<CommandResult>(
      FaultFor(*worker, address, fence),
      [worker, task, run, percent, fence] {
        if (fence < worker->fence) return CommandResult::kFenced;
        worker->fence = fence;
        const auto it = worker->running.find(task);
        if (it != worker->running.end() && it->second.run == run) {
          it->second.pace = percent;
        }
        return CommandResult::kDone;
      },
      done, CommandResult::kUnhealthy, CommandResult::kUnknown);
}

std::int64_t SimFleet::TailLatencyMs(const SimWorker& worker) {
  std::int64_t tail = worker.base_tail_ms;
  for (const auto& [task, run] : worker.running) {
    if (run.filler) tail += worker.filler_tail_ms * run.pace / 100;
  }
  return tail;
}

HoldAnswer SimFleet::DoHold(SimWorker* worker, const HoldCommand& command) {
  EndDueRuns(worker);
  HoldAnswer answer;
  if (command.fence < worker->fence) {
    answer.result = CommandResult::kFenced;
    return answer;
  }
  worker->fence = command.fence;
  if (command.lease_worker_ms > 0) {
    worker->lease_ms = std::max(
        worker->lease_ms,
        std::min(command.lease_worker_ms, ClockMs(*worker) + kMaxLeaseMs));
  }
  std::erase_if(worker->ended, [&](const EndedTask& end) {
    if (end.number > command.seen_up_to) return false;
    CheckAcknowledgedEnd(*worker, end);
    if (end.kind == EndKind::kFailed) ++acknowledged_failures_[end.task];
    return true;
  });
  answer.result = CommandResult::kDone;
  answer.worker_clock_ms = ClockMs(*worker);
  answer.born_unix_ms = worker->born_at.time_since_epoch().count();
  for (const auto& [task, run] : worker->running) {
    const Millis elapsed = timers_->Now() - run.started_at;
    const bool at_work = elapsed > startup;
    int percent = at_work ? 100 : 0;
    if (reports_progress && !run.lasting && !run.stopping) {
      percent = static_cast<int>(100 * elapsed.count() /
                                 (run.ends_at - run.started_at).count());
    }
    answer.running.push_back(
        {.task = task,
         .run = run.run,
         .checkpoint = run.checkpoint,
         .percent = percent,
         .reported_load = run.serving ? TailLatencyMs(*worker) : 0});
  }
  const std::size_t listed = std::min(worker->ended.size(), max_ends_per_poll);
  answer.ended.assign(
      worker->ended.begin(),
      worker->ended.begin() + static_cast<std::ptrdiff_t>(listed));
  answer.more_ends = listed < worker->ended.size();
  return answer;
}

void SimFleet::WaitHold(const WorkerAddress& address, HoldCommand command,
                        TimePoint until,
                        const std::function<void(const HoldAnswer&)>& done) {
  SimWorker* worker = Find(address.id);
  if (worker->address_reused) {
    done({.result = CommandResult::kOtherWorker});
    return;
  }
  if (FaultFor(*worker, address, command.fence) == SimFault::kRequestLost) {
    timers_->After(kCallTimeout, [done] { done({}); });
    return;
  }
  const HoldAnswer answer = DoHold(worker, command);
  if (answer.result != CommandResult::kDone || !answer.ended.empty() ||
      timers_->Now() >= until) {
    timers_->After(kWorkerLatency, [done, answer] { done(answer); });
    return;
  }
  timers_->After(Millis(10), [this, address, command, until, done] {
    WaitHold(address, command, until, done);
  });
}

void SimFleet::Hold(const WorkerAddress& address, const HoldCommand& command,
                    std::function<void(const HoldAnswer&)> done) {
  SimWorker* worker = Find(address.id);
  if (worker->holds_back_polls) {
    HoldBack(*worker, [this, worker, command] { DoHold(worker, command); });
    timers_->After(kCallTimeout, [done] { done({}); });
    return;
  }
  if (worker->fault == SimFault::kAnswerLost || worker->delays_holds) {
    const Millis delay = worker->delays_holds ? kDelayedBy : kWorkerLatency;
    timers_->After(delay, [this, worker, address, command] {
      const bool reached =
          worker->alive && address.address == AddressOf(*worker);
      if (reached) DoHold(worker, command);
    });
    timers_->After(kCallTimeout, [done] { done({}); });
    return;
  }
  timers_->After(kWorkerLatency, [this, address, command, done] {
    WaitHold(address, command, timers_->Now() + command.wait, done);
  });
}

int SimFleet::DoneTasks(const std::string& job) const {
  return static_cast<int>(std::count_if(
      done_run_.begin(), done_run_.end(),
      [&job](const auto& entry) { return entry.first.job == job; }));
}

int SimFleet::RunningTasks(const std::string& job) const {
  int count = 0;
  for (const auto& [id, worker] : workers_) {
    for (const auto& [task, run] : worker->running) {
      if (task.job == job) ++count;
    }
  }
  return count;
}

// Instances.

void SimFleet::List(std::function<void(const InstanceList&)> done) {
  InstanceList list;
  list.complete = true;
  for (const auto& [id, instance] : instances_) {
    list.instances.push_back({.id = id,
                              .pool = instance.pool,
                              .state = instance.state,
                              .data_centre = instance.data_centre,
                              .room = {.cpu_millis = 32000, .memory_mb = 65536},
                              .worker = instance.worker});
  }
  timers_->After(kWorkerLatency, [done, list] { done(list); });
}

void SimFleet::TakeDown(SimInstance* instance, InstanceState state, Millis time,
                        const std::string& pool) {
  if (!instance->worker.empty()) {
    SimWorker* worker = Find(instance->worker);
    if (worker != nullptr && worker->alive) {
      EndDueRuns(worker);
      if (!worker->running.empty()) {
        AddViolation("instance " + instance->id +
                     " taken with unfinished tasks");
      }
      const std::string worker_id = instance->worker;
      Crash(worker_id);
    }
  }
  instance->worker.clear();
  instance->state = state;
  instance->pool = pool;
  timers_->After(time, [this, id = instance->id] {
    SimInstance& back = instances_.at(id);
    if (back.state == InstanceState::kMaintenance) --in_maintenance_;
    back.state = InstanceState::kUp;
    if (back.pool != "spare") {
      back.worker = NewWorker(back.pool, back.data_centre);
    }
  });
}

void SimFleet::Move(const std::string& id, const std::string& pool,
                    std::int64_t fence,
                    std::function<void(InstanceResult)> done) {
  SimInstance& instance = instances_.at(id);
  InstanceResult result = InstanceResult::kDone;
  if (fence < instance.fence) {
    result = InstanceResult::kFenced;
  } else if (instance.state != InstanceState::kUp) {
    result = InstanceResult::kBusy;
  } else if (instance.pool != pool) {
    ++moves;
    TakeDown(&instance, InstanceState::kMoving, kMoveTime, pool);
  }
  instance.fence = std::max(instance.fence, fence);
  timers_->After(kWorkerLatency, [done, result] { done(result); });
}

void SimFleet::Maintain(const std::string& id, std::int64_t wave,
                        std::int64_t fence,
                        std::function<void(InstanceResult)> done) {
  SimInstance& instance = instances_.at(id);
  InstanceResult result = InstanceResult::kDone;
  if (fence < instance.fence) {
    result = InstanceResult::kFenced;
  } else if (instance.waves.contains(wave)) {
    result = InstanceResult::kDone;
  } else if (instance.state != InstanceState::kUp) {
    result = InstanceResult::kBusy;
  } else {
    instance.waves.insert(wave);
    ++in_maintenance_;
    peak_in_maintenance = std::max(peak_in_maintenance, in_maintenance_);
    TakeDown(&instance, InstanceState::kMaintenance, kMaintenanceTime,
             instance.pool);
  }
  instance.fence = std::max(instance.fence, fence);
  timers_->After(kWorkerLatency, [done, result] { done(result); });
}

}  // namespace basilusher
