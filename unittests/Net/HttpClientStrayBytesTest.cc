// A server that sends more than was asked for.
#include <gtest/gtest.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <thread>

#include "TestLoop.h"
#include "basilusher/Net/HttpClient.h"

namespace basilusher {
namespace {

using Tcp = boost::asio::ip::tcp;

std::string Response(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// An answer that nobody asked for must not be taken for the next call's.
TEST(HttpClientStrayBytesTest, AStrayAnswerIsNotTakenForThatOfTheNextCall) {
  IoLoop loop;
  const std::string address = FreeAddress(&loop);
  boost::asio::io_context context;
  Tcp::acceptor acceptor(context, ParseEndpoint(address));
  std::thread server([&] {
    for (const char* body : {"first", "second"}) {
      Tcp::socket socket(context);
      acceptor.accept(socket);
      boost::asio::streambuf request;
      boost::system::error_code ec;
      boost::asio::read_until(socket, request, "\r\n\r\n", ec);
      boost::asio::write(
          socket, boost::asio::buffer(Response(body) + Response("stray")), ec);
      // Until the client has closed.
      boost::asio::read_until(socket, request, "never", ec);
    }
  });
  std::string bodies;
  {
    HttpClient client(&loop, {});
    for (int i = 0; i < 2; ++i) {
      std::optional<HttpAnswer> answer;
      client.Call(address,
                  {.method = "GET", .target = "/", .timeout = Millis(500)},
                  [&](const HttpAnswer& it) { answer = it; });
      while (!answer) loop.Get()->context.run_one();
      bodies += answer->body + " ";
    }
    EXPECT_EQ(bodies, "first second ");
    client.Forget(address);
  }
  // Releases the server if a connection was missing.
  Tcp::socket last(context);
  boost::system::error_code ec;
  last.connect(ParseEndpoint(address), ec);
  last.close(ec);
  server.join();
}

}  // namespace
}  // namespace basilusher
