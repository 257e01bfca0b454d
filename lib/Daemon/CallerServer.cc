// Loop over the requests of one connection.
#include "CallerServer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <string_view>

#include "basilusher/Support/Clock.h"

namespace basilusher {
namespace {

/// Slice of a wait for the next request, after which the stop is noticed.
constexpr Millis kIdleSlice{100};
/// Bound on a request's line and headers together; the library has none.
constexpr std::size_t kMostHeadBytes = std::size_t{16} * 1024;
/// Chunk sizes and extensions beside a body of unknown length.
constexpr std::size_t kMostFramingBytes = std::size_t{256} * 1024;
/// Bytes taken from the budget at a time for a body of unknown length.
constexpr std::size_t kBudgetStep = std::size_t{64} * 1024;
/// Bodies up to this size are served whatever large ones hold.
constexpr std::size_t kSmallBody = std::size_t{64} * 1024;
/// Time to send a whole request from its first byte, and to read a whole
/// answer. The library bounds only the gap between two bytes.
constexpr Millis kRequestTime{10000};
/// The same while other connections wait for a thread, and the time for a head
/// then: 480 connections with incomplete heads leave 96 threads within 5 s.
constexpr Millis kPressedHeadTime{1000};
constexpr Millis kPressedRequestTime{3000};
/// Rest between requests while other connections wait for a thread.
constexpr Millis kPressedIdleTime{500};
constexpr std::string_view kRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    "X-Outcome: not-run\r\nX-Result-Code: 301\r\nContent-Length: 0\r\n"
    "Connection: close\r\n\r\n";

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

/// Waits in slices, so that a shorter bound under pressure is noticed.
template <typename Deadline>
bool WaitUntil(int socket, std::int16_t events, Millis gap,
               const Deadline& deadline) {
  const SteadyClock clock;
  const TimePoint gap_end = clock.Now() + gap;
  while (true) {
    if (WaitFor(socket, events, kIdleSlice)) return true;
    const TimePoint now = clock.Now();
    if (now >= gap_end || now >= deadline()) return false;
  }
}

}  // namespace

/// A connection, with a small buffer since the library reads byte by byte.
/// Bounds the bytes and the time of each request.
class CallerServer::SocketStream : public httplib::Stream {
 public:
  SocketStream(socket_t socket, Millis read_timeout, Millis write_timeout,
               std::size_t most_body_bytes, CallerBudget* budget)
      : socket_(socket),
        read_timeout_(read_timeout),
        write_timeout_(write_timeout),
        most_body_bytes_(most_body_bytes),
        budget_(budget) {}

  ~SocketStream() override { EndRequest(); }
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  void BeginRequest() {
    EndRequest();
    began_at_ = clock_.Now();
    writing_ = false;
    left_ = kMostHeadBytes;
    in_head_ = true;
    by_step_ = false;
  }

  /// Gives the request's bytes back to the budget.
  void EndRequest() {
    budget_->Release(held_bytes_);
    held_bytes_ = 0;
  }

  /// Takes a request's head into account. False if its body is rejected for
  /// lack of memory.
  bool OnHead(const httplib::Request& request) {
    in_head_ = false;
    left_ = most_body_bytes_ + kMostFramingBytes;
    if (request.has_header("Content-Length")) {
      const std::uint64_t length =
          request.get_header_value<std::uint64_t>("Content-Length");
      // The library rejects a longer one itself.
      if (length > most_body_bytes_ || length <= kSmallBody) return true;
      if (Take(static_cast<std::size_t>(length))) return true;
      broken_ = true;
      return false;
    }
    by_step_ = true;
    covered_ = kSmallBody;
    return true;
  }

  /// Whether the connection can't serve another request.
  bool Broken() const { return broken_; }

  bool is_readable() const override {
    return begin_ < end_ || WaitUntil(socket_, POLLIN, read_timeout_,
                                      [this] { return ReadDeadline(); });
  }

  bool is_writable() const override {
    return WaitUntil(socket_, POLLOUT, write_timeout_,
                     [this] { return WriteDeadline(); });
  }

  ssize_t read(char* data, std::size_t size) override {
    if (broken_) return -1;
    if (begin_ == end_ && !Fill()) return 0;
    if (left_ == 0) {
      return Break(in_head_ ? CallerLimit::kHead : CallerLimit::kBody);
    }
    if (by_step_ && covered_ == 0) {
      if (!Take(kBudgetStep)) return Break(CallerLimit::kMemory);
      covered_ = kBudgetStep;
    }
    std::size_t count = std::min({size, end_ - begin_, left_});
    if (by_step_) {
      count = std::min(count, covered_);
      covered_ -= count;
    }
    left_ -= count;
    std::copy_n(buffer_ + begin_, count, data);
    begin_ += count;
    return static_cast<ssize_t>(count);
  }

  ssize_t write(const char* data, std::size_t size) override {
    if (!writing_) {
      writing_ = true;
      write_began_at_ = clock_.Now();
    }
    while (is_writable()) {
      const ssize_t count =
          send(socket_, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count >= 0) return count;
      if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) return -1;
    }
    return Break(CallerLimit::kTime);
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

  TimePoint ReadDeadline() const {
    if (!CallersWait()) return began_at_ + kRequestTime;
    return began_at_ + (in_head_ ? kPressedHeadTime : kPressedRequestTime);
  }

  TimePoint WriteDeadline() const {
    return write_began_at_ +
           (CallersWait() ? kPressedRequestTime : kRequestTime);
  }

  ssize_t Break(CallerLimit reason) {
    budget_->NoteLimit(reason);
    broken_ = true;
    return -1;
  }

  bool Take(std::size_t n) {
    if (!budget_->Take(n)) return false;
    held_bytes_ += n;
    return true;
  }

  bool Fill() {
    if (clock_.Now() >= ReadDeadline() || !is_readable()) {
      Break(CallerLimit::kTime);
      return false;
    }
    const ssize_t count = recv(socket_, buffer_, kBufferBytes, 0);
    if (count <= 0) return false;
    begin_ = 0;
    end_ = static_cast<std::size_t>(count);
    return true;
  }

  socket_t socket_;
  Millis read_timeout_;
  Millis write_timeout_;
  std::size_t most_body_bytes_;
  CallerBudget* budget_;
  SteadyClock clock_;
  TimePoint began_at_{};
  TimePoint write_began_at_{};
  bool writing_ = false;
  bool broken_ = false;
  bool in_head_ = true;
  /// Bytes that may still be read of the head or of what follows it.
  std::size_t left_ = 0;
  /// The body's length is unknown: it is taken from the budget as it comes.
  bool by_step_ = false;
  /// Bytes that may be read before the next step.
  std::size_t covered_ = 0;
  std::size_t held_bytes_ = 0;
  char buffer_[kBufferBytes];
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

namespace {

/// The connection that this thread serves.
thread_local CallerServer::SocketStream* current_stream = nullptr;

/// Answers a connection for which there is no room, without waiting for it.
void RefuseConnection(socket_t sock) {
  send(sock, kRefusal.data(), kRefusal.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  shutdown(sock, SHUT_RDWR);
  close(sock);
}

}  // namespace

bool CallerServer::AcceptBody(const httplib::Request& request) {
  const bool accepted =
      current_stream == nullptr || current_stream->OnHead(request);
  if (!accepted) budget_.NoteLimit(CallerLimit::kMemory);
  return accepted;
}

bool CallerServer::process_and_close_socket(socket_t sock) {
  if (BoundedTaskQueue::Refusing()) {
    budget_.NoteLimit(CallerLimit::kQueue);
    RefuseConnection(sock);
    return false;
  }
  SocketStream stream(sock, std::chrono::seconds(read_timeout_sec_),
                      std::chrono::seconds(write_timeout_sec_),
                      payload_max_length_, &budget_);
  current_stream = &stream;
  const SteadyClock clock;
  std::size_t left = keep_alive_max_count_;
  bool ok = true;
  while (ok && left > 0 && svr_sock_ != INVALID_SOCKET) {
    const TimePoint idle_since = clock.Now();
    const auto idle_until = [this, idle_since] {
      return idle_since +
             (CallersWait()
                  ? kPressedIdleTime
                  : Millis(std::chrono::seconds(keep_alive_timeout_sec_)));
    };
    bool readable = stream.HasBuffered();
    while (!readable && svr_sock_ != INVALID_SOCKET &&
           clock.Now() < idle_until()) {
      readable = WaitFor(sock, POLLIN, kIdleSlice);
    }
    if (!readable) break;
    bool closed = false;
    stream.BeginRequest();
    ok = process_request(stream, /*close_connection=*/left == 1, closed,
                         nullptr);
    stream.EndRequest();
    if (closed || stream.Broken()) break;
    --left;
  }
  current_stream = nullptr;
  shutdown(sock, SHUT_RDWR);
  close(sock);
  return ok;
}

}  // namespace basilusher
