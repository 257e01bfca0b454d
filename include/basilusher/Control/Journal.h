// An append-only journal in the key-value store, with group commit and fencing
// by compare-and-swap.
#ifndef BASILUSHER_CONTROL_JOURNAL_H_
#define BASILUSHER_CONTROL_JOURNAL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "basilusher/Control/Context.h"
#include "basilusher/Support/Json.h"

namespace basilusher {

/// Outcome of an append.
enum class AppendResult {
  /// The record is in the store.
  kCommitted,
  /// The precondition was false on the records applied so far, this writer's or
  /// others'; the record was not written.
  kRejected,
  /// The record is not in the store and will never be.
  kNotWritten,
  /// The store did not answer; the record may be in it.
  kUnknown,
};

struct JournalOptions {
  /// Prefix of the keys of the segments, such as "claims/3/".
  std::string prefix;
  /// Size in bytes at which a segment is sealed and the next one begun.
  std::size_t segment_bytes = 65536;
  /// Least time between two writes.
  Millis write_period{25};
  /// Time a record may wait for the store before the append is abandoned; lazy
  /// appends are not bounded.
  Millis append_timeout{2000};
};

/// The journal of one bucket, stored as numbered segments. Any number of
/// entries may write to it concurrently: each write is a compare-and-swap on
/// the last segment, and a writer whose swap fails reads the records of the
/// others before it writes again. Not thread-safe.
class Journal {
 public:
  /// Called with each record in journal order, including this writer's own.
  /// After a long time without a read the whole journal may be applied again,
  /// in the same order.
  using ApplyRecord = std::function<void(const Json& record)>;
  using AppendDone = std::function<void(AppendResult)>;
  /// Evaluated immediately before each write; false rejects the record.
  using Precondition = std::function<bool()>;

  Journal(Context context, JournalOptions options, ApplyRecord apply);

  /// Whether all records known to be in the store have been applied; false
  /// before the first read, and after a failed swap until the journal has been
  /// read again.
  bool Loaded() const { return loaded_; }
  /// Starts reading the journal, unless a store call is in flight or the last
  /// attempt was too recent.
  void Load();
  /// Reads records that other writers may have added. Does nothing if the
  /// journal is not loaded or a store call is in flight.
  void Refresh();
  /// Calls `done` once all records that are in the store at the time of the
  /// call have been read. If that read fails, `done` is dropped and the caller
  /// has to ask again.
  void ReadUpToNow(std::function<void()> done);
  /// Queues `record` for the next write; `precondition` is evaluated before
  /// each attempt. `done` is called exactly once.
  void Append(Json record, Precondition precondition, AppendDone done);
  /// Queues `record` at low priority: it is written together with the next
  /// other record, or on its own once it has waited for 300 ms. It has no
  /// precondition and no time-out.
  void AppendLazily(Json record, AppendDone done);
  /// Starts a write when one is due and fails appends that have timed out.
  void OnTick();
  /// Deletes segments that were sealed longer than `retention` ago, by the wall
  /// clocks of the sealing writer and of this entry. The last sealed segment is
  /// kept.
  void ExpireSegments(Millis retention);
  /// Returns the number of records that wait for the store.
  std::size_t Pending() const { return pending_.size(); }

 private:
  struct PendingRecord {
    std::string id;
    Json record;
    Precondition precondition;
    AppendDone done;
    TimePoint since;
    bool lazy = false;
    /// Whether a swap with this record was sent, so that the record may be in
    /// the store. Never cleared.
    bool outcome_unknown = false;
  };

  void StartWrite();
  std::vector<PendingRecord*> ChooseBatch();
  void RejectFailedPreconditions();
  void SendBatch(const std::vector<PendingRecord*>& batch);
  void BeginRead();
  void ReadTail();
  void OnLoaded(const StoreReply& reply);
  void OnTailRead(const StoreReply& reply);
  void OnSwapped(const StoreReply& reply);
  void ApplySegment(const StoreEntry& entry);
  void ApplyNew(const Json& record);
  void CompleteReaders();
  void CompleteCommittedAppends();
  void DropSealedIds();
  void FailOverdueAppends();
  Json SegmentJson(bool seal) const;

  Context context_;
  JournalOptions options_;
  ApplyRecord apply_;
  std::deque<PendingRecord> pending_;
  /// Ids of the records applied from the last segment; filters records that are
  /// read again.
  std::set<std::string> applied_ids_;
  /// Number of the segment whose record ids `applied_ids_` holds.
  std::int64_t applied_segment_ = 0;
  /// Records of the last segment, as stored.
  Json tail_ = Json::array();
  std::size_t tail_bytes_ = 0;
  std::int64_t tail_number_ = 0;
  std::int64_t tail_version_ = 0;
  /// A sealed segment: its number, its version in the store and the wall-clock
  /// time of sealing in microseconds.
  struct SealedSegment {
    std::int64_t number = 0;
    std::int64_t version = 0;
    std::int64_t sealed_micros = 0;
  };
  std::vector<SealedSegment> sealed_;
  /// Callbacks of ReadUpToNow that wait for a read to begin, and those that the
  /// read in flight will complete.
  std::vector<std::function<void()>> waiting_readers_;
  std::vector<std::function<void()>> current_readers_;
  /// Records of the swap in flight, and whether it seals the segment.
  std::vector<Json> writing_;
  bool writing_seals_ = false;
  bool loaded_ = false;
  /// Whether the whole journal has been read at some time; after that only the
  /// last segment has to be read again.
  bool fully_loaded_once_ = false;
  /// Whether a read or write of the journal is in flight, of which there is at
  /// most one; deletions of segments do not count.
  bool call_in_flight_ = false;
  TimePoint last_write_{};
  TimePoint last_read_{};
  TimePoint next_load_{};
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_JOURNAL_H_
