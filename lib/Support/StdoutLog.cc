// Log sink on standard output that never blocks.
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/Json.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// A write of at most this size to a pipe that is ready never blocks (POSIX
/// PIPE_BUF on Linux).
constexpr std::size_t kAtomicWrite = 4096;
/// Lines kept while the reader is slow.
constexpr std::size_t kMaxBuffered = std::size_t{64} * 1024;
/// Informational lines beyond this rate are left out; far above a busy node's.
constexpr int kMaxInfoPerSecond = 2000;

class StdoutSink : public LogSink {
 public:
  explicit StdoutSink(std::string process) : process_(std::move(process)) {}

  void Write(LogLevel level, const std::string& line) override {
    const std::chrono::seconds now =
        std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::steady_clock::now().time_since_epoch());
    if (now != second_) {
      second_ = now;
      infos_ = 0;
      ReportOmitted();
    }
    const bool sampled = level <= LogLevel::kInfo;
    const bool over_rate = sampled && ++infos_ > kMaxInfoPerSecond;
    // Half of the buffer is kept for summaries and lines of failures.
    const std::size_t room = sampled ? kMaxBuffered / 2 : kMaxBuffered;
    if (over_rate || buffer_.size() + line.size() + 1 > room) {
      ++(sampled ? omitted_infos_ : omitted_others_);
      ++omitted_;
      return;
    }
    buffer_ += line;
    buffer_ += '\n';
    if (buffer_.size() >= kAtomicWrite) Flush();
  }

  void Flush() override {
    std::size_t begin = 0;
    while (begin < buffer_.size() && Ready()) {
      const std::size_t size = std::min(kAtomicWrite, buffer_.size() - begin);
      const ssize_t n = write(STDOUT_FILENO, buffer_.data() + begin, size);
      if (n <= 0) break;
      begin += static_cast<std::size_t>(n);
    }
    buffer_.erase(0, begin);
  }

  std::int64_t Omitted() const override { return omitted_; }

 private:
  static bool Ready() {
    pollfd descriptor = {.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
  }

  void ReportOmitted() {
    const std::int64_t count = omitted_infos_ + omitted_others_;
    if (count == 0) return;
    const Json fields = {{"event", "log-lines-omitted"},
                         {"level", "warning"},
                         {"process", process_},
                         {"time", WallMicros()},
                         {"count", count},
                         {"infos", omitted_infos_}};
    const std::string line = DumpLossy(fields);
    // While the reader does not read, the lines are counted on.
    if (buffer_.size() + line.size() + 1 > kMaxBuffered) return;
    buffer_ += line;
    buffer_ += '\n';
    omitted_infos_ = 0;
    omitted_others_ = 0;
  }

  std::string process_;
  std::string buffer_;
  std::chrono::seconds second_{0};
  int infos_ = 0;
  /// Lines left out since they were last reported: informational ones, and
  /// others.
  std::int64_t omitted_infos_ = 0;
  std::int64_t omitted_others_ = 0;
  /// All lines left out.
  std::int64_t omitted_ = 0;
};

}  // namespace

void OpenStdoutLog(const std::string& process) {
  OpenLogOn(process, LogLevel::kInfo, std::make_unique<StdoutSink>(process));
}

}  // namespace basilusher
