// Event loop on Boost.Asio.
#include "basilusher/Net/IoLoop.h"

#include <signal.h>

#include <cstdint>
#include <cstdlib>

#include "IoLoopImpl.h"
#include "basilusher/Support/Error.h"

namespace basilusher {
namespace {

namespace asio = boost::asio;

/// Bytes unacknowledged for this long end the connection; well above a round
/// trip, below the tasks' leases.
constexpr unsigned int kUserTimeoutMs = 3000;

}  // namespace

asio::ip::tcp::endpoint ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  boost::system::error_code ec;
  asio::ip::address ip;
  if (colon != std::string::npos) {
    ip = asio::ip::make_address_v4(address.substr(0, colon), ec);
  }
  const std::int64_t port =
      colon == std::string::npos
          ? 0
          : std::strtol(address.c_str() + colon + 1, nullptr, 10);
  if (ec || port <= 0 || port > 65535) {
    throw Error(ResultCode::kTransportFailed,
                "malformed address '" + address + "'");
  }
  return {ip, static_cast<std::uint16_t>(port)};
}

void TuneSocket(asio::ip::tcp::socket* socket) {
  boost::system::error_code ec;
  socket->set_option(asio::ip::tcp::no_delay(true), ec);
  const unsigned int timeout = kUserTimeoutMs;
  setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
             sizeof(timeout));
}

IoLoop::IoLoop() : impl_(std::make_unique<Impl>()) { signal(SIGPIPE, SIG_IGN); }

IoLoop::~IoLoop() = default;

void IoLoop::After(Millis delay, std::function<void()> task) {
  std::shared_ptr<asio::steady_timer> timer =
      std::make_shared<asio::steady_timer>(impl_->context, delay);
  timer->async_wait(
      [timer, task = std::move(task)](const boost::system::error_code& ec) {
        if (!ec) task();
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
