// Counters and gauges of the process, shown at /metrics.
#ifndef BASILUSHER_SUPPORT_COUNTERS_H_
#define BASILUSHER_SUPPORT_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace basilusher {

/// Named 64-bit counters. All methods are thread-safe.
class Counters {
 public:
  using Cell = std::atomic<std::int64_t>;

  /// The cell called `name`, made on first use; valid as long as this object.
  Cell* Get(std::string_view name);
  /// Adds `n` to the counter called `name`.
  void Add(std::string_view name, std::int64_t n = 1);
  /// Sets the gauge called `name`.
  void Set(std::string_view name, std::int64_t value);
  /// Adds `value` to the histogram called `name`: one cell for each upper
  /// bound, cumulative, and NAME_count and NAME_sum.
  void Observe(std::string_view name, std::int64_t value);
  /// Current value of `name`; zero if it was never used.
  std::int64_t Value(std::string_view name) const;
  /// All cells, one "name value" line each, in order of name.
  std::string Render() const;

 private:
  /// Upper bounds of a histogram in milliseconds, from a local answer to a job
  /// that is hopelessly late.
  static constexpr std::array<std::int64_t, 12> kBounds = {
      5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000};

  /// Cells of a histogram, looked up by name once.
  struct Histogram {
    /// By bound; null until a value was within it.
    std::array<Cell*, kBounds.size()> buckets = {};
    Cell* count = nullptr;
    Cell* sum = nullptr;
  };

  /// As Get, with the mutex held.
  Cell* Find(std::string_view name);

  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Cell>, std::less<>> cells_;
  std::map<std::string, Histogram, std::less<>> histograms_;
};

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_COUNTERS_H_
