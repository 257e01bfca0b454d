// Request state machine.
#include "basilusher/Control/FrontDoor.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "basilusher/Control/ClaimHome.h"
#include "basilusher/Control/SlotHome.h"
#include "basilusher/Support/Digest.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// A message to a home is sent again after this time without a reply.
constexpr Millis kResendPeriod{300};
/// A command that is not sent within this time is returned as kNotSent;
/// deadline and authority are then checked again.
constexpr Millis kMaxCommandAge{250};
constexpr Millis kRunCheckPeriod{300};
constexpr Millis kOutcomeResendPeriod{500};
constexpr int kMaxAttempts = 4;
/// The backoff before a retry grows linearly with the number of attempts, and
/// so does its random jitter.
constexpr Millis kBackoffPerAttempt{10};
constexpr int kBackoffJitterMs = 20;

Millis Remaining(TimePoint until, TimePoint now) {
  return until <= now ? Millis(0) : until - now;
}

SlotResult SlotResultOf(DispatchStatus status) {
  switch (status) {
    case DispatchStatus::kAnswered:
      return SlotResult::kAnswered;
    case DispatchStatus::kFailed:
      return SlotResult::kFailed;
    case DispatchStatus::kRefused:
      return SlotResult::kRefused;
    case DispatchStatus::kUnreachable:
      return SlotResult::kUnreachable;
    case DispatchStatus::kLost:
      return SlotResult::kLost;
    case DispatchStatus::kNotSent:
      return SlotResult::kUnused;
  }
  return SlotResult::kUnused;
}

/// Whether `body` is valid UTF-8, as its record in JSON requires.
bool IsText(const std::string& body) {
  try {
    static_cast<void>(Json(body).dump());
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

}  // namespace

FrontDoor::FrontDoor(Context context, Dispatcher* dispatcher)
    : context_(context), dispatcher_(dispatcher), places_(context) {}

std::size_t FrontDoor::InProgress() const {
  return requests_.size() + lost_.size() + unacked_.size();
}

std::optional<Answer> FrontDoor::Admit(const Submission& submission,
                                       Request* request) {
  if (!accepting_) {
    return Refuse(ResultCode::kShuttingDown,
                  "this entry is stopping; send the request again");
  }
  const ViewPtr view = context_.views->Current();
  if (view->intent == nullptr) {
    return Refuse(ResultCode::kNoIntent, "no intent is known yet", 500);
  }
  const auto queue = view->intent->queues.find(submission.queue);
  if (queue == view->intent->queues.end()) {
    return Refuse(ResultCode::kUnknownQueue,
                  "queue: found \"" + submission.queue +
                      "\"; expected: a queue of the published intent");
  }
  request->queue = queue->second;
  if (submission.body_bytes > queue->second.max_body_bytes) {
    return Refuse(ResultCode::kBodyTooLarge,
                  "body: found " + std::to_string(submission.body_bytes) +
                      " bytes; expected: at most " +
                      std::to_string(queue->second.max_body_bytes));
  }
  // Runs of tasks need no claim here: the tasks' journal records them.
  request->at_most_once =
      !queue->second.idempotent && submission.authenticated_team.empty();
  if (request->at_most_once && submission.idempotency_key.empty()) {
    return Refuse(ResultCode::kIdempotencyKeyMissing,
                  "Idempotency-Key: found nothing; expected: a key, since "
                  "queue " +
                      submission.queue + " is not idempotent");
  }
  request->team = submission.authenticated_team;
  if (request->team.empty()) {
    request->team = view->keys->Find(submission.key).team;
  }
  return CheckAuthority(*request);
}

std::optional<Answer> FrontDoor::CheckAuthority(const Request& request) const {
  const ViewPtr view = context_.views->Current();
  if (context_.clock->Now() > view->fresh_until) {
    return Refuse(ResultCode::kIsolated,
                  "this entry is cut off and can't check keys", 1000);
  }
  if (!request.submission.authenticated_team.empty()) return std::nullopt;
  if (request.submission.key.empty()) {
    return Refuse(ResultCode::kKeyMissing,
                  "X-Team-Key: found nothing; expected: a team's key");
  }
  const KeyLookup lookup = view->keys->Find(request.submission.key);
  if (lookup.state == KeyState::kWithdrawn) {
    return Refuse(ResultCode::kKeyWithdrawn, "the key has been withdrawn");
  }
  if (lookup.state == KeyState::kUnknown) {
    return Refuse(ResultCode::kKeyUnknown, "the key is not known");
  }
  if (view->intent == nullptr) return std::nullopt;
  const auto queue = view->intent->queues.find(request.submission.queue);
  const bool known_team = view->intent->teams.contains(lookup.team);
  if (queue == view->intent->queues.end() || !known_team) {
    return Refuse(ResultCode::kWrongTeam,
                  "the published intent has no such queue or team any more");
  }
  if (queue->second.open) return std::nullopt;
  const std::vector<std::string>& teams = queue->second.teams;
  if (std::find(teams.begin(), teams.end(), lookup.team) != teams.end()) {
    return std::nullopt;
  }
  return Refuse(
      ResultCode::kWrongTeam,
      "queue " + queue->first + " is not open to team " + lookup.team);
}

void FrontDoor::Submit(const Submission& submission) {
  context_.counters->Add("requests");
  Request request;
  request.submission = submission;
  const std::optional<Answer> refusal = Admit(submission, &request);
  if (refusal) {
    context_.counters->Add("requests_refused_at_admission");
    dispatcher_->Finish(submission.request_id, *refusal);
    return;
  }
  const TimePoint now = context_.clock->Now();
  request.deadline =
      now + (submission.deadline > Millis(0) ? submission.deadline
                                             : request.queue.deadline);
  retries_.OnFirstAttempt(submission.queue, request.team);
  const auto [it, inserted] =
      requests_.emplace(submission.request_id, std::move(request));
  assert(inserted && "request ids are unique");
  EnterState(&it->second, RequestState::kAwaitingIntent);
  TickRequest(&it->second);
}

void FrontDoor::LogHomeCall(const Request& request,
                            const std::string& name) const {
  const TraceContext& trace = request.submission.trace;
  if (trace.trace_id.empty()) return;
  LogSpan({.context = ChildOf(trace, context_.random),
           .parent_id = trace.span_id,
           .name = name,
           .start_micros = request.ask_started_micros,
           .end_micros = WallMicros(),
           .attributes = {{"request", request.submission.request_id},
                          {"home", request.asked_home}}});
}

void FrontDoor::EnterState(Request* request, RequestState state) {
  request->state = state;
  request->ask_started_micros = WallMicros();
  request->state_since = context_.clock->Now();
}

std::string FrontDoor::HomeFor(const Request& request) const {
  if (request.state == RequestState::kAwaitingSlot) {
    return HomeOrSelf(context_, SlotSubject(request.queue.pool));
  }
  return HomeOrSelf(context_,
                    ClaimSubject(ClaimBucketOf(
                        request.team, request.submission.idempotency_key)));
}

void FrontDoor::SendClaimAsk(Request* request) {
  request->asked_at = context_.clock->Now();
  request->asked_home = HomeFor(*request);
  context_.bus->Send(
      request->asked_home,
      ClaimAsk{.team = request->team,
               .key = request->submission.idempotency_key,
               .body_digest = request->submission.body_digest,
               .request_id = request->submission.request_id,
               .commit = request->state == RequestState::kClaiming});
}

void FrontDoor::WaitForPlace(Request* request) {
  EnterState(request, RequestState::kAwaitingPlace);
  std::list<std::string>& queue = place_queues_[request->team];
  const auto later = std::find_if(
      queue.begin(), queue.end(), [this, request](const std::string& id) {
        return requests_.at(id).queue.work_class > request->queue.work_class;
      });
  queue.insert(later, request->submission.request_id);
  StartWaiting(request->team);
}

void FrontDoor::StartWaiting(const std::string& team) {
  std::list<std::string>& queue = place_queues_[team];
  while (!queue.empty() && places_.TryAcquire(team)) {
    Request* request = &requests_.at(queue.front());
    queue.pop_front();
    request->place_taken = true;
    SendSlotAsk(request);
  }
  places_.SetWaiting(team, static_cast<int>(queue.size()));
}

void FrontDoor::SendSlotAsk(Request* request) {
  if (request->state != RequestState::kAwaitingSlot) {
    ++request->attempt;
    EnterState(request, RequestState::kAwaitingSlot);
  }
  const TimePoint now = context_.clock->Now();
  request->asked_at = now;
  request->asked_home = HomeFor(*request);
  const std::int64_t remaining = Remaining(request->deadline, now).count();
  context_.bus->Send(request->asked_home,
                     SlotAsk{.pool = request->queue.pool,
                             .request_id = request->submission.request_id,
                             .attempt = request->attempt,
                             .team = request->team,
                             .queue = request->queue.name,
                             .work_class = request->queue.work_class,
                             .wait_ms = remaining,
                             .hold_ms = remaining,
                             .max_waiting = request->queue.max_waiting,
                             .avoid = request->avoid});
}

void FrontDoor::StartClaim(Request* request) {
  EnterState(request, RequestState::kClaiming);
  request->claim_asked = true;
  SendClaimAsk(request);
}

void FrontDoor::OnMessage(const PeerId& from, const Message& message) {
  if (const SlotGrant* grant = std::get_if<SlotGrant>(&message)) {
    OnGrant(*grant);
  } else if (const SlotRefusal* no = std::get_if<SlotRefusal>(&message)) {
    OnRefusal(*no);
  } else if (const ClaimReply* reply = std::get_if<ClaimReply>(&message)) {
    OnClaimReply(*reply);
  } else if (const ClaimDoneAck* ack = std::get_if<ClaimDoneAck>(&message)) {
    unacked_.erase(ack->request_id);
  } else {
    places_.OnMessage(from, message);
    if (const PlaceAnswer* answer = std::get_if<PlaceAnswer>(&message)) {
      StartWaiting(answer->team);
    }
  }
}

void FrontDoor::OnGrant(const SlotGrant& grant) {
  const auto it = requests_.find(grant.request_id);
  if (it == requests_.end() || it->second.attempt != grant.attempt ||
      it->second.state != RequestState::kAwaitingSlot) {
    // A late or repeated grant. Unless it is the slot in use, the home frees it
    // when its hold time has passed.
    return;
  }
  Request* request = &it->second;
  LogHomeCall(*request, "slot");
  request->worker = grant.worker;
  request->slot_home = request->asked_home;
  if (request->at_most_once && !request->claimed) {
    StartClaim(request);
    return;
  }
  DispatchAttempt(request);
}

void FrontDoor::OnRefusal(const SlotRefusal& refusal) {
  const auto it = requests_.find(refusal.request_id);
  if (it == requests_.end() || it->second.attempt != refusal.attempt ||
      it->second.state != RequestState::kAwaitingSlot) {
    return;
  }
  Finish(&it->second,
         Refuse(static_cast<ResultCode>(refusal.code),
                "queue " + it->second.queue.name +
                    " has no room or its waiting time exceeds the deadline",
                refusal.retry_after_ms));
}

void FrontDoor::OnClaimReply(const ClaimReply& reply) {
  const auto it = requests_.find(reply.request_id);
  if (it == requests_.end()) return;
  Request* request = &it->second;
  if (request->state == RequestState::kClaimLookup && !reply.commit) {
    LogHomeCall(*request, "look-up");
    OnClaimLookup(request, reply);
  } else if (request->state == RequestState::kClaiming && reply.commit) {
    LogHomeCall(*request, "claim");
    OnClaimCommit(request, reply);
  }
}

Answer FrontDoor::AnswerFromRecord(const RecordedOutcome& outcome) const {
  Answer answer;
  answer.outcome = static_cast<Outcome>(outcome.outcome);
  answer.code = static_cast<ResultCode>(outcome.code);
  answer.status = outcome.status;
  answer.body = outcome.body;
  answer.worker = outcome.worker;
  answer.scope = NotRunScope::kIdempotencyKey;
  answer.recorded = true;
  answer.text = "outcome of an earlier submission with this idempotency key";
  if (answer.outcome == Outcome::kRan && !outcome.body_kept) {
    answer.text +=
        "; its answer was too large to keep, digest " + outcome.digest;
  }
  if (answer.outcome == Outcome::kUnknown) {
    answer.code = ResultCode::kEarlierOutcomeUnknown;
  }
  return answer;
}

void FrontDoor::OnClaimLookup(Request* request, const ClaimReply& reply) {
  switch (reply.state) {
    case ClaimState::kAbsent:
    case ClaimState::kClaimed:
      WaitForPlace(request);
      return;
    case ClaimState::kRecorded:
      Finish(request, AnswerFromRecord(reply.outcome));
      return;
    case ClaimState::kInProgress:
      Finish(request, Doubt(ResultCode::kClaimInProgress,
                            "another submission with this idempotency key is "
                            "in progress or its entry was lost"));
      return;
    case ClaimState::kReused:
      Finish(request, Refuse(ResultCode::kIdempotencyKeyReused,
                             "Idempotency-Key: used before for another body; "
                             "expected: a new key for new work"));
      return;
    case ClaimState::kUnavailable:
      Finish(request,
             Refuse(ResultCode::kClaimUnavailable,
                    "the record of idempotency keys can't be read", 1000));
      return;
  }
}

void FrontDoor::OnClaimCommit(Request* request, const ClaimReply& reply) {
  if (reply.state == ClaimState::kClaimed) {
    request->claimed = true;
    DispatchAttempt(request);
    return;
  }
  if (reply.state == ClaimState::kAbsent ||
      reply.state == ClaimState::kUnavailable) {
    // The claim may still be stored later; Finish records "not run" for it.
    Finish(request, Refuse(ResultCode::kClaimUnavailable,
                           "the idempotency key could not be claimed", 1000));
    return;
  }
  request->claim_asked = false;
  OnClaimLookup(request, reply);
}

void FrontDoor::DispatchAttempt(Request* request) {
  const ViewPtr view = context_.views->Current();
  const TimePoint now = context_.clock->Now();
  std::optional<Answer> refusal = CheckAuthority(*request);
  if (!refusal && now >= request->deadline) {
    refusal = Refuse(ResultCode::kDeadlineExpired,
                     "the deadline passed before a worker was free");
  }
  if (refusal) {
    Finish(request, *refusal);
    return;
  }
  const auto worker = view->workers.find(request->worker);
  const bool usable = worker != view->workers.end() && !worker->second.leaving;
  if (!usable || !places_.IsWithinLimit(request->team)) {
    ReleaseSlot(request, SlotResult::kUnused, Millis(0));
    Retry(request);
    return;
  }
  EnterState(request, RequestState::kDispatched);
  context_.counters->Add("dispatches");
  dispatcher_->Dispatch({.request_id = request->submission.request_id,
                         .attempt = request->attempt,
                         .worker = worker->second,
                         .team = request->team,
                         .idempotent = !request->at_most_once,
                         .send_before = now + kMaxCommandAge,
                         .answer_before = request->deadline});
}

void FrontDoor::OnDispatched(const std::string& request_id, int attempt,
                             const DispatchResult& result) {
  const auto it = requests_.find(request_id);
  if (it == requests_.end() || it->second.attempt != attempt ||
      it->second.state != RequestState::kDispatched) {
    return;
  }
  Request* request = &it->second;
  if (result.status == DispatchStatus::kNotSent) {
    // The slot is still granted; authority and deadline are checked again.
    DispatchAttempt(request);
    return;
  }
  ReleaseSlot(request, SlotResultOf(result.status), result.service);
  switch (result.status) {
    case DispatchStatus::kAnswered:
    case DispatchStatus::kFailed:
      Finish(request, {.outcome = Outcome::kRan,
                       .status = result.http_status,
                       .body = result.body,
                       .worker = request->worker});
      return;
    case DispatchStatus::kRefused:
    case DispatchStatus::kUnreachable:
      request->avoid.push_back(request->worker);
      Retry(request);
      return;
    case DispatchStatus::kLost:
      OnAnswerLost(request);
      return;
    case DispatchStatus::kNotSent:
      return;
  }
}

void FrontDoor::OnAnswerLost(Request* request) {
  context_.counters->Add("answers_lost");
  const ViewPtr view = context_.views->Current();
  const auto worker = view->workers.find(request->worker);
  WorkerInfo info;
  info.id = request->worker;
  if (worker != view->workers.end()) info = worker->second;
  // The attempt may still run: its place stays in use until the worker answers
  // that it does not.
  lost_.push_back({.request_id = request->submission.request_id,
                   .attempt = request->attempt,
                   .team = request->team,
                   .worker = info});
  request->place_taken = false;
  request->maybe_ran = true;
  if (!request->at_most_once &&
      request->submission.authenticated_team.empty()) {
    request->avoid.push_back(request->worker);
    Retry(request);
    return;
  }
  Finish(request, Doubt(ResultCode::kAnswerLost,
                        "the request was sent to worker " + request->worker +
                            " and no complete answer was received"));
}

void FrontDoor::Retry(Request* request) {
  const TimePoint now = context_.clock->Now();
  const bool may_retry =
      request->submission.authenticated_team.empty() &&
      request->attempt < kMaxAttempts && now < request->deadline &&
      retries_.TryRetry(request->submission.queue, request->team);
  if (may_retry) {
    context_.counters->Add("retries");
    const int jitter = static_cast<int>(
        context_.random->Next() %
        static_cast<std::uint64_t>(kBackoffJitterMs * request->attempt));
    request->retry_at =
        now + kBackoffPerAttempt * request->attempt + Millis(jitter);
    EnterState(request, RequestState::kBackoff);
    return;
  }
  Finish(request, Refuse(ResultCode::kRetriesExhausted,
                         "no worker took the request", 500));
}

void FrontDoor::ReleaseSlot(Request* request, SlotResult result,
                            Millis service) {
  if (request->slot_home.empty()) return;
  context_.bus->Send(request->slot_home,
                     SlotDone{.pool = request->queue.pool,
                              .request_id = request->submission.request_id,
                              .attempt = request->attempt,
                              .worker = request->worker,
                              .result = result,
                              .service_ms = service.count()});
  request->slot_home.clear();
}

void FrontDoor::Finish(Request* request, Answer answer) {
  if (request->maybe_ran && answer.outcome == Outcome::kNotRun) {
    // An earlier attempt may have run, whatever ended the request now.
    answer = Doubt(ResultCode::kAnswerLost,
                   "an attempt's answer was lost; then: " + answer.text);
  }
  if (request->state == RequestState::kAwaitingSlot) {
    request->slot_home = request->asked_home;
  }
  ReleaseSlot(request, SlotResult::kUnused, Millis(0));
  if (request->state == RequestState::kAwaitingPlace) {
    place_queues_[request->team].remove(request->submission.request_id);
  }
  if (request->claim_asked && !answer.recorded) RecordOutcome(*request, answer);
  if (answer.outcome == Outcome::kNotRun && request->claimed) {
    answer.scope = NotRunScope::kIdempotencyKey;
  }
  context_.counters->Add("answers_" +
                         std::string(NameOf(kOutcomeNames, answer.outcome)));
  const std::string team = request->team;
  const bool had_place = request->place_taken;
  const std::string id = request->submission.request_id;
  requests_.erase(id);
  if (had_place) places_.Release(team);
  dispatcher_->Finish(id, answer);
  StartWaiting(team);
}

void FrontDoor::RecordOutcome(const Request& request, const Answer& answer) {
  RecordedOutcome outcome{.outcome = static_cast<int>(answer.outcome),
                          .code = static_cast<int>(answer.code),
                          .status = answer.status,
                          .worker = answer.worker};
  if (answer.outcome == Outcome::kRan) {
    outcome.digest = DigestOf(answer.body);
    outcome.body_kept =
        answer.body.size() <= kMaxRecordedBodyBytes && IsText(answer.body);
    if (outcome.body_kept) outcome.body = answer.body;
  }
  unacked_[request.submission.request_id] = {
      .done = {.team = request.team,
               .key = request.submission.idempotency_key,
               .request_id = request.submission.request_id,
               .outcome = outcome}};
  ResendOutcomes();
}

void FrontDoor::OnRunChecked(const std::string& request_id, int attempt,
                             RunState state) {
  if (state != RunState::kNotRunning) return;
  const auto it =
      std::find_if(lost_.begin(), lost_.end(), [&](const LostAttempt& row) {
        return row.request_id == request_id && row.attempt == attempt;
      });
  if (it == lost_.end()) return;
  const std::string team = it->team;
  lost_.erase(it);
  places_.Release(team);
  StartWaiting(team);
}

void FrontDoor::TickRequest(Request* request) {
  const TimePoint now = context_.clock->Now();
  const ViewPtr view = context_.views->Current();
  if (request->state != RequestState::kDispatched && now >= request->deadline) {
    Finish(request, Refuse(request->state == RequestState::kAwaitingPlace
                               ? ResultCode::kTeamAtLimit
                               : ResultCode::kDeadlineExpired,
                           "the deadline passed before the request could "
                           "start"));
    return;
  }
  const bool resend = now - request->asked_at >= kResendPeriod;
  switch (request->state) {
    case RequestState::kAwaitingIntent:
      if (view->intent != nullptr &&
          view->heard_version > view->intent->version) {
        return;
      }
      if (!request->at_most_once) {
        WaitForPlace(request);
        return;
      }
      EnterState(request, RequestState::kClaimLookup);
      SendClaimAsk(request);
      return;
    case RequestState::kClaimLookup:
    case RequestState::kClaiming:
      if (resend || HomeFor(*request) != request->asked_home) {
        SendClaimAsk(request);
      }
      return;
    case RequestState::kAwaitingSlot:
      if (resend || HomeFor(*request) != request->asked_home) {
        SendSlotAsk(request);
      }
      return;
    case RequestState::kBackoff:
      if (now < request->retry_at) return;
      if (request->place_taken) {
        SendSlotAsk(request);
      } else {
        WaitForPlace(request);
      }
      return;
    case RequestState::kAwaitingPlace:
    case RequestState::kDispatched:
      return;
  }
}

void FrontDoor::CheckLostAttempts() {
  const TimePoint now = context_.clock->Now();
  for (LostAttempt& row : lost_) {
    if (now < row.next_check) continue;
    row.next_check = now + kRunCheckPeriod;
    dispatcher_->CheckRun(row.worker, row.request_id, row.attempt);
  }
}

void FrontDoor::StopRunsOverLimit() {
  std::map<std::string, int> excess;
  for (const std::pair<const std::string, Request>& row : requests_) {
    const Request& request = row.second;
    // Only runs of idempotent tasks are stopped, since they can run again;
    // other runs are left to end by themselves.
    if (request.submission.authenticated_team.empty() ||
        !request.queue.idempotent ||
        request.state != RequestState::kDispatched) {
      continue;
    }
    const auto [it, inserted] =
        excess.try_emplace(request.team, places_.ExcessOf(request.team));
    if (it->second <= 0) continue;
    --it->second;
    dispatcher_->StopRun(row.first);
  }
}

void FrontDoor::ResendOutcomes() {
  const TimePoint now = context_.clock->Now();
  for (std::pair<const std::string, UnackedOutcome>& row : unacked_) {
    if (now < row.second.next_send) continue;
    row.second.next_send = now + kOutcomeResendPeriod;
    const ClaimDone& done = row.second.done;
    context_.bus->Send(
        HomeOrSelf(context_, ClaimSubject(ClaimBucketOf(done.team, done.key))),
        done);
  }
}

void FrontDoor::ReportHeldSlots() {
  const TimePoint now = context_.clock->Now();
  for (std::pair<const std::string, Request>& row : requests_) {
    Request& request = row.second;
    if (request.slot_home.empty()) continue;
    const std::string home =
        HomeOrSelf(context_, SlotSubject(request.queue.pool));
    if (home == request.slot_home) continue;
    request.slot_home = home;
    context_.bus->Send(
        home, SlotHeld{.pool = request.queue.pool,
                       .request_id = request.submission.request_id,
                       .attempt = request.attempt,
                       .team = request.team,
                       .worker = request.worker,
                       .hold_ms = Remaining(request.deadline, now).count()});
  }
}

void FrontDoor::OnTick() {
  places_.OnTick();
  ReportHeldSlots();
  std::vector<std::string> ids;
  ids.reserve(requests_.size());
  for (const std::pair<const std::string, Request>& row : requests_) {
    ids.push_back(row.first);
  }
  for (const std::string& id : ids) {
    const auto it = requests_.find(id);
    if (it != requests_.end()) TickRequest(&it->second);
  }
  std::vector<std::string> teams;
  for (const std::pair<const std::string, std::list<std::string>>& row :
       place_queues_) {
    teams.push_back(row.first);
  }
  for (const std::string& team : teams) StartWaiting(team);
  CheckLostAttempts();
  StopRunsOverLimit();
  ResendOutcomes();
}

}  // namespace basilusher
