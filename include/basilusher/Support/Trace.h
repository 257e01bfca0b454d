// W3C trace context: parsing, writing and child spans.
#ifndef BASILUSHER_SUPPORT_TRACE_H_
#define BASILUSHER_SUPPORT_TRACE_H_

#include <optional>
#include <string>
#include <string_view>

#include "basilusher/Support/Random.h"

namespace basilusher {

/// Identity of one hop within one trace.
struct TraceContext {
  /// 32 lower-case hexadecimal digits, not all zero.
  std::string trace_id;
  /// 16 lower-case hexadecimal digits, not all zero.
  std::string span_id;
  bool sampled = true;

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

/// Reads a traceparent header of version 00; nothing if it is malformed, as the
/// recommendation asks (a new trace is then begun). Thread-safe.
std::optional<TraceContext> ParseTraceparent(std::string_view header);

/// Writes `context` as a traceparent header. Thread-safe.
std::string FormatTraceparent(const TraceContext& context);

/// A new trace with a first span.
TraceContext BeginTrace(Random* random);

/// A span within the trace of `parent`.
TraceContext ChildOf(const TraceContext& parent, Random* random);

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_TRACE_H_
