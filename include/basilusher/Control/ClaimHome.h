// The home of idempotency keys: records claims and outcomes in a journal, so
// that requests with the same key of a team run at most once.
#ifndef BASILUSHER_CONTROL_CLAIMHOME_H_
#define BASILUSHER_CONTROL_CLAIMHOME_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "basilusher/Control/Context.h"
#include "basilusher/Control/Journal.h"

namespace basilusher {

/// Number of journals over which idempotency keys are spread.
inline constexpr int kClaimBuckets = 8;
/// Largest response body that is recorded, in bytes. Of a larger one only the
/// digest is recorded.
inline constexpr std::size_t kMaxRecordedBodyBytes = 2048;

/// Returns the bucket of the idempotency key `key` of `team`; the same in every
/// process. Thread-safe.
int ClaimBucketOf(const std::string& team, const std::string& key);

/// Returns the subject whose rendezvous hash chooses the home of `bucket`.
/// Thread-safe.
std::string ClaimSubject(int bucket);

/// Answers look-ups, claims and outcome records for any bucket. Sending them to
/// the bucket's home only saves time: when two entries act as the home of one
/// bucket, the compare-and-swap on its journal orders their writes. Not
/// thread-safe.
class ClaimHome : public Component {
 public:
  explicit ClaimHome(Context context);

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;
  /// Returns the number of journal records that wait for the store plus the
  /// number of asks that wait for a journal to be loaded.
  std::size_t Pending() const;

 private:
  struct Claim {
    std::string request_id;
    std::string body_digest;
    /// Either kClaimed or kRecorded.
    ClaimState state = ClaimState::kClaimed;
    RecordedOutcome outcome;
    /// Wall-clock time of the claim at its writer, in microseconds; used for
    /// retention only.
    std::int64_t claimed_micros = 0;
  };
  /// An ask whose answer is held back until another request with the same key
  /// has an outcome.
  struct DeferredAsk {
    PeerId from;
    ClaimAsk ask;
    TimePoint since{};
  };
  struct Bucket {
    std::unique_ptr<Journal> journal;
    std::map<std::string, Claim> claims;
    /// Requests recorded as not run; later claims by them are ignored.
    std::set<std::string> not_run_requests;
    /// Requests whose outcome is being written to the journal.
    std::set<std::string> recording;
    /// Look-ups and claims that wait for the journal to be loaded, and when the
    /// first of them arrived.
    std::vector<std::pair<PeerId, ClaimAsk>> awaiting_load;
    TimePoint awaiting_load_since{};
    /// Asks of repeated submissions that wait for the outcome of an earlier
    /// request with their key, by request id.
    std::map<std::string, DeferredAsk> deferred;
    /// Earliest time of the next read for the deferred asks.
    TimePoint next_deferred_read{};
  };

  void OnAsk(const PeerId& from, const ClaimAsk& ask);
  void OnDone(const PeerId& from, const ClaimDone& done);
  void Commit(Bucket* bucket, const PeerId& from, const ClaimAsk& ask);
  void Reply(Bucket* bucket, const PeerId& from, const ClaimAsk& ask,
             const ClaimReply& reply);
  void AnswerAwaitingLoad(Bucket* bucket);
  void AnswerDeferred(Bucket* bucket);
  /// Reads outcomes that other homes have recorded, if an ask is deferred.
  void ReadForDeferred(Bucket* bucket);
  void Apply(Bucket* bucket, const Json& record);
  ClaimReply ReplyFor(const Bucket& bucket, const ClaimAsk& ask) const;
  static bool IsOutcomeRecorded(const Bucket& bucket, const ClaimDone& done);
  Bucket* BucketFor(const std::string& team, const std::string& key);
  void ExpireClaims();

  Context context_;
  std::map<int, Bucket> buckets_;
  TimePoint next_expiry_{};
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_CLAIMHOME_H_
