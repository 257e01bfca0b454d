// Look-ups, claims and recorded outcomes of idempotency keys.
#include "basilusher/Control/ClaimHome.h"

#include <utility>

#include "basilusher/Model/Outcome.h"
#include "basilusher/Support/Digest.h"

namespace basilusher {
namespace {

/// Time after which asks that wait for a journal to be loaded are answered as
/// unavailable.
constexpr Millis kLoadTimeout{1500};
/// Least time between two expiry passes.
constexpr Millis kExpiryPeriod{60000};
/// Longest time for which a repeated submission waits for the outcome of the
/// first one.
constexpr Millis kDeferTimeout{2000};
/// Period of the reads of a journal on which deferred submissions wait: while
/// homes move, the outcome may be recorded by another home.
constexpr Millis kDeferredReadPeriod{250};

constexpr char kClaimRecord[] = "claim";
constexpr char kDoneRecord[] = "done";

/// Returns the name of a claim in the journal. The length prefix keeps
/// different pairs of team and key apart.
std::string ClaimName(const std::string& team, const std::string& key) {
  return std::to_string(team.size()) + ":" + team + ":" + key;
}

Json OutcomeJson(const RecordedOutcome& outcome) {
  return {{"outcome", outcome.outcome}, {"code", outcome.code},
          {"status", outcome.status},   {"body", outcome.body},
          {"digest", outcome.digest},   {"kept", outcome.body_kept},
          {"worker", outcome.worker}};
}

RecordedOutcome OutcomeOf(const Json& json) {
  return {.outcome = json.at("outcome").get<int>(),
          .code = json.at("code").get<int>(),
          .status = json.at("status").get<int>(),
          .body = json.at("body").get<std::string>(),
          .digest = json.at("digest").get<std::string>(),
          .body_kept = json.at("kept").get<bool>(),
          .worker = json.at("worker").get<std::string>()};
}

}  // namespace

int ClaimBucketOf(const std::string& team, const std::string& key) {
  return static_cast<int>(PlacementHash(team, key) % kClaimBuckets);
}

std::string ClaimSubject(int bucket) {
  return "claims/" + std::to_string(bucket);
}

ClaimHome::ClaimHome(Context context) : context_(std::move(context)) {}

ClaimHome::Bucket* ClaimHome::BucketFor(const std::string& team,
                                        const std::string& key) {
  const int number = ClaimBucketOf(team, key);
  Bucket& bucket = buckets_[number];
  if (bucket.journal == nullptr) {
    bucket.journal = std::make_unique<Journal>(
        context_, JournalOptions{.prefix = ClaimSubject(number) + "/"},
        [this, &bucket](const Json& record) { Apply(&bucket, record); });
  }
  return &bucket;
}

std::size_t ClaimHome::Pending() const {
  std::size_t pending = 0;
  for (const std::pair<const int, Bucket>& row : buckets_) {
    pending += row.second.journal->Pending() + row.second.awaiting_load.size();
  }
  return pending;
}

void ClaimHome::OnMessage(const PeerId& from, const Message& message) {
  if (const ClaimAsk* ask = std::get_if<ClaimAsk>(&message)) OnAsk(from, *ask);
  if (const ClaimDone* done = std::get_if<ClaimDone>(&message)) {
    OnDone(from, *done);
  }
}

void ClaimHome::OnAsk(const PeerId& from, const ClaimAsk& ask) {
  Bucket* bucket = BucketFor(ask.team, ask.key);
  if (!bucket->journal->Loaded()) {
    if (bucket->awaiting_load.empty()) {
      bucket->awaiting_load_since = context_.clock->Now();
    }
    bucket->awaiting_load.emplace_back(from, ask);
    bucket->journal->Load();
    AnswerAwaitingLoad(bucket);
    return;
  }
  if (ask.commit) {
    Commit(bucket, from, ask);
    return;
  }
  Reply(bucket, from, ask, ReplyFor(*bucket, ask));
}

void ClaimHome::Reply(Bucket* bucket, const PeerId& from, const ClaimAsk& ask,
                      const ClaimReply& reply) {
  if (reply.state == ClaimState::kInProgress) {
    // The first submission is likely to end soon; this one is then answered
    // with its outcome.
    bucket->deferred.try_emplace(ask.request_id,
                                 DeferredAsk{from, ask, context_.clock->Now()});
    return;
  }
  context_.bus->Send(from.instance, reply);
}

void ClaimHome::AnswerDeferred(Bucket* bucket) {
  const TimePoint now = context_.clock->Now();
  for (auto it = bucket->deferred.begin(); it != bucket->deferred.end();) {
    const DeferredAsk& row = it->second;
    const ClaimReply reply = ReplyFor(*bucket, row.ask);
    if (reply.state == ClaimState::kInProgress &&
        now - row.since < kDeferTimeout) {
      ++it;
      continue;
    }
    const DeferredAsk ended = row;
    it = bucket->deferred.erase(it);
    if (reply.state == ClaimState::kAbsent && ended.ask.commit) {
      Commit(bucket, ended.from, ended.ask);
    } else {
      context_.bus->Send(ended.from.instance, reply);
    }
  }
}

ClaimReply ClaimHome::ReplyFor(const Bucket& bucket,
                               const ClaimAsk& ask) const {
  ClaimReply reply{.request_id = ask.request_id,
                   .commit = ask.commit,
                   .state = ClaimState::kAbsent};
  const auto it = bucket.claims.find(ClaimName(ask.team, ask.key));
  if (it == bucket.claims.end()) return reply;
  const Claim& claim = it->second;
  if (claim.request_id == ask.request_id &&
      claim.state == ClaimState::kClaimed) {
    reply.state = ClaimState::kClaimed;
    return reply;
  }
  if (claim.body_digest != ask.body_digest) {
    reply.state = ClaimState::kReused;
    return reply;
  }
  reply.outcome = claim.outcome;
  reply.state = claim.state == ClaimState::kRecorded ? ClaimState::kRecorded
                                                     : ClaimState::kInProgress;
  return reply;
}

void ClaimHome::Commit(Bucket* bucket, const PeerId& from,
                       const ClaimAsk& ask) {
  ClaimReply now = ReplyFor(*bucket, ask);
  if (bucket->not_run_requests.contains(ask.request_id)) {
    // The asking entry has already recorded the request as not run, so this
    // ask arrived late.
    now.state = ClaimState::kUnavailable;
  }
  if (now.state != ClaimState::kAbsent) {
    Reply(bucket, from, ask, now);
    return;
  }
  const Json record = {{"kind", kClaimRecord},
                       {"name", ClaimName(ask.team, ask.key)},
                       {"digest", ask.body_digest},
                       {"request", ask.request_id},
                       {"micros", WallMicros()}};
  const auto is_unclaimed = [this, bucket, ask] {
    return !bucket->not_run_requests.contains(ask.request_id) &&
           ReplyFor(*bucket, ask).state == ClaimState::kAbsent;
  };
  bucket->journal->Append(record, is_unclaimed,
                          [this, bucket, from, ask](AppendResult result) {
                            ClaimReply reply = ReplyFor(*bucket, ask);
                            if (result == AppendResult::kNotWritten ||
                                result == AppendResult::kUnknown) {
                              reply.state = ClaimState::kUnavailable;
                            }
                            Reply(bucket, from, ask, reply);
                          });
}

void ClaimHome::OnDone(const PeerId& from, const ClaimDone& done) {
  Bucket* bucket = BucketFor(done.team, done.key);
  if (IsOutcomeRecorded(*bucket, done)) {
    context_.bus->Send(from.instance,
                       ClaimDoneAck{.request_id = done.request_id});
    return;
  }
  if (!bucket->recording.insert(done.request_id).second) return;
  // The outcome is final before it is stored, so repeated submissions are
  // answered with it without waiting for the write.
  const auto claim = bucket->claims.find(ClaimName(done.team, done.key));
  if (claim != bucket->claims.end() &&
      claim->second.request_id == done.request_id &&
      done.outcome.outcome != static_cast<int>(Outcome::kNotRun)) {
    claim->second.state = ClaimState::kRecorded;
    claim->second.outcome = done.outcome;
  }
  AnswerDeferred(bucket);
  const Json record = {{"kind", kDoneRecord},
                       {"name", ClaimName(done.team, done.key)},
                       {"request", done.request_id},
                       {"outcome", OutcomeJson(done.outcome)}};
  bucket->journal->AppendLazily(
      record, [this, bucket, from, done](AppendResult result) {
        bucket->recording.erase(done.request_id);
        if (result != AppendResult::kCommitted) return;
        context_.bus->Send(from.instance,
                           ClaimDoneAck{.request_id = done.request_id});
      });
}

bool ClaimHome::IsOutcomeRecorded(const Bucket& bucket, const ClaimDone& done) {
  if (bucket.not_run_requests.contains(done.request_id)) return true;
  if (bucket.recording.contains(done.request_id)) return false;
  const auto it = bucket.claims.find(ClaimName(done.team, done.key));
  return it != bucket.claims.end() &&
         it->second.request_id == done.request_id &&
         it->second.state == ClaimState::kRecorded;
}

void ClaimHome::Apply(Bucket* bucket, const Json& record) {
  const std::string name = record.at("name").get<std::string>();
  const std::string request = record.at("request").get<std::string>();
  if (record.at("kind") == kClaimRecord) {
    if (bucket->not_run_requests.contains(request)) return;
    // The first claim in the journal wins. Writers check before each swap that
    // the key is unclaimed.
    bucket->claims.emplace(
        name, Claim{.request_id = request,
                    .body_digest = record.at("digest").get<std::string>(),
                    .claimed_micros = record.at("micros").get<std::int64_t>()});
    return;
  }
  RecordedOutcome outcome = OutcomeOf(record.at("outcome"));
  const bool not_run = outcome.outcome == static_cast<int>(Outcome::kNotRun);
  if (not_run) bucket->not_run_requests.insert(request);
  const auto it = bucket->claims.find(name);
  if (it == bucket->claims.end() || it->second.request_id != request) return;
  if (not_run) {
    // The request did not run, so its key may be claimed again.
    bucket->claims.erase(it);
    return;
  }
  it->second.state = ClaimState::kRecorded;
  it->second.outcome = std::move(outcome);
}

void ClaimHome::AnswerAwaitingLoad(Bucket* bucket) {
  if (bucket->awaiting_load.empty()) return;
  const bool overdue =
      context_.clock->Now() - bucket->awaiting_load_since >= kLoadTimeout;
  if (!bucket->journal->Loaded() && !overdue) return;
  const std::vector<std::pair<PeerId, ClaimAsk>> awaiting_load =
      std::exchange(bucket->awaiting_load, {});
  for (const std::pair<PeerId, ClaimAsk>& row : awaiting_load) {
    if (bucket->journal->Loaded()) {
      OnAsk(row.first, row.second);
      continue;
    }
    context_.bus->Send(row.first.instance,
                       ClaimReply{.request_id = row.second.request_id,
                                  .commit = row.second.commit,
                                  .state = ClaimState::kUnavailable});
  }
}

void ClaimHome::ReadForDeferred(Bucket* bucket) {
  const TimePoint now = context_.clock->Now();
  if (bucket->deferred.empty() || now < bucket->next_deferred_read) return;
  bucket->next_deferred_read = now + kDeferredReadPeriod;
  bucket->journal->Refresh();
}

void ClaimHome::OnTick() {
  for (std::pair<const int, Bucket>& row : buckets_) {
    row.second.journal->OnTick();
    if (!row.second.awaiting_load.empty()) row.second.journal->Load();
    AnswerAwaitingLoad(&row.second);
    ReadForDeferred(&row.second);
    AnswerDeferred(&row.second);
  }
  ExpireClaims();
}

void ClaimHome::ExpireClaims() {
  const TimePoint now = context_.clock->Now();
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryPeriod;
  const ViewPtr view = context_.views->Current();
  if (view->intent == nullptr) return;
  const Millis retention = view->intent->claim_retention;
  const std::int64_t limit =
      WallMicros() -
      std::chrono::duration_cast<std::chrono::microseconds>(retention).count();
  for (std::pair<const int, Bucket>& row : buckets_) {
    row.second.journal->ExpireSegments(retention);
    std::erase_if(row.second.claims,
                  [limit](const std::pair<const std::string, Claim>& claim) {
                    return claim.second.claimed_micros < limit;
                  });
  }
}

}  // namespace basilusher
