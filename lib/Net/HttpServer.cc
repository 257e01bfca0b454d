// HTTP server sessions on Boost.Beast.
#include "basilusher/Net/HttpServer.h"

#include <strings.h>

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <optional>

#include "IoLoopImpl.h"
#include "basilusher/Support/Error.h"

namespace basilusher {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusHeadersTooLarge = 431;
constexpr int kStatusUnavailable = 503;
/// Bodies leave the budget within the time of a request.
constexpr int kRetryAfterSeconds = 1;
constexpr int kListenBacklog = 1024;
/// Connections accepted in one turn of the event loop.
constexpr int kAcceptBatch = 64;
constexpr Millis kAcceptRetryDelay{50};  // after running out of descriptors

bool EqualIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

std::string_view HttpRequest::Header(std::string_view name) const {
  for (const HttpHeader& header : headers) {
    if (EqualIgnoreCase(header.first, name)) return header.second;
  }
  return {};
}

struct HttpServer::Shared {
  Shared(IoLoop* loop, HttpServerOptions opts, HttpHandler on_request)
      : context(loop->Get()->context),
        acceptor(context),
        retry(context),
        options(std::move(opts)),
        handler(std::move(on_request)) {
    if (options.budget == nullptr) {
      options.budget = std::make_shared<ClientBudget>(ClientBudgetOptions{},
                                                      &clock, nullptr);
    }
  }

  asio::io_context& context;
  Tcp::acceptor acceptor;
  asio::steady_timer retry;
  SteadyClock clock;
  HttpServerOptions options;
  HttpHandler handler;
  /// In order of their last change of phase.
  std::list<Session*> sessions;
  /// Sessions that are not closed.
  std::size_t open = 0;
  std::size_t in_progress = 0;
  bool draining = false;
  bool stopped = false;
};

class HttpServer::Session
    : public ClientBudget::Holder,
      public std::enable_shared_from_this<HttpServer::Session> {
 public:
  /// What the connection waits for.
  enum class Phase { kResting, kReading, kHandling, kWriting, kClosed };

  Session(std::shared_ptr<Shared> shared, Tcp::socket socket)
      : shared_(std::move(shared)),
        stream_(std::move(socket)),
        place_(shared_->sessions.insert(shared_->sessions.end(), this)) {
    ++shared_->open;
  }

  ~Session() override {
    if (phase_ != Phase::kClosed) --shared_->open;
    shared_->options.budget->Release(this);
    shared_->sessions.erase(place_);
  }

  Phase InPhase() const { return phase_; }

  void Read() {
    const HttpServerOptions& options = shared_->options;
    extension_bytes_ = 0;
    head_bytes_ = 0;
    head_seen_ = false;
    small_ = true;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(options.max_header_bytes));
    parser_->body_limit(options.max_body_bytes);
    parser_->on_chunk_header(chunk_header_);
    if (buffer_.size() > 0) {
      BeginRequest();
      return Parse();
    }
    buffer_ = beast::flat_buffer();
    Enter(Phase::kResting);
    // The age of what it holds begins anew, else a connection that has served
    // requests for hours would be closed first.
    shared_->options.budget->Release(this);
    if (!Hold(ClientBudget::Use::kSmall)) return CloseFor(ClientLimit::kMemory);
    stream_.expires_after(options.idle_timeout);
    stream_.async_read_some(
        buffer_.prepare(kFirstRead),
        [self = shared_from_this()](beast::error_code ec, std::size_t n) {
          // Closed for another one after its bytes had come.
          if (self->phase_ == Phase::kClosed) return;
          if (ec) return self->Close();
          self->buffer_.commit(n);
          self->BeginRequest();
          self->Parse();
        });
  }

  void CloseIfResting() {
    if (phase_ == Phase::kResting) Close();
  }

  bool CloseForBudget() override {
    if (phase_ == Phase::kHandling || phase_ == Phase::kClosed) return false;
    Close();
    return true;
  }

  void Close() {
    if (phase_ == Phase::kClosed) return;
    --shared_->open;
    Enter(Phase::kClosed);
    beast::error_code ec;
    stream_.socket().shutdown(Tcp::socket::shutdown_both, ec);
    stream_.close();
  }

 private:
  static constexpr std::size_t kFirstRead = 2048;
  static constexpr std::size_t kReadSize = std::size_t{16} * 1024;
  /// A connection's own memory: socket, timers, parser and first buffer.
  static constexpr std::size_t kConnectionBytes = 4096;
  /// Memory of a field of a head beside its text, in the parser and in the
  /// request.
  static constexpr std::size_t kFieldBytes = 160;
  /// Bodies up to this size count as small requests.
  static constexpr std::size_t kSmallBody = 4096;

  void Enter(Phase phase) {
    phase_ = phase;
    shared_->sessions.splice(shared_->sessions.end(), shared_->sessions,
                             place_);
  }

  /// One deadline for the whole head, however its bytes arrive; OnHead() sets
  /// that of the body.
  void BeginRequest() {
    Enter(Phase::kReading);
    stream_.expires_after(shared_->options.read_timeout);
  }

  bool Hold(ClientBudget::Use use) {
    std::size_t bytes = kConnectionBytes + buffer_.capacity() + head_bytes_;
    if (parser_) {
      const std::size_t capacity = parser_->get().body().capacity();
      bytes += std::max(capacity, expected_body_);
    }
    return shared_->options.budget->Hold(this, bytes, use);
  }

  /// Gives the parser what has arrived.
  void Parse() {
    while (buffer_.size() > 0 && !parser_->is_done()) {
      beast::error_code ec;
      const std::size_t n = parser_->put(buffer_.data(), ec);
      buffer_.consume(n);
      if (ec == http::error::need_more) break;
      if (ec) return OnMalformed(ec);
      if (parser_->is_header_done() && !head_seen_ && !OnHead()) return;
    }
    if (parser_->is_done()) return Handle();
    if (!Hold(small_ ? ClientBudget::Use::kSmall : ClientBudget::Use::kBody)) {
      return RefuseForMemory();
    }
    ReadMore();
  }

  void ReadMore() {
    const std::size_t limit = shared_->options.max_header_bytes;
    // What the parser has left is one head, one chunk's size line or the
    // trailers, none of which is whole yet.
    if (buffer_.size() >= limit) {
      return Refuse(kStatusHeadersTooLarge,
                    head_seen_ ? ClientLimit::kFraming : ClientLimit::kHead);
    }
    const std::size_t room =
        head_seen_ && buffer_.size() == 0
            ? kReadSize
            : std::min(std::max(kFirstRead, buffer_.size()),
                       limit - buffer_.size());
    stream_.async_read_some(
        buffer_.prepare(room),
        [self = shared_from_this()](beast::error_code ec, std::size_t n) {
          if (self->phase_ == Phase::kClosed) return;
          if (ec == beast::error::timeout) {
            return self->CloseFor(ClientLimit::kRequestTime);
          }
          if (ec) return self->Close();
          self->buffer_.commit(n);
          self->Parse();
        });
  }

  void OnMalformed(beast::error_code ec) {
    if (ec == http::error::body_limit) {
      return Refuse(kStatusTooLarge, ClientLimit::kBody);
    }
    if (ec == http::error::header_limit) {
      return Refuse(kStatusHeadersTooLarge,
                    head_seen_ ? ClientLimit::kFraming : ClientLimit::kHead);
    }
    Respond({.status = kStatusBadRequest, .body = {}}, false);
  }

  /// Takes the head into account, and a body whose size it tells. False if the
  /// request is rejected.
  bool OnHead() {
    head_seen_ = true;
    if (!FieldsWithinLimits()) {
      Refuse(kStatusHeadersTooLarge, ClientLimit::kHead);
      return false;
    }
    expected_body_ =
        static_cast<std::size_t>(parser_->content_length().value_or(0));
    small_ = expected_body_ <= kSmallBody && !parser_->chunked();
    // The time limit of heads says nothing about a body that arrives slowly.
    if (!parser_->is_done()) {
      stream_.expires_after(shared_->options.idle_timeout);
    }
    return true;
  }

  /// Also counts the memory of the fields. Trailers are fields too once the
  /// request is whole.
  bool FieldsWithinLimits() {
    std::size_t fields = 0;
    std::size_t text = extension_bytes_;
    for (const auto& field : parser_->get()) {
      ++fields;
      text += field.name_string().size() + field.value().size();
    }
    head_bytes_ = text + fields * kFieldBytes;
    return fields <= shared_->options.max_header_fields &&
           text <= shared_->options.max_header_bytes;
  }

  void Handle() {
    if (parser_->chunked() && !FieldsWithinLimits()) {
      return Refuse(kStatusHeadersTooLarge, ClientLimit::kFraming);
    }
    http::request<http::string_body> message = parser_->release();
    keep_alive_ = message.keep_alive();
    HttpRequest request;
    request.method = message.method_string().to_string();
    request.target = message.target().to_string();
    for (const auto& field : message) {
      request.headers.emplace_back(field.name_string().to_string(),
                                   field.value().to_string());
    }
    request.body = std::move(message.body());
    expected_body_ = std::max(expected_body_, request.body.capacity());
    if (!Hold(small_ ? ClientBudget::Use::kSmall : ClientBudget::Use::kBody)) {
      return RefuseForMemory();
    }
    Enter(Phase::kHandling);
    ++shared_->in_progress;
    stream_.expires_never();
    shared_->handler(std::move(request),
                     [self = shared_from_this()](HttpResponse response) {
                       --self->shared_->in_progress;
                       self->Respond(std::move(response), self->keep_alive_);
                     });
  }

  void Refuse(int status, ClientLimit reason) {
    shared_->options.budget->NoteLimit(reason);
    Respond({.status = status, .body = {}}, false);
  }

  /// The request has not reached its handler: it never takes effect.
  void RefuseForMemory() {
    shared_->options.budget->NoteLimit(ClientLimit::kMemory);
    Respond({.status = kStatusUnavailable,
             .body = {},
             .retry_after_s = kRetryAfterSeconds},
            false);
  }

  void CloseFor(ClientLimit reason) {
    shared_->options.budget->NoteLimit(reason);
    Close();
  }

  void Respond(HttpResponse response, bool keep_alive) {
    keep_alive_ = keep_alive && !shared_->draining;
    parser_.reset();
    expected_body_ = 0;
    response_.emplace();
    response_->version(11);
    response_->result(static_cast<unsigned int>(response.status));
    response_->keep_alive(keep_alive_);
    if (!response.body.empty()) {
      response_->set(http::field::content_type, "application/json");
    }
    if (response.retry_after_s > 0) {
      response_->set(http::field::retry_after,
                     std::to_string(response.retry_after_s));
    }
    response_->body() = std::move(response.body);
    response_->prepare_payload();
    Enter(Phase::kWriting);
    const std::size_t bytes =
        kConnectionBytes + buffer_.capacity() + response_->body().capacity();
    const ClientBudget::Use use = response_->body().size() <= kSmallBody
                                      ? ClientBudget::Use::kSmall
                                      : ClientBudget::Use::kResponse;
    // A small answer is sent in any case: its request may have taken effect.
    if (!shared_->options.budget->Hold(this, bytes, use) &&
        use != ClientBudget::Use::kSmall) {
      return CloseFor(ClientLimit::kMemory);
    }
    stream_.expires_after(shared_->options.write_timeout);
    http::async_write(
        stream_, *response_,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          self->response_.reset();
          if (self->phase_ == Phase::kClosed) return;
          if (ec == beast::error::timeout) {
            return self->CloseFor(ClientLimit::kResponseTime);
          }
          if (ec || !self->keep_alive_) return self->Close();
          self->Read();
        });
  }

  std::shared_ptr<Shared> shared_;
  beast::tcp_stream stream_;
  std::list<Session*>::iterator place_;
  Phase phase_ = Phase::kResting;
  beast::flat_buffer buffer_;
  /// Called by the parser, which keeps a reference to it.
  std::function<void(std::uint64_t, beast::string_view, beast::error_code&)>
      chunk_header_ = [this](std::uint64_t, beast::string_view extension,
                             beast::error_code& ec) {
        extension_bytes_ += extension.size();
        if (extension_bytes_ > shared_->options.max_header_bytes) {
          ec = http::error::header_limit;
        }
      };
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<http::response<http::string_body>> response_;
  /// Memory of the parsed head.
  std::size_t head_bytes_ = 0;
  /// Size of the body as its head tells; memory of it once it is whole.
  std::size_t expected_body_ = 0;
  std::size_t extension_bytes_ = 0;
  bool head_seen_ = false;
  bool small_ = true;
  bool keep_alive_ = true;
};

namespace {

/// Closes the connection that has rested for longest or, if none rests, whose
/// request has been incomplete for longest. False if there is neither.
template <typename Shared, typename Session>
bool CloseOldest(const std::shared_ptr<Shared>& shared) {
  for (const typename Session::Phase phase :
       {Session::Phase::kResting, Session::Phase::kReading}) {
    for (Session* session : shared->sessions) {
      if (session->InPhase() != phase) continue;
      session->Close();
      return true;
    }
  }
  return false;
}

template <typename Shared, typename Session>
void Serve(const std::shared_ptr<Shared>& shared, Tcp::socket socket) {
  if (shared->open >= shared->options.max_connections) {
    shared->options.budget->NoteLimit(ClientLimit::kConnections);
    if (!CloseOldest<Shared, Session>(shared)) return;
  }
  TuneSocket(&socket);
  std::make_shared<Session>(shared, std::move(socket))->Read();
}

template <typename Shared, typename Session>
void Accept(const std::shared_ptr<Shared>& shared) {
  shared->acceptor.async_accept(
      [shared](beast::error_code ec, Tcp::socket socket) {
        if (shared->stopped) return;
        if (ec) {
          // Out of descriptors: the next connection waits in the backlog.
          shared->retry.expires_after(kAcceptRetryDelay);
          shared->retry.async_wait([shared](beast::error_code) {
            if (!shared->stopped) Accept<Shared, Session>(shared);
          });
          return;
        }
        Serve<Shared, Session>(shared, std::move(socket));
        // On a busy loop a connection a turn would leave callers in the
        // backlog until they give up.
        for (int i = 1; i < kAcceptBatch; ++i) {
          Tcp::socket next(shared->context);
          shared->acceptor.accept(next, ec);
          if (ec) break;
          Serve<Shared, Session>(shared, std::move(next));
        }
        Accept<Shared, Session>(shared);
      });
}

}  // namespace

HttpServer::HttpServer(IoLoop* loop, HttpServerOptions options,
                       HttpHandler handler)
    : shared_(std::make_shared<Shared>(loop, std::move(options),
                                       std::move(handler))) {
  const Tcp::endpoint endpoint = ParseEndpoint(shared_->options.address);
  beast::error_code ec;
  shared_->acceptor.open(endpoint.protocol(), ec);
  if (!ec) shared_->acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  if (!ec) shared_->acceptor.bind(endpoint, ec);
  if (!ec) shared_->acceptor.listen(kListenBacklog, ec);
  if (!ec) shared_->acceptor.non_blocking(true, ec);
  if (ec) {
    throw Error(
        ResultCode::kTransportFailed,
        "cannot listen on " + shared_->options.address + ": " + ec.message());
  }
  Accept<Shared, Session>(shared_);
}

HttpServer::~HttpServer() { StopAccepting(); }

void HttpServer::SetLimits(std::size_t max_header_bytes,
                           std::size_t max_body_bytes, Millis read_timeout,
                           Millis idle_timeout) {
  shared_->options.max_header_bytes = max_header_bytes;
  shared_->options.max_body_bytes = max_body_bytes;
  shared_->options.read_timeout = read_timeout;
  shared_->options.write_timeout = read_timeout;
  shared_->options.idle_timeout = idle_timeout;
}

void HttpServer::BeginDrain() { shared_->draining = true; }

void HttpServer::StopAccepting() {
  if (shared_->stopped) return;
  shared_->stopped = true;
  beast::error_code ec;
  shared_->acceptor.close(ec);
  const std::list<Session*> sessions = shared_->sessions;
  for (Session* session : sessions) session->CloseIfResting();
}

std::size_t HttpServer::InProgress() const { return shared_->in_progress; }

}  // namespace basilusher
