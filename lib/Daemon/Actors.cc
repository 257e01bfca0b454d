// Component actors, restarts and delivery.
#include "basilusher/Daemon/Actors.h"

#include <deque>
#include <map>
#include <utility>

#include "basilusher/Support/Log.h"

namespace basilusher {

/// A message from a peer or from this entry.
struct PeerDelivery {
  PeerId from;
  Message message;
};

/// Time passes.
struct TickEvent {};

/// Work to be done on the component's actor.
struct Invocation {
  std::function<void(Component*)> work;
};

}  // namespace basilusher

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(basilusher::PeerDelivery)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(basilusher::TickEvent)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(basilusher::Invocation)

namespace basilusher {
namespace {

struct ComponentState {
  std::unique_ptr<Component> component;
};

caf::behavior ComponentActor(caf::stateful_actor<ComponentState>* self,
                             const ComponentSpec& spec) {
  self->state.component = spec.make();
  const Millis period = spec.tick_period;
  self->delayed_send(self, period, TickEvent{});
  return {
      [self](const PeerDelivery& delivery) {
        self->state.component->OnMessage(delivery.from, delivery.message);
      },
      [self, period](const TickEvent& /*tick*/) {
        self->delayed_send(self, period, TickEvent{});
        self->state.component->OnTick();
      },
      [self](const Invocation& invocation) {
        invocation.work(self->state.component.get());
      },
  };
}

struct SupervisorState {
  std::map<caf::actor_addr, ComponentSpec> children;
  std::deque<TimePoint> restarts;
  bool gave_up = false;
};

using Supervisor = caf::stateful_actor<SupervisorState>;

void StartChild(Supervisor* self, ActorDirectory* directory,
                const ComponentSpec& spec) {
  const caf::actor child = self->spawn<caf::linked>(ComponentActor, spec);
  self->monitor(child);
  self->state.children[child.address()] = spec;
  directory->Set(spec.kind, child);
}

void GiveUp(Supervisor* self, const SupervisorOptions& options) {
  if (std::exchange(self->state.gave_up, true)) return;
  options.on_give_up();
}

void OnChildDown(Supervisor* self, ActorDirectory* directory,
                 const SupervisorOptions& options, const caf::down_msg& down) {
  const auto it = self->state.children.find(down.source);
  if (it == self->state.children.end()) return;
  const ComponentSpec spec = it->second;
  self->state.children.erase(it);
  LogEvent(LogLevel::kError, "component-failed",
           {{"component", NameOf(kComponentNames, spec.kind)},
            {"restartable", spec.restartable}});
  const TimePoint now = SteadyClock().Now();
  std::deque<TimePoint>& restarts = self->state.restarts;
  restarts.push_back(now);
  while (now - restarts.front() > kRestartWindow) restarts.pop_front();
  const bool too_many =
      static_cast<int>(restarts.size()) > options.most_restarts;
  if (!spec.restartable || too_many) {
    GiveUp(self, options);
    return;
  }
  StartChild(self, directory, spec);
}

caf::behavior SupervisorActor(Supervisor* self, ActorDirectory* directory,
                              const SupervisorOptions& options) {
  // A failed child must not end its siblings.
  self->set_exit_handler([self](caf::exit_msg& exit) {
    if (exit.reason == caf::exit_reason::user_shutdown) {
      self->quit(exit.reason);
    }
  });
  self->set_down_handler([self, directory, options](caf::down_msg& down) {
    OnChildDown(self, directory, options, down);
  });
  for (const ComponentSpec& spec : options.specs) {
    StartChild(self, directory, spec);
  }
  // Answers once all children have been started.
  return {[](const TickEvent& /*tick*/) { return true; }};
}

}  // namespace

void ActorDirectory::Set(ComponentKind kind, caf::actor actor) {
  const std::lock_guard<std::mutex> lock(mutex_);
  actors_[static_cast<std::size_t>(kind)] = std::move(actor);
}

caf::actor ActorDirectory::Get(ComponentKind kind) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return actors_[static_cast<std::size_t>(kind)];
}

void ActorDirectory::Deliver(const PeerId& from, const Message& message) const {
  for (const ComponentKind kind : RecipientsOf(message)) {
    const caf::actor actor = Get(kind);
    if (actor) caf::anon_send(actor, PeerDelivery{from, message});
  }
}

void ActorDirectory::Run(ComponentKind kind,
                         std::function<void(Component*)> work) const {
  const caf::actor actor = Get(kind);
  if (actor) caf::anon_send(actor, Invocation{std::move(work)});
}

caf::actor StartSupervisor(caf::actor_system* system, ActorDirectory* directory,
                           const SupervisorOptions& options) {
  caf::actor supervisor = system->spawn(SupervisorActor, directory, options);
  const caf::scoped_actor self(*system);
  self->request(supervisor, caf::infinite, TickEvent{})
      .receive([](bool /*started*/) {}, [](const caf::error& /*error*/) {});
  return supervisor;
}

void StopSupervisor(caf::actor_system* system, const caf::actor& supervisor) {
  caf::scoped_actor self(*system);
  self->monitor(supervisor);
  self->send_exit(supervisor, caf::exit_reason::user_shutdown);
  self->receive([](const caf::down_msg& /*down*/) {});
}

StoreCallback ActorStore::OnActor(StoreCallback done) const {
  // The callback belongs to the component that asked; after a restart the old
  // actor is gone and the reply is dropped with it.
  const caf::actor actor = directory_->Get(kind_);
  return [actor, done = std::move(done)](const StoreReply& reply) {
    if (!actor) return;
    caf::anon_send(actor, Invocation{[done, reply](Component* /*component*/) {
                     done(reply);
                   }});
  };
}

void ActorStore::Get(StorePurpose purpose, const std::string& key,
                     StoreCallback done) {
  store_->Get(purpose, key, OnActor(std::move(done)));
}

void ActorStore::List(StorePurpose purpose, const std::string& prefix,
                      StoreCallback done) {
  store_->List(purpose, prefix, OnActor(std::move(done)));
}

void ActorStore::Swap(StorePurpose purpose, const SwapRequest& request,
                      StoreCallback done) {
  store_->Swap(purpose, request, OnActor(std::move(done)));
}

void ActorStore::KeepLease(const std::string& id, Millis ttl,
                           StoreCallback done) {
  store_->KeepLease(id, ttl, OnActor(std::move(done)));
}

void ActorStore::EndLease(const std::string& id, StoreCallback done) {
  store_->EndLease(id, OnActor(std::move(done)));
}

}  // namespace basilusher
