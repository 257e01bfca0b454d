// Structured logs and spans: one JSON object a line, written by log4cplus.
#ifndef BASILUSHER_SUPPORT_LOG_H_
#define BASILUSHER_SUPPORT_LOG_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>

#include "basilusher/Support/Json.h"
#include "basilusher/Support/Trace.h"

namespace basilusher {

enum class LogLevel {
  kDebug,
  /// One line for each decision; sampled where there are many.
  kInfo,
  /// Periodic summaries, which are few: not sampled.
  kNotice,
  kWarning,
  kError,
};

/// Options of the process's log.
struct LogOptions {
  /// Name of the process, in each line as "process".
  std::string process;
  /// File to append to; empty for standard error.
  std::string file;
  LogLevel level = LogLevel::kInfo;
};

/// Where lines go.
class LogSink {
 public:
  virtual ~LogSink() = default;
  /// Takes one line without its newline. Called from any thread.
  virtual void Write(LogLevel level, const std::string& line) = 0;
  /// Writes out what is buffered. Called from any thread.
  virtual void Flush() {}
  /// Number of lines left out so far. Called from any thread.
  virtual std::int64_t Omitted() const { return 0; }
};

/// Opens the log on `sink`. Call once, before threads start.
void OpenLogOn(const std::string& process, LogLevel level,
               std::unique_ptr<LogSink> sink);

/// Opens the log on log4cplus. Call once, before the first line and before
/// threads start.
void OpenLog(const LogOptions& options);

/// Opens the log on standard output, bounded and never blocking: lines beyond
/// the rate or the pipe's room are counted and left out, informational ones
/// first. For programs with one thread. Call once.
void OpenStdoutLog(const std::string& process);

/// Writes out what the sink has buffered. Thread-safe.
void FlushLog();

/// Number of lines that the sink has left out. Thread-safe.
std::int64_t OmittedLogLines();

/// Closes the log and flushes it. Call once, after threads have ended.
void CloseLog();

/// True if a line of this level would be written. Thread-safe.
bool LogsAt(LogLevel level);

/// Values that a LogField holds without a document.
template <typename T>
concept LogScalar = std::integral<T> || std::floating_point<T> ||
    (std::convertible_to<const T&, std::string_view> &&
     !std::same_as<T, Json> && !std::is_null_pointer_v<T>);

/// One field of a log line. It refers to its name and value, so it must not
/// outlive the expression that made it.
class LogField {
 public:
  template <typename T>
  requires LogScalar<T> LogField(std::string_view name, const T& value)
      : name_(name) {
    if constexpr (std::same_as<T, bool>) {
      kind_ = Kind::kBool;
      integer_ = value ? 1 : 0;
    } else if constexpr (std::signed_integral<T>) {
      kind_ = Kind::kSigned;
      integer_ = value;
    } else if constexpr (std::unsigned_integral<T>) {
      kind_ = Kind::kUnsigned;
      unsigned_ = value;
    } else if constexpr (std::floating_point<T>) {
      kind_ = Kind::kFloat;
      float_ = value;
    } else {
      kind_ = Kind::kText;
      text_ = value;
    }
  }
  LogField(std::string_view name, const Json& value)
      : name_(name), kind_(Kind::kDocument), document_(&value) {}

  std::string_view Name() const { return name_; }
  /// Appends the value as DumpLossy writes it.
  void AppendValue(std::string* out) const;

 private:
  enum class Kind { kBool, kSigned, kUnsigned, kFloat, kText, kDocument };

  std::string_view name_;
  Kind kind_;
  std::int64_t integer_ = 0;
  std::uint64_t unsigned_ = 0;
  double float_ = 0;
  std::string_view text_;
  const Json* document_ = nullptr;
};

/// Writes one line with the stable event name `event` and `fields` (an object).
/// Keys, tokens and payloads must not be passed. Does nothing before OpenLog.
/// Thread-safe.
void LogEvent(LogLevel level, std::string_view event, const Json& fields);

/// The same line, written without a document, for a list of names and values in
/// braces. Only values that are lists or containers become documents.
void LogEvent(LogLevel level, std::string_view event,
              std::initializer_list<LogField> fields);

/// One finished hop of a trace.
struct Span {
  TraceContext context;
  std::string parent_id;
  std::string name;
  std::int64_t start_micros = 0;
  std::int64_t end_micros = 0;
  Json attributes = Json::object();
};

/// Writes `span` as a line with event "span". Thread-safe.
void LogSpan(const Span& span);

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_LOG_H_
