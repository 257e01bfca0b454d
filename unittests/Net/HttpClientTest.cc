// Calls over loopback, on a loop that the test turns one handler at a time.
#include <gtest/gtest.h>

#include <boost/asio/write.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "TestLoop.h"
#include "basilusher/Net/HttpClient.h"
#include "basilusher/Net/HttpServer.h"

namespace basilusher {
namespace {

/// What a watch may bring to an owner that has been behind for some seconds.
constexpr std::size_t kLargeBody = 600000;

class HttpClientTest : public testing::Test {
 protected:
  HttpClientTest()
      : address_(FreeAddress(&loop_)),
        server_(&loop_, {.address = address_},
                [this](const HttpRequest&, const HttpResponder& respond) {
                  ++requests_;
                  pending_ = respond;
                  if (!answers_) return;
                  respond({.body = std::string(body_bytes_, 'x')});
                }),
        client_(&loop_, {}) {}

  /// Calls the server. Returns the number of handlers that ran until the
  /// answer.
  int Call(Millis timeout) {
    answer_.reset();
    client_.Call(address_, {.method = "GET", .target = "/", .timeout = timeout},
                 [this](const HttpAnswer& answer) { answer_ = answer; });
    int handlers = 0;
    while (!answer_) {
      loop_.Get()->context.run_one();
      ++handlers;
    }
    return handlers;
  }

  IoLoop loop_;
  std::size_t body_bytes_ = 0;
  bool answers_ = true;
  int requests_ = 0;
  /// Answers the last request.
  HttpResponder pending_;
  std::string address_;
  HttpServer server_;
  HttpClient client_;
  std::optional<HttpAnswer> answer_;
};

/// A loop with much work takes some milliseconds for each handler. An answer
/// that is read 512 bytes at a time then takes ten seconds.
TEST_F(HttpClientTest, ALargeAnswerTakesFewTurnsOfTheLoop) {
  body_bytes_ = kLargeBody;
  const int handlers = Call(Millis(10000));
  ASSERT_EQ(answer_->outcome, CallOutcome::kAnswered);
  EXPECT_EQ(answer_->body.size(), kLargeBody);
  // A turn for each 4 KB and some for the connection.
  EXPECT_LE(handlers, 150 + 20);
}

TEST_F(HttpClientTest, AnAnswerOfAnySizeIsReadWhole) {
  for (const std::size_t bytes : {0, 1, 500, 4000, 4096, 70000}) {
    body_bytes_ = bytes;
    Call(Millis(10000));
    ASSERT_EQ(answer_->outcome, CallOutcome::kAnswered) << bytes;
    EXPECT_EQ(answer_->body.size(), bytes);
  }
}

TEST_F(HttpClientTest, ASilentServerEndsTheCallAtItsTimeout) {
  answers_ = false;
  Call(Millis(50));
  EXPECT_EQ(answer_->outcome, CallOutcome::kLost);
}

/// The command of a call that was given up must not arrive later.
TEST_F(HttpClientTest, ACallWhoseTimeoutEndsInTheQueueIsNotSent) {
  HttpClient client(&loop_, {.max_connections_per_address = 1});
  answers_ = false;
  client.Call(address_, {.method = "GET", .target = "/"},
              [](const HttpAnswer&) {});
  std::optional<HttpAnswer> queued;
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + Millis(5);
  client.Call(address_, {.method = "GET", .target = "/", .timeout = Millis(5)},
              [&queued](const HttpAnswer& answer) { queued = answer; });
  while (requests_ == 0 || std::chrono::steady_clock::now() < end) {
    loop_.Get()->context.poll();
  }
  answers_ = true;
  pending_({.body = "{}"});
  while (!queued) loop_.Get()->context.run_one();
  EXPECT_EQ(queued->outcome, CallOutcome::kNotSent);
  EXPECT_EQ(requests_, 1);
}

/// A loop that is behind its work sees the connection and the end of the
/// timeout in one turn.
TEST_F(HttpClientTest, ACallWhoseTimeoutEndsWhileItConnectsIsNotSent) {
  client_.Call(address_, {.method = "GET", .target = "/", .timeout = Millis(5)},
               [this](const HttpAnswer& answer) { answer_ = answer; });
  std::this_thread::sleep_for(Millis(20));
  while (!answer_) loop_.Get()->context.run_one();
  // What was sent reaches the server in later turns.
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + Millis(50);
  while (std::chrono::steady_clock::now() < end) loop_.Get()->context.poll();
  EXPECT_EQ(answer_->outcome, CallOutcome::kNotSent);
  EXPECT_EQ(requests_, 0);
  Call(Millis(1000));
  EXPECT_EQ(answer_->outcome, CallOutcome::kAnswered);
}

/// Sends the parts of one answer, one each `period`.
class SlowServer {
 public:
  SlowServer(IoLoop* loop, const std::string& address, int parts, Millis period)
      : loop_(loop),
        acceptor_(loop->Get()->context, ParseEndpoint(address)),
        socket_(loop->Get()->context),
        parts_(parts),
        period_(period) {
    acceptor_.async_accept(socket_, [this](boost::system::error_code) {
      Send("HTTP/1.1 200 OK\r\nContent-Length: " +
           std::to_string(kPartBytes * parts_) + "\r\n\r\n");
      SendParts();
    });
  }

  static constexpr int kPartBytes = 100;

 private:
  void Send(const std::string& bytes) {
    boost::system::error_code ec;
    boost::asio::write(socket_, boost::asio::buffer(bytes), ec);
  }

  void SendParts() {
    if (parts_-- == 0) return;
    loop_->After(period_, [this] {
      Send(std::string(kPartBytes, 'x'));
      SendParts();
    });
  }

  IoLoop* loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket socket_;
  int parts_;
  Millis period_;
};

class LongAnswerTest : public testing::Test {
 protected:
  /// Reads an answer whose parts come each `period`. The call has 200 ms.
  HttpAnswer Call(int parts, Millis period, std::optional<LongAnswer> limits) {
    const std::string address = FreeAddress(&loop_);
    SlowServer server(&loop_, address, parts, period);
    HttpClient client(&loop_, {});
    std::optional<HttpAnswer> answer;
    client.Call(address,
                {.method = "GET",
                 .target = "/",
                 .timeout = Millis(200),
                 .long_answer = std::move(limits)},
                [&answer](const HttpAnswer& it) { answer = it; });
    while (!answer) loop_.Get()->context.run_one();
    return *answer;
  }

  IoLoop loop_;
};

/// Guards against an answer that can never be read, since it takes longer to
/// arrive than a call may last.
TEST_F(LongAnswerTest, AnAnswerThatKeepsArrivingOutlastsTheTimeout) {
  int progress = 0;
  const HttpAnswer answer =
      Call(20, Millis(30),
           LongAnswer{.stall_timeout = Millis(2000),
                      .on_progress = [&progress] { ++progress; }});
  EXPECT_EQ(answer.outcome, CallOutcome::kAnswered);
  EXPECT_EQ(answer.body.size(), 20U * SlowServer::kPartBytes);
  EXPECT_GT(progress, 0);
}

TEST_F(LongAnswerTest, AnAnswerThatStopsArrivingEndsTheCall) {
  const HttpAnswer answer = Call(
      1, Millis(600000),
      LongAnswer{.stall_timeout = Millis(100), .max_duration = Millis(600000)});
  EXPECT_EQ(answer.outcome, CallOutcome::kLost);
}

TEST_F(LongAnswerTest, AnAnswerThatTakesTooLongEndsTheCall) {
  const HttpAnswer answer = Call(
      600000, Millis(30),
      LongAnswer{.stall_timeout = Millis(2000), .max_duration = Millis(400)});
  EXPECT_EQ(answer.outcome, CallOutcome::kLost);
}

}  // namespace
}  // namespace basilusher
