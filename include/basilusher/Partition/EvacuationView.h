// What a node knows of the operators' requests to evacuate data centres, and
// how old that knowledge is.
#ifndef BASILUSHER_PARTITION_EVACUATIONVIEW_H_
#define BASILUSHER_PARTITION_EVACUATIONVIEW_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/Counters.h"

namespace basilusher {

/// Data centres on whose workers nothing may be started. One for each node: the
/// watch of the operators' keys writes it, the owners of all terms of the node
/// read it, so that an owner knows of a request when its term begins. Not
/// thread-safe: I/O thread only.
class EvacuationView {
 public:
  /// `clock` must outlive the view, as must `counters`, which may be null.
  EvacuationView(const Clock* clock, Counters* counters)
      : clock_(clock), counters_(counters) {}

  /// `fresh_at` returns the time up to which all acknowledged changes of the
  /// operators' keys are known, and zero before the keys have been read.
  void Follow(std::function<TimePoint()> fresh_at) {
    fresh_at_ = std::move(fresh_at);
  }
  /// Turns the feature on: a view of this age or older is stale. Nothing turns
  /// it off; requests are kept meanwhile and have no effect.
  void SetMaxAge(std::optional<Millis> max_age);

  /// The request is stored at `revision`. Its `value` is not interpreted; one
  /// that is no empty object is logged once for each data centre.
  void Begin(const std::string& data_centre, const std::string& value,
             std::int64_t revision);
  /// The request is gone; `revision` is zero if a list did not show it.
  void End(const std::string& data_centre, std::int64_t revision);
  /// The key is none of a request. Logged once for each key.
  void NoteInvalid(const std::string& key, const std::string& problem);

  /// True if nothing may be started on the workers of the data centre. False
  /// while the feature is off.
  bool Evacuated(const std::string& data_centre) const {
    return max_age_.has_value() && requests_.contains(data_centre);
  }
  /// The data centres for which Evacuated() holds.
  std::set<std::string> All() const;
  /// True if the keys have not been read, or if the view had reached its
  /// maximum age when the store last answered, `silence` ago. False while the
  /// feature is off.
  bool IsStale(Millis silence) const;
  /// Age of the view; nothing before the keys have been read.
  std::optional<Millis> Age() const;

 private:
  void Log(const std::string& data_centre, bool begun,
           std::int64_t revision) const;
  void SetGauge() const;
  /// Remembers `what`. Returns true if it is new and may be logged.
  bool IsFirst(const std::string& what);

  const Clock* clock_;
  Counters* counters_;
  std::function<TimePoint()> fresh_at_;
  std::optional<Millis> max_age_;
  /// Revision of each data centre's request.
  std::map<std::string, std::int64_t> requests_;
  /// Keys and values that have been logged as unexpected.
  std::set<std::string> logged_;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_EVACUATIONVIEW_H_
