// HTTP calls to workers, within each worker's share of connections.
#ifndef BASILUSHER_DAEMON_WORKERCLIENT_H_
#define BASILUSHER_DAEMON_WORKERCLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "basilusher/Control/FrontDoor.h"
#include "basilusher/Control/TaskHome.h"
#include "basilusher/Support/Counters.h"

namespace basilusher {

/// Connections that an entry may open to one worker beside those for requests:
/// checks, bars and tasks.
inline constexpr int kControlConnections = 2;

/// Connections of one entry to one worker for requests: the worker's
/// connections are shared by `entries` entries and one that may be joining, and
/// each keeps kControlConnections apart. Thread-safe.
int ConnectionShare(int connections, int entries);

/// Blocking calls. Thread-safe.
class WorkerClient {
 public:
  /// `holder` identifies this entry's run to workers.
  WorkerClient(std::string holder, Counters* counters);
  ~WorkerClient();

  /// Sets how many entries share each worker's connections.
  void SetEntries(int entries);
  /// Sends one attempt and waits for its whole answer.
  DispatchResult Run(const DispatchCommand& command, const std::string& body,
                     const std::string& traceparent);
  /// Asks whether an attempt runs and bars it from starting later.
  RunState CheckRun(const WorkerInfo& worker, const std::string& request_id,
                    int attempt);
  /// Starts a task's run under a lease; kAnswered if the worker took it.
  DispatchStatus StartTask(const DispatchCommand& command,
                           const std::string& body, Millis lease);
  /// Renews the lease of a task's run.
  TaskRunReport RenewTask(const WorkerInfo& worker,
                          const std::string& request_id, Millis lease);
  /// Stops a task's run and bars it from starting later.
  TaskRunReport StopTask(const WorkerInfo& worker,
                         const std::string& request_id);
  /// Stops new work on `worker` under the token `fence`; returns what still
  /// runs, -1 if it does not answer or refuses.
  int Drain(const WorkerInfo& worker, std::int64_t fence);
  /// Lets `worker` take work again; returns whether it answered.
  bool Admit(const WorkerInfo& worker, std::int64_t fence);
  /// Runs in progress for `holder` on `worker`, and bars the holder; -1 if the
  /// worker does not answer.
  int BarHolder(const WorkerInfo& worker, const std::string& holder);

 private:
  class Connection;
  struct Pool {
    std::vector<std::unique_ptr<Connection>> idle;
    int open = 0;
  };

  std::unique_ptr<Connection> Borrow(const WorkerInfo& worker, bool fresh);
  void Return(const WorkerInfo& worker, std::unique_ptr<Connection> connection,
              bool reusable);

  std::string holder_;
  Counters* counters_;
  std::mutex mutex_;
  int entries_ = 1;
  std::map<std::string, Pool> pools_;
};

}  // namespace basilusher

#endif  // BASILUSHER_DAEMON_WORKERCLIENT_H_
