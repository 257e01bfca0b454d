// State of a job from the owner, or from its records in the store.
#include "basilusher/Node/JobLookup.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

constexpr Millis kRetryDelay{60};
constexpr Millis kOwnerTimeout{350};
/// Lines a second about requests that were not answered.
constexpr int kMaxFailureLines = 20;

Json EncodeFound(const FindAnswer& answer) {
  Json out = {{"known", answer.result == FindResult::kFound}};
  if (answer.result == FindResult::kFound) {
    out["state"] = NameOf(kJobStateNames, answer.job.state);
    out["queue"] = answer.job.queue;
  }
  return out;
}

FindAnswer DecodeFound(const Json& in) {
  if (!FieldOr(in, "known", false)) return {.result = FindResult::kAbsent};
  const std::optional<JobState> state =
      ValueOf(kJobStateNames, FieldOr(in, "state", std::string()));
  if (!state) return {.result = FindResult::kUnavailable};
  return {
      .result = FindResult::kFound,
      .job = {.state = *state, .queue = FieldOr(in, "queue", std::string())}};
}

}  // namespace

struct JobLookup::Request {
  std::string job;
  TimePoint asked_at;
  TimePoint deadline;
  std::function<void(FindAnswer)> done;
  OwnerReply owner = OwnerReply::kNotAsked;
  /// Attempts to read the job's records.
  int tries = 0;
  bool answered = false;
  /// Outcome of the last read of each record; nothing if there was none.
  std::optional<TxnStatus> job_read;
  std::optional<TxnStatus> final_read;
};

JobLookup::JobLookup(JobFrontPorts ports, CallLimiterOptions limits,
                     RecordKeys keys, std::shared_ptr<NodeAgent> agent,
                     std::shared_ptr<CatalogKeeper> catalogs)
    : ports_(ports),
      keys_(std::move(keys)),
      agent_(std::move(agent)),
      catalogs_(std::move(catalogs)),
      reads_(ports_.clock, limits),
      log_budget_(kMaxFailureLines) {}

void JobLookup::Find(const std::string& job, TimePoint deadline,
                     std::function<void(FindAnswer)> done) {
  const std::shared_ptr<Request> request =
      std::make_shared<Request>(Request{.job = job,
                                        .asked_at = ports_.clock->Now(),
                                        .deadline = deadline,
                                        .done = std::move(done)});
  PartitionOwner* owner = agent_->LocalOwner();
  if (owner != nullptr) {
    const std::optional<JobStatus> shown = owner->Find(job);
    if (shown) {
      return Answer(request, "owner",
                    {.result = FindResult::kFound, .job = *shown});
    }
    request->owner = OwnerReply::kNotShownHere;
    return AskStore(request);
  }
  const OwnerView* remote = agent_->RemoteOwner();
  if (remote == nullptr) {
    request->owner = OwnerReply::kNoOwner;
    return AskStore(request);
  }
  // Half of the caller's time is left for the store.
  const Millis timeout =
      std::min(kOwnerTimeout, (deadline - request->asked_at) / 2);
  ports_.peers->Call(
      remote->address, PeerPaths::kFind, {{"job", job}}, timeout,
      [self = shared_from_this(), request](std::optional<Json> answer) {
        const FindAnswer found = answer ? DecodeFound(*answer) : FindAnswer{};
        if (found.result == FindResult::kFound) {
          return self->Answer(request, "owner", found);
        }
        request->owner = answer ? OwnerReply::kNotShown : OwnerReply::kNoAnswer;
        // The owner may not have heard of the job yet; the store decides.
        self->AskStore(request);
      });
}

void JobLookup::FindInStore(const std::string& job, TimePoint deadline,
                            std::function<void(FindAnswer)> done) {
  AskStore(std::make_shared<Request>(Request{.job = job,
                                             .asked_at = ports_.clock->Now(),
                                             .deadline = deadline,
                                             .done = std::move(done)}));
}

void JobLookup::AskStore(const std::shared_ptr<Request>& request) {
  const Millis left = request->deadline - ports_.clock->Now();
  if (left <= Millis(0)) return Fail(request, LookupFailure::kStoreUnanswered);
  ports_.timers->After(left, [self = shared_from_this(), request] {
    self->Fail(request, LookupFailure::kStoreUnanswered);
  });
  ReadJob(request);
}

void JobLookup::ReadLater(const std::shared_ptr<Request>& request) {
  ports_.timers->After(kRetryDelay, [self = shared_from_this(), request] {
    self->ReadJob(request);
  });
}

void JobLookup::ReadJob(const std::shared_ptr<Request>& request) {
  if (request->answered) return;
  if (!reads_.TryBegin()) return ReadLater(request);
  ++request->tries;
  // The job's record goes in the same transaction that writes its final state:
  // reading them in this order never misses both.
  ports_.store->Get(
      keys_.job_prefix + request->job,
      [self = shared_from_this(), request](const StoreAnswer& answer) {
        request->job_read = answer.status;
        if (answer.status == TxnStatus::kNotFound) {
          return self->ReadFinal(request);
        }
        self->reads_.End(answer.status);
        if (answer.status != TxnStatus::kOk || answer.items.empty()) {
          return self->ReadLater(request);
        }
        try {
          const JobSpec spec = DecodeJobSpec(answer.items.front().value);
          self->Answer(
              request, "job-record",
              {.result = FindResult::kFound,
               .job = {.state = JobState::kQueued, .queue = spec.queue}});
        } catch (const Error& error) {
          LogEvent(LogLevel::kError, "job-unreadable",
                   {{"job", request->job}, {"error", error.what()}});
          self->Fail(request, LookupFailure::kJobUnreadable);
        }
      });
}

void JobLookup::ReadFinal(const std::shared_ptr<Request>& request) {
  ports_.store->Get(
      keys_.final_prefix + request->job,
      [self = shared_from_this(), request](const StoreAnswer& answer) {
        self->reads_.End(answer.status);
        request->final_read = answer.status;
        if (answer.status == TxnStatus::kNotFound) {
          return self->Answer(request, "no-record",
                              {.result = FindResult::kAbsent});
        }
        if (answer.status != TxnStatus::kOk || answer.items.empty()) {
          return self->ReadLater(request);
        }
        const Json record =
            Json::parse(answer.items.front().value, nullptr, false);
        const std::optional<JobState> state =
            ValueOf(kJobStateNames, FieldOr(record, "s", std::string()));
        if (!state) {
          return self->Fail(request, LookupFailure::kFinalUnreadable);
        }
        self->Answer(request, "final-record",
                     {.result = FindResult::kFound,
                      .job = {.state = *state,
                              .queue = FieldOr(record, "q", std::string())}});
      });
}

void JobLookup::Answer(const std::shared_ptr<Request>& request,
                       const char* source, FindAnswer answer) {
  if (request->answered) return;
  request->answered = true;
  if (ports_.counters != nullptr) {
    ports_.counters->Add(std::string("lookups_total{source=\"") + source +
                         "\"}");
  }
  request->done(std::move(answer));
}

void JobLookup::Fail(const std::shared_ptr<Request>& request,
                     LookupFailure failure) {
  if (request->answered) return;
  request->answered = true;
  const TimePoint now = ports_.clock->Now();
  if (ports_.counters != nullptr) {
    ports_.counters->Add(std::string("lookups_failed_total{cause=\"") +
                         std::string(NameOf(kLookupFailureNames, failure)) +
                         "\"}");
  }
  if (log_budget_.Take(now)) {
    const auto status = [](const std::optional<TxnStatus>& read) {
      return read ? Json(NameOf(kTxnStatusNames, *read)) : Json();
    };
    const std::shared_ptr<const Catalog>& catalog = catalogs_->Newest();
    LogEvent(LogLevel::kWarning, "lookup-failed",
             {{"job", request->job},
              {"cause", NameOf(kLookupFailureNames, failure)},
              {"owner", NameOf(kOwnerReplyNames, request->owner)},
              {"term", agent_->OwnerTerm()},
              {"tries", request->tries},
              {"job_read", status(request->job_read)},
              {"final_read", status(request->final_read)},
              {"store", NameOf(kStoreReachNames, catalogs_->Reach())},
              {"version", catalog == nullptr ? 0 : catalog->version},
              {"waited_ms", (now - request->asked_at).count()},
              {"left_ms", (request->deadline - now).count()},
              {"omitted", log_budget_.TakeOmitted()}});
  }
  request->done({.result = FindResult::kUnavailable});
}

void JobLookup::Serve(PeerMethods* methods) {
  methods->On(PeerPaths::kFind, [weak = weak_from_this()](const Json& body,
                                                          PeerCallback done) {
    const std::shared_ptr<JobLookup> self = weak.lock();
    PartitionOwner* owner =
        self == nullptr ? nullptr : self->agent_->LocalOwner();
    if (owner == nullptr) return done(std::nullopt);
    const std::optional<JobStatus> shown = owner->Find(body.at("job"));
    FindAnswer answer{.result = FindResult::kAbsent};
    if (shown) answer = {.result = FindResult::kFound, .job = *shown};
    done(EncodeFound(answer));
  });
}

}  // namespace basilusher
