// Request handling of an entry: admission, idempotency claim, place, slot,
// dispatch to a worker and answer to the caller.
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

/// A request as received from its caller.
struct Submission {
  /// Unique over all entries and their incarnations, except for runs of tasks:
  /// the next run of a task has the id TaskRequestId(task, run + 1) at every
  /// entry, and a run refused before its start is recorded is submitted again
  /// under the same id.
  std::string request_id;
  std::string key;
  std::string queue;
  std::string idempotency_key;
  std::string body_digest;
  std::size_t body_bytes = 0;
  /// Time limit set by the caller; zero for the queue's default.
  Millis deadline{0};
  /// Set on requests of the entry's own task home, which checked the key when
  /// it accepted the task; the key is not checked again. Empty otherwise.
  std::string authenticated_team;
  /// Trace span of the request at this entry; empty ids if it is not traced.
  TraceContext trace;
};

/// Command to send one attempt of a request to a worker.
struct DispatchCommand {
  std::string request_id;
  int attempt = 0;
  WorkerInfo worker;
  std::string team;
  bool idempotent = true;
  /// No byte may be sent after this time; the result is then kNotSent.
  TimePoint send_before{};
  /// The whole answer must have been received by this time.
  TimePoint answer_before{};
};

enum class DispatchStatus {
  kAnswered,
  /// The worker answered that the work failed.
  kFailed,
  /// The work was not started: the worker refused it or no connection to it
  /// was free.
  kRefused,
  /// No connection could be made; the work was not started.
  kUnreachable,
  /// The request was sent and no complete answer was received, so the work may
  /// have run or may still run.
  kLost,
  /// The command had passed `send_before`; no byte was sent.
  kNotSent,
};

struct DispatchResult {
  DispatchStatus status = DispatchStatus::kNotSent;
  /// Status and body of the worker's answer, if it answered.
  int http_status = 0;
  std::string body;
  /// Time from sending the request to the end of its answer.
  Millis service{0};
};

/// Executes FrontDoor's commands. They may take long; results are reported to
/// FrontDoor's On... methods.
class Dispatcher {
 public:
  virtual ~Dispatcher() = default;
  virtual void Dispatch(const DispatchCommand& command) = 0;
  /// Passes the answer to the caller and ends the request.
  virtual void Finish(const std::string& request_id, const Answer& answer) = 0;
  /// Asks `worker` whether an attempt runs there and bars it from starting
  /// later. The result is reported to FrontDoor::OnRunChecked.
  virtual void CheckRun(const WorkerInfo& worker, const std::string& request_id,
                        int attempt) = 0;
  /// Asks the task home to stop a task's run because its team exceeds a lowered
  /// limit. The task is queued again and runs later.
  virtual void StopRun(const std::string& request_id) = 0;
};

/// A worker's answer about one attempt.
enum class RunState { kRunning, kNotRunning, kNoAnswer };

/// Coordinates the requests received by one entry, each as a state machine.
/// What a request needs is granted by homes, which are entries chosen by
/// rendezvous hashing: a place (a permit under its team's limit), a slot
/// (capacity of a worker) and, for at-most-once work, a claim of its
/// idempotency key. Not thread-safe.
class FrontDoor : public Component {
 public:
  FrontDoor(Context context, Dispatcher* dispatcher);

  /// Accepts or refuses a request. Its answer is passed to Dispatcher::Finish
  /// exactly once. Precondition: no request with this id is in progress at this
  /// entry.
  void Submit(const Submission& submission);
  void OnDispatched(const std::string& request_id, int attempt,
                    const DispatchResult& result);
  void OnRunChecked(const std::string& request_id, int attempt, RunState state);
  /// Refuses new requests from now on; requests in progress continue.
  void StopAccepting() { accepting_ = false; }
  /// Number of requests, lost attempts and unacknowledged outcomes that still
  /// need this process.
  std::size_t InProgress() const;

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;

  const PlaceHolder& Places() const { return places_; }

 private:
  enum class RequestState {
    /// A newer intent has been announced and is not loaded yet.
    kAwaitingIntent,
    /// Looks the idempotency key up at its claim home.
    kClaimLookup,
    /// Waits for a place under the team's limit.
    kAwaitingPlace,
    /// Waits before the next attempt.
    kBackoff,
    kAwaitingSlot,
    /// Claims the idempotency key before an at-most-once dispatch.
    kClaiming,
    kDispatched
  };
  struct Request {
    Submission submission;
    std::string team;
    QueueIntent queue;
    /// Whether it must run at most once, so that its idempotency key has to be
    /// claimed before dispatch.
    bool at_most_once = false;
    RequestState state = RequestState::kAwaitingIntent;
    TimePoint deadline{};
    /// When the present state was entered.
    TimePoint state_since{};
    /// When the latest claim or slot ask was sent.
    TimePoint asked_at{};
    /// End of the backoff.
    TimePoint retry_at{};
    /// Home to which the latest claim or slot ask was sent.
    std::string asked_home;
    /// Wall clock time, in microseconds since the epoch, when the present state
    /// was entered: start of the trace span of a call to a home.
    std::int64_t ask_started_micros = 0;
    bool place_taken = false;
    /// Whether an attempt's answer was lost, so that the request must not be
    /// answered "not run" any more.
    bool maybe_ran = false;
    /// Whether a claim was sent, so that an outcome has to be recorded.
    bool claim_asked = false;
    bool claimed = false;
    int attempt = 0;
    std::string worker;
    /// Home that granted the slot in use; empty without a slot.
    std::string slot_home;
    /// Workers that failed earlier attempts.
    std::vector<std::string> avoid;
  };
  /// An orphaned run: an attempt that may still run on a worker after its
  /// answer was lost. It keeps its place until the worker answers that it does
  /// not run.
  struct LostAttempt {
    std::string request_id;
    int attempt = 0;
    std::string team;
    WorkerInfo worker;
    TimePoint next_check{};
  };
  /// An outcome that is resent until the claim home has acknowledged it.
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
  /// Ids of requests that wait for a place, by team, most urgent class first.
  std::map<std::string, std::list<std::string>> place_queues_;
  std::vector<LostAttempt> lost_;
  std::map<std::string, UnackedOutcome> unacked_;
  bool accepting_ = true;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_FRONTDOOR_H_
