// CAF actors around the control components, and their supervisor.
#ifndef BASILUSHER_DAEMON_ACTORS_H_
#define BASILUSHER_DAEMON_ACTORS_H_

#include <array>
#include <caf/all.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "basilusher/Control/Context.h"
#include "basilusher/Control/Routing.h"

namespace basilusher {

/// How one component is made and whether it may be made again after a failure.
struct ComponentSpec {
  ComponentKind kind = ComponentKind::kMembership;
  std::function<std::unique_ptr<Component>()> make;
  Millis tick_period = kTickPeriod;
  /// A component that holds possessions can't be restarted: its failure ends
  /// the process in a graceful stop.
  bool restartable = true;
};

struct SupervisorOptions {
  std::vector<ComponentSpec> specs;
  /// Restarts within kRestartWindow after which the process stops.
  int most_restarts = 5;
  /// Called once when the process should stop.
  std::function<void()> on_give_up;
};

/// Period over which restarts are counted.
inline constexpr Millis kRestartWindow{60000};

/// Directory of the components' actors; restarts change its entries.
/// Thread-safe.
class ActorDirectory {
 public:
  void Set(ComponentKind kind, caf::actor actor);
  caf::actor Get(ComponentKind kind) const;
  /// Hands a message to every component that handles it.
  void Deliver(const PeerId& from, const Message& message) const;
  /// Runs `work` with the component on its own actor; dropped if the component
  /// is being restarted.
  void Run(ComponentKind kind, std::function<void(Component*)> work) const;

 private:
  mutable std::mutex mutex_;
  std::array<caf::actor, kComponentCount> actors_;
};

/// Starts the supervisor, which starts the components' actors; returns after
/// all of them are in `directory`.
caf::actor StartSupervisor(caf::actor_system* system, ActorDirectory* directory,
                           const SupervisorOptions& options);

/// Ends the supervisor and its children and waits for them.
void StopSupervisor(caf::actor_system* system, const caf::actor& supervisor);

/// A component's own access to the store: callbacks run on its actor.
class ActorStore : public KeyValueStore {
 public:
  ActorStore(KeyValueStore* store, ActorDirectory* directory,
             ComponentKind kind)
      : store_(store), directory_(directory), kind_(kind) {}

  void Get(StorePurpose purpose, const std::string& key,
           StoreCallback done) override;
  void List(StorePurpose purpose, const std::string& prefix,
            StoreCallback done) override;
  void Swap(StorePurpose purpose, const SwapRequest& request,
            StoreCallback done) override;
  void KeepLease(const std::string& id, Millis ttl,
                 StoreCallback done) override;
  void EndLease(const std::string& id, StoreCallback done) override;

 private:
  StoreCallback OnActor(StoreCallback done) const;

  KeyValueStore* store_;
  ActorDirectory* directory_;
  ComponentKind kind_;
};

}  // namespace basilusher

#endif  // BASILUSHER_DAEMON_ACTORS_H_
