// Clients outside the limits: the budget, and any bytes in any split.
#include <gtest/gtest.h>

#include <array>
#include <boost/asio/write.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "TestLoop.h"
#include "basilusher/Net/ClientBudget.h"
#include "basilusher/Net/HttpServer.h"

namespace basilusher {
namespace {

using Tcp = boost::asio::ip::tcp;

constexpr std::uint32_t kFirstSeed = 20261206;
constexpr int kSeeds = 150;
constexpr int kConnections = 12;
constexpr int kMostPieces = 40;
constexpr std::size_t kBudgetBytes = std::size_t{256} * 1024;
constexpr std::size_t kHeadBytes = 2048;
constexpr std::size_t kBodyBytes = std::size_t{64} * 1024;

class FakeClock : public Clock {
 public:
  TimePoint Now() const override { return now; }
  TimePoint now{Millis(1000)};
};

class FakeHolder : public ClientBudget::Holder {
 public:
  bool CloseForBudget() override {
    if (busy) return false;
    closed = true;
    return true;
  }
  bool busy = false;
  bool closed = false;
};

class ClientBudgetTest : public testing::Test {
 protected:
  FakeClock clock_;
  Counters counters_;
  ClientBudget budget_{
      {.max_bytes = 1000, .reserved_bytes = 200}, &clock_, &counters_};
  FakeHolder first_;
  FakeHolder second_;
  FakeHolder third_;
};

/// A body that took the reserved part would leave no room for small requests.
TEST_F(ClientBudgetTest, BodiesLeaveThePartThatIsReservedForSmallRequests) {
  EXPECT_TRUE(budget_.Hold(&first_, 800, ClientBudget::Use::kBody));
  EXPECT_FALSE(budget_.Hold(&second_, 1, ClientBudget::Use::kBody));
  EXPECT_TRUE(budget_.Hold(&second_, 200, ClientBudget::Use::kSmall));
  EXPECT_FALSE(first_.closed);
}

/// Without this, many small connections would keep ordinary clients out.
TEST_F(ClientBudgetTest, TheConnectionThatHeldMostForLongestIsClosed) {
  ASSERT_TRUE(budget_.Hold(&first_, 400, ClientBudget::Use::kBody));
  clock_.now += Millis(5000);
  ASSERT_TRUE(budget_.Hold(&second_, 400, ClientBudget::Use::kBody));
  EXPECT_TRUE(budget_.Hold(&third_, 300, ClientBudget::Use::kSmall));
  EXPECT_TRUE(first_.closed);
  EXPECT_FALSE(second_.closed);
  EXPECT_EQ(counters_.Value("clients_limited_total{reason=\"held-most\"}"), 1);
  budget_.Release(&first_);
  EXPECT_EQ(budget_.HeldBytes(), 700u);
}

/// A request that a handler works on may take effect: it must be answered.
TEST_F(ClientBudgetTest, ARequestInItsHandlerIsNotClosed) {
  first_.busy = true;
  ASSERT_TRUE(budget_.Hold(&first_, 900, ClientBudget::Use::kSmall));
  EXPECT_FALSE(budget_.Hold(&second_, 200, ClientBudget::Use::kSmall));
  EXPECT_FALSE(first_.closed);
  EXPECT_EQ(budget_.HeldBytes(), 900u);
}

/// The memory of a closed connection is free a turn of the loop later; large
/// responses of one turn would pile up meanwhile.
TEST_F(ClientBudgetTest, ALargeResponseWaitsForWhatClosedConnectionsHold) {
  ASSERT_TRUE(budget_.Hold(&first_, 900, ClientBudget::Use::kResponse));
  EXPECT_FALSE(budget_.Hold(&second_, 900, ClientBudget::Use::kResponse));
  EXPECT_TRUE(first_.closed);
  budget_.Release(&first_);
  EXPECT_TRUE(budget_.Hold(&second_, 900, ClientBudget::Use::kResponse));
}

/// A connection that has served requests for long would be taken for the one
/// that has held most for longest.
TEST_F(ClientBudgetTest, AnOldConnectionIsNotClosedBeforeAnIncompleteBody) {
  IoLoop loop;
  const std::string address = FreeAddress(&loop);
  const std::shared_ptr<ClientBudget> budget = std::make_shared<ClientBudget>(
      ClientBudgetOptions{.max_bytes = 100000, .reserved_bytes = 20000},
      &clock_, &counters_);
  int served = 0;
  HttpServer server(
      &loop, {.address = address, .budget = budget},
      [&served](const HttpRequest&, const HttpResponder& respond) {
        ++served;
        respond({.body = "{}"});
      });
  const auto call = [&](Tcp::socket* socket, const std::string& text,
                        int goal) {
    boost::asio::write(*socket, boost::asio::buffer(text));
    const std::size_t held = budget->HeldBytes();
    while (served < goal || (goal == served && text.size() > 100 &&
                             budget->HeldBytes() == held)) {
      loop.Get()->context.run_one();
    }
    loop.Get()->context.poll();
  };
  Tcp::socket ordinary(loop.Get()->context);
  Tcp::socket large(loop.Get()->context);
  ordinary.connect(ParseEndpoint(address));
  call(&ordinary, "GET / HTTP/1.1\r\nHost: node\r\n\r\n", 1);
  clock_.now += Millis(3600000);
  call(&ordinary, "GET / HTTP/1.1\r\nHost: node\r\n\r\n", 2);
  large.connect(ParseEndpoint(address));
  call(&large,
       "POST / HTTP/1.1\r\nHost: node\r\nContent-Length: 60000\r\n\r\n" +
           std::string(1000, 'x'),
       2);
  clock_.now += Millis(1000);
  EXPECT_TRUE(budget->Hold(&first_, 38000, ClientBudget::Use::kSmall));
  loop.Get()->context.poll();
  // Both answers wait; an end of the connection would come behind them.
  ordinary.non_blocking(true);
  std::array<char, 4096> answers{};
  boost::system::error_code ec;
  while (!ec) ordinary.read_some(boost::asio::buffer(answers), ec);
  EXPECT_EQ(ec, boost::asio::error::would_block);
  budget->Release(&first_);
}

class ReaderFuzzTest : public testing::Test {
 protected:
  ReaderFuzzTest()
      : budget_(std::make_shared<ClientBudget>(
            ClientBudgetOptions{.max_bytes = kBudgetBytes,
                                .reserved_bytes = kBudgetBytes / 4},
            &clock_, &counters_)),
        address_(FreeAddress(&loop_)),
        server_(&loop_,
                {.address = address_,
                 .max_header_bytes = kHeadBytes,
                 .max_body_bytes = kBodyBytes,
                 .budget = budget_},
                [this](const HttpRequest& request, HttpResponder respond) {
                  EXPECT_LE(request.body.size(), kBodyBytes);
                  std::size_t head = 0;
                  for (const HttpHeader& it : request.headers) {
                    head += it.first.size() + it.second.size();
                  }
                  EXPECT_LE(head, kHeadBytes);
                  // Some are answered later than others.
                  if (dice_() % 2 == 0) {
                    pending_.push_back(std::move(respond));
                  } else {
                    respond({.body = std::string(dice_() % 20000, 'x')});
                  }
                }) {}

  void Turn() {
    loop_.Get()->context.restart();
    loop_.Get()->context.poll();
    // Closed connections hold theirs until the next turn.
    EXPECT_LE(budget_->HeldBytes(), kBudgetBytes + kBudgetBytes / 8);
    loop_.Get()->context.restart();
    loop_.Get()->context.poll();
    EXPECT_LE(budget_->HeldBytes(), kBudgetBytes);
  }

  std::string Text(std::size_t most) {
    return std::string(1 + dice_() % most, 'e');
  }

  /// Requests, some of them beyond the limits, with some bytes changed.
  std::string Bytes() {
    std::string out;
    const int requests = 1 + static_cast<int>(dice_() % 3);
    for (int i = 0; i < requests; ++i) {
      out += "POST /offer HTTP/1.1\r\nHost: node\r\n";
      if (dice_() % 4 == 0) out += "X: " + Text(2 * kHeadBytes) + "\r\n";
      if (dice_() % 8 == 0) {
        for (int k = 0; k < 400; ++k) out += "a:b\r\n";
      }
      if (dice_() % 2 == 0) {
        const std::size_t size = dice_() % (kBodyBytes + kBodyBytes / 8);
        out += "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
               std::string(dice_() % 3 == 0 ? size / 2 : size, 'y');
        continue;
      }
      out += "Transfer-Encoding: chunked\r\n\r\n";
      for (std::size_t k = dice_() % 6; k > 0; --k) {
        out += "4";
        if (dice_() % 2 == 0) out += ";a=" + Text(kHeadBytes);
        out += "\r\nbody\r\n";
      }
      out += "0\r\n";
      if (dice_() % 2 == 0) out += "T: " + Text(2 * kHeadBytes) + "\r\n";
      out += "\r\n";
    }
    for (std::size_t k = dice_() % 4; k > 0; --k) {
      out[dice_() % out.size()] = static_cast<char>(dice_());
    }
    return out;
  }

  void Play(std::uint32_t seed) {
    dice_.seed(seed);
    struct Client {
      std::unique_ptr<Tcp::socket> socket;
      std::string bytes;
      std::size_t sent = 0;
    };
    std::vector<Client> clients;
    for (int i = 0; i < kConnections; ++i) {
      Client client{
          .socket = std::make_unique<Tcp::socket>(loop_.Get()->context),
          .bytes = Bytes()};
      client.socket->connect(ParseEndpoint(address_));
      client.socket->non_blocking(true);
      clients.push_back(std::move(client));
    }
    for (int piece = 0; piece < kMostPieces; ++piece) {
      for (Client& it : clients) {
        const std::size_t left = it.bytes.size() - it.sent;
        if (left == 0) continue;
        const std::size_t size =
            piece + 1 == kMostPieces ? left : 1 + dice_() % left;
        boost::system::error_code ec;
        const std::size_t n = it.socket->write_some(
            boost::asio::buffer(it.bytes.data() + it.sent, size), ec);
        if (!ec) it.sent += n;
      }
      Turn();
      if (!pending_.empty() && dice_() % 2 == 0) Answer();
    }
    while (!pending_.empty()) Answer();
    clients.clear();
    // Ends of connections arrive by themselves over loopback.
    for (int i = 0; i < 1000 && budget_->HeldBytes() > 0; ++i) {
      Turn();
      while (!pending_.empty()) Answer();
    }
    EXPECT_EQ(budget_->HeldBytes(), 0u);
  }

  void Answer() {
    const HttpResponder respond = std::move(pending_.back());
    pending_.pop_back();
    respond({.body = std::string(dice_() % 20000, 'x')});
  }

  std::mt19937 dice_;
  SteadyClock clock_;
  Counters counters_;
  IoLoop loop_;
  std::shared_ptr<ClientBudget> budget_;
  std::string address_;
  std::vector<HttpResponder> pending_;
  HttpServer server_;
};

/// Guards against a path of the reader that holds bytes uncounted, leaks what
/// it counted, or breaks on malformed bytes.
TEST_F(ReaderFuzzTest, AnyBytesInAnySplitStayWithinTheBudget) {
  for (int i = 0; i < kSeeds; ++i) {
    SCOPED_TRACE(kFirstSeed + static_cast<std::uint32_t>(i));
    Play(kFirstSeed + static_cast<std::uint32_t>(i));
    if (HasFailure()) return;
  }
  std::int64_t limited = 0;
  for (const auto& [limit, name] : kClientLimitNames) {
    const std::int64_t count = counters_.Value(
        "clients_limited_total{reason=\"" + std::string(name) + "\"}");
    RecordProperty(std::string(name), static_cast<int>(count));
    limited += count;
  }
  EXPECT_GT(limited, 0);
}

}  // namespace
}  // namespace basilusher
