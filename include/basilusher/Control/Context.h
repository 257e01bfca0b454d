// Base class and dependencies of the control components. Components have no
// threads and no clock of their own; one actor (or one test) calls each of
// them, one call at a time.
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
/// delayed or duplicated.
class Bus {
 public:
  virtual ~Bus() = default;
  /// Sends `message` to whichever incarnation of `instance` is connected. Never
  /// blocks. The daemon's implementation is thread-safe.
  virtual void Send(const std::string& instance, const Message& message) = 0;
};

/// Identity and dependencies of a component; all pointers outlive it.
struct Context {
  EntryInfo self;
  Clock* clock = nullptr;
  Random* random = nullptr;
  Bus* bus = nullptr;
  KeyValueStore* store = nullptr;
  Counters* counters = nullptr;
  ViewHub* views = nullptr;

  /// This entry's incarnation. Thread-safe.
  PeerId Self() const { return {self.instance, self.incarnation}; }
};

/// The home of `subject` by the context's view, or this entry itself if the
/// view has no serving entry (for instance while all of them shut down).
inline std::string HomeOrSelf(const Context& context,
                              const std::string& subject) {
  const std::string home = HomeOf(*context.views->Current(), subject);
  return home.empty() ? context.self.instance : home;
}

/// A control component, driven by messages and periodic ticks. Not thread-safe.
class Component {
 public:
  virtual ~Component() = default;
  /// Handles a message from `from`; messages of other components are ignored.
  virtual void OnMessage(const PeerId& from, const Message& message) = 0;
  /// Called every kTickPeriod.
  virtual void OnTick() = 0;
};

/// Period of OnTick.
inline constexpr Millis kTickPeriod{50};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_CONTEXT_H_
