// Calls of the fleet agent to workers and to the platform.
#ifndef BASILUSHER_LIB_DAEMON_ENTRYFLEET_H_
#define BASILUSHER_LIB_DAEMON_ENTRYFLEET_H_

#include "EntryServices.h"
#include "basilusher/Control/FleetAgent.h"

namespace basilusher {

/// Thread-safe.
class EntryFleet : public FleetDelegate {
 public:
  explicit EntryFleet(EntryServices* services) : services_(services) {}

  void Drain(const WorkerInfo& worker, std::int64_t fence,
             std::function<void(int running)> done) override;
  void Admit(const WorkerInfo& worker, std::int64_t fence,
             std::function<void(bool admitted)> done) override;
  void Release(const WorkerInfo& worker, std::int64_t maintained) override;

 private:
  EntryServices* services_;
};

}  // namespace basilusher

#endif  // BASILUSHER_LIB_DAEMON_ENTRYFLEET_H_
