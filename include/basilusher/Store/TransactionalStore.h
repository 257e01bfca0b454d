// The platform's key-value service with transactions, watches and leases.
#ifndef BASILUSHER_STORE_TRANSACTIONALSTORE_H_
#define BASILUSHER_STORE_TRANSACTIONALSTORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/EnumTable.h"

namespace basilusher {

/// What is known after a call.
enum class TxnStatus {
  kOk,
  kNotFound,
  /// A condition did not hold; nothing was written.
  kConflict,
  /// The history asked for is no longer kept, or too long to be read.
  kCompacted,
  /// The service said that it did nothing (overload, outage).
  kRefused,
  /// The service could not be reached; nothing was sent.
  kUnreachable,
  /// No answer: it may have been done, or may still be done later.
  kLost,
};

inline constexpr EnumTable<TxnStatus, 7> kTxnStatusNames = {{
    {TxnStatus::kOk, "ok"},
    {TxnStatus::kNotFound, "not-found"},
    {TxnStatus::kConflict, "conflict"},
    {TxnStatus::kCompacted, "compacted"},
    {TxnStatus::kRefused, "refused"},
    {TxnStatus::kUnreachable, "unreachable"},
    {TxnStatus::kLost, "lost"},
}};

/// One stored value.
struct StoredItem {
  std::string key;
  std::string value;
  /// Revision of the last change; zero for a key that is absent.
  std::int64_t revision = 0;
  /// True in a watch for a key that was removed.
  bool removed = false;
};

struct StoreAnswer {
  TxnStatus status = TxnStatus::kUnreachable;
  /// Items read, events of a watch, or the conditions' current state.
  std::vector<StoredItem> items;
  /// After a read or watch the store's revision; after a write its own.
  std::int64_t revision = 0;
};

using StoreAnswerCallback = std::function<void(const StoreAnswer&)>;

/// Runs each time that a part of a long answer has come and more is due. Must
/// not call the store. May be empty.
using StoreProgressCallback = std::function<void()>;

struct TxnCondition {
  std::string key;
  /// Revision that the key must have; zero: it must be absent.
  std::int64_t revision = 0;
};

struct TxnWrite {
  std::string key;
  std::string value;
  /// Lease whose end removes the key; zero for a lasting one.
  std::int64_t lease = 0;
};

/// All or nothing. At most kMaxTxnEntries rows in the three lists together.
struct Txn {
  std::vector<TxnCondition> conditions;
  std::vector<TxnWrite> writes;
  std::vector<std::string> removals;
};

inline constexpr std::size_t kMaxTxnEntries = 32;

/// Asynchronous calls; each callback runs once. Not thread-safe: I/O thread.
class TransactionalStore {
 public:
  virtual ~TransactionalStore() = default;
  /// Reads one key, linearizably: kOk with one item, or kNotFound.
  virtual void Get(const std::string& key, StoreAnswerCallback done) = 0;
  /// Reads all keys that begin with `prefix`. The pages are no snapshot;
  /// `revision` is the one before the first page, from which a watch misses
  /// nothing.
  virtual void List(const std::string& prefix, StoreAnswerCallback done,
                    StoreProgressCallback on_progress) = 0;
  /// Waits up to `wait` for changes under `prefix` after `revision`.
  virtual void Watch(const std::string& prefix, std::int64_t revision,
                     Millis wait, StoreAnswerCallback done,
                     StoreProgressCallback on_progress) = 0;
  virtual void Commit(const Txn& txn, StoreAnswerCallback done) = 0;
  /// Makes a lease; its number is in `revision`.
  virtual void GrantLease(Millis ttl, StoreAnswerCallback done) = 0;
  /// Renews a lease: kOk, or kNotFound if it has ended.
  virtual void KeepLease(std::int64_t lease, StoreAnswerCallback done) = 0;
  /// Ends a lease and removes its keys.
  virtual void EndLease(std::int64_t lease, StoreAnswerCallback done) = 0;
};

}  // namespace basilusher

#endif  // BASILUSHER_STORE_TRANSACTIONALSTORE_H_
