// HTTP client connections on Boost.Beast.
#include "basilusher/Net/HttpClient.h"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <optional>

#include "IoLoopImpl.h"
#include "basilusher/Support/Error.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

/// True if the peer has closed the idle connection or sent bytes unasked.
bool IsStale(Tcp::socket* socket) {
  char byte = 0;
  const ssize_t n =
      recv(socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return !(n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

}  // namespace

struct HttpClient::Shared {
  explicit Shared(IoLoop* loop, HttpClientOptions opts)
      : context(loop->Get()->context), options(opts) {}

  struct Waiting {
    HttpCall call;
    HttpCallback done;
    std::chrono::steady_clock::time_point called_at;
    std::chrono::steady_clock::time_point deadline;
  };
  struct Pool {
    std::vector<std::shared_ptr<Connection>> idle;
    std::deque<Waiting> waiting;
    std::size_t open = 0;
  };

  asio::io_context& context;
  HttpClientOptions options;
  std::map<std::string, Pool> pools;
  bool closed = false;
};

class HttpClient::Connection
    : public std::enable_shared_from_this<HttpClient::Connection> {
 public:
  Connection(std::shared_ptr<Shared> shared, std::string address)
      : shared_(std::move(shared)),
        address_(std::move(address)),
        stream_(shared_->context) {}

  bool Usable() {
    return std::chrono::steady_clock::now() - idle_since_ <
               shared_->options.idle_timeout &&
           !IsStale(&stream_.socket());
  }

  void CloseIdle() { stream_.close(); }

  void Begin(Shared::Waiting job, bool connected) {
    done_ = std::move(job.done);
    deadline_ = job.deadline;
    called_at_ = job.called_at;
    begun_at_ = std::chrono::steady_clock::now();
    bytes_read_ = 0;
    reads_ = 0;
    sent_ = false;
    request_.emplace();
    request_->version(11);
    request_->method_string(job.call.method);
    request_->target(job.call.target);
    request_->set(http::field::host, address_);
    for (const HttpHeader& header : job.call.headers) {
      request_->set(header.first, header.second);
    }
    if (!job.call.body.empty()) {
      request_->set(http::field::content_type, "application/json");
    }
    request_->body() = std::move(job.call.body);
    request_->prepare_payload();
    stream_.expires_at(deadline_);
    if (connected) return Write();
    Tcp::endpoint endpoint;
    try {
      endpoint = ParseEndpoint(address_);
    } catch (const Error&) {
      // An address that names nothing cannot be reached: nothing was sent.
      asio::post(shared_->context, [self = shared_from_this()] {
        self->Finish({.outcome = CallOutcome::kNotSent}, false, false);
      });
      return;
    }
    stream_.async_connect(endpoint, [self = shared_from_this()](
                                        beast::error_code ec) {
      if (ec) {
        return self->Finish({.outcome = CallOutcome::kNotSent}, false,
                            ec == beast::error::timeout);
      }
      TuneSocket(&self->stream_.socket());
      if (std::chrono::steady_clock::now() >= self->deadline_) {
        // On a late loop this comes before the timeout of the stream.
        return self->Finish({.outcome = CallOutcome::kNotSent}, true, false);
      }
      self->Write();
    });
  }

 private:
  void Write() {
    sent_ = true;
    http::async_write(
        stream_, *request_,
        [self = shared_from_this()](beast::error_code ec, std::size_t n) {
          if (ec) {
            const CallOutcome outcome =
                n == 0 ? CallOutcome::kNotSent : CallOutcome::kLost;
            return self->Finish({.outcome = outcome}, false,
                                ec == beast::error::timeout);
          }
          self->Read();
        });
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(shared_->options.max_body_bytes);
    parser_->eager(true);
    buffer_.max_size(kLargestRead + kMaxUnparsed);
    read_size_ = kFirstRead;
    ReadSome();
  }

  void ReadSome() {
    // The library reads as much as the buffer has room for.
    buffer_.reserve(buffer_.size() + read_size_);
    http::async_read_some(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code ec, std::size_t n) {
          self->bytes_read_ += n;
          ++self->reads_;
          self->OnRead(ec);
        });
  }

  void OnRead(beast::error_code ec) {
    if (ec == http::error::buffer_overflow) {
      LogEvent(LogLevel::kWarning, "answer-beyond-limits",
               {{"address", address_}, {"max_bytes", kMaxUnparsed}});
    }
    if (ec) {
      return Finish({.outcome = CallOutcome::kLost}, false,
                    ec == beast::error::timeout);
    }
    if (!parser_->is_done()) {
      read_size_ = std::min(read_size_ * 2, kLargestRead);
      return ReadSome();
    }
    http::response<http::string_body> message = parser_->release();
    // Bytes beyond the answer would be taken for the next one.
    const bool keep = message.keep_alive() && buffer_.size() == 0;
    Finish({.outcome = CallOutcome::kAnswered,
            .status = static_cast<int>(message.result_int()),
            .body = std::move(message.body())},
           keep, false);
  }

  /// A call that ends this long after its deadline shows that the loop, or the
  /// way of the answer, is slow.
  void LogIfOverdue(const HttpAnswer& answer, bool timed_out) {
    const std::chrono::steady_clock::time_point now =
        std::chrono::steady_clock::now();
    if (now < deadline_ + kOverdue) return;
    const auto millis = [](std::chrono::steady_clock::duration d) {
      return std::chrono::duration_cast<Millis>(d).count();
    };
    LogEvent(LogLevel::kWarning, "call-overdue",
             {{"address", address_},
              {"target", request_ ? request_->target().to_string() : ""},
              {"took_ms", millis(now - called_at_)},
              {"waited_ms", millis(begun_at_ - called_at_)},
              {"timeout_ms", millis(deadline_ - called_at_)},
              {"bytes", bytes_read_},
              {"reads", reads_},
              {"answered", answer.outcome == CallOutcome::kAnswered},
              {"timed_out", timed_out}});
  }

  void Finish(HttpAnswer answer, bool reusable, bool timed_out) {
    const std::shared_ptr<Connection> self = shared_from_this();
    LogIfOverdue(answer, timed_out);
    request_.reset();
    parser_.reset();
    const HttpCallback done = std::move(done_);
    done_ = nullptr;
    Shared::Pool& pool = shared_->pools[address_];
    if (timed_out) {
      for (const std::shared_ptr<Connection>& it : pool.idle) {
        it->CloseIdle();
        --pool.open;
      }
      pool.idle.clear();
    }
    if (reusable && !shared_->closed) {
      stream_.expires_never();
      idle_since_ = std::chrono::steady_clock::now();
      if (buffer_.capacity() > kKeptBuffer) buffer_ = beast::flat_buffer();
      pool.idle.push_back(self);
    } else {
      stream_.close();
      --pool.open;
    }
    if (!shared_->closed) StartNext(shared_, address_);
    if (done) done(answer);
  }

 public:
  /// Gives waiting calls connections while the pool's bound allows it.
  static void StartNext(const std::shared_ptr<Shared>& shared,
                        const std::string& address) {
    Shared::Pool& pool = shared->pools[address];
    while (!pool.waiting.empty()) {
      if (pool.waiting.front().deadline <= std::chrono::steady_clock::now()) {
        // Sent now, it would be carried out after its caller gave it up.
        asio::post(shared->context,
                   [done = std::move(pool.waiting.front().done)] {
                     if (done) done({.outcome = CallOutcome::kNotSent});
                   });
        pool.waiting.pop_front();
        continue;
      }
      std::shared_ptr<Connection> connection;
      while (connection == nullptr && !pool.idle.empty()) {
        connection = pool.idle.back();
        pool.idle.pop_back();
        if (!connection->Usable()) {
          connection->CloseIdle();
          --pool.open;
          connection = nullptr;
        }
      }
      const bool connected = connection != nullptr;
      if (!connected) {
        if (pool.open >= shared->options.max_connections_per_address) return;
        connection = std::make_shared<Connection>(shared, address);
        ++pool.open;
      }
      Shared::Waiting job = std::move(pool.waiting.front());
      pool.waiting.pop_front();
      connection->Begin(std::move(job), connected);
    }
  }

 private:
  /// Read buffers above this are given back when a connection rests.
  static constexpr std::size_t kKeptBuffer = 4096;
  static constexpr Millis kOverdue{500};
  /// A long answer takes a turn of the event loop for each read, so reads grow.
  static constexpr std::size_t kFirstRead = 2048;
  static constexpr std::size_t kLargestRead = std::size_t{64} * 1024;
  /// Room beside one read for what the parser can't take yet: one chunk's
  /// extensions or the trailers, which the library does not bound.
  static constexpr std::size_t kMaxUnparsed = std::size_t{16} * 1024;

  std::shared_ptr<Shared> shared_;
  std::string address_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<http::request<http::string_body>> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  HttpCallback done_;
  bool sent_ = false;
  std::chrono::steady_clock::time_point called_at_;
  /// When the call got its connection.
  std::chrono::steady_clock::time_point begun_at_;
  std::chrono::steady_clock::time_point deadline_;
  std::size_t bytes_read_ = 0;
  std::size_t read_size_ = kFirstRead;
  int reads_ = 0;
  std::chrono::steady_clock::time_point idle_since_;
};

HttpClient::HttpClient(IoLoop* loop, HttpClientOptions options)
    : shared_(std::make_shared<Shared>(loop, options)) {}

HttpClient::~HttpClient() { shared_->closed = true; }

void HttpClient::Call(const std::string& address, HttpCall call,
                      HttpCallback done) {
  const std::chrono::steady_clock::time_point now =
      std::chrono::steady_clock::now();
  const std::chrono::steady_clock::time_point deadline = now + call.timeout;
  shared_->pools[address].waiting.push_back(
      {std::move(call), std::move(done), now, deadline});
  Connection::StartNext(shared_, address);
}

void HttpClient::Forget(const std::string& address) {
  const auto it = shared_->pools.find(address);
  if (it == shared_->pools.end()) return;
  for (const std::shared_ptr<Connection>& connection : it->second.idle) {
    connection->CloseIdle();
    --it->second.open;
  }
  it->second.idle.clear();
  if (it->second.open == 0 && it->second.waiting.empty()) {
    shared_->pools.erase(it);
  }
}

}  // namespace basilusher
