// JSON lines to the open sink.
#include "basilusher/Support/Log.h"

#include <memory>

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/EnumTable.h"

namespace basilusher {
namespace {

constexpr EnumTable<LogLevel, 5> kLevelNames = {{
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kNotice, "notice"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
}};

/// The open log; null until it is opened.
struct OpenedLog {
  std::unique_ptr<LogSink> sink;
  std::string process;
  LogLevel level = LogLevel::kInfo;
};

std::unique_ptr<OpenedLog>& TheLog() {
  static std::unique_ptr<OpenedLog> log;
  return log;
}

}  // namespace

void OpenLogOn(const std::string& process, LogLevel level,
               std::unique_ptr<LogSink> sink) {
  std::unique_ptr<OpenedLog> log = std::make_unique<OpenedLog>();
  log->sink = std::move(sink);
  log->process = process;
  log->level = level;
  TheLog() = std::move(log);
}

void FlushLog() {
  if (TheLog() != nullptr) TheLog()->sink->Flush();
}

std::int64_t OmittedLogLines() {
  return TheLog() == nullptr ? 0 : TheLog()->sink->Omitted();
}

void CloseLog() {
  FlushLog();
  TheLog().reset();
}

bool LogsAt(LogLevel level) {
  const OpenedLog* log = TheLog().get();
  return log != nullptr && level >= log->level;
}

void LogEvent(LogLevel level, std::string_view event, const Json& fields) {
  if (!LogsAt(level)) return;
  OpenedLog* log = TheLog().get();
  Json line = fields;
  line["time"] = WallMicros();
  line["level"] = NameOf(kLevelNames, level);
  line["event"] = event;
  line["process"] = log->process;
  log->sink->Write(level, DumpLossy(line));
}

void LogSpan(const Span& span) {
  Json fields = span.attributes;
  fields["trace"] = span.context.trace_id;
  fields["span"] = span.context.span_id;
  fields["parent"] = span.parent_id;
  fields["name"] = span.name;
  fields["start"] = span.start_micros;
  fields["end"] = span.end_micros;
  LogEvent(LogLevel::kInfo, "span", fields);
}

}  // namespace basilusher
