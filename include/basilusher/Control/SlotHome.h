// Home of pools' slots: passes asks to the schedulers and returns their grants.
#ifndef BASILUSHER_CONTROL_SLOTHOME_H_
#define BASILUSHER_CONTROL_SLOTHOME_H_

#include <map>
#include <string>

#include "basilusher/Control/Context.h"
#include "basilusher/Control/SlotScheduler.h"

namespace basilusher {

/// Subject by whose hash the home of a pool's slots is chosen. Thread-safe.
std::string SlotSubject(const std::string& pool);

/// Grants slots (capacity of workers) of every pool it is asked about; two
/// homes of a pool at once are harmless, since workers refuse work beyond their
/// slots. Not thread-safe.
class SlotHome : public Component {
 public:
  explicit SlotHome(Context context);

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;
  /// Scheduler of `pool`; null if no message has named the pool yet.
  const SlotScheduler* SchedulerOf(const std::string& pool) const;

 private:
  /// Scheduler of `pool`, updated if the view has changed since the last tick.
  SlotScheduler* RefreshedScheduler(const std::string& pool);
  void SendDecision(const SlotDecision& decision);
  void RunPool(SlotScheduler* scheduler);

  Context context_;
  std::map<std::string, SlotScheduler> pools_;
  /// View that all schedulers have been updated with.
  ViewPtr applied_view_;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_SLOTHOME_H_
