// A path to the store on which leases end.
#ifndef BASILUSHER_UNITTESTS_NODE_LEASEPATH_H_
#define BASILUSHER_UNITTESTS_NODE_LEASEPATH_H_

#include <utility>

#include "SimNode.h"

namespace basilusher {

/// Ends leases that are renewed too late, as the store does.
class LeasePath : public SimStorePath {
 public:
  LeasePath(TransactionalStore* store, SimTimers* timers)
      : SimStorePath(store, timers), timers_(timers) {}
  void GrantLease(Millis ttl, StoreAnswerCallback done) override {
    ttl_ = ttl;
    lease_ends_ = timers_->Now() + ttl;
    SimStorePath::GrantLease(ttl, std::move(done));
  }
  void KeepLease(std::int64_t lease, StoreAnswerCallback done) override {
    if (lose_answers && ++renewals_ % 3 != 0) {
      timers_->After(kCallTimeout,
                     [done] { done({.status = TxnStatus::kLost}); });
      return;
    }
    if (timers_->Now() >= lease_ends_) {
      ++leases_ended;
      lease_ends_ = TimePoint::max();
      timers_->After(Millis(4),
                     [done] { done({.status = TxnStatus::kNotFound}); });
      return;
    }
    lease_ends_ = timers_->Now() + ttl_;
    SimStorePath::KeepLease(lease, std::move(done));
  }

  int leases_ended = 0;
  /// Two of three renewals are neither carried out nor answered.
  bool lose_answers = false;

 private:
  static constexpr Millis kCallTimeout{800};

  SimTimers* timers_;
  int renewals_ = 0;
  Millis ttl_{0};
  TimePoint lease_ends_ = TimePoint::max();
};

}  // namespace basilusher

#endif  // BASILUSHER_UNITTESTS_NODE_LEASEPATH_H_
