// Account of the places under one team's limit, kept by the team's home.
#ifndef BASILUSHER_CONTROL_PLACELEDGER_H_
#define BASILUSHER_CONTROL_PLACELEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "basilusher/Wire/Messages.h"

namespace basilusher {

/// Holders' ceilings as stored for one term. A term is the period in which one
/// incarnation of an entry is the team's home.
struct PlaceRecord {
  std::string team;
  std::int64_t term = 0;
  PeerId home;
  /// Limit under which the ceilings were recorded.
  int basis = 0;
  /// Upper bound of what was ever granted to each holder, by name (instance and
  /// incarnation). The sum may exceed the limit; the places granted never do.
  std::map<std::string, int> ceilings;
};

void to_json(Json& json, const PlaceRecord& record);
void from_json(const Json& json, PlaceRecord& record);

/// Account of how many places each holder may use; has no side effects.
/// Invariant: the places accounted to all holders add up to at most the limit,
/// unless the limit was lowered or a holder that has not reported in this term
/// is accounted with its recorded ceiling. Not thread-safe.
class PlaceLedger {
 public:
  /// Begins a term: every holder of `record` is accounted with its recorded
  /// ceiling until it reports.
  explicit PlaceLedger(PlaceRecord record);

  const PlaceRecord& Record() const { return record_; }
  /// Notes that a write of `pending` is in flight. Until SetRecord, a holder is
  /// granted at most the lower, and an unreported holder is accounted with the
  /// higher, of its stored and its pending ceiling. Precondition: same term.
  void BeginRecordWrite(PlaceRecord pending);
  /// Sets the record that is in the store, and ends a write in flight.
  /// Precondition: same term.
  void SetRecord(PlaceRecord record);
  /// Sets the limit in force.
  void SetLimit(int limit) { limit_ = limit; }
  int Limit() const { return limit_; }

  /// Applies a holder's report and decides its ceiling. Returns nothing for a
  /// late or duplicated report. Precondition: ask.term is the record's term.
  std::optional<PlaceAnswer> OnAsk(const PeerId& holder, const PlaceAsk& ask);

  /// Holders that should lower their ceiling because others lack places, or the
  /// limit is exceeded. `rotation` decides which holders get the places that
  /// remain after an even split.
  std::vector<std::pair<PeerId, PlaceRecall>> Recalls(
      std::int64_t rotation) const;

  /// Holders that have not reported in this term.
  std::vector<std::string> Unreported() const;
  /// Removes a holder. Precondition: it runs nothing and is barred on all
  /// workers.
  void Remove(const std::string& holder);
  /// Places accounted to all holders.
  int Outstanding() const;
  /// Record that should be stored for the live entries `holders`, of
  /// `entry_count` entries in all. If it differs from Record(), a write is due.
  PlaceRecord DesiredRecord(const std::vector<std::string>& holders,
                            int entry_count = 0) const;

 private:
  struct Holder {
    PeerId peer;
    /// Whether it has reported in this term; the other fields are valid then.
    bool reported = false;
    /// Number of its latest report.
    std::int64_t sequence = -1;
    /// Places granted to it.
    int ceiling = 0;
    /// Limit under which they were granted.
    int basis = 0;
    int in_use = 0;
    /// Ceiling that it asked for.
    int wanted = 0;
  };

  /// Places accounted to a holder under the limit in force.
  int WeightOf(const std::string& name, const Holder& holder) const;
  /// Upper bound of what an unreported holder may use.
  int RecordedCeiling(const std::string& name) const;
  /// Most that may be granted to a holder.
  int GrantCap(const std::string& name) const;
  /// Whether all holders have reported and fit under the limit in force.
  bool IsFullyAccounted() const;

  PlaceRecord record_;
  /// Record of the write in flight, if any.
  std::optional<PlaceRecord> pending_;
  int limit_ = 0;
  std::map<std::string, Holder> holders_;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_PLACELEDGER_H_
