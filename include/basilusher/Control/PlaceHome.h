// Home of teams' places: terms in the store, reports of holders, take-over.
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

/// Asks all workers whether anything runs for a holder, and bars the holder
/// from starting more on them.
class HolderFencing {
 public:
  virtual ~HolderFencing() = default;
  /// Calls `done` with whether every listed worker answered that it runs
  /// nothing for `holder` and takes nothing more from it.
  virtual void BarHolder(const PeerId& holder,
                         std::function<void(bool gone)> done) = 0;
};

/// Key of a team's record in the store. Thread-safe.
std::string PlaceKey(const std::string& team);

/// Serves the teams whose home this entry is. Not thread-safe.
class PlaceHome : public Component {
 public:
  PlaceHome(Context context, HolderFencing* fencing);

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;
  /// Gives all homes up to other entries at the next chance.
  void BeginShutdown() { shutting_down_ = true; }
  /// Term under which this entry is the home of `team`; zero if it is not.
  std::int64_t TermOf(const std::string& team) const;
  /// The account of `team`; null if this entry is not its home.
  const PlaceLedger* LedgerOf(const std::string& team) const;

 private:
  struct TeamState {
    /// Record as last read or written, with its version.
    std::optional<PlaceRecord> known;
    std::int64_t version = 0;
    std::unique_ptr<PlaceLedger> ledger;
    bool store_call_pending = false;
    TimePoint next_read{};
    TimePoint next_update{};
    TimePoint next_announcement{};
    TimePoint next_recall{};
    TimePoint next_holder_check{};
  };

  bool ShouldTakeOver(const std::string& team, const TeamState& state) const;
  bool HomeMayBeAlive(const PlaceRecord& record) const;
  void ReadRecord(const std::string& team);
  void OnRecordRead(const std::string& team, const StoreReply& reply);
  void TakeOver(const std::string& team);
  void OnTakeOverReply(const std::string& team, const PlaceRecord& wanted,
                       const StoreReply& reply);
  void UpdateRecord(const std::string& team, TeamState* state);
  void OnRecordUpdateReply(const std::string& team, const PlaceRecord& wanted,
                           const StoreReply& reply);
  void TickHome(const std::string& team, TeamState* state);
  void Announce(const std::string& team, TeamState* state);
  void SendRecalls(TeamState* state);
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
