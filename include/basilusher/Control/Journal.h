// An append-only journal in the store, with group commit and fencing by
// compare-and-swap.
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

/// What became of an append.
enum class AppendResult {
  /// The record is in the store.
  kCommitted,
  /// The precondition failed after another writer's records were read.
  kRejected,
  /// The record is not in the store and will never be.
  kNotWritten,
  /// The store can't be asked; the record may be in it.
  kUnknown,
};

struct JournalOptions {
  /// Prefix of the segments' keys, such as "claims/3/".
  std::string prefix;
  /// A segment of this size is sealed and the next one begun.
  std::size_t segment_bytes = 65536;
  /// Least time between two writes.
  Millis write_period{25};
  /// Time a record may wait for the store before the append is given up.
  Millis append_timeout{2000};
};

/// One bucket's journal. Any number of entries may write to it at once: each
/// write is a compare-and-swap on the last segment, and a writer whose swap
/// fails reads the others' records first. Not thread-safe.
class Journal {
 public:
  /// Called with each record in order of the journal, own ones included. After
  /// a long silence the whole journal may be applied again, in the same order.
  using ApplyRecord = std::function<void(const Json& record)>;
  using AppendDone = std::function<void(AppendResult)>;
  /// Asked immediately before each write; false rejects the record.
  using Precondition = std::function<bool()>;

  Journal(Context context, JournalOptions options, ApplyRecord apply);

  /// Whether all segments have been read once since the last Reset.
  bool Loaded() const { return loaded_; }
  /// Starts reading the journal unless it is loaded or being read.
  void Load();
  /// Reads records that other writers may have added, unless a call is under
  /// way.
  void Refresh();
  /// Calls `done` once all records that are in the store by now have been read.
  /// It is dropped if the store can't be read: the asker asks again.
  void ReadUpToNow(std::function<void()> done);
  /// Queues `record` for the next write. `done` is called exactly once.
  void Append(Json record, Precondition precondition, AppendDone done);
  /// Queues a record without hurry: it goes out with the next write, or alone
  /// after `lazy_period`.
  void AppendLazily(Json record, AppendDone done);
  /// Starts a write when one is due; gives up appends that are over time.
  void OnTick();
  /// Deletes sealed segments whose last record is older than `retention` by
  /// the writer's wall clock.
  void ExpireSegments(Millis retention);
  /// Records that wait for the store.
  std::size_t Pending() const { return pending_.size(); }

 private:
  struct PendingRecord {
    std::string id;
    Json record;
    Precondition precondition;
    AppendDone done;
    TimePoint since;
    bool lazy = false;
    /// Whether a swap with this record was sent and not settled.
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
  /// Identifiers of the records applied from the last segment.
  std::set<std::string> applied_ids_;
  std::int64_t applied_segment_ = 0;
  /// Records of the last segment, as stored.
  Json tail_ = Json::array();
  std::size_t tail_bytes_ = 0;
  std::int64_t tail_number_ = 0;
  std::int64_t tail_version_ = 0;
  /// SealedSegment segments: number, version and wall-clock time of sealing.
  struct SealedSegment {
    std::int64_t number = 0;
    std::int64_t version = 0;
    std::int64_t sealed_micros = 0;
  };
  std::vector<SealedSegment> sealed_;
  /// Calls that wait for a read to begin, and those that the read under way
  /// serves.
  std::vector<std::function<void()>> waiting_readers_;
  std::vector<std::function<void()>> current_readers_;
  /// Records of the swap that is under way.
  std::vector<Json> writing_;
  bool writing_seals_ = false;
  bool loaded_ = false;
  /// Whether the whole journal was read at some time; then only the tail needs
  /// to be read again.
  bool fully_loaded_once_ = false;
  bool call_in_flight_ = false;
  TimePoint last_write_{};
  TimePoint last_read_{};
  TimePoint next_load_{};
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_JOURNAL_H_
