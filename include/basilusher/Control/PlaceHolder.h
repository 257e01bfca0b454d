// Places under teams' limits, as a front door holds them.
#ifndef BASILUSHER_CONTROL_PLACEHOLDER_H_
#define BASILUSHER_CONTROL_PLACEHOLDER_H_

#include <map>
#include <string>

#include "basilusher/Control/Context.h"

namespace basilusher {

/// Holds places by possession: a ceiling accepted from a team's home stays in
/// force until this holder lowers it itself and says so; no lapse of time
/// changes it. Not thread-safe.
class PlaceHolder : public Component {
 public:
  explicit PlaceHolder(Context context);

  /// Takes a place of `team` if one is free under the ceiling and the limit.
  bool TryAcquire(const std::string& team);
  /// Gives back a place taken by TryAcquire.
  void Release(const std::string& team);
  /// Says how many requests wait for a place of `team`.
  void SetWaiting(const std::string& team, int waiting);
  /// Whether a place in use still lies under the limit in force.
  bool IsWithinLimit(const std::string& team) const;
  /// Places in use beyond what the limit in force leaves this holder.
  int ExcessOf(const std::string& team) const;
  int InUse(const std::string& team) const;
  int Ceiling(const std::string& team) const;

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;

 private:
  struct TeamPlaces {
    std::int64_t term = 0;
    PeerId home;
    std::int64_t sequence = 0;
    bool ask_pending = false;
    TimePoint ask_sent_at{};
    /// The most that may be in use; the home accounts for it.
    int ceiling = 0;
    int basis = 0;
    /// What recalls leave of the ceiling for new work.
    int target = 0;
    int in_use = 0;
    int waiting = 0;
    TimePoint busy_until{};
  };

  int LimitOf(const std::string& team) const;
  int UsableCeiling(const std::string& team, const TeamPlaces& places) const;
  int ScaledCeiling(const std::string& team, const TeamPlaces& places) const;
  void LowerCeiling(TeamPlaces* places, int ceiling);
  void SendAsk(const std::string& team, TeamPlaces* places);
  void OnAnswer(const PeerId& from, const PlaceAnswer& answer);
  void OnTerm(const PlaceTerm& term);
  void OnRecall(const PlaceRecall& recall);

  Context context_;
  std::map<std::string, TeamPlaces> teams_;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_PLACEHOLDER_H_
