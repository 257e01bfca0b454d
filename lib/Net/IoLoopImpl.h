// The event loop behind IoLoop, for this component alone.
#ifndef BASILUSHER_LIB_NET_IOLOOPIMPL_H_
#define BASILUSHER_LIB_NET_IOLOOPIMPL_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

// Boost 1.74's coroutine header needs std::exchange and does not include it.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "basilusher/Net/IoLoop.h"

namespace basilusher {

struct IoLoop::Impl {
  /// A timer of IoLoop::After.
  struct Timer {
    explicit Timer(boost::asio::io_context* context) : timer(*context) {}

    boost::asio::steady_timer timer;
    std::function<void()> task;
  };

  /// A timer for one wait: a spare one if there is any.
  std::unique_ptr<Timer> TakeTimer();
  /// Keeps a timer that has expired for the next wait.
  void ReturnTimer(std::unique_ptr<Timer> timer);

  /// Timers kept after a burst; each takes some 150 bytes.
  static constexpr std::size_t kMaxSpareTimers = 1024;

  boost::asio::io_context context{1};
  std::unique_ptr<boost::asio::signal_set> signals;
  std::vector<std::unique_ptr<Timer>> spare_timers;
};

/// Parses "10.0.0.1:80"; throws Error(kTransportFailed) if it is malformed.
boost::asio::ip::tcp::endpoint ParseEndpoint(const std::string& address);

/// Turns off Nagle's algorithm and bounds how long sent bytes may stay
/// unacknowledged, so that a silent peer is noticed.
void TuneSocket(boost::asio::ip::tcp::socket* socket);

}  // namespace basilusher

#endif  // BASILUSHER_LIB_NET_IOLOOPIMPL_H_
