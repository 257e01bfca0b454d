// Places under one team's limit, as the home of the team accounts for them.
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

/// Ceilings of the holders, as recorded in the store for one term.
struct PlaceRecord {
  std::string team;
  std::int64_t term = 0;
  PeerId home;
  /// Limit for which the ceilings were recorded.
  int basis = 0;
  /// The most that each holder can ever have been given. The sum may exceed the
  /// limit; what is out never does.
  std::map<std::string, int> ceilings;
};

void to_json(Json& json, const PlaceRecord& record);
void from_json(const Json& json, PlaceRecord& record);

/// A pure account of who may hold how many places. Invariant: the weights of
/// all holders add up to at most the limit, unless the limit was lowered or a
/// holder that has not reported counts with its recorded ceiling. Not
/// thread-safe.
class PlaceLedger {
 public:
  /// Begins a term: every holder of `record` counts with its recorded ceiling
  /// until it reports.
  explicit PlaceLedger(PlaceRecord record);

  const PlaceRecord& Record() const { return record_; }
  /// Notes that `pending` is being written: until SetRecord, grants stay under
  /// the lower and unreported holders count with the higher of both ceilings.
  /// Precondition: same term.
  void BeginRecordWrite(PlaceRecord pending);
  /// Replaces the recorded ceilings after the store has accepted them.
  /// Precondition: same term.
  void SetRecord(PlaceRecord record);
  /// Sets the limit in force.
  void SetLimit(int limit) { limit_ = limit; }
  int Limit() const { return limit_; }

  /// Takes a holder's report and decides its ceiling. Returns nothing for a
  /// late or repeated report. Precondition: ask.term is the record's term.
  std::optional<PlaceAnswer> OnAsk(const PeerId& holder, const PlaceAsk& ask);

  /// Holders that should lower their ceiling for the sake of others.
  std::vector<std::pair<PeerId, PlaceRecall>> Recalls(
      std::int64_t rotation) const;

  /// Holders that have not reported in this term.
  std::vector<std::string> Unreported() const;
  /// Forgets a holder that is proved to be gone.
  void Remove(const std::string& holder);
  /// Places that count as out.
  int Outstanding() const;
  /// Ceilings that should be recorded for the live entries `holders` of
  /// `expected` in all; differs from the record if a write is due.
  PlaceRecord DesiredRecord(const std::vector<std::string>& holders,
                            int expected = 0) const;

 private:
  struct Holder {
    PeerId peer;
    bool reported = false;
    std::int64_t sequence = -1;
    int allowed = 0;
    int basis = 0;
    int in_use = 0;
    int wanted = 0;
  };

  int WeightOf(const std::string& name, const Holder& holder) const;
  int RecordedCeiling(const std::string& name) const;
  int GrantCap(const std::string& name) const;
  bool IsFullyAccounted() const;

  PlaceRecord record_;
  std::optional<PlaceRecord> pending_;
  int limit_ = 0;
  std::map<std::string, Holder> holders_;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_PLACELEDGER_H_
