// What both stand-ins' HTTP servers share.
#ifndef BASILUSHER_LIB_STANDIN_STANDINHTTP_H_
#define BASILUSHER_LIB_STANDIN_STANDINHTTP_H_

#include <httplib.h>

#include <functional>
#include <string>
#include <thread>

#include "basilusher/Standin/FaultTable.h"

namespace basilusher {

using HttpHandler =
    std::function<void(const httplib::Request&, httplib::Response&)>;

/// An HTTP server with a table of faults.
class StandinHttp {
 public:
  explicit StandinHttp(int threads);
  ~StandinHttp() { Stop(); }

  httplib::Server* Server() { return &server_; }
  FaultTable* Faults() { return &faults_; }
  /// Adds a POST or GET route whose calls suffer the faults of `operation`.
  void Post(const std::string& path, const std::string& operation,
            HttpHandler handler);
  void Get(const std::string& path, const std::string& operation,
           HttpHandler handler);
  /// Listens on `address`:`port` (zero: any) and serves; returns the port.
  int Start(const std::string& address, int port);
  void Stop();

 private:
  HttpHandler WithFaults(const std::string& operation, HttpHandler handler);

  httplib::Server server_;
  FaultTable faults_;
  std::thread thread_;
};

}  // namespace basilusher

#endif  // BASILUSHER_LIB_STANDIN_STANDINHTTP_H_
