// HTTP servers of the stand-ins: the platform and a worker.
#ifndef BASILUSHER_STANDIN_SERVERS_H_
#define BASILUSHER_STANDIN_SERVERS_H_

#include <memory>
#include <string>

#include "basilusher/Model/ClusterView.h"
#include "basilusher/Standin/FaultTable.h"
#include "basilusher/Support/Clock.h"
#include "basilusher/Support/Json.h"

namespace basilusher {

struct PlatformOptions {
  /// IP number.
  std::string address = "127.0.0.1";
  /// Zero for any free port.
  int port = 0;
  /// How far the list of instances lags behind.
  Millis list_lag{0};
  /// {"workers": [...], "entries": [...]}, the instances listed at first.
  Json instances = Json::object();
};

/// Stand-in of the platform: key-value service with leases and a watch, the
/// list of instances, a count of calls and a table of faults. Thread-safe after
/// Start.
class PlatformServer {
 public:
  explicit PlatformServer(const PlatformOptions& options);
  ~PlatformServer();
  /// Listens and serves on threads of its own; returns the port. Throws
  /// Error(kTransportFailed).
  int Start();
  void Stop();
  /// The table of faults, for tests in the same process.
  FaultTable* Faults();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

struct WorkerOptions {
  WorkerInfo info;
};

/// Stand-in of a worker. A body may begin with "work=MILLIS" to state how long
/// it runs; the answer repeats the body. Thread-safe after Start.
class WorkerServer {
 public:
  explicit WorkerServer(const WorkerOptions& options);
  ~WorkerServer();
  /// As PlatformServer::Start.
  int Start();
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilusher

#endif  // BASILUSHER_STANDIN_SERVERS_H_
