// Guards against heads of responses that are read otherwise than by the
// library's parser.
#include <gtest/gtest.h>

#include "ResponseHead.h"
// The property library's bridge needs the test library first.
#include <rapidcheck/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <string>

namespace basilusher {
namespace {

namespace http = boost::beast::http;

std::string AnyOf(const std::vector<std::string>& texts) {
  return texts[static_cast<std::size_t>(
      *rc::gen::inRange(0, static_cast<int>(texts.size())))];
}

std::string AnyHead() {
  std::string head =
      AnyOf({"HTTP/1.1 200 OK", "HTTP/1.1 409 Conflict", "HTTP/1.1 503 ",
             "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.1 204 No Content",
             "HTTP/1.1 304 x", "HTTP/1.1 100 Continue", "HTTP/1.1 99 x",
             "HTTP/1.1 999 x", "HTTP/2 200 OK"}) +
      "\r\n";
  for (int n = *rc::gen::inRange(0, 5); n > 0; --n) {
    head += AnyOf({"Content-Length: 5",
                   "content-length:5",
                   "Content-Length: 0",
                   "Content-Length:  5",
                   "Content-Length: 5 ",
                   "Content-Length: -5",
                   "Content-Length: 123456789012",
                   "Content-Length: 5, 5",
                   "Connection: close",
                   "Connection: Keep-Alive",
                   "Connection: close, x",
                   "Connection: upgrade",
                   "Transfer-Encoding: chunked",
                   "Upgrade: websocket",
                   "Proxy-Connection: close",
                   "Content-Type: application/json",
                   "Date: today, 12:00",
                   "X-Empty:",
                   "X-Empty: ",
                   "X Bad: 1",
                   ": 1",
                   "No-Colon",
                   " folded",
                   "X-Tab:\t1",
                   "X-Byte: \xff",
                   "X-Bell: \a"}) +
            AnyOf({"\r\n", "\r\n", "\r\n", "\r\n", "\r\n", "\n"});
  }
  head += AnyOf({"\r\n", "\r\n", "\r\n", "", "\n"});
  if (*rc::gen::inRange(0, 4) == 0 && !head.empty()) {
    const std::size_t at = static_cast<std::size_t>(
        *rc::gen::inRange(0, static_cast<int>(head.size())));
    head[at] = *rc::gen::element('\r', '\n', ':', ' ', '\0', '\x7f', 'H', '1');
  }
  return head;
}

RC_GTEST_PROP(ResponseHead, AUsualHeadIsReadAsByTheLibrary, ()) {
  for (int i = 0; i < 20; ++i) {
    const std::string text = AnyHead();
    const std::optional<ResponseHead> head = ReadUsualHead(text);
    if (!head) continue;
    RC_LOG() << text;
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::beast::error_code ec;
    const std::string message = text + std::string(head->content_length, 'b');
    const std::size_t n = parser.put(boost::asio::buffer(message), ec);
    RC_ASSERT(!ec);
    RC_ASSERT(parser.is_done());
    RC_ASSERT(n == head->bytes + head->content_length);
    RC_ASSERT(static_cast<int>(parser.get().result_int()) == head->status);
    RC_ASSERT(parser.get().keep_alive() == head->keep_alive);
  }
}

/// Guards against a reader that leaves every head to the library.
TEST(ResponseHead, HeadsOfTheFleetAreUsual) {
  const std::string text =
      "HTTP/1.1 409 Conflict\r\nContent-Type: application/json\r\n"
      "Content-Length: 17\r\nConnection: close\r\n\r\n";
  const std::optional<ResponseHead> head = ReadUsualHead(text + "{\"Reason\"");
  ASSERT_TRUE(head.has_value());
  EXPECT_EQ(head->status, 409);
  EXPECT_EQ(head->bytes, text.size());
  EXPECT_EQ(head->content_length, 17U);
  EXPECT_FALSE(head->keep_alive);
}

TEST(ResponseHead, UnusualHeadsAreLeftToTheLibrary) {
  for (const char* text :
       {"", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 100 x\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\nContent-Length: 5\n\n"}) {
    EXPECT_FALSE(ReadUsualHead(text).has_value()) << text;
  }
}

}  // namespace
}  // namespace basilusher
