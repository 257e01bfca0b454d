// Connections over loopback to a server whose loop has much other work.
#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "TestLoop.h"
#include "basilusher/Net/HttpServer.h"

namespace basilusher {
namespace {

using Tcp = boost::asio::ip::tcp;

constexpr int kClients = 64;
constexpr const char* kRequest =
    "POST /offer HTTP/1.1\r\nHost: node\r\nContent-Length: 2\r\n\r\n{}";

/// Other work of the loop: one handler that runs once in each turn.
class BusyLoop {
 public:
  explicit BusyLoop(IoLoop* loop) : context_(loop->Get()->context) { Post(); }
  int Turns() const { return turns_; }

 private:
  void Post() {
    boost::asio::post(context_, [this] {
      ++turns_;
      Post();
    });
  }

  boost::asio::io_context& context_;
  int turns_ = 0;
};

/// Clients that each open a connection for one call, as after a time-out: a
/// loop that takes 100 ms a turn would read the last of them after six seconds.
TEST(HttpServerTest, WaitingConnectionsAreServedInFewTurnsOfTheLoop) {
  IoLoop loop;
  const std::string address = FreeAddress(&loop);
  int served = 0;
  HttpServer server(
      &loop, {.address = address},
      [&served](const HttpRequest&, const HttpResponder& respond) {
        ++served;
        respond({.body = "{}"});
      });
  std::vector<std::unique_ptr<Tcp::socket>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<Tcp::socket>(loop.Get()->context));
    clients.back()->connect(ParseEndpoint(address));
    boost::asio::write(*clients.back(),
                       boost::asio::buffer(std::string(kRequest)));
  }
  const BusyLoop busy(&loop);
  while (served < kClients) loop.Get()->context.run_one();
  EXPECT_LE(busy.Turns(), 10);
}

}  // namespace
}  // namespace basilusher
