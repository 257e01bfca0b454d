// What every control component is given: its identity and its interfaces to the
// world. Components hold no threads and no clock of their own; one actor (or
// one test) calls each of them, one call at a time.
#ifndef BASILUSHER_CONTROL_CONTEXT_H_
#define BASILUSHER_CONTROL_CONTEXT_H_

#include <string>

#include "basilusher/Model/ClusterView.h"
#include "basilusher/Store/KeyValueStore.h"
#include "basilusher/Support/Clock.h"
#include "basilusher/Support/Counters.h"
#include "basilusher/Support/Random.h"
#include "basilusher/Wire/Messages.h"

namespace basilusher {

/// Sends messages to peers and to this entry itself. Messages may be lost,
/// delayed or repeated.
class Bus {
 public:
  virtual ~Bus() = default;
  /// Sends `message` to whichever run of `instance` is connected. Never blocks.
  /// Thread-safe in the product.
  virtual void Send(const std::string& instance, const Message& message) = 0;
};

/// Interfaces of a component; all pointers outlive it.
struct Context {
  EntryInfo self;
  Clock* clock = nullptr;
  Random* random = nullptr;
  Bus* bus = nullptr;
  KeyValueStore* store = nullptr;
  Counters* counters = nullptr;
  ViewHub* views = nullptr;

  /// Identity of this run. Thread-safe.
  PeerId Self() const { return {self.instance, self.incarnation}; }
};

/// The home of `subject` by the context's view, or this entry itself when the
/// view has no entry that serves (as while all of them stop).
inline std::string HomeOrSelf(const Context& context,
                              const std::string& subject) {
  const std::string home = HomeOf(*context.views->Current(), subject);
  return home.empty() ? context.self.instance : home;
}

/// A control component: reacts to messages and to the passing of time. Not
/// thread-safe.
class Component {
 public:
  virtual ~Component() = default;
  /// Handles a message from `from`; kinds that it doesn't know are ignored.
  virtual void OnMessage(const PeerId& from, const Message& message) = 0;
  /// Called each kTickPeriod.
  virtual void OnTick() = 0;
};

/// Period of OnTick.
inline constexpr Millis kTickPeriod{50};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_CONTEXT_H_
