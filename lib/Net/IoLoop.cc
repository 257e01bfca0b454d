// Event loop on Boost.Asio.
#include "basilusher/Net/IoLoop.h"

#include <signal.h>

#include <charconv>
#include <cstdint>
#include <optional>

#include "IoLoopImpl.h"
#include "basilusher/Support/Error.h"

namespace basilusher {
namespace {

namespace asio = boost::asio;

/// Bytes unacknowledged for this long end the connection; well above a round
/// trip, below the tasks' leases.
constexpr unsigned int kUserTimeoutMs = 3000;

std::optional<asio::ip::tcp::endpoint> TryEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code ec;
  const asio::ip::address_v4 ip =
      asio::ip::make_address_v4(address.substr(0, colon), ec);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const std::from_chars_result result =
      std::from_chars(address.data() + colon + 1, end, port);
  // The library's parser stops at a zero byte.
  const bool whole = !ec && ip.to_string() == address.substr(0, colon);
  if (!whole || result.ec != std::errc() || result.ptr != end || port == 0) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(ip, port);
}

}  // namespace

asio::ip::tcp::endpoint ParseEndpoint(const std::string& address) {
  const std::optional<asio::ip::tcp::endpoint> endpoint = TryEndpoint(address);
  if (!endpoint) {
    throw Error(ResultCode::kTransportFailed,
                "malformed address '" + address + "'");
  }
  return *endpoint;
}

bool IsEndpoint(const std::string& address) {
  return TryEndpoint(address).has_value();
}

void TuneSocket(asio::ip::tcp::socket* socket) {
  boost::system::error_code ec;
  socket->set_option(asio::ip::tcp::no_delay(true), ec);
  const unsigned int timeout = kUserTimeoutMs;
  setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
             sizeof(timeout));
}

std::unique_ptr<IoLoop::Impl::Timer> IoLoop::Impl::TakeTimer() {
  if (spare_timers.empty()) return std::make_unique<Timer>(&context);
  std::unique_ptr<Timer> timer = std::move(spare_timers.back());
  spare_timers.pop_back();
  return timer;
}

void IoLoop::Impl::ReturnTimer(std::unique_ptr<Timer> timer) {
  timer->task = nullptr;
  if (spare_timers.size() < kMaxSpareTimers) {
    spare_timers.push_back(std::move(timer));
  }
}

IoLoop::IoLoop() : impl_(std::make_unique<Impl>()) { signal(SIGPIPE, SIG_IGN); }

IoLoop::~IoLoop() = default;

void IoLoop::After(Millis delay, std::function<void()> task) {
  std::unique_ptr<Impl::Timer> timer = impl_->TakeTimer();
  timer->task = std::move(task);
  asio::steady_timer& waiting = timer->timer;
  waiting.expires_after(delay);
  waiting.async_wait([impl = impl_.get(), timer = std::move(timer)](
                         const boost::system::error_code& ec) mutable {
    if (ec) return;
    const std::function<void()> due = std::move(timer->task);
    impl->ReturnTimer(std::move(timer));
    due();
  });
}

void IoLoop::OnSignals(std::function<void()> stop,
                       std::function<void()> reload) {
  if (impl_->signals == nullptr) {
    impl_->signals = std::make_unique<asio::signal_set>(impl_->context, SIGTERM,
                                                        SIGINT, SIGHUP);
  }
  impl_->signals->async_wait(
      [this, stop, reload](const boost::system::error_code& ec, int number) {
        if (ec) return;
        if (number == SIGHUP) {
          reload();
        } else {
          stop();
        }
        OnSignals(stop, reload);
      });
}

void IoLoop::Run() {
  const asio::executor_work_guard<asio::io_context::executor_type> guard =
      asio::make_work_guard(impl_->context);
  impl_->context.run();
}

void IoLoop::Stop() { impl_->context.stop(); }

}  // namespace basilusher
