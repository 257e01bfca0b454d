// Guards against answers that are lost or misread because of their head or of
// the pieces in which they come, and against requests that are sent otherwise.
#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "TestLoop.h"
#include "basilusher/Net/HttpClient.h"

namespace basilusher {
namespace {

using Tcp = boost::asio::ip::tcp;

constexpr std::size_t kMaxBody = 100000;

/// A client, and a server on the same loop that sends what the test says.
class HttpClientOddHeadTest : public testing::Test {
 protected:
  HttpClientOddHeadTest()
      : address_(FreeAddress(&loop_)),
        acceptor_(context_, ParseEndpoint(address_)),
        socket_(context_),
        client_(&loop_, {.max_body_bytes = kMaxBody}) {}
  ~HttpClientOddHeadTest() override { client_.Forget(address_); }

  void Begin(HttpCall call) {
    answer_.reset();
    client_.Call(address_, std::move(call),
                 [this](const HttpAnswer& it) { answer_ = it; });
  }

  /// Accepts the client's connection.
  void Accept() {
    bool accepted = false;
    acceptor_.async_accept(
        socket_, [&](const boost::system::error_code&) { accepted = true; });
    while (!accepted) context_.run_one();
  }

  /// Reads a request. Returns its head.
  std::string ReadHead() {
    boost::asio::streambuf buffer;
    std::optional<std::size_t> size;
    boost::asio::async_read_until(
        socket_, buffer, "\r\n\r\n",
        [&](const boost::system::error_code&, std::size_t n) { size = n; });
    while (!size) context_.run_one();
    return {static_cast<const char*>(buffer.data().data()), *size};
  }

  /// Sends `piece`, which the client reads before this returns.
  void Send(const std::string& piece) {
    boost::asio::write(socket_, boost::asio::buffer(piece));
    while (!answer_ && context_.poll() > 0) {
    }
  }

  HttpAnswer Await() {
    while (!answer_) context_.run_one();
    return *answer_;
  }

  /// The answer to a call that the server answers with `pieces`, after which
  /// it closes the connection if `closes`.
  HttpAnswer Answer(const std::vector<std::string>& pieces,
                    bool closes = false) {
    Begin({.method = "GET", .target = "/", .timeout = Millis(10000)});
    Accept();
    ReadHead();
    for (const std::string& piece : pieces) Send(piece);
    if (closes) socket_.close();
    HttpAnswer answer = Await();
    client_.Forget(address_);
    socket_ = Tcp::socket(context_);
    return answer;
  }

  void ExpectBody(const std::vector<std::string>& pieces,
                  const std::string& body, bool closes = false) {
    const HttpAnswer answer = Answer(pieces, closes);
    EXPECT_EQ(answer.outcome, CallOutcome::kAnswered) << pieces[0];
    EXPECT_EQ(answer.status, 200) << pieces[0];
    EXPECT_EQ(answer.body, body) << pieces[0];
  }

  IoLoop loop_;
  boost::asio::io_context& context_ = loop_.Get()->context;
  /// Without it the loop ends whenever nothing is awaited.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_ = boost::asio::make_work_guard(context_);
  std::string address_;
  Tcp::acceptor acceptor_;
  Tcp::socket socket_;
  HttpClient client_;
  std::optional<HttpAnswer> answer_;
};

TEST_F(HttpClientOddHeadTest, AnAnswerMayComeInPieces) {
  const std::string usual = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
  ExpectBody({usual + "0123456789"}, "0123456789");
  ExpectBody({usual, "01234", "56789"}, "0123456789");
  for (std::size_t n = 1; n < usual.size(); ++n) {
    ExpectBody({usual.substr(0, n), usual.substr(n) + "01234", "56789"},
               "0123456789");
  }
}

TEST_F(HttpClientOddHeadTest, UnusualHeadsAreRead) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  ExpectBody(
      {ok + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n0\r\n\r\n"},
      "abcde");
  ExpectBody({ok + "\r\nabc", "de"}, "abcde", /*closes=*/true);
  ExpectBody({"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nabcde"}, "abcde");
  ExpectBody({ok + "Content-Length: 5\r\nX-Long: " + std::string(3000, 'x') +
              "\r\n\r\nabcde"},
             "abcde");
  ExpectBody({ok + "Content-Length: 0\r\n\r\n"}, "");
  const HttpAnswer empty = Answer({"HTTP/1.1 204 No Content\r\n\r\n"});
  EXPECT_EQ(empty.outcome, CallOutcome::kAnswered);
  EXPECT_EQ(empty.status, 204);
}

TEST_F(HttpClientOddHeadTest, MalformedOrCutAnswersAreLostAtOnce) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  // The first two end without the connection being closed.
  EXPECT_EQ(Answer({"garbage\r\n"}).outcome, CallOutcome::kLost);
  EXPECT_EQ(Answer({ok + "Content-Length: " + std::to_string(kMaxBody + 1) +
                    "\r\n\r\n"})
                .outcome,
            CallOutcome::kLost);
  EXPECT_EQ(Answer({ok + "Content-Length: 5\r\n\r\nabc"}, true).outcome,
            CallOutcome::kLost);
  EXPECT_EQ(Answer({ok + "Content-Le"}, true).outcome, CallOutcome::kLost);
  EXPECT_EQ(Answer({}, true).outcome, CallOutcome::kLost);
}

/// A connection that the server is about to close must not be used again.
TEST_F(HttpClientOddHeadTest, AConnectionIsUsedAgainUnlessItIsToClose) {
  for (const bool close : {false, true}) {
    Begin({.method = "GET", .target = "/1", .timeout = Millis(10000)});
    Accept();
    ReadHead();
    Send(std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: ") +
         (close ? "close" : "keep-alive") + "\r\n\r\na");
    Await();
    Begin({.method = "GET", .target = "/2", .timeout = Millis(10000)});
    if (close) {
      socket_ = Tcp::socket(context_);
      Accept();
    }
    EXPECT_TRUE(ReadHead().starts_with("GET /2 "));
    Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
    EXPECT_EQ(Await().body, "b");
    client_.Forget(address_);
    socket_ = Tcp::socket(context_);
  }
}

TEST_F(HttpClientOddHeadTest, RequestsStateWhatServersNeed) {
  const auto head_of = [this](HttpCall call) {
    call.timeout = Millis(10000);
    Begin(std::move(call));
    Accept();
    std::string head = ReadHead();
    Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    Await();
    client_.Forget(address_);
    socket_ = Tcp::socket(context_);
    return head;
  };
  const std::string host = "Host: " + address_ + "\r\n";
  EXPECT_EQ(head_of({.method = "GET", .target = "/a?b=c"}),
            "GET /a?b=c HTTP/1.1\r\n" + host + "\r\n");
  EXPECT_EQ(head_of({.method = "POST", .target = "/p"}),
            "POST /p HTTP/1.1\r\n" + host + "Content-Length: 0\r\n\r\n");
  EXPECT_EQ(head_of({.method = "POST",
                     .target = "/p",
                     .headers = {{"X-One", "1"}},
                     .body = "{}"}),
            "POST /p HTTP/1.1\r\n" + host +
                "X-One: 1\r\nContent-Type: application/json\r\n"
                "Content-Length: 2\r\n\r\n");
}

/// A request that is larger than the socket's buffers is sent whole.
TEST_F(HttpClientOddHeadTest, ALargeRequestIsSentWhole) {
  const std::string body(std::size_t{16} * 1024 * 1024, 'b');
  Begin({.method = "POST",
         .target = "/p",
         .body = body,
         .timeout = Millis(10000)});
  Accept();
  boost::asio::streambuf buffer;
  std::size_t size = 0;
  while (size < body.size()) {
    std::optional<std::size_t> read;
    socket_.async_read_some(
        buffer.prepare(std::size_t{1} << 20),
        [&](const boost::system::error_code&, std::size_t n) { read = n; });
    while (!read) context_.run_one();
    ASSERT_GT(*read, 0U);
    buffer.commit(*read);
    size = buffer.size();
    const std::string_view text(static_cast<const char*>(buffer.data().data()),
                                size);
    const std::size_t end = text.find("\r\n\r\n");
    size = end == std::string_view::npos ? 0 : size - end - 4;
  }
  EXPECT_EQ(size, body.size());
  Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
  EXPECT_EQ(Await().outcome, CallOutcome::kAnswered);
}

/// A server that stops in the middle of its answer must not hold the call.
TEST_F(HttpClientOddHeadTest, APartOfAnAnswerDoesNotExtendTheTimeout) {
  Begin({.method = "GET", .target = "/", .timeout = Millis(30)});
  Accept();
  ReadHead();
  Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n012");
  EXPECT_EQ(Await().outcome, CallOutcome::kLost);
}

/// The timer of an earlier call must not end a later one on its connection,
/// nor delay the end of one with a shorter timeout.
TEST_F(HttpClientOddHeadTest, EachCallOfAConnectionHasItsOwnTimeout) {
  // The first ones are answered at once.
  const std::vector<Millis> timeouts = {Millis(1000), Millis(20000),
                                        Millis(1200)};
  std::chrono::steady_clock::time_point begun;
  for (std::size_t i = 0; i < timeouts.size(); ++i) {
    begun = std::chrono::steady_clock::now();
    Begin({.method = "GET", .target = "/", .timeout = timeouts[i]});
    if (i == 0) Accept();
    ReadHead();
    if (i + 1 == timeouts.size()) break;
    Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    ASSERT_EQ(Await().outcome, CallOutcome::kAnswered);
  }
  EXPECT_EQ(Await().outcome, CallOutcome::kLost);
  const std::chrono::steady_clock::duration took =
      std::chrono::steady_clock::now() - begun;
  EXPECT_GE(took, timeouts.back());
  EXPECT_LT(took, timeouts[1]);
}

}  // namespace
}  // namespace basilusher
