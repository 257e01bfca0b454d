// Assembly, start and graceful shutdown of an entry.
#include "basilusher/Daemon/EntryDaemon.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "EntryFleet.h"
#include "EntryServices.h"
#include "EntryTasks.h"
#include "HttpFrontend.h"
#include "basilusher/Control/ClaimHome.h"
#include "basilusher/Control/PlaceHome.h"
#include "basilusher/Control/SlotHome.h"
#include "basilusher/Support/Log.h"
#include "basilusher/Wire/Envelope.h"

namespace basilusher {
namespace {

constexpr Millis kInstanceListPeriod{1000};
constexpr Millis kMaintenancePeriod{250};
constexpr Millis kClaimTick{25};
constexpr int kActorThreads = 2;
/// Each makes one call to a worker at a time.
constexpr int kPoolThreads = kControlConnections;

/// Bus over the peer transport; messages to this entry stay inside.
class TransportBus : public Bus {
 public:
  explicit TransportBus(EntryServices* services) : services_(services) {}

  void Send(const std::string& instance, const Message& message) override {
    const PeerId self{services_->self.instance, services_->self.incarnation};
    if (instance == self.instance) {
      services_->directory.Deliver(self, message);
      return;
    }
    const std::string bytes =
        EncodeEnvelope({.from = self, .trace = "", .message = message});
    services_->counters.Add("peer_messages_sent");
    services_->counters.Add("peer_bytes_sent",
                            static_cast<std::int64_t>(bytes.size()));
    if (!services_->transport->Send(instance, bytes)) {
      services_->counters.Add("peer_messages_dropped");
    }
  }

 private:
  EntryServices* services_;
};

/// Survey of workers on the thread pool.
class PooledHolderFencing : public HolderFencing {
 public:
  explicit PooledHolderFencing(EntryServices* services) : services_(services) {}

  void BarHolder(const PeerId& holder,
                 std::function<void(bool)> done) override {
    services_->pool->Post([this, holder, done] {
      const ViewPtr view = services_->views.Current();
      bool gone = !view->workers.empty();
      for (const std::pair<const std::string, WorkerInfo>& row :
           view->workers) {
        gone = gone &&
               services_->workers->BarHolder(row.second, ToString(holder)) == 0;
        if (!gone) break;
      }
      services_->directory.Run(
          ComponentKind::kPlaceHome,
          [done, gone](Component* /*component*/) { done(gone); });
    });
  }

 private:
  EntryServices* services_;
};

/// CAF's settings, without its command line and files.
caf::actor_system_config& ActorConfig() {
  static caf::actor_system_config config;
  config.set("scheduler.max-threads", std::size_t{kActorThreads});
  // The stealing policy polls with sleeps of up to 10 ms, which each hop of a
  // request would wait for; sharing wakes a thread at once.
  config.set("scheduler.policy", caf::atom("sharing"));
  return config;
}

}  // namespace

class EntryDaemon::Impl {
 public:
  explicit Impl(const Settings& settings) : system_(ActorConfig()) {
    services_.settings = settings;
    services_.self = {.instance = settings.instance,
                      .incarnation = WallMicros(),
                      .address = settings.address,
                      .http_port = settings.http_port,
                      .peer_port = settings.peer_port,
                      .data_centre = settings.data_centre};
  }

  ~Impl() { StopAll(); }

  void Start() {
    frontend_ = std::make_unique<HttpFrontend>(&services_);
    services_.self.http_port = frontend_->Bind();
    MakeServices();
    StartTransport();
    supervisor_ = StartSupervisor(
        &system_, &services_.directory,
        {.specs = Specs(), .on_give_up = [this] { RequestStop(); }});
    StartStore();
    frontend_->Start();
    LogEvent(LogLevel::kInfo, "started",
             {{"instance", services_.self.instance},
              {"incarnation", services_.self.incarnation},
              {"httpPort", services_.self.http_port},
              {"peerPort", services_.self.peer_port}});
  }

  void RequestStop() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stop_requested_ = true;
    }
    wake_.notify_all();
  }

  bool Run() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stop_requested_) {
      lock.unlock();
      Maintain();
      lock.lock();
      wake_.wait_for(lock, kMaintenancePeriod,
                     [this] { return stop_requested_; });
    }
    lock.unlock();
    return ShutDown();
  }

 private:
  void MakeServices() {
    services_.bus = std::make_unique<TransportBus>(&services_);
    services_.workers = std::make_unique<WorkerClient>(
        ToString({services_.self.instance, services_.self.incarnation}),
        &services_.counters);
    services_.pool = std::make_unique<ThreadPool>(kPoolThreads);
    services_.requests = std::make_unique<RequestTable>(
        [this](const WorkerInfo& worker, const std::string& id, int attempt) {
          CheckRun(worker, id, attempt);
        },
        MakeTaskHandlers());
    services_.tasks = std::make_shared<EntryTasks>(&services_);
    services_.store = std::make_unique<StoreSession>(
        StoreSessionOptions{
            .store = {.address = services_.settings.store_address,
                      .port = services_.settings.store_port},
            .calls_per_second = services_.settings.store_calls_per_second},
        &services_.counters);
    holder_fencing_ = std::make_unique<PooledHolderFencing>(&services_);
  }

  RequestTable::TaskHandlers MakeTaskHandlers() {
    return {
        .on_command =
            [this](const DispatchCommand& command) {
              services_.directory.Run(
                  ComponentKind::kTaskHome, [command](Component* component) {
                    static_cast<TaskHome*>(component)->OnCommand(command);
                  });
            },
        .on_finished =
            [this](const std::string& id, const Answer& answer) {
              services_.directory.Run(
                  ComponentKind::kTaskHome, [id, answer](Component* component) {
                    static_cast<TaskHome*>(component)->OnFinished(id, answer);
                  });
            },
        .on_stop =
            [this](const std::string& id) {
              services_.directory.Run(
                  ComponentKind::kTaskHome, [id](Component* component) {
                    static_cast<TaskHome*>(component)->StopRun(id);
                  });
            }};
  }

  void CheckRun(const WorkerInfo& worker, const std::string& id, int attempt) {
    services_.pool->Post([this, worker, id, attempt] {
      const ViewPtr view = services_.views.Current();
      RunState state = services_.workers->CheckRun(worker, id, attempt);
      // A worker that the platform lists no longer runs nothing.
      if (state == RunState::kNoAnswer && !view->workers.empty() &&
          !view->workers.contains(worker.id)) {
        state = RunState::kNotRunning;
      }
      services_.directory.Run(
          ComponentKind::kFrontDoor,
          [id, attempt, state](Component* component) {
            static_cast<FrontDoor*>(component)->OnRunChecked(id, attempt,
                                                             state);
          });
    });
  }

  void StartTransport() {
    services_.transport =
        MakeWebsocketTransport({.instance = services_.self.instance,
                                .address = services_.settings.address,
                                .port = services_.settings.peer_port});
    try {
      services_.self.peer_port = services_.transport->Start(
          {.on_message = [this](const std::string& bytes) { OnBytes(bytes); },
           .on_connected =
               [this](const std::string& /*instance*/) {
                 RunMembership(
                     [](MembershipAgent* agent) { agent->Broadcast(); });
               },
           .on_disconnected =
               [this](const std::string& instance) {
                 RunMembership([instance](MembershipAgent* agent) {
                   agent->OnDisconnected(instance);
                 });
               }});
    } catch (const std::runtime_error& error) {
      throw Error(ResultCode::kTransportFailed,
                  std::string("settings: field /peerPort: ") + error.what() +
                      "; choose a free port");
    }
    services_.transport->SetPeers(services_.settings.seed_peers);
  }

  void RunMembership(std::function<void(MembershipAgent*)> work) {
    services_.directory.Run(ComponentKind::kMembership,
                            [work = std::move(work)](Component* component) {
                              work(static_cast<MembershipAgent*>(component));
                            });
  }

  void OnBytes(const std::string& bytes) {
    services_.counters.Add("peer_messages_received");
    try {
      const Envelope envelope = DecodeEnvelope(bytes);
      services_.directory.Deliver(envelope.from, envelope.message);
    } catch (const Error& error) {
      services_.counters.Add("peer_messages_malformed");
      LogEvent(
          LogLevel::kWarning, "peer-message-malformed",
          {{"code", static_cast<int>(error.Code())}, {"error", error.what()}});
    }
  }

  Context ContextFor(ComponentKind kind) {
    std::unique_ptr<KeyValueStore>& store =
        stores_[static_cast<std::size_t>(kind)];
    if (store == nullptr) {
      store = std::make_unique<ActorStore>(services_.store.get(),
                                           &services_.directory, kind);
    }
    return {.self = services_.self,
            .clock = &services_.clock,
            .random = &services_.random,
            .bus = services_.bus.get(),
            .store = store.get(),
            .counters = &services_.counters,
            .views = &services_.views};
  }

  template <typename T>
  ComponentSpec SpecFor(ComponentKind kind, Millis period = kTickPeriod) {
    const Context context = ContextFor(kind);
    return {.kind = kind,
            .make = [context] { return std::make_unique<T>(context); },
            .tick_period = period};
  }

  std::vector<ComponentSpec> Specs() {
    const Context place = ContextFor(ComponentKind::kPlaceHome);
    const Context front = ContextFor(ComponentKind::kFrontDoor);
    const Context fleet = ContextFor(ComponentKind::kFleet);
    const Context tasks = ContextFor(ComponentKind::kTaskHome);
    return {
        SpecFor<MembershipAgent>(ComponentKind::kMembership),
        SpecFor<ConfigAgent>(ComponentKind::kConfig),
        SpecFor<SlotHome>(ComponentKind::kSlotHome),
        SpecFor<ClaimHome>(ComponentKind::kClaimHome, kClaimTick),
        {.kind = ComponentKind::kPlaceHome,
         .make =
             [this, place] {
               return std::make_unique<PlaceHome>(place, holder_fencing_.get());
             }},
        {.kind = ComponentKind::kFleet,
         .make =
             [this, fleet] {
               return std::make_unique<FleetAgent>(fleet, &fleet_port_);
             },
         // It knows the records from the watch, which tells each change
         // once.
         .restartable = false},
        {.kind = ComponentKind::kTaskHome,
         .make =
             [this, tasks] {
               return std::make_unique<TaskHome>(tasks, services_.tasks.get());
             },
         .tick_period = kClaimTick,
         .restartable = false},
        {.kind = ComponentKind::kFrontDoor,
         .make =
             [this, front] {
               return std::make_unique<FrontDoor>(front,
                                                  services_.requests.get());
             },
         .restartable = false}};
  }

  void StartStore() {
    services_.store->StartWatch(
        {kMemberPrefix, kIntentHeadKey, kKeysKey, kFleetPrefix},
        [this](const WatchReply& reply, TimePoint asked_at) {
          const StoreChanges changes{.entries = reply.entries,
                                     .asked_at = asked_at};
          RunMembership([changes](MembershipAgent* agent) {
            agent->OnStoreChanges(changes);
          });
          services_.directory.Run(
              ComponentKind::kConfig, [changes](Component* component) {
                static_cast<ConfigAgent*>(component)->OnStoreChanges(changes);
              });
          services_.directory.Run(
              ComponentKind::kFleet, [changes](Component* component) {
                static_cast<FleetAgent*>(component)->OnStoreChanges(changes);
              });
        });
    services_.store->StartInstanceList(
        kInstanceListPeriod, [this](const InstanceLists& lists) {
          RunMembership([lists](MembershipAgent* agent) {
            agent->OnInstances(lists.workers, lists.entries);
          });
        });
  }

  /// Keeps peers, readiness and connection shares up to date.
  void Maintain() {
    const ViewPtr view = services_.views.Current();
    const std::vector<EntryInfo> wanted =
        services_.Ask<MembershipAgent, std::vector<EntryInfo>>(
            ComponentKind::kMembership,
            [](MembershipAgent* agent) { return agent->KnownPeers(); });
    std::vector<PeerAddress> peers = services_.settings.seed_peers;
    for (const EntryInfo& entry : wanted) {
      peers.push_back({entry.instance, entry.address, entry.peer_port});
    }
    services_.transport->SetPeers(peers);
    services_.workers->SetEntries(static_cast<int>(
        std::max(view->listed_entries.size(), view->entries.size())));
    services_.ready = view->intent != nullptr && !view->workers.empty() &&
                      view->assignments != nullptr &&
                      !view->assignments->empty() &&
                      services_.clock.Now() <= view->fresh_until;
  }

  bool ShutDown() {
    LogEvent(LogLevel::kInfo, "stopping", Json::object());
    services_.stopping = true;
    RunMembership([](MembershipAgent* agent) {
      agent->BeginShutdown();
      agent->Broadcast();
    });
    services_.directory.Run(
        ComponentKind::kPlaceHome, [](Component* component) {
          static_cast<PlaceHome*>(component)->BeginShutdown();
        });
    services_.directory.Run(
        ComponentKind::kFrontDoor, [](Component* component) {
          static_cast<FrontDoor*>(component)->StopAccepting();
        });
    services_.directory.Run(ComponentKind::kFleet, [](Component* component) {
      static_cast<FleetAgent*>(component)->BeginShutdown();
    });
    services_.directory.Run(ComponentKind::kTaskHome, [](Component* component) {
      static_cast<TaskHome*>(component)->BeginShutdown();
    });
    const TimePoint give_up =
        services_.clock.Now() + services_.settings.shutdown_timeout;
    bool drained = false;
    while (!drained && services_.clock.Now() < give_up) {
      drained = services_.Ask<FrontDoor, bool>(
          ComponentKind::kFrontDoor,
          [](FrontDoor* front) { return front->InProgress() == 0; });
      drained = drained && services_.Ask<TaskHome, bool>(
                               ComponentKind::kTaskHome, [](TaskHome* tasks) {
                                 return tasks->InProgress() == 0;
                               });
      if (!drained) std::this_thread::sleep_for(kMaintenancePeriod);
    }
    RunMembership([](MembershipAgent* agent) { agent->Leave(); });
    StopAll();
    LogEvent(LogLevel::kInfo, "stopped", {{"drained", drained}});
    return drained;
  }

  void StopAll() {
    if (frontend_ != nullptr) frontend_->Stop();
    if (services_.store != nullptr) services_.store->Stop();
    if (services_.pool != nullptr) services_.pool->Stop();
    if (supervisor_) {
      StopSupervisor(&system_, supervisor_);
      supervisor_ = caf::actor();
    }
    if (services_.transport != nullptr) services_.transport->Stop();
  }

  caf::actor_system system_;
  EntryServices services_;
  std::array<std::unique_ptr<KeyValueStore>, kComponentCount> stores_;
  std::unique_ptr<HolderFencing> holder_fencing_;
  EntryFleet fleet_port_{&services_};
  std::unique_ptr<HttpFrontend> frontend_;
  caf::actor supervisor_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stop_requested_ = false;
};

EntryDaemon::EntryDaemon(const Settings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

EntryDaemon::~EntryDaemon() = default;

void EntryDaemon::Start() { impl_->Start(); }

void EntryDaemon::RequestStop() { impl_->RequestStop(); }

bool EntryDaemon::Run() { return impl_->Run(); }

}  // namespace basilusher
