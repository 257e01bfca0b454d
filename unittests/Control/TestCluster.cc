// Fake implementations of the control components' interfaces.
#include "TestCluster.h"

#include <algorithm>
#include <utility>

#include "basilusher/Support/Digest.h"
#include "basilusher/Wire/Envelope.h"

namespace basilusher::testing {
namespace {

constexpr Millis kTimeStep{5};
constexpr Millis kStoreTimeout{1000};
constexpr Millis kRebootTime{500};
/// Work with a withdrawn key may start for at most this time after the
/// withdrawal was accepted; the requirement is "within seconds".
constexpr Millis kMaxWithdrawalDelay{5000};
/// Work may start on a leaving worker for at most this time; the requirement is
/// "after a few seconds".
constexpr Millis kMaxLeavingDelay{3000};
constexpr int kSlots = 4;
/// Availability budget of each pool: workers that may be drained at once.
constexpr int kAvailabilityBudget = 1;
constexpr int kLimitB = 6;
constexpr int kShortWorkMs = 40;
constexpr int kLongWorkMs = 2500;
constexpr Millis kMaxAnswerTime{12000};

/// One node's connection to the store.
class FakeStore : public KeyValueStore {
 public:
  FakeStore(TestCluster* cluster, Node* node)
      : cluster_(cluster), node_(node) {}

  void Get(StorePurpose /*purpose*/, const std::string& key,
           StoreCallback done) override {
    Read([this, key] { return cluster_->store.Get(key); }, std::move(done));
  }
  void List(StorePurpose /*purpose*/, const std::string& prefix,
            StoreCallback done) override {
    Read([this, prefix] { return cluster_->store.List(prefix); },
         std::move(done));
  }
  void Swap(StorePurpose /*purpose*/, const SwapRequest& request,
            StoreCallback done) override {
    Write(
        "swap " + request.key,
        [this, request] { return cluster_->store.Swap(request); },
        std::move(done));
  }
  void KeepLease(const std::string& id, Millis ttl,
                 StoreCallback done) override {
    Write(
        "lease",
        [this, id, ttl] {
          return cluster_->store.KeepLease(id, ttl, cluster_->clock.Now());
        },
        std::move(done));
  }
  void EndLease(const std::string& id, StoreCallback done) override {
    Write(
        "lease", [this, id] { return cluster_->store.EndLease(id); },
        std::move(done));
  }

 private:
  bool Reachable() const { return !cluster_->store_down && !node_->store_cut; }

  void Fail(StoreStatus status, const StoreCallback& done) {
    cluster_->RunAfterOn(node_, kStoreTimeout,
                         [done, status] { done({.status = status}); });
  }

  void Read(std::function<StoreReply()> read, StoreCallback done) {
    cluster_->RunAfter(cluster_->store_delay, [this, read, done] {
      if (!Reachable()) {
        Fail(StoreStatus::kUnavailable, done);
        return;
      }
      const StoreReply reply = read();
      cluster_->RunAfterOn(node_, kNetworkDelay,
                           [done, reply] { done(reply); });
    });
  }

  void Write(const std::string& step, std::function<StoreReply()> write,
             StoreCallback done) {
    const FaultEffect effect = cluster_->OnStep({step, node_->info.instance});
    cluster_->RunAfter(cluster_->store_delay + effect.delay, [=, this] {
      if (!Reachable()) {
        Fail(StoreStatus::kUnavailable, done);
        return;
      }
      const StoreReply reply = write();
      if (effect.lose_answer) {
        Fail(StoreStatus::kAnswerLost, done);
        return;
      }
      cluster_->RunAfterOn(node_, kNetworkDelay,
                           [done, reply] { done(reply); });
    });
  }

  TestCluster* cluster_;
  Node* node_;
};

}  // namespace

Json TestIntentDocument(int limit_a, const std::string& w3_pool) {
  const Json weights = {{"bufferCost", 1},
                        {"rollOutTime", 1},
                        {"moves", 1},
                        {"closenessToShare", 1}};
  const bool moved = w3_pool == "main";
  const Json main_workers = moved ? Json{"w1", "w2", "w3"} : Json{"w1", "w2"};
  const Json spare_workers = moved ? Json::array() : Json::array({"w3"});
  return {{"deployment",
           {{"name", "bench"}, {"sparePool", "spare"}, {"weights", weights}}},
          {"teams",
           {{"a", {{"share", 2}, {"limit", limit_a}}},
            {"b", {{"share", 1}, {"limit", kLimitB}}}}},
          {"services",
           {{"main",
             {{"service", "main"},
              {"pool", "main"},
              {"availabilityBudget", 1},
              {"workers", main_workers},
              {"queues",
               {{"many",
                 {{"class", "urgent"},
                  {"deadlineMillis", 4000},
                  {"idempotent", true},
                  {"teams", {"a", "b"}}}},
                {"once",
                 {{"class", "standard"},
                  {"deadlineMillis", 4000},
                  {"idempotent", false},
                  {"teams", {"a", "b"}}}}}}}},
            {"spare",
             {{"service", "spare"},
              {"pool", "spare"},
              {"availabilityBudget", 1},
              {"workers", spare_workers},
              {"queues", Json::object()}}}}}};
}

Node::Node(TestCluster* owner, const std::string& instance,
           std::int64_t incarnation)
    : cluster(owner), random(owner->random.Next()) {
  info = {.instance = instance, .incarnation = incarnation};
  store = std::make_unique<FakeStore>(cluster, this);
  const Context context{.self = info,
                        .clock = &cluster->clock,
                        .random = &random,
                        .bus = this,
                        .store = store.get(),
                        .counters = &counters,
                        .views = &views};
  membership = std::make_unique<MembershipAgent>(context);
  config = std::make_unique<ConfigAgent>(context);
  slots = std::make_unique<SlotHome>(context);
  places = std::make_unique<PlaceHome>(context, this);
  claims = std::make_unique<ClaimHome>(context);
  front = std::make_unique<FrontDoor>(context, this);
  fleet = std::make_unique<FleetAgent>(context, this);
  tasks = std::make_unique<TaskHome>(context, this);
}

Node::~Node() = default;

void Node::Send(const std::string& to, const Message& message) {
  const FaultEffect effect =
      cluster->OnStep({std::string(KindOf(message)), info.instance});
  if (!alive) return;
  const PeerId from{info.instance, info.incarnation};
  const auto deliver = [this, from, to,
                        bytes = EncodeEnvelope(
                            {.from = from, .trace = "", .message = message})] {
    const auto it = cluster->nodes.find(to);
    if (it == cluster->nodes.end()) return;
    Node* receiver = it->second.get();
    const bool cut = receiver != this && (peers_cut || receiver->peers_cut);
    if (cut) return;
    cluster->RunAfterOn(receiver, Millis(0), [receiver, from, bytes] {
      receiver->Deliver(from, DecodeEnvelope(bytes).message);
    });
  };
  cluster->RunAfter(kNetworkDelay + effect.delay, deliver);
  if (effect.twice) cluster->RunAfter(kNetworkDelay * 3, deliver);
}

void Node::Deliver(const PeerId& from, const Message& message) {
  membership->OnMessage(from, message);
  config->OnMessage(from, message);
  slots->OnMessage(from, message);
  places->OnMessage(from, message);
  claims->OnMessage(from, message);
  front->OnMessage(from, message);
  tasks->OnMessage(from, message);
}

void Node::Tick() {
  // Stands in for the store's watch.
  if (!cluster->store_down && !store_cut &&
      cluster->store_delay < Millis(500)) {
    const std::vector<StoreEntry> changes = cluster->store.ChangesAfter(
        {kMemberPrefix, kIntentHeadKey, kKeysKey, kFleetPrefix},
        watch_revision);
    watch_revision = cluster->store.Revision();
    const StoreChanges batch{.entries = changes,
                             .asked_at = cluster->clock.Now()};
    membership->OnStoreChanges(batch);
    config->OnStoreChanges(batch);
    fleet->OnStoreChanges(batch);
  }
  std::vector<EntryInfo> listed;
  for (const auto& row : cluster->nodes) listed.push_back(row.second->info);
  membership->OnInstances(cluster->worker_infos, listed);
  membership->OnTick();
  config->OnTick();
  slots->OnTick();
  places->OnTick();
  claims->OnTick();
  front->OnTick();
  fleet->OnTick();
  tasks->OnTick();
}

void Node::Drain(const WorkerInfo& worker, std::int64_t fence,
                 std::function<void(int running)> done) {
  const FaultEffect effect = cluster->OnStep({"drain", info.instance});
  if (workers_cut) {
    cluster->RunAfterOn(this, Millis(100), [done] { done(-1); });
    return;
  }
  cluster->RunAfter(kNetworkDelay + effect.delay,
                    [this, done, fence, id = worker.id] {
                      const int running = cluster->workers.at(id).Drain(fence);
                      cluster->RunAfterOn(this, kNetworkDelay,
                                          [done, running] { done(running); });
                    });
}

void Node::Admit(const WorkerInfo& worker, std::int64_t fence,
                 std::function<void(bool admitted)> done) {
  if (workers_cut) {
    cluster->RunAfterOn(this, Millis(100), [done] { done(false); });
    return;
  }
  cluster->RunAfter(kNetworkDelay, [this, done, fence, id = worker.id] {
    cluster->workers.at(id).Admit(fence);
    cluster->RunAfterOn(this, kNetworkDelay, [done] { done(true); });
  });
}

void Node::Release(const WorkerInfo& worker, std::int64_t maintained) {
  const FaultEffect effect = cluster->OnStep({"release", info.instance});
  if (cluster->store_down || store_cut) return;
  cluster->RunAfter(
      kNetworkDelay + effect.delay, [this, maintained, id = worker.id] {
        WorkerInfo& listed = cluster->worker_infos.at(id);
        if (!listed.wants_maintenance || listed.maintained != maintained) {
          return;
        }
        if (cluster->workers.at(id).Running() > 0) {
          cluster->violations.push_back("a reboot cut off work on " + id);
        }
        if (!cluster->HasBudgetPlace("main", id) &&
            !cluster->HasBudgetPlace("spare", id)) {
          cluster->violations.push_back(
              "reboot without a place in the budget: " + id);
        }
        listed.wants_maintenance = false;
        listed.rebooting = true;
        ++listed.maintained;
        cluster->RunAfter(kRebootTime, [this, id] {
          cluster->worker_infos.at(id).rebooting = false;
          cluster->workers.at(id).Reboot();
        });
      });
}

void Node::Dispatch(const DispatchCommand& command) {
  if (!TaskIdOfRequest(command.request_id).empty()) {
    cluster->RunAfterOn(this, Millis(0),
                        [this, command] { tasks->OnCommand(command); });
    return;
  }
  const std::string kind =
      cluster->calls.at(command.request_id).at_most_once ? "once" : "many";
  const FaultEffect effect =
      cluster->OnStep({"dispatch " + kind, info.instance});
  const auto report = [this, command](Millis delay, DispatchResult result) {
    cluster->RunAfterOn(this, delay, [this, command, result] {
      front->OnDispatched(command.request_id, command.attempt, result);
    });
  };
  cluster->RunAfterOn(
      this, kNetworkDelay + effect.delay, [this, command, report, kind] {
        // The caller's thread checks the command's age before it sends the
        // bytes.
        if (cluster->clock.Now() > command.send_before) {
          report(Millis(0), {.status = DispatchStatus::kNotSent});
          return;
        }
        if (workers_cut) {
          report(Millis(100), {.status = DispatchStatus::kUnreachable});
          return;
        }
        const Call& call = cluster->calls.at(command.request_id);
        const RunRecord run{
            .request_id = command.request_id,
            .attempt = command.attempt,
            .team = command.team,
            .holder = ToString({info.instance, info.incarnation}),
            .tag = call.tag};
        WorkerCore* worker = &cluster->workers.at(command.worker.id);
        if (!worker->Start(run)) {
          report(kNetworkDelay, {.status = DispatchStatus::kRefused});
          return;
        }
        const auto withdrawn = cluster->withdrawn.find(call.team);
        if (withdrawn != cluster->withdrawn.end() &&
            cluster->clock.Now() - withdrawn->second > kMaxWithdrawalDelay) {
          cluster->violations.push_back(
              "work started with a withdrawn key: " + call.tag + " at " +
              info.instance + " " +
              std::to_string(
                  (cluster->clock.Now() - withdrawn->second).count()) +
              " ms after, now " +
              std::to_string(cluster->clock.Now().time_since_epoch().count()));
        }
        const auto leaving = cluster->leaving.find(command.worker.id);
        if (leaving != cluster->leaving.end() &&
            cluster->clock.Now() - leaving->second > kMaxLeavingDelay) {
          cluster->violations.push_back("work started on a leaving worker: " +
                                        call.tag);
        }
        if (command.team != call.team) {
          cluster->violations.push_back("run for another team: " + call.tag);
        }
        const bool is_long = call.tag.find("long") != std::string::npos;
        const Millis work(is_long ? kLongWorkMs : kShortWorkMs);
        cluster->RunAfter(
            work, [this, command, worker, report, kind, work, tag = call.tag] {
              worker->Finish(command.request_id, command.attempt, 0);
              const FaultEffect answer =
                  cluster->OnStep({"answer " + kind, info.instance});
              if (workers_cut || answer.lose_answer) {
                report(Millis(500), {.status = DispatchStatus::kLost});
                return;
              }
              report(kNetworkDelay + answer.delay,
                     {.status = DispatchStatus::kAnswered,
                      .http_status = 200,
                      .body = "answer to " + tag,
                      .service = work});
            });
      });
}

void Node::Finish(const std::string& request_id, const Answer& answer) {
  if (!TaskIdOfRequest(request_id).empty()) {
    cluster->RunAfterOn(this, Millis(0), [this, request_id, answer] {
      tasks->OnFinished(request_id, answer);
    });
    return;
  }
  Call& call = cluster->calls.at(request_id);
  ++call.answers;
  call.answer = answer;
}

void Node::CheckRun(const WorkerInfo& worker, const std::string& request_id,
                    int attempt) {
  if (workers_cut) return;
  cluster->RunAfter(kNetworkDelay, [this, id = worker.id, request_id, attempt] {
    const bool running = cluster->workers.at(id).BarRun(request_id, attempt);
    cluster->RunAfterOn(
        this, kNetworkDelay, [this, request_id, attempt, running] {
          front->OnRunChecked(
              request_id, attempt,
              running ? RunState::kRunning : RunState::kNotRunning);
        });
  });
}

void Node::BarHolder(const PeerId& holder, std::function<void(bool)> done) {
  cluster->RunAfter(kNetworkDelay, [this, holder, done] {
    bool gone = !workers_cut;
    for (std::pair<const std::string, WorkerCore>& row : cluster->workers) {
      gone = gone && row.second.BarHolder(ToString(holder)) == 0;
    }
    cluster->RunAfterOn(this, kNetworkDelay, [done, gone] { done(gone); });
  });
}

TestCluster::TestCluster(std::uint64_t seed) : random(seed) {
  for (const char* name : {"w1", "w2", "w3"}) {
    workers.emplace(name, WorkerCore(kSlots));
    worker_infos[name] = {.id = name, .slots = kSlots};
  }
  for (const char* name : {"n1", "n2", "n3"}) {
    nodes[name] = std::make_unique<Node>(this, name, next_incarnation++);
  }
  Advance(Millis(300));
  Publish("n1", limit_a);
  Advance(Millis(300));
  AddKey("n1", "a");
  AddKey("n2", "b");
  Advance(Millis(2500));
}

TestCluster::~TestCluster() = default;

void TestCluster::RunAfter(Millis delay, std::function<void()> work) {
  events_.emplace(clock.now + delay, std::move(work));
}

void TestCluster::RunAfterOn(Node* node, Millis delay,
                             std::function<void()> work) {
  RunAfter(delay, [node, work = std::move(work)] {
    if (!node->alive) return;
    if (node->paused) {
      node->deferred_work.push_back(work);
      return;
    }
    work();
  });
}

FaultEffect TestCluster::OnStep(const StepEvent& event) {
  return fault_hook ? fault_hook(event) : FaultEffect{};
}

void TestCluster::Advance(Millis span) {
  const TimePoint end = clock.now + span;
  while (clock.now < end) Step();
}

void TestCluster::Step() {
  clock.now += kTimeStep;
  while (!events_.empty() && events_.begin()->first <= clock.now) {
    const std::function<void()> work = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    work();
    CheckNow();
  }
  if (clock.now < next_tick_) return;
  next_tick_ = clock.now + kTickPeriod;
  store.ExpireLeases(clock.now);
  std::vector<Node*> live;
  for (const auto& row : nodes) live.push_back(row.second.get());
  for (Node* node : live) {
    if (node->alive && !node->paused) node->Tick();
  }
  CheckWithdrawals();
  CheckFleet();
  CheckNow();
}

int TestCluster::RunningOf(const std::string& team) const {
  int running = 0;
  for (const auto& row : workers) running += row.second.RunningOf(team);
  return running;
}

int TestCluster::RunsOf(const std::string& tag) const {
  int runs = 0;
  for (const auto& row : workers) {
    runs += static_cast<int>(
        std::count_if(row.second.Records().begin(), row.second.Records().end(),
                      [&tag](const RunRecord& run) { return run.tag == tag; }));
  }
  return runs;
}

std::string TestCluster::WantedPoolOf(const std::string& worker) {
  for (const auto& row : nodes) {
    const ViewPtr view = row.second->views.Current();
    if (!view->intent || view->intent->version != AcceptedVersion()) continue;
    for (const auto& pool : view->intent->pools) {
      const std::vector<std::string>& ids = pool.second.workers;
      if (std::find(ids.begin(), ids.end(), worker) != ids.end()) {
        return pool.first;
      }
    }
  }
  return "";
}

std::int64_t TestCluster::AcceptedVersion() const {
  const StoreReply head = store.Get(kIntentHeadKey);
  if (head.entries.empty()) return 0;
  return Json::parse(head.entries.front().value).at("version");
}

void TestCluster::AddViolation(const std::string& text) {
  if (violations.size() < 20) violations.push_back(text);
}

void TestCluster::CheckNow() {
  const int running_a = RunningOf("a");
  if (running_a > allowed_a) {
    AddViolation("team a over its limit: " + std::to_string(running_a) + " > " +
                 std::to_string(allowed_a));
  }
  if (RunningOf("b") > kLimitB) AddViolation("team b over its limit");
  for (const auto& row : nodes) {
    const ViewPtr view = row.second->views.Current();
    const std::int64_t version = view->intent ? view->intent->version : 0;
    if (version < row.second->highest_version) AddViolation("intent went back");
    row.second->highest_version = version;
  }
}

void TestCluster::Request(const std::string& node, const std::string& queue,
                          const std::string& team, const std::string& tag) {
  const auto it = nodes.find(node);
  if (it == nodes.end() || !it->second->alive || it->second->paused) return;
  const std::string id = "r" + std::to_string(next_request_++);
  calls[id] = {.request_id = id,
               .node = node,
               .team = team,
               .tag = tag,
               .at_most_once = queue == "once",
               .sent_at = clock.now};
  it->second->front->Submit({.request_id = id,
                             .key = keys[team],
                             .queue = queue,
                             .idempotency_key = queue == "once" ? tag : "",
                             .body_digest = DigestOf(tag)});
}

void TestCluster::Publish(const std::string& name, int limit,
                          const std::string& w3_pool) {
  const auto it = nodes.find(name);
  if (it == nodes.end() || !it->second->alive) return;
  // A raised limit may be in force from now on, a lowered one within seconds.
  allowed_a = std::max(allowed_a, limit);
  Node* node = it->second.get();
  const ViewPtr view = node->views.Current();
  const std::int64_t base = view->intent ? view->intent->version : 0;
  node->config->Publish(TestIntentDocument(limit, w3_pool), base,
                        [this, limit](const PublishResult& result) {
                          if (result.code != ResultCode::kOk) return;
                          limit_a = limit;
                          ++published;
                        });
}

void TestCluster::AddKey(const std::string& node, const std::string& team) {
  if (!Get(node)->alive) return;
  const std::string id = RandomHex(&random, 8);
  const std::string key = id + "." + RandomHex(&random, 16);
  Get(node)->config->AddKey(id, {.team = team, .hash = KeyHash(key)},
                            [this, team, key](const KeyChangeResult& result) {
                              if (!result.stored) return;
                              keys[team] = key;
                              withdrawn.erase(team);
                            });
}

void TestCluster::WithdrawKey(const std::string& node,
                              const std::string& team) {
  if (!Get(node)->alive || Get(node)->paused) return;
  const std::string id = keys[team].substr(0, keys[team].find('.'));
  Get(node)->config->WithdrawKey(id, [](const KeyChangeResult&) {});
  withdrawing[team] = id;
}

bool TestCluster::IsTombstoneStored(const std::string& id) const {
  const StoreReply stored = store.Get(kKeysKey);
  if (stored.entries.empty()) return false;
  const KeySet set = Json::parse(stored.entries.front().value).get<KeySet>();
  const auto it = set.Records().find(id);
  return it != set.Records().end() && it->second.withdrawn;
}

std::size_t TestCluster::TombstoneHolders(const std::string& id) const {
  std::size_t holding = 0;
  for (const auto& row : nodes) {
    if (!row.second->alive) continue;
    const ViewPtr view = row.second->views.Current();
    const auto it = view->keys->Records().find(id);
    if (it != view->keys->Records().end() && it->second.withdrawn) ++holding;
  }
  return holding;
}

void TestCluster::CheckWithdrawals() {
  for (auto it = withdrawing.begin(); it != withdrawing.end();) {
    const std::string& id = it->second;
    const bool stored = IsTombstoneStored(id);
    const std::size_t holders = TombstoneHolders(id);
    const bool current = keys[it->first].compare(0, id.size(), id) == 0;
    if (current && (stored || holders * 2 > nodes.size())) {
      withdrawn.try_emplace(it->first, clock.now);
    }
    if (!stored && holders == 0) {
      // All entries that had it were lost before the store was reachable again;
      // the operator was told that the store did not have it.
      withdrawn.erase(it->first);
    }
    if (stored || holders == 0 || !current) {
      it = withdrawing.erase(it);
    } else {
      ++it;
    }
  }
}

void TestCluster::RequestMaintenance(const std::string& worker) {
  worker_infos.at(worker).wants_maintenance = true;
}

bool TestCluster::HasBudgetPlace(const std::string& pool,
                                 const std::string& worker) const {
  const StoreReply reply = store.Get(PoolKey(pool));
  if (reply.entries.empty()) return false;
  return Json::parse(reply.entries.front().value)
      .get<PoolRecord>()
      .places.contains(worker);
}

Assignments TestCluster::StoredAssignments() const {
  const StoreReply reply = store.Get(kAssignmentKey);
  if (reply.entries.empty()) return {};
  return Json::parse(reply.entries.front().value).get<Assignments>();
}

void TestCluster::CheckFleet() {
  const Assignments assignments = StoredAssignments();
  std::map<std::string, int> unavailable;
  for (const auto& row : assignments) {
    const auto before = last_assignments_.find(row.first);
    if (before != last_assignments_.end() &&
        before->second.pool != row.second.pool &&
        row.second.generation <= before->second.generation) {
      AddViolation("an instance changed its pool without a new generation");
    }
    if (!workers.at(row.first).Leaving()) continue;
    // A drained worker counts in the pool whose budget place it holds: a worker
    // that is being moved joins its new pool only when it is admitted.
    std::string pool = row.second.pool;
    for (const char* other : {"main", "spare"}) {
      if (HasBudgetPlace(other, row.first)) pool = other;
    }
    ++unavailable[pool];
  }
  for (const auto& row : unavailable) {
    if (row.second > kAvailabilityBudget) {
      AddViolation("pool " + row.first + " has " + std::to_string(row.second) +
                   " drained over its budget");
    }
  }
  last_assignments_ = assignments;
}

void TestCluster::SetLeaving(const std::string& worker, bool is_leaving) {
  worker_infos[worker].leaving = is_leaving;
  if (is_leaving) {
    leaving[worker] = clock.now;
  } else {
    leaving.erase(worker);
  }
}

void TestCluster::Crash(const std::string& name) {
  const auto it = nodes.find(name);
  if (it == nodes.end() || !it->second->alive) return;
  it->second->alive = false;
  for (std::pair<const std::string, Call>& row : calls) {
    if (row.second.node == name && row.second.answers == 0) {
      row.second.node_lost = true;
    }
  }
  for (const auto& row : nodes) {
    if (row.first != name) row.second->membership->OnDisconnected(name);
  }
}

void TestCluster::Restart(const std::string& name) {
  Crash(name);
  ended_nodes.push_back(std::move(nodes[name]));
  nodes[name] = std::make_unique<Node>(this, name, next_incarnation++);
}

void TestCluster::Pause(const std::string& name) {
  if (Get(name)->alive) Get(name)->paused = true;
}

void TestCluster::Resume(const std::string& name) {
  Node* node = Get(name);
  if (!node->alive || !node->paused) return;
  node->paused = false;
  const std::vector<std::function<void()>> deferred_work =
      std::exchange(node->deferred_work, {});
  for (const std::function<void()>& work : deferred_work) {
    RunAfterOn(node, Millis(0), work);
  }
}

void TestCluster::StopGracefully(const std::string& name) {
  Node* node = Get(name);
  if (!node->alive || node->paused) return;
  node->stopping = true;
  node->membership->BeginShutdown();
  node->membership->Broadcast();
  node->places->BeginShutdown();
  node->front->StopAccepting();
}

void TestCluster::CheckEnd() {
  std::map<std::string, int> runs_by_tag;
  for (const auto& row : workers) {
    for (const RunRecord& run : row.second.Records()) ++runs_by_tag[run.tag];
  }
  std::map<std::string, std::set<Outcome>> outcomes;
  for (const auto& row : calls) {
    const Call& call = row.second;
    const int runs = runs_by_tag[call.tag];
    if (call.answers > 1) AddViolation("answered twice: " + call.tag);
    if (call.answers == 0 && !call.node_lost &&
        clock.now - call.sent_at > kMaxAnswerTime) {
      AddViolation("never answered: " + call.request_id + " " + call.tag);
    }
    if (call.at_most_once && runs > 1) {
      AddViolation("ran " + std::to_string(runs) + " times: " + call.tag);
    }
    if (call.answers == 0) continue;
    if (call.answer.outcome == Outcome::kRan) {
      if (call.answer.body != "answer to " + call.tag) {
        AddViolation("another's answer: " + call.tag);
      }
      if (runs == 0) AddViolation("answered but not run: " + call.tag);
    }
    if (call.answer.outcome == Outcome::kNotRun && !call.at_most_once &&
        runs > 0) {
      AddViolation("\"not run\" but run: " + call.tag);
    }
  }
  for (const auto& row : calls) {
    const Call& call = row.second;
    if (!call.at_most_once || call.answer.outcome != Outcome::kNotRun) continue;
    if (call.answers == 0) continue;
    // None of this submission's own attempts may have run.
    for (const auto& worker : workers) {
      for (const RunRecord& run : worker.second.Records()) {
        if (run.request_id == call.request_id) {
          AddViolation("\"not run\" but run: " + call.request_id);
        }
      }
    }
  }
}

}  // namespace basilusher::testing
