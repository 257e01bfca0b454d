// Counters and gauges of the process, shown at /metrics.
#ifndef BASILUSHER_SUPPORT_COUNTERS_H_
#define BASILUSHER_SUPPORT_COUNTERS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace basilusher {

/// Named 64-bit counters. All methods are thread-safe.
class Counters {
 public:
  using Cell = std::atomic<std::int64_t>;

  /// The cell called `name`, made on first use; valid as long as this object.
  Cell* Get(const std::string& name);
  /// Adds `n` to the counter called `name`.
  void Add(const std::string& name, std::int64_t n = 1);
  /// Sets the gauge called `name`.
  void Set(const std::string& name, std::int64_t value);
  /// Adds `value` to the histogram called `name`: one cell for each upper
  /// bound, cumulative, and NAME_count and NAME_sum.
  void Observe(const std::string& name, std::int64_t value);
  /// Current value of `name`; zero if it was never used.
  std::int64_t Value(const std::string& name) const;
  /// All cells, one "name value" line each, in order of name.
  std::string Render() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Cell>> cells_;
};

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_COUNTERS_H_
