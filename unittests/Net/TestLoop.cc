// Loopback addresses for tests.
#include "TestLoop.h"

namespace basilusher {

std::string FreeAddress(IoLoop* loop) {
  boost::asio::ip::tcp::acceptor acceptor(
      loop->Get()->context,
      {boost::asio::ip::address_v4::loopback(), std::uint16_t{0}});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

}  // namespace basilusher
