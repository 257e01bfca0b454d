// Home of teams' places: stored terms, holders' reports and take-over.
#ifndef BASILUSHER_CONTROL_PLACEHOME_H_
#define BASILUSHER_CONTROL_PLACEHOME_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "basilusher/Control/Context.h"
#include "basilusher/Control/PlaceLedger.h"

namespace basilusher {

/// Fences holders (incarnations of entries that may use places) on the workers.
class HolderFencing {
 public:
  virtual ~HolderFencing() = default;
  /// Bars `holder` from starting work on any worker. Calls `done` with whether
  /// every listed worker answered that it bars the holder and runs nothing for
  /// it.
  virtual void BarHolder(const PeerId& holder,
                         std::function<void(bool barred)> done) = 0;
};

/// Key of a team's PlaceRecord in the store. Thread-safe.
std::string PlaceKey(const std::string& team);

/// Serves the places of the teams whose home this entry is. The home of a team
/// is its elected leader: it takes a term by a compare-and-swap of the stored
/// record. Not thread-safe.
class PlaceHome : public Component {
 public:
  PlaceHome(Context context, HolderFencing* fencing);

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;
  /// Takes over no more teams from now on; terms already held are still served.
  void BeginShutdown() { shutting_down_ = true; }
  /// Term under which this entry is the home of `team`; zero if it is not.
  std::int64_t TermOf(const std::string& team) const;
  /// Account of the places of `team`; null if this entry is not its home.
  const PlaceLedger* LedgerOf(const std::string& team) const;

 private:
  struct TeamState {
    /// Record as last read or written, and its version in the store.
    std::optional<PlaceRecord> stored;
    std::int64_t version = 0;
    /// Set while this entry is the team's home.
    std::unique_ptr<PlaceLedger> ledger;
    bool store_call_pending = false;
    TimePoint next_read{};
    TimePoint next_update{};
    TimePoint next_announcement{};
    TimePoint next_recall{};
    TimePoint next_holder_check{};
  };

  bool ShouldTakeOver(const std::string& team, const TeamState& state) const;
  /// Whether the recorded home holds a lease or is reachable.
  bool HomeMayBeAlive(const PlaceRecord& record) const;
  void ReadRecord(const std::string& team);
  void OnRecordRead(const std::string& team, const StoreReply& reply);
  void TakeOver(const std::string& team);
  void OnTakeOverReply(const std::string& team, const PlaceRecord& desired,
                       const StoreReply& reply);
  void UpdateRecord(const std::string& team, TeamState* state);
  void OnRecordUpdateReply(const std::string& team, const PlaceRecord& desired,
                           const StoreReply& reply);
  void TickHome(const std::string& team, TeamState* state);
  /// Announces the term to holders that have not reported.
  void Announce(const std::string& team, TeamState* state);
  void SendRecalls(TeamState* state);
  /// Fences holders whose incarnation ended, and removes them from the account.
  void RemoveEndedHolders(const std::string& team, TeamState* state);
  void StepDown(TeamState* state);
  void OnAsk(const PeerId& from, const PlaceAsk& ask);
  void OnTerm(const PlaceTerm& term);

  Context context_;
  HolderFencing* fencing_;
  std::map<std::string, TeamState> teams_;
  bool shutting_down_ = false;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_PLACEHOME_H_
