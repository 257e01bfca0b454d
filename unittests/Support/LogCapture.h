// Keeps the lines of the log, so that tests can read what is logged.
#ifndef BASILUSHER_UNITTESTS_SUPPORT_LOGCAPTURE_H_
#define BASILUSHER_UNITTESTS_SUPPORT_LOGCAPTURE_H_

#include <memory>
#include <string>
#include <vector>

#include "basilusher/Support/Json.h"
#include "basilusher/Support/Log.h"

namespace basilusher {

/// The log is open on it as long as it lives. One at a time; one thread.
class LogCapture {
 public:
  LogCapture() {
    OpenLogOn("test", LogLevel::kInfo, std::make_unique<Sink>(&lines_));
  }
  ~LogCapture() { CloseLog(); }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  /// The fields of all lines of `event` so far.
  std::vector<Json> Lines(const std::string& event) const {
    std::vector<Json> found;
    for (const std::string& line : lines_) {
      Json fields = Json::parse(line);
      if (fields.at("event") == event) found.push_back(std::move(fields));
    }
    return found;
  }

 private:
  class Sink : public LogSink {
   public:
    explicit Sink(std::vector<std::string>* lines) : lines_(lines) {}
    void Write(LogLevel, const std::string& line) override {
      lines_->push_back(line);
    }

   private:
    std::vector<std::string>* lines_;
  };

  std::vector<std::string> lines_;
};

}  // namespace basilusher

#endif  // BASILUSHER_UNITTESTS_SUPPORT_LOGCAPTURE_H_
