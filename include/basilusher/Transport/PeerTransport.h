// Connections between the system's processes: one for each pair.
// This header is compiled as C++17 and C++20.
#ifndef BASILUSHER_TRANSPORT_PEERTRANSPORT_H_
#define BASILUSHER_TRANSPORT_PEERTRANSPORT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace basilusher {

struct PeerAddress {
  std::string instance;
  /// IP number.
  std::string address;
  int port = 0;
};

struct TransportOptions {
  std::string instance;
  /// IP number to listen on.
  std::string address;
  /// Zero for any free port.
  int port = 0;
  /// Larger messages end the connection.
  std::size_t max_message_bytes = 16u << 20;
};

/// Handlers run on the transport's own thread and must not block.
struct TransportHandlers {
  std::function<void(const std::string& bytes)> on_message;
  std::function<void(const std::string& instance)> on_connected;
  std::function<void(const std::string& instance)> on_disconnected;
};

/// Sends and receives whole messages. Thread-safe.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  /// Starts listening; returns the port. Throws std::runtime_error if the
  /// address can't be had. Call once.
  virtual int Start(const TransportHandlers& handlers) = 0;
  /// Sets the peers to be connected to; lost connections are made again.
  virtual void SetPeers(const std::vector<PeerAddress>& peers) = 0;
  /// Sends `bytes` to `instance`; dropped if there is no connection. Returns
  /// whether there was one.
  virtual bool Send(const std::string& instance, const std::string& bytes) = 0;
  /// Ends all connections and the thread. No handler runs afterwards.
  virtual void Stop() = 0;
};

/// WebSocket transport. Of each pair, the entry with the lower name dials.
std::unique_ptr<PeerTransport> MakeWebsocketTransport(
    const TransportOptions& options);

}  // namespace basilusher

#endif  // BASILUSHER_TRANSPORT_PEERTRANSPORT_H_
