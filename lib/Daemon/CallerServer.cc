// Loop over the requests of one connection.
#include "CallerServer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>

#include "basilusher/Support/Clock.h"

namespace basilusher {
namespace {

/// Slice of a wait for the next request, after which the stop is noticed.
constexpr Millis kIdleSlice{100};

/// Waits until `socket` is ready for `events`.
bool WaitFor(int socket, std::int16_t events, Millis timeout) {
  pollfd entry{.fd = socket, .events = events, .revents = 0};
  const int count = poll(&entry, 1, static_cast<int>(timeout.count()));
  return count > 0 && (entry.revents & (events | POLLHUP)) != 0;
}

void DescribeAddress(const sockaddr_in& address, std::string* ip, int* port) {
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
  *ip = text;
  *port = ntohs(address.sin_port);
}

/// A connection, with a small buffer since the library reads byte by byte.
class SocketStream : public httplib::Stream {
 public:
  SocketStream(socket_t socket, Millis read_timeout, Millis write_timeout)
      : socket_(socket),
        read_timeout_(read_timeout),
        write_timeout_(write_timeout) {}

  bool is_readable() const override {
    return begin_ < end_ || WaitFor(socket_, POLLIN, read_timeout_);
  }

  bool is_writable() const override {
    return WaitFor(socket_, POLLOUT, write_timeout_);
  }

  ssize_t read(char* data, std::size_t size) override {
    if (begin_ == end_ && !Fill()) return 0;
    const std::size_t count = std::min(size, end_ - begin_);
    std::copy_n(buffer_ + begin_, count, data);
    begin_ += count;
    return static_cast<ssize_t>(count);
  }

  ssize_t write(const char* data, std::size_t size) override {
    if (!is_writable()) return -1;
    return send(socket_, data, size, MSG_NOSIGNAL);
  }

  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_in address{};
    socklen_t length = sizeof address;
    if (getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &length) ==
        0) {
      DescribeAddress(address, &ip, &port);
    }
  }

  void get_local_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_in address{};
    socklen_t length = sizeof address;
    if (getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length) ==
        0) {
      DescribeAddress(address, &ip, &port);
    }
  }

  socket_t socket() const override { return socket_; }

  /// Whether bytes of a next request wait in the buffer.
  bool HasBuffered() const { return begin_ < end_; }

 private:
  static constexpr std::size_t kBufferBytes = 4096;

  bool Fill() {
    if (!WaitFor(socket_, POLLIN, read_timeout_)) return false;
    const ssize_t count = recv(socket_, buffer_, kBufferBytes, 0);
    if (count <= 0) return false;
    begin_ = 0;
    end_ = static_cast<std::size_t>(count);
    return true;
  }

  socket_t socket_;
  Millis read_timeout_;
  Millis write_timeout_;
  char buffer_[kBufferBytes];
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace

bool CallerServer::process_and_close_socket(socket_t sock) {
  SocketStream stream(sock, std::chrono::seconds(read_timeout_sec_),
                      std::chrono::seconds(write_timeout_sec_));
  const SteadyClock clock;
  std::size_t left = keep_alive_max_count_;
  bool ok = true;
  while (ok && left > 0 && svr_sock_ != INVALID_SOCKET) {
    const TimePoint idle_until =
        clock.Now() + std::chrono::seconds(keep_alive_timeout_sec_);
    bool readable = stream.HasBuffered();
    while (!readable && svr_sock_ != INVALID_SOCKET &&
           clock.Now() < idle_until) {
      readable = WaitFor(sock, POLLIN, kIdleSlice);
    }
    if (!readable) break;
    bool closed = false;
    ok = process_request(stream, /*close_connection=*/left == 1, closed,
                         nullptr);
    if (closed) break;
    --left;
  }
  shutdown(sock, SHUT_RDWR);
  close(sock);
  return ok;
}

}  // namespace basilusher
