// W3C trace context, version 00.
#include "basilusher/Support/Trace.h"

namespace basilusher {
namespace {

constexpr std::size_t kTraceDigits = 32;
constexpr std::size_t kSpanDigits = 16;
constexpr std::size_t kHeaderBytes = 55;

bool IsLowerHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool IsAllZero(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  if (header.size() != kHeaderBytes || header.substr(0, 3) != "00-") {
    return std::nullopt;
  }
  const std::string_view trace = header.substr(3, kTraceDigits);
  const std::string_view span = header.substr(36, kSpanDigits);
  const std::string_view flags = header.substr(53, 2);
  if (header[35] != '-' || header[52] != '-') return std::nullopt;
  if (!IsLowerHex(trace) || !IsLowerHex(span) || !IsLowerHex(flags)) {
    return std::nullopt;
  }
  if (IsAllZero(trace) || IsAllZero(span)) return std::nullopt;
  const bool sampled = std::stoi(std::string(flags), nullptr, 16) % 2 == 1;
  return TraceContext{.trace_id = std::string(trace),
                      .span_id = std::string(span),
                      .sampled = sampled};
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + context.trace_id + "-" + context.span_id +
         (context.sampled ? "-01" : "-00");
}

TraceContext BeginTrace(Random* random) {
  return {.trace_id = RandomHex(random, kTraceDigits),
          .span_id = RandomHex(random, kSpanDigits)};
}

TraceContext ChildOf(const TraceContext& parent, Random* random) {
  TraceContext child = parent;
  child.span_id = RandomHex(random, kSpanDigits);
  return child;
}

}  // namespace basilusher
