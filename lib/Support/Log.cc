// JSON lines to the open sink.
#include "basilusher/Support/Log.h"

#include <array>
#include <memory>

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/EnumTable.h"
#include "basilusher/Support/JsonText.h"

namespace basilusher {
namespace {

constexpr EnumTable<LogLevel, 5> kLevelNames = {{
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kNotice, "notice"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
}};

/// More fields than any line has; a line with more is written by a document.
constexpr std::size_t kMaxFields = 32;

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

/// Fields of a line, in the order of their names. Of equal names the first one
/// added is kept.
class SortedFields {
 public:
  void Add(const LogField& field) {
    std::size_t at = size_;
    while (at > 0 && field.Name() < rows_[at - 1]->Name()) --at;
    if (at > 0 && rows_[at - 1]->Name() == field.Name()) return;
    for (std::size_t i = size_; i > at; --i) rows_[i] = rows_[i - 1];
    rows_[at] = &field;
    ++size_;
  }

  /// Writes the fields as an object.
  void Write(std::string* out) const {
    out->push_back('{');
    for (std::size_t i = 0; i < size_; ++i) {
      if (i > 0) out->push_back(',');
      AppendJsonStringLossy(out, rows_[i]->Name());
      out->push_back(':');
      rows_[i]->AppendValue(out);
    }
    out->push_back('}');
  }

 private:
  std::array<const LogField*, kMaxFields> rows_;
  std::size_t size_ = 0;
};

}  // namespace

void LogField::AppendValue(std::string* out) const {
  switch (kind_) {
    case Kind::kBool:
      out->append(integer_ != 0 ? "true" : "false");
      return;
    case Kind::kSigned:
      AppendJsonNumber(out, integer_);
      return;
    case Kind::kUnsigned:
      AppendJsonNumber(out, unsigned_);
      return;
    case Kind::kFloat:
      out->append(Json(float_).dump());
      return;
    case Kind::kText:
      AppendJsonStringLossy(out, text_);
      return;
    case Kind::kDocument:
      out->append(DumpLossy(*document_));
      return;
  }
}

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

void LogEvent(LogLevel level, std::string_view event,
              std::initializer_list<LogField> fields) {
  if (!LogsAt(level)) return;
  OpenedLog* log = TheLog().get();
  const std::array<LogField, 4> standard = {
      {{"event", event},
       {"level", NameOf(kLevelNames, level)},
       {"process", log->process},
       {"time", WallMicros()}}};
  if (fields.size() + standard.size() > kMaxFields) {
    Json document = Json::object();
    for (const LogField& field : fields) {
      std::string value;
      field.AppendValue(&value);
      document.emplace(field.Name(), Json::parse(value));
    }
    LogEvent(level, event, document);
    return;
  }
  SortedFields sorted;
  for (const LogField& field : standard) sorted.Add(field);
  for (const LogField& field : fields) sorted.Add(field);
  static thread_local std::string line;
  line.clear();
  sorted.Write(&line);
  log->sink->Write(level, line);
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
