// Log sink on log4cplus.
#include "basilusher/Support/Log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

namespace basilusher {
namespace {

log4cplus::SharedAppenderPtr MakeAppender(const LogOptions& options) {
  if (options.file.empty()) {
    return log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                       /*immediateFlush=*/true));
  }
  return log4cplus::SharedAppenderPtr(
      new log4cplus::FileAppender(options.file, std::ios_base::app));
}

class Log4cplusSink : public LogSink {
 public:
  explicit Log4cplusSink(const LogOptions& options)
      : logger_(log4cplus::Logger::getInstance("basilusher")) {
    log4cplus::SharedAppenderPtr appender = MakeAppender(options);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    logger_.addAppender(appender);
    logger_.setLogLevel(log4cplus::ALL_LOG_LEVEL);
  }

  void Write(LogLevel, const std::string& line) override {
    logger_.forcedLog(log4cplus::INFO_LOG_LEVEL, line);
  }

 private:
  log4cplus::Initializer initializer_;
  log4cplus::Logger logger_;
};

}  // namespace

void OpenLog(const LogOptions& options) {
  OpenLogOn(options.process, options.level,
            std::make_unique<Log4cplusSink>(options));
}

}  // namespace basilusher
