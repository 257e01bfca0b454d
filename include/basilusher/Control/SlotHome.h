// Home of pools' slots: hands asks to the schedulers and grants to askers.
#ifndef BASILUSHER_CONTROL_SLOTHOME_H_
#define BASILUSHER_CONTROL_SLOTHOME_H_

#include <map>
#include <string>

#include "basilusher/Control/Context.h"
#include "basilusher/Control/SlotScheduler.h"

namespace basilusher {

/// Subject by which the home of a pool's slots is placed. Thread-safe.
std::string SlotSubject(const std::string& pool);

/// Serves every pool it is asked about; two homes at once are harmless, since
/// workers refuse work beyond their slots. Not thread-safe.
class SlotHome : public Component {
 public:
  explicit SlotHome(Context context);

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;
  /// The scheduler of `pool`; null if none was needed yet.
  const SlotScheduler* SchedulerOf(const std::string& pool) const;

 private:
  SlotScheduler* RefreshedScheduler(const std::string& pool);
  void SendDecision(const SlotDecision& decision);
  void RunPool(SlotScheduler* scheduler);

  Context context_;
  std::map<std::string, SlotScheduler> pools_;
  ViewPtr applied_view_;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_SLOTHOME_H_
