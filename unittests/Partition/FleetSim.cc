// The simulation as a whole, and the formats of its directory.
#include "FleetSim.h"

#include <charconv>
#include <cstdlib>
#include <iostream>

#include "basilusher/Support/Json.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

constexpr Millis kPeerLatency{2};

/// Writes log lines with the virtual time.
class TraceSink : public LogSink {
 public:
  explicit TraceSink(const SimTimers* timers) : timers_(timers) {}
  void Write(LogLevel, const std::string& line) override {
    std::cerr << timers_->Now().time_since_epoch().count() << ' ' << line
              << '\n';
  }

 private:
  const SimTimers* timers_;
};

}  // namespace

std::string SimFormats::WaveStatusKey(std::int64_t wave) const {
  return "status/" + std::to_string(wave);
}

std::shared_ptr<const Catalog> SimFormats::DecodeCatalog(
    const std::string& bytes) const {
  const std::shared_ptr<Catalog> catalog = std::make_shared<Catalog>();
  std::from_chars(bytes.data(), bytes.data() + bytes.size(), catalog->version);
  return catalog;
}

std::optional<WorkerEntry> SimFormats::DecodeWorker(
    const std::string& key, const std::string& bytes) const {
  const Json in = Json::parse(bytes, nullptr, false);
  if (!in.is_object()) return std::nullopt;
  WorkerEntry entry;
  entry.id = key.substr(WorkerPrefix().size());
  entry.pool = in.value("pool", "");
  entry.address = in.value("address", entry.id + ":1");
  entry.data_centre = in.value("data_centre", "");
  entry.room = {.cpu_millis = in.value("cpu", std::int64_t{0}),
                .memory_mb = in.value("memory", std::int64_t{0})};
  entry.draining = in.value("draining", false);
  entry.born_unix_ms = in.value("born", std::int64_t{0});
  entry.labels = in.value("labels", std::vector<std::string>{});
  return entry;
}

std::optional<MaintenanceWave> SimFormats::DecodeWave(
    const std::string&, const std::string&) const {
  return std::nullopt;
}

std::optional<std::string> SimFormats::DecodeEvacuation(
    const std::string& key) const {
  const std::string prefix = OperatorPrefix() + "evacuate/";
  if (!key.starts_with(prefix)) return std::nullopt;
  std::string name = key.substr(prefix.size());
  if (name.empty()) throw Error(ResultCode::kIntentInvalid, "no name");
  return name;
}

std::string SimFormats::EncodeWaveStatus(bool finished) const {
  return finished ? "finished" : "running";
}

FleetSim::FleetSim() {
  if (std::getenv("BASILUSHER_TRACE") != nullptr) {
    OpenLogOn("sim", LogLevel::kInfo, std::make_unique<TraceSink>(&timers));
  }
  catalog.version = 1;
  catalog.pools["pool"] = {.name = "pool"};
  catalog.pools["spare"] = {.name = "spare", .spare = true};
  catalog.queues["queue"] = {.name = "queue",
                             .pool = "pool",
                             .max_attempts = 3,
                             .stretch = 1.6,
                             .objective_ms = 600};
  catalog.workspaces["team"] = {.name = "team"};
}

FleetSim::~FleetSim() {
  if (owner != nullptr) owner->Close();
  for (const std::shared_ptr<PartitionOwner>& old : former_owners) old->Close();
  CloseLog();
}

void FleetSim::BeginTerm(bool close_former) {
  if (owner != nullptr) {
    former_leases = owner->FindLongLeases();
    if (close_former) owner->Close();
    former_owners.push_back(owner);
  }
  const RecordKeys keys;
  ++term_;
  std::unique_ptr<StoreConnection>& connection = connections[term_];
  connection = std::make_unique<StoreConnection>(&timers, &store);
  const std::int64_t revision = store.Put(keys.owner, std::to_string(term_));
  owner = std::make_shared<PartitionOwner>(
      OwnerDependencies{.store = connection.get(),
                        .workers = workers,
                        .instances = instances,
                        .advisor = advisor,
                        .timers = &timers,
                        .clock = &timers,
                        .formats = &formats,
                        .counters = counters,
                        .evacuations = evacuations},
      OwnerOptions{.node = "node-" + std::to_string(term_),
                   .term = term_,
                   .starts_stored_since = starts_stored_since,
                   .term_revision = revision,
                   .task_lease = task_lease,
                   .workspace_shares = workspace_shares,
                   .rank_all_pools = rank_all_pools,
                   .learned_durations = learned_durations},
      PartitionOwner::Listener{
          .on_deposed = [this, term = term_] { CloseDeposedOwner(term); },
          .confirmed_until =
              [this, term = term_] {
                // Only the current owner can still confirm its term, and only
                // at a store that answers it.
                const bool answered = store.fault != SimFault::kRequestLost &&
                                      store.fault != SimFault::kRefused;
                if (can_confirm_term && answered && term == term_ &&
                    !connections[term]->cut) {
                  confirmed_at_[term] = timers.Now();
                }
                return confirmed_at_[term] + Millis(1500);
              }});
  owners_[term_] = owner;
  owner->Begin(std::make_shared<Catalog>(catalog));
}

void FleetSim::CloseDeposedOwner(std::int64_t term) {
  // The owner is on the call stack, so it is closed by a later event.
  timers.After(Millis(0), [this, term] {
    const std::shared_ptr<PartitionOwner> old = owners_[term].lock();
    if (old != nullptr) old->Close();
  });
}

void FleetSim::Submit(const JobSpec& job) {
  fleet.RegisterJob(job);
  JobSpec offered = job;
  if (offered.offered_term == 0) offered.offered_term = term_;
  store.Put(RecordKeys().job_prefix + job.id, EncodeJobSpec(offered));
}

void FleetSim::Cancel(const std::string& job, bool owner_told) {
  store.Put(RecordKeys().cancel_prefix + job, "1");
  fleet.RecordCancellation(job);
  if (!owner_told) return;
  timers.After(kPeerLatency, [this, job] {
    if (owner->Loaded()) owner->NoteCancelled(job);
  });
}

void FleetSim::Restart(const std::string& id, Millis downtime,
                       std::int64_t clock_offset_ms) {
  SimWorker* worker = fleet.Find(id);
  worker->alive = false;
  worker->running.clear();
  worker->ended.clear();
  worker->highest_run.clear();
  Run(downtime);
  worker->alive = true;
  worker->fence = 0;
  worker->lease_ms = 0;
  worker->last_end_number = 0;
  worker->born_at = timers.Now();
  worker->clock_offset_ms = clock_offset_ms;
}

JobState FleetSim::StateOf(const std::string& job) {
  const std::optional<JobStatus> shown = owner->Find(job);
  return shown ? shown->state : JobState::kQueued;
}

JobSpec FleetSim::MakeJob(const std::string& id, int tasks, std::int64_t ms) {
  JobSpec job;
  job.id = id;
  job.queue = "queue";
  job.workspace = "team";
  job.steps.push_back({.count = tasks,
                       .need = {.cpu_millis = 2000, .memory_mb = 1000},
                       .estimate_ms = ms});
  job.accepted_unix_ms = WallMicros() / 1000;
  return job;
}

}  // namespace basilusher
