// HTTP client connections on Boost.Beast.
#include "basilusher/Net/HttpClient.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "IoLoopImpl.h"
#include "ResponseHead.h"
#include "basilusher/Support/Error.h"
#include "basilusher/Support/LineBudget.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

/// Lines a second about answers that were cut off.
constexpr int kMaxCutOffLines = 10;

Millis Since(std::chrono::steady_clock::time_point begin) {
  return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() -
                                            begin);
}

/// True if the peer has closed the idle connection or sent bytes unasked.
bool IsStale(Tcp::socket* socket) {
  char byte = 0;
  const ssize_t n =
      recv(socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return !(n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

/// Methods whose requests state the length of an empty body.
bool StatesEmptyBody(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "OPTIONS";
}

void AppendField(std::string* out, std::string_view name,
                 std::string_view value) {
  out->append(name).append(": ").append(value).append("\r\n");
}

/// Writes the head of `call` to `address` into `out`, whose room is reused.
void WriteHead(const HttpCall& call, const std::string& address,
               std::string* out) {
  out->assign(call.method).append(" ").append(call.target);
  out->append(" HTTP/1.1\r\n");
  AppendField(out, "Host", address);
  for (const HttpHeader& header : call.headers) {
    AppendField(out, header.first, header.second);
  }
  if (!call.body.empty()) {
    AppendField(out, "Content-Type", "application/json");
  }
  if (!call.body.empty() || StatesEmptyBody(call.method)) {
    AppendField(out, "Content-Length", std::to_string(call.body.size()));
  }
  out->append("\r\n");
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
    std::string address;
    std::vector<std::shared_ptr<Connection>> idle;
    std::deque<Waiting> waiting;
    std::size_t open = 0;
  };

  asio::io_context& context;
  HttpClientOptions options;
  /// Connections and waiting calls keep a pointer to their pool; one that has
  /// either is not erased.
  std::unordered_map<std::string, Pool> pools;
  LineBudget cut_off_lines{kMaxCutOffLines};
  bool closed = false;
};

class HttpClient::Connection
    : public std::enable_shared_from_this<HttpClient::Connection> {
 public:
  Connection(std::shared_ptr<Shared> shared, Shared::Pool* pool)
      : shared_(std::move(shared)),
        pool_(pool),
        address_(pool->address),
        socket_(shared_->context),
        deadline_timer_(shared_->context) {}

  bool Usable() {
    return std::chrono::steady_clock::now() - idle_since_ <
               shared_->options.idle_timeout &&
           !IsStale(&socket_);
  }

  void CloseIdle() { Close(); }

  void Begin(Shared::Waiting job, bool connected) {
    done_ = std::move(job.done);
    deadline_ = job.deadline;
    called_at_ = job.called_at;
    begun_at_ = std::chrono::steady_clock::now();
    bytes_read_ = 0;
    reads_ = 0;
    reads_at_deadline_ = 0;
    body_bytes_ = 0;
    timed_out_ = false;
    WriteHead(job.call, address_, &request_head_);
    request_body_ = std::move(job.call.body);
    target_ = std::move(job.call.target);
    long_answer_ = std::move(job.call.long_answer);
    in_call_ = true;
    ArmDeadline();
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
    socket_.async_connect(endpoint, [self = shared_from_this()](
                                        beast::error_code ec) {
      if (ec) {
        return self->Finish({.outcome = CallOutcome::kNotSent}, false,
                            self->timed_out_);
      }
      TuneSocket(&self->socket_);
      self->socket_.non_blocking(true, ec);
      if (std::chrono::steady_clock::now() >= self->deadline_) {
        // On a late loop this comes before the timer.
        return self->Finish({.outcome = CallOutcome::kNotSent}, true, false);
      }
      self->Write();
    });
  }

 private:
  void Close() {
    beast::error_code ec;
    socket_.close(ec);
  }

  /// Arms the timer of the call's deadline. It stays armed when the call has
  /// ended, so that a busy connection sets it once for many calls.
  void ArmDeadline() {
    if (deadline_armed_ && deadline_timer_.expiry() <= deadline_) return;
    deadline_armed_ = true;
    deadline_timer_.expires_at(deadline_);
    deadline_timer_.async_wait(
        [self = shared_from_this()](beast::error_code ec) {
          if (!ec) self->OnDeadlineTimer();
        });
  }

  void OnDeadlineTimer() {
    deadline_armed_ = false;
    if (!in_call_) return;
    if (std::chrono::steady_clock::now() < deadline_) return ArmDeadline();
    if (reads_ != reads_at_deadline_) {
      // Bytes that have come are read to the end: the call times out after a
      // turn of the loop without any.
      reads_at_deadline_ = reads_;
      return ArmDeadline();
    }
    timed_out_ = true;
    Close();
  }

  /// A part of the answer has come. Extends the deadline of a long one.
  void OnProgress() {
    if (!long_answer_) return;
    deadline_ = std::max(
        deadline_,
        std::min(std::chrono::steady_clock::now() + long_answer_->stall_timeout,
                 called_at_ + long_answer_->max_duration));
    if (long_answer_->on_progress) long_answer_->on_progress();
  }

  void Write() {
    const std::size_t size = request_head_.size() + request_body_.size();
    const std::array<asio::const_buffer, 2> parts = {
        asio::buffer(request_head_), asio::buffer(request_body_)};
    beast::error_code ec;
    // Mostly the socket takes the whole request at once.
    const std::size_t n = socket_.write_some(parts, ec);
    if (!ec && n == size) return Read();
    if (ec && ec != asio::error::would_block) {
      asio::post(shared_->context, [self = shared_from_this()] {
        self->Finish({.outcome = CallOutcome::kNotSent}, false,
                     self->timed_out_);
      });
      return;
    }
    WriteRest(n);
  }

  /// Sends what is left of the request after its first `sent` bytes.
  void WriteRest(std::size_t sent) {
    request_head_ += request_body_;
    request_body_.clear();
    asio::async_write(
        socket_, asio::buffer(request_head_) + sent,
        [self = shared_from_this(), sent](beast::error_code ec, std::size_t n) {
          if (ec) {
            const CallOutcome outcome =
                sent + n == 0 ? CallOutcome::kNotSent : CallOutcome::kLost;
            return self->Finish({.outcome = outcome}, false, self->timed_out_);
          }
          self->Read();
        });
  }

  void Read() {
    read_size_ = kFirstRead;
    socket_.async_read_some(
        buffer_.prepare(read_size_),
        [self = shared_from_this()](beast::error_code ec, std::size_t n) {
          self->buffer_.commit(n);
          self->bytes_read_ += n;
          ++self->reads_;
          self->OnFirstRead(ec);
        });
  }

  void OnFirstRead(beast::error_code ec) {
    if (ec) {
      return Finish({.outcome = CallOutcome::kLost}, false, timed_out_);
    }
    const asio::const_buffer bytes = buffer_.data();
    const std::optional<ResponseHead> head =
        ReadUsualHead({static_cast<const char*>(bytes.data()), bytes.size()});
    if (!head) return BeginParser();
    body_bytes_ = head->content_length;
    if (body_bytes_ > shared_->options.max_body_bytes) {
      return Finish({.outcome = CallOutcome::kLost, .beyond_limits = true},
                    false, timed_out_);
    }
    buffer_.consume(head->bytes);
    status_ = head->status;
    keep_alive_ = head->keep_alive;
    body_left_ = head->content_length;
    TakeBody();
  }

  /// Moves what the buffer holds of the body to it; reads on if more is due.
  void TakeBody() {
    const asio::const_buffer bytes = buffer_.data();
    const std::size_t n = std::min(bytes.size(), body_left_);
    body_.append(static_cast<const char*>(bytes.data()), n);
    buffer_.consume(n);
    body_left_ -= n;
    if (body_left_ == 0) {
      // Bytes beyond the answer would be taken for the next one.
      const bool keep = keep_alive_ && buffer_.size() == 0;
      return Finish({.outcome = CallOutcome::kAnswered,
                     .status = status_,
                     .body = std::move(body_)},
                    keep, false);
    }
    OnProgress();
    read_size_ = std::min(read_size_ * 2, kLargestRead);
    socket_.async_read_some(
        buffer_.prepare(read_size_),
        [self = shared_from_this()](beast::error_code ec, std::size_t read) {
          self->buffer_.commit(read);
          self->bytes_read_ += read;
          ++self->reads_;
          if (ec) {
            return self->Finish({.outcome = CallOutcome::kLost}, false,
                                self->timed_out_);
          }
          self->TakeBody();
        });
  }

  /// Reads an unusual answer, whose first bytes are in the buffer, with the
  /// library's parser.
  void BeginParser() {
    parser_.emplace();
    parser_->body_limit(shared_->options.max_body_bytes);
    parser_->eager(true);
    // The library reports the bytes that are in the buffer as read again.
    bytes_read_ -= buffer_.size();
    buffer_.max_size(kLargestRead + kMaxUnparsed);
    ReadSome();
  }

  void ReadSome() {
    // The library reads as much as the buffer has room for.
    buffer_.reserve(buffer_.size() + read_size_);
    http::async_read_some(
        socket_, buffer_, *parser_,
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
      return Finish({.outcome = CallOutcome::kLost,
                     .beyond_limits = ec == http::error::body_limit},
                    false, timed_out_);
    }
    if (!parser_->is_done()) {
      OnProgress();
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
              {"target", target_},
              {"took_ms", millis(now - called_at_)},
              {"waited_ms", millis(begun_at_ - called_at_)},
              {"timeout_ms", millis(deadline_ - called_at_)},
              {"bytes", bytes_read_},
              {"reads", reads_},
              {"answered", answer.outcome == CallOutcome::kAnswered},
              {"timed_out", timed_out}});
  }

  /// A part of the answer came: the other side works, and the way from it, or
  /// the time that the call had, did not suffice.
  void LogIfCutOff(const HttpAnswer& answer) {
    if (answer.outcome == CallOutcome::kAnswered || bytes_read_ == 0) return;
    LineBudget& lines = shared_->cut_off_lines;
    if (!lines.Take(std::chrono::time_point_cast<Millis>(
            std::chrono::steady_clock::now()))) {
      return;
    }
    LogEvent(
        LogLevel::kWarning, "answer-cut-off",
        {{"address", address_},
         {"target", target_},
         {"bytes", bytes_read_},
         {"body_bytes", body_bytes_},
         {"took_ms", Since(called_at_).count()},
         {"waited_ms",
          std::chrono::duration_cast<Millis>(begun_at_ - called_at_).count()},
         {"timed_out", timed_out_},
         {"omitted", lines.TakeOmitted()}});
  }

  void Finish(HttpAnswer answer, bool reusable, bool timed_out) {
    const std::shared_ptr<Connection> self = shared_from_this();
    LogIfOverdue(answer, timed_out);
    LogIfCutOff(answer);
    in_call_ = false;
    parser_.reset();
    request_body_ = std::string();
    body_ = std::string();
    long_answer_.reset();
    const HttpCallback done = std::move(done_);
    done_ = nullptr;
    Shared::Pool& pool = *pool_;
    if (timed_out) {
      for (const std::shared_ptr<Connection>& it : pool.idle) {
        it->CloseIdle();
        --pool.open;
      }
      pool.idle.clear();
    }
    // The timer closes the connection of a call whose last read has ended, but
    // whose handler is yet to run.
    if (reusable && !timed_out_ && !shared_->closed) {
      idle_since_ = std::chrono::steady_clock::now();
      if (buffer_.capacity() > kKeptBuffer) buffer_ = beast::flat_buffer();
      pool.idle.push_back(self);
    } else {
      Close();
      // The timer may keep this connection for a while.
      buffer_ = beast::flat_buffer();
      --pool.open;
    }
    if (!shared_->closed) StartNext(shared_, &pool);
    if (done) done(answer);
  }

 public:
  /// Gives waiting calls connections while the pool's bound allows it.
  static void StartNext(const std::shared_ptr<Shared>& shared,
                        Shared::Pool* waiting_pool) {
    Shared::Pool& pool = *waiting_pool;
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
        connection = std::make_shared<Connection>(shared, &pool);
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
  Shared::Pool* pool_;
  std::string address_;
  Tcp::socket socket_;
  asio::steady_timer deadline_timer_;
  bool deadline_armed_ = false;
  beast::flat_buffer buffer_;
  bool in_call_ = false;
  /// The call's timeout has closed the connection.
  bool timed_out_ = false;
  std::string request_head_;
  std::string request_body_;
  std::string target_;
  std::optional<LongAnswer> long_answer_;
  /// Of an answer with a usual head; others are in `parser_`.
  int status_ = 0;
  bool keep_alive_ = false;
  /// Length of the whole body; zero until its head has been read.
  std::size_t body_bytes_ = 0;
  std::size_t body_left_ = 0;
  std::string body_;
  std::optional<http::response_parser<http::string_body>> parser_;
  HttpCallback done_;
  std::chrono::steady_clock::time_point called_at_;
  /// When the call got its connection.
  std::chrono::steady_clock::time_point begun_at_;
  std::chrono::steady_clock::time_point deadline_;
  std::size_t bytes_read_ = 0;
  std::size_t read_size_ = kFirstRead;
  int reads_ = 0;
  /// Reads until the deadline's timer last ran.
  int reads_at_deadline_ = 0;
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
  Shared::Pool& pool = shared_->pools[address];
  if (pool.address.empty()) pool.address = address;
  pool.waiting.push_back({std::move(call), std::move(done), now, deadline});
  Connection::StartNext(shared_, &pool);
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
