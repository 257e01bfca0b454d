// Peer transport on websocketpp. Compiled as C++17, which the library needs.
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "basilusher/Transport/PeerTransport.h"

namespace basilusher {
namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;
using Opcode = websocketpp::frame::opcode::value;

constexpr std::chrono::milliseconds kRedialPeriod{100};
constexpr int kDialTimeoutMs = 1000;
constexpr char kHelloPrefix[] = "hello ";

/// One established connection; `dialled` tells which endpoint owns it.
struct Link {
  Handle handle;
  bool dialled = false;
};

class WebsocketTransport : public PeerTransport {
 public:
  explicit WebsocketTransport(TransportOptions options)
      : options_(std::move(options)) {}

  ~WebsocketTransport() override { Stop(); }

  int Start(const TransportHandlers& handlers) override {
    handlers_ = handlers;
    SetUp(&server_);
    SetUp(&client_);
    server_.set_reuse_addr(true);
    server_.set_message_handler(
        [this](Handle handle, Server::message_ptr message) {
          OnMessage(handle, /*dialled=*/false, message->get_opcode(),
                    message->get_payload());
        });
    server_.set_close_handler([this](Handle handle) { OnClosed(handle); });
    client_.set_message_handler(
        [this](Handle handle, Client::message_ptr message) {
          OnMessage(handle, /*dialled=*/true, message->get_opcode(),
                    message->get_payload());
        });
    client_.set_open_handler([this](Handle handle) { OnDialled(handle); });
    client_.set_close_handler([this](Handle handle) { OnClosed(handle); });
    client_.set_fail_handler([this](Handle handle) { OnDialFailed(handle); });
    websocketpp::lib::error_code ec;
    server_.listen(options_.address, std::to_string(options_.port), ec);
    if (ec) {
      throw std::runtime_error("peer listener " + options_.address + ":" +
                               std::to_string(options_.port) + ": " +
                               ec.message());
    }
    server_.start_accept();
    websocketpp::lib::asio::error_code port_ec;
    const int port = server_.get_local_endpoint(port_ec).port();
    ScheduleRedial();
    thread_ = std::thread([this] { io_.run(); });
    return port;
  }

  void SetPeers(const std::vector<PeerAddress>& peers) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    peers_.clear();
    for (const PeerAddress& peer : peers) peers_[peer.instance] = peer;
  }

  bool Send(const std::string& instance, const std::string& bytes) override {
    Link link;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const auto it = links_.find(instance);
      if (it == links_.end()) return false;
      link = it->second;
    }
    websocketpp::lib::error_code ec;
    if (link.dialled) {
      client_.send(link.handle, bytes, Opcode::binary, ec);
    } else {
      server_.send(link.handle, bytes, Opcode::binary, ec);
    }
    return !ec;
  }

  void Stop() override {
    if (stopped_.exchange(true)) return;
    if (!thread_.joinable()) return;
    // Sockets belong to the transport's thread.
    io_.post([this] {
      CloseAll();
      io_.stop();
    });
    thread_.join();
  }

 private:
  template <typename Endpoint>
  void SetUp(Endpoint* endpoint) {
    endpoint->clear_access_channels(websocketpp::log::alevel::all);
    endpoint->clear_error_channels(websocketpp::log::elevel::all);
    endpoint->init_asio(&io_);
    endpoint->set_max_message_size(options_.max_message_bytes);
    // Small messages must not wait for acknowledgements of earlier ones. The
    // option can be set only once the socket stands.
    endpoint->set_tcp_post_init_handler([endpoint](Handle handle) {
      websocketpp::lib::error_code ec;
      typename Endpoint::connection_ptr connection =
          endpoint->get_con_from_hdl(handle, ec);
      if (ec) return;
      websocketpp::lib::asio::error_code option_ec;
      connection->get_raw_socket().set_option(
          websocketpp::lib::asio::ip::tcp::no_delay(true), option_ec);
    });
  }

  /// Ends every connection at once, so that peers see it without a timeout.
  void CloseAll() {
    std::map<std::string, Link> links;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      links.swap(links_);
    }
    for (const std::pair<const std::string, Link>& row : links) {
      if (row.second.dialled) {
        CloseSocket(&client_, row.second.handle);
      } else {
        CloseSocket(&server_, row.second.handle);
      }
    }
  }

  template <typename Endpoint>
  static void CloseSocket(Endpoint* endpoint, const Handle& handle) {
    websocketpp::lib::error_code ec;
    typename Endpoint::connection_ptr connection =
        endpoint->get_con_from_hdl(handle, ec);
    if (ec) return;
    websocketpp::lib::asio::error_code close_ec;
    connection->get_raw_socket().close(close_ec);
  }

  void ScheduleRedial() {
    client_.set_timer(kRedialPeriod.count(),
                      [this](const websocketpp::lib::error_code& ec) {
                        if (ec || stopped_) return;
                        RedialAll();
                        ScheduleRedial();
                      });
  }

  void RedialAll() {
    std::vector<PeerAddress> missing;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const std::pair<const std::string, PeerAddress>& row : peers_) {
        if (row.first <= options_.instance) continue;
        if (links_.count(row.first) != 0 || dialling_.count(row.first) != 0) {
          continue;
        }
        dialling_.insert(row.first);
        missing.push_back(row.second);
      }
    }
    for (const PeerAddress& peer : missing) Dial(peer);
  }

  void Dial(const PeerAddress& peer) {
    websocketpp::lib::error_code ec;
    const std::string uri =
        "ws://" + peer.address + ":" + std::to_string(peer.port) + "/";
    Client::connection_ptr connection = client_.get_connection(uri, ec);
    if (ec) {
      const std::lock_guard<std::mutex> lock(mutex_);
      dialling_.erase(peer.instance);
      return;
    }
    connection->set_open_handshake_timeout(kDialTimeoutMs);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      names_[connection->get_handle()] = peer.instance;
    }
    client_.connect(connection);
  }

  void OnDialFailed(Handle handle) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = names_.find(handle);
    if (it == names_.end()) return;
    dialling_.erase(it->second);
    names_.erase(it);
  }

  void OnDialled(Handle handle) {
    websocketpp::lib::error_code ec;
    client_.send(handle, kHelloPrefix + options_.instance, Opcode::text, ec);
    std::string instance;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      instance = names_[handle];
      dialling_.erase(instance);
      links_[instance] = {handle, /*dialled=*/true};
    }
    handlers_.on_connected(instance);
  }

  void OnMessage(Handle handle, bool dialled, Opcode opcode,
                 const std::string& payload) {
    if (opcode == Opcode::text && !dialled) {
      OnHello(handle, payload);
      return;
    }
    handlers_.on_message(payload);
  }

  void OnHello(Handle handle, const std::string& payload) {
    const std::string prefix = kHelloPrefix;
    if (payload.compare(0, prefix.size(), prefix) != 0) return;
    const std::string instance = payload.substr(prefix.size());
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      names_[handle] = instance;
      links_[instance] = {handle, /*dialled=*/false};
    }
    handlers_.on_connected(instance);
  }

  void OnClosed(Handle handle) {
    std::string instance;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const auto it = names_.find(handle);
      if (it == names_.end()) return;
      instance = it->second;
      names_.erase(it);
      const auto link = links_.find(instance);
      // A newer connection of the same peer may have taken its place.
      if (link == links_.end() || !IsSame(link->second.handle, handle)) return;
      links_.erase(link);
    }
    handlers_.on_disconnected(instance);
  }

  static bool IsSame(const Handle& a, const Handle& b) {
    return !a.owner_before(b) && !b.owner_before(a);
  }

  TransportOptions options_;
  TransportHandlers handlers_;
  websocketpp::lib::asio::io_service io_;
  Server server_;
  Client client_;
  std::thread thread_;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::map<std::string, PeerAddress> peers_;
  std::map<std::string, Link> links_;
  std::set<std::string> dialling_;
  std::map<Handle, std::string, std::owner_less<Handle>> names_;
};

}  // namespace

std::unique_ptr<PeerTransport> MakeWebsocketTransport(
    const TransportOptions& options) {
  return std::make_unique<WebsocketTransport>(options);
}

}  // namespace basilusher
