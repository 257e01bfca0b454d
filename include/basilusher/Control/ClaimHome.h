// Home of idempotency keys: at most one run for each key of a team.
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
/// Larger answers are recorded by their digest alone.
inline constexpr std::size_t kMaxRecordedBodyBytes = 2048;

/// Bucket of (team, key), the same in every process. Thread-safe.
int ClaimBucketOf(const std::string& team, const std::string& key);

/// Subject by which the home of `bucket` is placed. Thread-safe.
std::string ClaimSubject(int bucket);

/// Answers look-ups and claims for the buckets it is asked about. Which entry
/// is asked is a matter of speed alone: the journal's compare-and-swap decides
/// between two homes that both believe a bucket is theirs. Not thread-safe.
class ClaimHome : public Component {
 public:
  explicit ClaimHome(Context context);

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;
  /// Records that wait for the store.
  std::size_t Pending() const;

 private:
  struct Claim {
    std::string request_id;
    std::string body_digest;
    /// kClaimed or kRecorded.
    ClaimState state = ClaimState::kClaimed;
    RecordedOutcome outcome;
    /// Wall clock of the writer; used for retention alone.
    std::int64_t claimed_micros = 0;
  };
  struct DeferredAsk {
    PeerId from;
    ClaimAsk ask;
    TimePoint since{};
  };
  struct Bucket {
    std::unique_ptr<Journal> journal;
    std::map<std::string, Claim> claims;
    /// Requests recorded as not run: a claim of theirs counts for nothing.
    std::set<std::string> not_run_requests;
    /// Requests whose outcome is being written.
    std::set<std::string> recording;
    /// Look-ups that wait for the journal to be read.
    std::vector<std::pair<PeerId, ClaimAsk>> awaiting_load;
    TimePoint awaiting_load_since{};
    /// Submissions that wait for the outcome of an earlier one with their key,
    /// by request.
    std::map<std::string, DeferredAsk> deferred;
  };

  void OnAsk(const PeerId& from, const ClaimAsk& ask);
  void OnDone(const PeerId& from, const ClaimDone& done);
  void Commit(Bucket* bucket, const PeerId& from, const ClaimAsk& ask);
  void Reply(Bucket* bucket, const PeerId& from, const ClaimAsk& ask,
             const ClaimReply& reply);
  void AnswerAwaitingLoad(Bucket* bucket);
  void AnswerDeferred(Bucket* bucket);
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
