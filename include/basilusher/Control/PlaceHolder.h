// A front door's places under the teams' limits.
#ifndef BASILUSHER_CONTROL_PLACEHOLDER_H_
#define BASILUSHER_CONTROL_PLACEHOLDER_H_

#include <map>
#include <string>

#include "basilusher/Control/Context.h"

namespace basilusher {

/// The places (permits to run work under a team's limit) that this entry may
/// use. A ceiling granted by a team's home is no lease: it stays in force until
/// this holder lowers it itself and reports that to the home. Not thread-safe.
class PlaceHolder : public Component {
 public:
  explicit PlaceHolder(Context context);

  /// Takes a place of `team` if one is free under the ceiling and the limit;
  /// otherwise returns false.
  bool TryAcquire(const std::string& team);
  /// Returns a place taken by TryAcquire.
  void Release(const std::string& team);
  /// Sets how many requests wait for a place of `team`; asks the home for more
  /// places if they are needed.
  void SetWaiting(const std::string& team, int waiting);
  /// Whether the places in use fit under the limit in force.
  bool IsWithinLimit(const std::string& team) const;
  /// Places in use beyond this holder's part of the limit in force; zero or
  /// negative if there is no excess.
  int ExcessOf(const std::string& team) const;
  int InUse(const std::string& team) const;
  int Ceiling(const std::string& team) const;

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;

 private:
  struct TeamPlaces {
    /// Latest term known, and the home that serves it.
    std::int64_t term = 0;
    PeerId home;
    /// Number of the latest ask; answers to earlier asks are ignored.
    std::int64_t sequence = 0;
    /// Whether the latest ask has no answer yet.
    bool ask_pending = false;
    TimePoint ask_sent_at{};
    /// Most places that may be in use; the home accounts for all of them.
    int ceiling = 0;
    /// Limit of the team under which the ceiling was granted.
    int basis = 0;
    /// Ceiling for new work after recalls; at most `ceiling`.
    int target = 0;
    int in_use = 0;
    /// Requests that wait for a place.
    int waiting = 0;
    /// Unused places are returned from this time on.
    TimePoint busy_until{};
  };

  int LimitOf(const std::string& team) const;
  /// Ceiling for new work: scaled to the limit and reduced by recalls.
  int UsableCeiling(const std::string& team, const TeamPlaces& places) const;
  /// Ceiling scaled to the limit in force.
  int ScaledCeiling(const std::string& team, const TeamPlaces& places) const;
  /// Lowers the ceiling to `ceiling`, but not below the places in use.
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
