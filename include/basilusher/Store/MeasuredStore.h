// Counts calls to the store by kind and outcome, and reports failures.
#ifndef BASILUSHER_STORE_MEASUREDSTORE_H_
#define BASILUSHER_STORE_MEASUREDSTORE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "basilusher/Net/IoLoop.h"
#include "basilusher/Store/TransactionalStore.h"
#include "basilusher/Support/Counters.h"
#include "basilusher/Support/EnumTable.h"

namespace basilusher {

enum class StoreCall { kGet, kList, kWatch, kCommit, kGrant, kKeep, kEnd };

inline constexpr EnumTable<StoreCall, 7> kStoreCallNames = {{
    {StoreCall::kGet, "get"},
    {StoreCall::kList, "list"},
    {StoreCall::kWatch, "watch"},
    {StoreCall::kCommit, "commit"},
    {StoreCall::kGrant, "grant-lease"},
    {StoreCall::kKeep, "keep-lease"},
    {StoreCall::kEnd, "end-lease"},
}};

/// Passes each call on to another store. Counts the answers in
/// `store_calls_total{for,call,status}` and logs those of each second in which
/// one failed. Outlives its calls. Not thread-safe: I/O thread only.
class MeasuredStore : public TransactionalStore {
 public:
  /// The arguments must outlive this object. `purpose` names what the calls are
  /// for.
  MeasuredStore(const char* purpose, TransactionalStore* store,
                TimerService* timers, Counters* counters);

  void Get(const std::string& key, StoreAnswerCallback done) override;
  void List(const std::string& prefix, StoreAnswerCallback done,
            StoreProgressCallback on_progress) override;
  void Watch(const std::string& prefix, std::int64_t revision, Millis wait,
             StoreAnswerCallback done,
             StoreProgressCallback on_progress) override;
  void Commit(const Txn& txn, StoreAnswerCallback done) override;
  void GrantLease(Millis ttl, StoreAnswerCallback done) override;
  void KeepLease(std::int64_t lease, StoreAnswerCallback done) override;
  void EndLease(std::int64_t lease, StoreAnswerCallback done) override;

 private:
  static constexpr std::size_t kCalls = kStoreCallNames.size();
  static constexpr std::size_t kStatuses = kTxnStatusNames.size();

  StoreAnswerCallback Measure(StoreCall call, StoreAnswerCallback done);
  void Note(StoreCall call, TxnStatus status);
  void Report();

  const char* purpose_;
  TransactionalStore* store_;
  TimerService* timers_;
  Counters* counters_;
  /// Answers since the last report, by call and status.
  std::array<std::array<std::int64_t, kStatuses>, kCalls> recent_ = {};
  bool report_planned_ = false;
};

}  // namespace basilusher

#endif  // BASILUSHER_STORE_MEASUREDSTORE_H_
