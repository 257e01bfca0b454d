// Submissions, states and cancellations through the store, the owner and peers.
#include "basilusher/Node/JobFront.h"

#include <algorithm>

#include "basilusher/Support/Base64.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

constexpr Millis kRetryDelay{60};
constexpr Millis kOwnerTimeout{350};
constexpr Millis kPeerTimeout{900};
/// A store that only refuses is tried this often before the caller is told.
constexpr int kMaxRefusals = 3;

Json EncodeFound(const FindAnswer& answer) {
  Json out = {{"known", answer.result == FindResult::kFound}};
  if (answer.result == FindResult::kFound) {
    out["state"] = NameOf(kJobStateNames, answer.job.state);
    out["queue"] = answer.job.queue;
  }
  return out;
}

FindAnswer DecodeFound(const Json& in) {
  if (!in.value("known", false)) return {.result = FindResult::kAbsent};
  const std::optional<JobState> state =
      ValueOf(kJobStateNames, in.value("state", std::string()));
  if (!state) return {.result = FindResult::kUnavailable};
  return {.result = FindResult::kFound,
          .job = {.state = *state, .queue = in.value("queue", "")}};
}

}  // namespace

struct JobFront::Submission {
  std::string id;
  std::string record;
  TimePoint deadline;
  std::function<void(SubmitResult)> done;
  /// A try may still take effect at the store.
  bool open_try = false;
  int refusals = 0;
  bool asked_peer = false;
};

JobFront::JobFront(JobFrontPorts ports, RecordKeys keys,
                   std::shared_ptr<NodeAgent> agent,
                   std::shared_ptr<CatalogKeeper> catalogs)
    : ports_(ports),
      keys_(std::move(keys)),
      agent_(std::move(agent)),
      catalogs_(std::move(catalogs)) {}

std::string JobFront::AnyPeer() const {
  const OwnerView* owner = agent_->RemoteOwner();
  if (owner != nullptr) return owner->address;
  for (const auto& [node, address] : agent_->Peers()) return address;
  return {};
}

void JobFront::Submit(const JobSpec& job, TimePoint deadline,
                      std::function<void(SubmitResult)> done) {
  const std::shared_ptr<Submission> submission = std::make_shared<Submission>();
  submission->id = job.id;
  submission->record = EncodeJobSpec(job);
  submission->deadline = deadline;
  submission->done = std::move(done);
  if (!catalogs_->StoreFresh() && !AnyPeer().empty()) {
    SubmitThroughPeer(submission);
    return;
  }
  TrySubmit(submission);
}

void JobFront::TrySubmit(const std::shared_ptr<Submission>& submission) {
  if (ports_.clock->Now() >= submission->deadline) {
    submission->done(submission->open_try ? SubmitResult::kUnknown
                                          : SubmitResult::kRefused);
    return;
  }
  Txn txn;
  txn.conditions.push_back({keys_.job_prefix + submission->id, 0});
  txn.conditions.push_back({keys_.final_prefix + submission->id, 0});
  txn.writes.push_back(
      {.key = keys_.job_prefix + submission->id, .value = submission->record});
  ports_.store->Commit(
      txn, [self = shared_from_this(), submission](const StoreAnswer& answer) {
        switch (answer.status) {
          case TxnStatus::kOk:
          case TxnStatus::kConflict:
            // A conflict means that the id is stored already, by an earlier try
            // or by an earlier submission.
            submission->done(SubmitResult::kAccepted);
            return;
          case TxnStatus::kLost:
            submission->open_try = true;
            break;
          default:
            ++submission->refusals;
            if (!submission->open_try && submission->refusals >= kMaxRefusals) {
              if (!submission->asked_peer && !self->AnyPeer().empty()) {
                self->SubmitThroughPeer(submission);
              } else {
                submission->done(SubmitResult::kRefused);
              }
              return;
            }
        }
        self->ports_.timers->After(
            kRetryDelay, [self, submission] { self->TrySubmit(submission); });
      });
}

void JobFront::SubmitThroughPeer(
    const std::shared_ptr<Submission>& submission) {
  submission->asked_peer = true;
  const Millis left = submission->deadline - ports_.clock->Now();
  if (left <= Millis(0)) return TrySubmit(submission);
  ports_.peers->Call(
      AnyPeer(), PeerPaths::kSubmit,
      {{"job", submission->id},
       {"record", EncodeBase64(submission->record)},
       {"timeout_ms", std::min(left, kPeerTimeout).count()}},
      std::min(left, kPeerTimeout),
      [self = shared_from_this(), submission](std::optional<Json> answer) {
        const std::optional<SubmitResult> result =
            answer ? ValueOf(kSubmitResultNames,
                             answer->value("result", std::string()))
                   : std::nullopt;
        if (result == SubmitResult::kAccepted) {
          submission->done(*result);
          return;
        }
        // Only a definite refusal leaves nothing open at the peer.
        if (result != SubmitResult::kRefused) submission->open_try = true;
        self->TrySubmit(submission);
      });
}

void JobFront::Find(const std::string& job, TimePoint deadline,
                    std::function<void(FindAnswer)> done) {
  PartitionOwner* owner = agent_->LocalOwner();
  if (owner != nullptr) {
    const std::optional<ShownJob> shown = owner->Find(job);
    if (shown) {
      done({.result = FindResult::kFound, .job = *shown});
      return;
    }
    FindInStore(job, deadline, std::move(done));
    return;
  }
  const OwnerView* remote = agent_->RemoteOwner();
  if (remote == nullptr) {
    FindInStore(job, deadline, std::move(done));
    return;
  }
  ports_.peers->Call(
      remote->address, PeerPaths::kFind, {{"job", job}}, kOwnerTimeout,
      [self = shared_from_this(), job, deadline,
       done = std::move(done)](std::optional<Json> answer) {
        const FindAnswer found = answer ? DecodeFound(*answer) : FindAnswer{};
        if (found.result == FindResult::kFound) {
          done(found);
          return;
        }
        // The owner may not have heard of the job yet; the store decides.
        self->FindInStore(job, deadline, done);
      });
}

void JobFront::FindInStore(const std::string& job, TimePoint deadline,
                           std::function<void(FindAnswer)> done) {
  if (ports_.clock->Now() >= deadline) {
    done({.result = FindResult::kUnavailable});
    return;
  }
  const auto again = [self = shared_from_this(), job, deadline, done] {
    self->ports_.timers->After(kRetryDelay, [self, job, deadline, done] {
      self->FindInStore(job, deadline, done);
    });
  };
  // The job's record goes in the same transaction that writes its final state:
  // reading them in this order never misses both.
  ports_.store->Get(keys_.job_prefix + job, [self = shared_from_this(), job,
                                             done,
                                             again](const StoreAnswer& a) {
    if (a.status == TxnStatus::kOk && !a.items.empty()) {
      try {
        const JobSpec spec = DecodeJobSpec(a.items.front().value);
        done({.result = FindResult::kFound,
              .job = {.state = JobState::kQueued, .queue = spec.queue}});
      } catch (const Error& error) {
        LogEvent(LogLevel::kError, "job-unreadable",
                 {{"job", job}, {"error", error.what()}});
        done({.result = FindResult::kUnavailable});
      }
      return;
    }
    if (a.status != TxnStatus::kNotFound) return again();
    self->ports_.store->Get(
        self->keys_.final_prefix + job, [done, again](const StoreAnswer& b) {
          if (b.status == TxnStatus::kNotFound) {
            done({.result = FindResult::kAbsent});
            return;
          }
          if (b.status != TxnStatus::kOk || b.items.empty()) {
            return again();
          }
          const Json record =
              Json::parse(b.items.front().value, nullptr, false);
          const std::optional<JobState> state =
              record.is_object()
                  ? ValueOf(kJobStateNames, record.value("s", ""))
                  : std::nullopt;
          if (!state) return done({.result = FindResult::kUnavailable});
          done({.result = FindResult::kFound,
                .job = {.state = *state, .queue = record.value("q", "")}});
        });
  });
}

void JobFront::Cancel(const std::string& job, TimePoint deadline,
                      std::function<void(CancelResult)> done) {
  const std::string peer = AnyPeer();
  if (catalogs_->StoreFresh() || peer.empty()) {
    CancelInStore(job, deadline, std::move(done));
    return;
  }
  ports_.peers->Call(peer, PeerPaths::kCancel, {{"job", job}}, kPeerTimeout,
                     [self = shared_from_this(), job, deadline,
                      done = std::move(done)](std::optional<Json> answer) {
                       if (answer && answer->contains("known")) {
                         done(answer->value("known", false)
                                  ? CancelResult::kDone
                                  : CancelResult::kAbsent);
                         return;
                       }
                       self->CancelInStore(job, deadline, done);
                     });
}

void JobFront::CancelInStore(const std::string& job, TimePoint deadline,
                             std::function<void(CancelResult)> done) {
  if (ports_.clock->Now() >= deadline) {
    done(CancelResult::kUnavailable);
    return;
  }
  const auto again = [self = shared_from_this(), job, deadline, done] {
    self->ports_.timers->After(kRetryDelay, [self, job, deadline, done] {
      self->CancelInStore(job, deadline, done);
    });
  };
  ports_.store->Get(
      keys_.job_prefix + job, [self = shared_from_this(), job, deadline, done,
                               again](const StoreAnswer& a) {
        if (a.status == TxnStatus::kNotFound) {
          // Ended or never accepted: tell which.
          self->FindInStore(job, deadline, [done](const FindAnswer& found) {
            done(found.result == FindResult::kFound ? CancelResult::kDone
                 : found.result == FindResult::kAbsent
                     ? CancelResult::kAbsent
                     : CancelResult::kUnavailable);
          });
          return;
        }
        if (a.status != TxnStatus::kOk || a.items.empty()) return again();
        Txn txn;
        txn.conditions.push_back(
            {self->keys_.job_prefix + job, a.items.front().revision});
        txn.writes.push_back(
            {.key = self->keys_.cancel_prefix + job, .value = "1"});
        self->ports_.store->Commit(txn, [done, again](const StoreAnswer& b) {
          if (b.status == TxnStatus::kOk) return done(CancelResult::kDone);
          again();
        });
      });
}

void JobFront::Pending(const std::string& queue,
                       std::function<void(std::optional<int>)> done) {
  PartitionOwner* owner = agent_->LocalOwner();
  if (owner != nullptr) return done(owner->Pending(queue));
  const OwnerView* remote = agent_->RemoteOwner();
  if (remote == nullptr) return done(std::nullopt);
  ports_.peers->Call(remote->address, PeerPaths::kPending, {{"queue", queue}},
                     kOwnerTimeout,
                     [done = std::move(done)](std::optional<Json> answer) {
                       if (!answer) return done(std::nullopt);
                       done(answer->value("pending", 0));
                     });
}

void JobFront::Serve(PeerServer* server) {
  const std::weak_ptr<JobFront> weak = weak_from_this();
  server->On(PeerPaths::kFind, [weak](const Json& body, PeerCallback done) {
    const std::shared_ptr<JobFront> self = weak.lock();
    PartitionOwner* owner =
        self == nullptr ? nullptr : self->agent_->LocalOwner();
    if (owner == nullptr) return done(std::nullopt);
    const std::optional<ShownJob> shown = owner->Find(body.at("job"));
    FindAnswer answer{.result = FindResult::kAbsent};
    if (shown) answer = {.result = FindResult::kFound, .job = *shown};
    done(EncodeFound(answer));
  });
  server->On(PeerPaths::kPending, [weak](const Json& body, PeerCallback done) {
    const std::shared_ptr<JobFront> self = weak.lock();
    PartitionOwner* owner =
        self == nullptr ? nullptr : self->agent_->LocalOwner();
    if (owner == nullptr) return done(std::nullopt);
    done(Json{{"pending", owner->Pending(body.at("queue"))}});
  });
  server->On(PeerPaths::kSubmit, [weak](const Json& body, PeerCallback done) {
    const std::shared_ptr<JobFront> self = weak.lock();
    if (self == nullptr || !self->catalogs_->StoreFresh()) {
      return done(Json{{"result", "refused"}});
    }
    const std::shared_ptr<Submission> submission =
        std::make_shared<Submission>();
    submission->id = body.at("job").get<std::string>();
    submission->record = DecodeBase64(body.at("record").get<std::string>());
    submission->deadline =
        self->ports_.clock->Now() + Millis(body.value("timeout_ms", 500));
    submission->asked_peer = true;
    submission->done = [done](SubmitResult result) {
      done(Json{{"result", NameOf(kSubmitResultNames, result)}});
    };
    self->TrySubmit(submission);
  });
  server->On(PeerPaths::kCancel, [weak](const Json& body, PeerCallback done) {
    const std::shared_ptr<JobFront> self = weak.lock();
    if (self == nullptr || !self->catalogs_->StoreFresh()) {
      return done(std::nullopt);
    }
    self->CancelInStore(body.at("job"),
                        self->ports_.clock->Now() + kPeerTimeout,
                        [done](CancelResult result) {
                          if (result == CancelResult::kUnavailable) {
                            return done(std::nullopt);
                          }
                          done(Json{{"known", result == CancelResult::kDone}});
                        });
  });
}

}  // namespace basilusher
