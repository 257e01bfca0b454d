// Heads of usual HTTP responses.
#include "ResponseHead.h"

#include <strings.h>

#include <algorithm>

namespace basilusher {
namespace {

constexpr std::string_view kVersion = "HTTP/1.1 ";
constexpr std::string_view kLineEnd = "\r\n";
/// Bytes of "HTTP/1.1 200 ".
constexpr std::size_t kStatusLineBytes = 13;
/// Longest length that is read here; 8 digits are beyond any limit on bodies.
constexpr std::size_t kMaxLengthDigits = 8;
/// Statuses outside these have no body, or are followed by another head.
constexpr int kFirstStatus = 200;
constexpr int kLastStatus = 599;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsNameChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || IsDigit(c) ||
         c == '-';
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

bool EqualIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

/// Reads the status from a status line; zero if the line is unusual.
int ReadStatus(std::string_view line) {
  if (line.size() < kStatusLineBytes || !line.starts_with(kVersion)) return 0;
  const std::string_view digits = line.substr(kVersion.size(), 3);
  if (!std::all_of(digits.begin(), digits.end(), IsDigit)) return 0;
  if (line[kStatusLineBytes - 1] != ' ') return 0;
  if (!IsPrintable(line.substr(kStatusLineBytes))) return 0;
  const int status =
      (digits[0] - '0') * 100 + (digits[1] - '0') * 10 + (digits[2] - '0');
  if (status < kFirstStatus || status > kLastStatus) return 0;
  return status == kNoContent || status == kNotModified ? 0 : status;
}

std::optional<std::size_t> ReadLength(std::string_view digits) {
  if (digits.empty() || digits.size() > kMaxLengthDigits ||
      !std::all_of(digits.begin(), digits.end(), IsDigit)) {
    return std::nullopt;
  }
  std::size_t length = 0;
  for (const char c : digits) {
    length = length * 10 + static_cast<std::size_t>(c - '0');
  }
  return length;
}

/// What the fields of a head state.
struct Fields {
  std::optional<std::size_t> content_length;
  std::optional<bool> keep_alive;
};

/// Reads one field into `fields`; false if it is unusual.
bool ReadField(std::string_view line, Fields* fields) {
  const std::size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos) return false;
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  if (!std::all_of(name.begin(), name.end(), IsNameChar)) return false;
  if (!IsPrintable(value)) return false;
  if (value.starts_with(' ')) value.remove_prefix(1);
  if (EqualIgnoreCase(name, "Content-Length")) {
    if (fields->content_length) return false;
    fields->content_length = ReadLength(value);
    return fields->content_length.has_value();
  }
  if (EqualIgnoreCase(name, "Connection")) {
    const bool keep = EqualIgnoreCase(value, "keep-alive");
    if (fields->keep_alive || (!keep && !EqualIgnoreCase(value, "close"))) {
      return false;
    }
    fields->keep_alive = keep;
    return true;
  }
  return !EqualIgnoreCase(name, "Transfer-Encoding") &&
         !EqualIgnoreCase(name, "Upgrade") &&
         !EqualIgnoreCase(name, "Proxy-Connection");
}

}  // namespace

std::optional<ResponseHead> ReadUsualHead(std::string_view bytes) {
  std::size_t end = bytes.find(kLineEnd);
  if (end == std::string_view::npos) return std::nullopt;
  ResponseHead head;
  head.status = ReadStatus(bytes.substr(0, end));
  if (head.status == 0) return std::nullopt;
  Fields fields;
  for (std::size_t begin = end + kLineEnd.size();;
       begin = end + kLineEnd.size()) {
    end = bytes.find(kLineEnd, begin);
    if (end == std::string_view::npos) return std::nullopt;
    if (end == begin) break;
    if (!ReadField(bytes.substr(begin, end - begin), &fields)) {
      return std::nullopt;
    }
  }
  if (!fields.content_length) return std::nullopt;
  head.bytes = end + kLineEnd.size();
  head.content_length = *fields.content_length;
  head.keep_alive = fields.keep_alive.value_or(true);
  return head;
}

}  // namespace basilusher
