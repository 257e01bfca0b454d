// The parts of an entry that its HTTP handlers use.
#ifndef BASILUSHER_LIB_DAEMON_ENTRYSERVICES_H_
#define BASILUSHER_LIB_DAEMON_ENTRYSERVICES_H_

#include <atomic>
#include <caf/all.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "basilusher/Control/ConfigAgent.h"
#include "basilusher/Control/FrontDoor.h"
#include "basilusher/Control/MembershipAgent.h"
#include "basilusher/Daemon/Actors.h"
#include "basilusher/Daemon/RequestTable.h"
#include "basilusher/Daemon/Settings.h"
#include "basilusher/Daemon/WorkerClient.h"
#include "basilusher/Store/StoreSession.h"
#include "basilusher/Support/Counters.h"
#include "basilusher/Support/Random.h"
#include "basilusher/Transport/PeerTransport.h"

namespace basilusher {

class EntryTasks;

/// Everything that lives as long as the process. Thread-safe parts only, or
/// parts that are used on their own actor.
struct EntryServices {
  Settings settings;
  EntryInfo self;
  SteadyClock clock;
  SystemRandom random;
  Counters counters;
  ViewHub views;
  ActorDirectory directory;
  std::unique_ptr<Bus> bus;
  std::unique_ptr<StoreSession> store;
  std::unique_ptr<PeerTransport> transport;
  std::unique_ptr<WorkerClient> workers;
  std::unique_ptr<RequestTable> requests;
  std::unique_ptr<ThreadPool> pool;
  std::shared_ptr<EntryTasks> tasks;
  std::atomic<bool> ready{false};
  std::atomic<bool> stopping{false};

  /// Runs `work` with the component of type T and waits for its result. Tries
  /// again while the component is being restarted; throws
  /// Error(kShuttingDown) if that lasts.
  template <typename T, typename Result>
  Result Ask(ComponentKind kind, std::function<Result(T*)> work) {
    constexpr int kTries = 100;
    constexpr Millis kPause{20};
    for (int n = 0; n < kTries; ++n) {
      std::shared_ptr<std::promise<Result>> promise =
          std::make_shared<std::promise<Result>>();
      std::future<Result> future = promise->get_future();
      directory.Run(kind, [promise, work](Component* component) {
        promise->set_value(work(static_cast<T*>(component)));
      });
      // Work that was dropped breaks the promise once this copy is gone.
      promise.reset();
      try {
        return future.get();
      } catch (const std::future_error&) {
        std::this_thread::sleep_for(kPause);
      }
    }
    throw Error(ResultCode::kShuttingDown,
                "a part of this entry is not running; try again");
  }
};

}  // namespace basilusher

#endif  // BASILUSHER_LIB_DAEMON_ENTRYSERVICES_H_
