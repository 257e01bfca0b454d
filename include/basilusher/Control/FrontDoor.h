// The way of each request through an entry: admission, places, slots, claims,
// dispatch and answer.
#ifndef BASILUSHER_CONTROL_FRONTDOOR_H_
#define BASILUSHER_CONTROL_FRONTDOOR_H_

#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilusher/Control/Context.h"
#include "basilusher/Control/PlaceHolder.h"
#include "basilusher/Control/RetryBudget.h"
#include "basilusher/Model/Outcome.h"
#include "basilusher/Support/Trace.h"

namespace basilusher {

/// A request as its caller handed it in.
struct Submission {
  /// Unique over all entries and runs.
  std::string request_id;
  std::string key;
  std::string queue;
  std::string idempotency_key;
  std::string body_digest;
  std::size_t body_bytes = 0;
  /// Time the caller gives; zero for the queue's default.
  Millis deadline{0};
  /// A request with this team set comes from the entry's own task home, which
  /// has checked the key when the task was accepted.
  std::string authenticated_team;
  /// Span of the request at this entry; empty ids for no trace.
  TraceContext trace;
};

/// An command to send a request's bytes to a worker.
struct DispatchCommand {
  std::string request_id;
  int attempt = 0;
  WorkerInfo worker;
  std::string team;
  bool idempotent = true;
  /// The bytes must not leave after this time; the command then comes back as
  /// kNotSent.
  TimePoint send_before{};
  /// The whole answer must be there by this time.
  TimePoint answer_before{};
};

enum class DispatchStatus {
  kAnswered,
  /// Answered, and the worker says that the work failed.
  kFailed,
  kRefused,
  kUnreachable,
  kLost,
  /// The command was too old; no byte left.
  kNotSent,
};

struct DispatchResult {
  DispatchStatus status = DispatchStatus::kNotSent;
  /// Status and body of the worker's answer, if it answered.
  int http_status = 0;
  std::string body;
  Millis service{0};
};

/// Carries out commands; may be slow, answers through FrontDoor's On...
/// methods.
class Dispatcher {
 public:
  virtual ~Dispatcher() = default;
  virtual void Dispatch(const DispatchCommand& command) = 0;
  /// Hands the answer to the caller; the request is over.
  virtual void Finish(const std::string& request_id, const Answer& answer) = 0;
  /// Asks `worker` whether an attempt runs there and bars it from starting
  /// later; answers through FrontDoor::OnRunChecked.
  virtual void CheckRun(const WorkerInfo& worker, const std::string& request_id,
                        int attempt) = 0;
  /// Asks the task home to stop a task's run, so that its team comes under a
  /// lowered limit; the task waits and runs again.
  virtual void StopRun(const std::string& request_id) = 0;
};

/// What a worker said about one attempt.
enum class RunState { kRunning, kNotRunning, kNoAnswer };

/// State machine of all requests of one entry. Not thread-safe.
class FrontDoor : public Component {
 public:
  FrontDoor(Context context, Dispatcher* dispatcher);

  /// Takes a request in; its answer comes by Dispatcher::Finish, exactly once.
  /// Precondition: the request id is new.
  void Submit(const Submission& submission);
  void OnDispatched(const std::string& request_id, int attempt,
                    const DispatchResult& result);
  void OnRunChecked(const std::string& request_id, int attempt, RunState state);
  /// Refuses new requests from now on; those in progress go on.
  void StopAccepting() { accepting_ = false; }
  /// Requests and lost attempts that still need this process.
  std::size_t InProgress() const;

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;

  const PlaceHolder& Places() const { return places_; }

 private:
  enum class RequestState {
    kAwaitingIntent,
    kClaimLookup,
    kAwaitingPlace,
    kBackoff,
    kAwaitingSlot,
    kClaiming,
    kDispatched
  };
  struct Request {
    Submission submission;
    std::string team;
    QueueIntent queue;
    /// Whether it may run at most once, so that its key has to be claimed.
    bool at_most_once = false;
    RequestState state = RequestState::kAwaitingIntent;
    TimePoint deadline{};
    /// When the present state began or its message was last sent.
    TimePoint state_since{};
    TimePoint sent_at{};
    TimePoint resume_at{};
    std::string asked_home;
    /// Wall clock when the present question to a home was first asked.
    std::int64_t ask_started_micros = 0;
    bool place_taken = false;
    /// Whether an attempt's answer was lost, so that "not run" is out.
    bool maybe_ran = false;
    bool claim_asked = false;
    bool claimed = false;
    int attempt = 0;
    std::string worker;
    /// Home that granted the slot in use; empty without a slot.
    std::string slot_home;
    std::vector<std::string> avoid;
  };
  /// An attempt that may still run on a worker after its answer was lost; it
  /// keeps its place until the worker denies it.
  struct LostAttempt {
    std::string request_id;
    int attempt = 0;
    std::string team;
    WorkerInfo worker;
    TimePoint next_check{};
  };
  struct UnackedOutcome {
    ClaimDone done;
    TimePoint next_send{};
  };
  using Requests = std::map<std::string, Request>;

  std::optional<Answer> Admit(const Submission& submission, Request* request);
  std::optional<Answer> CheckAuthority(const Request& request) const;
  void EnterState(Request* request, RequestState state);
  void LogHomeCall(const Request& request, const std::string& name) const;
  void SendClaimAsk(Request* request);
  void WaitForPlace(Request* request);
  void StartWaiting(const std::string& team);
  void SendSlotAsk(Request* request);
  void StartClaim(Request* request);
  void DispatchAttempt(Request* request);
  void OnGrant(const SlotGrant& grant);
  void OnRefusal(const SlotRefusal& refusal);
  void OnClaimReply(const ClaimReply& reply);
  void OnClaimLookup(Request* request, const ClaimReply& reply);
  void OnClaimCommit(Request* request, const ClaimReply& reply);
  void OnAnswerLost(Request* request);
  void Retry(Request* request);
  void ReleaseSlot(Request* request, SlotResult result, Millis service);
  void Finish(Request* request, Answer answer);
  void RecordOutcome(const Request& request, const Answer& answer);
  void TickRequest(Request* request);
  void CheckLostAttempts();
  void StopRunsOverLimit();
  void ResendOutcomes();
  void ReportHeldSlots();
  std::string HomeFor(const Request& request) const;
  Answer AnswerFromRecord(const RecordedOutcome& outcome) const;

  Context context_;
  Dispatcher* dispatcher_;
  PlaceHolder places_;
  RetryBudget retries_;
  Requests requests_;
  /// Requests that wait for a place, by team, most pressing class first.
  std::map<std::string, std::list<std::string>> place_queues_;
  std::vector<LostAttempt> lost_;
  std::map<std::string, UnackedOutcome> unacked_;
  bool accepting_ = true;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_FRONTDOOR_H_
