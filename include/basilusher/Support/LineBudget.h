// Bounds how many log lines of one kind are written in a second.
#ifndef BASILUSHER_SUPPORT_LINEBUDGET_H_
#define BASILUSHER_SUPPORT_LINEBUDGET_H_

#include <cstdint>

#include "basilusher/Support/Clock.h"

namespace basilusher {

/// Not thread-safe.
class LineBudget {
 public:
  /// `lines` in each second.
  explicit LineBudget(int lines) : lines_(lines) {}

  /// True if a line may be written at `now`; otherwise it is counted.
  bool Take(TimePoint now) {
    if (now - second_began_ >= Millis(1000)) {
      second_began_ = now;
      taken_ = 0;
    }
    if (taken_ >= lines_) {
      ++omitted_;
      return false;
    }
    ++taken_;
    return true;
  }

  /// Lines left out since the last call of this method.
  std::int64_t TakeOmitted() {
    const std::int64_t n = omitted_;
    omitted_ = 0;
    return n;
  }

 private:
  int lines_;
  int taken_ = 0;
  std::int64_t omitted_ = 0;
  TimePoint second_began_{};
};

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_LINEBUDGET_H_
