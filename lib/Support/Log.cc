// JSON lines through log4cplus.
#include "basilusher/Support/Log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/EnumTable.h"

namespace basilusher {
namespace {

constexpr EnumTable<LogLevel, 4> kLevelNames = {{
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
}};

/// The open log; null until OpenLog.
struct OpenedLog {
  log4cplus::Initializer initializer;
  log4cplus::Logger logger;
  std::string process;
  LogLevel level = LogLevel::kInfo;
};

std::unique_ptr<OpenedLog>& TheLog() {
  static std::unique_ptr<OpenedLog> log;
  return log;
}

log4cplus::SharedAppenderPtr MakeAppender(const LogOptions& options) {
  if (options.file.empty()) {
    return log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                       /*immediateFlush=*/true));
  }
  return log4cplus::SharedAppenderPtr(
      new log4cplus::FileAppender(options.file, std::ios_base::app));
}

}  // namespace

void OpenLog(const LogOptions& options) {
  std::unique_ptr<OpenedLog> log = std::make_unique<OpenedLog>();
  log->logger = log4cplus::Logger::getInstance("basilusher");
  log->process = options.process;
  log->level = options.level;
  log4cplus::SharedAppenderPtr appender = MakeAppender(options);
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  log->logger.addAppender(appender);
  log->logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
  TheLog() = std::move(log);
}

void CloseLog() { TheLog().reset(); }

void LogEvent(LogLevel level, std::string_view event, const Json& fields) {
  OpenedLog* log = TheLog().get();
  if (log == nullptr || level < log->level) return;
  Json line = fields;
  line["time"] = WallMicros();
  line["level"] = NameOf(kLevelNames, level);
  line["event"] = event;
  line["process"] = log->process;
  log->logger.forcedLog(
      log4cplus::INFO_LOG_LEVEL,
      line.dump(-1, ' ', false, Json::error_handler_t::replace));
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
