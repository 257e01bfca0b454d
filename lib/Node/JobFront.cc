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
/// Lines a second about submissions that were not accepted.
constexpr int kMaxNotAcceptedLines = 20;

}  // namespace

struct JobFront::Submission {
  std::string id;
  std::string record;
  /// Term that the record names.
  std::int64_t offered_term = 0;
  TimePoint deadline;
  std::function<void(SubmitResult)> done;
  /// A try may still take effect at the store.
  bool open_try = false;
  /// A try has been sent and its outcome has not come yet.
  bool try_pending = false;
  /// Answered because the node stops; nothing more is tried.
  bool given_up = false;
  int refusals = 0;
  /// False for what a peer has handed on already.
  bool may_use_peers = true;
  /// The last try went straight to the store and was not answered.
  bool store_silent = false;
};

JobFront::JobFront(JobFrontPorts ports, JobFrontOptions options,
                   std::shared_ptr<NodeAgent> agent,
                   std::shared_ptr<CatalogKeeper> catalogs)
    : ports_(ports),
      keys_(std::move(options.keys)),
      agent_(std::move(agent)),
      catalogs_(std::move(catalogs)),
      submissions_(ports_.clock, options.submissions),
      notifier_(std::make_shared<CancellationNotifier>(
          ports_.peers, ports_.timers, ports_.clock, agent_,
          options.cancel_bound)),
      lookup_(std::make_shared<JobLookup>(ports_, options.lookups, keys_,
                                          agent_, catalogs_)),
      not_accepted_lines_(kMaxNotAcceptedLines) {}

std::string JobFront::NextPeer() {
  std::vector<std::string> peers = catalogs_->PeersWithStore();
  if (peers.empty()) {
    for (const auto& [node, address] : agent_->Peers()) {
      peers.push_back(address);
    }
  }
  return peers.empty() ? std::string() : peers[peers_taken_++ % peers.size()];
}

template <typename Answer>
std::function<void(Answer)> JobFront::Track(
    std::function<void(Answer)> done, std::function<Answer()> if_given_up) {
  const std::uint64_t caller = ++callers_;
  std::function<void(Answer)> answer_once =
      [weak = weak_from_this(), caller, done = std::move(done)](Answer answer) {
        const std::shared_ptr<JobFront> self = weak.lock();
        if (self == nullptr || self->waiting_.erase(caller) == 0) return;
        done(std::move(answer));
      };
  waiting_[caller] = [answer_once, if_given_up = std::move(if_given_up)] {
    answer_once(if_given_up());
  };
  return answer_once;
}

void JobFront::Submit(const JobSpec& job, TimePoint deadline,
                      std::function<void(SubmitResult)> done) {
  const std::shared_ptr<Submission> submission = std::make_shared<Submission>();
  submission->id = job.id;
  JobSpec offered = job;
  offered.offered_term = agent_->OwnerTerm();
  submission->offered_term = offered.offered_term;
  submission->record = EncodeJobSpec(offered);
  submission->deadline = deadline;
  if (closed_) {
    submission->done = std::move(done);
    return Finish(submission, SubmitResult::kRefused);
  }
  submission->done = Track<SubmitResult>(std::move(done), [this, submission] {
    submission->given_up = true;
    const SubmitResult result = submission->open_try || submission->try_pending
                                    ? SubmitResult::kUnknown
                                    : SubmitResult::kRefused;
    LogNotAccepted(*submission, result);
    return result;
  });
  Advance(submission);
}

void JobFront::AnswerAll() {
  closed_ = true;
  // Each answer takes its own entry out.
  const std::map<std::uint64_t, std::function<void()>> waiting = waiting_;
  for (const auto& [caller, answer] : waiting) answer();
}

void JobFront::LogNotAccepted(const Submission& submission,
                              SubmitResult result) {
  if (ports_.counters != nullptr) {
    ports_.counters->Add("submissions_not_accepted_total{result=\"" +
                         std::string(NameOf(kSubmitResultNames, result)) +
                         "\"}");
  }
  if (!not_accepted_lines_.Take(ports_.clock->Now())) return;
  LogEvent(LogLevel::kWarning, "submission-not-accepted",
           {{"job", submission.id},
            {"result", NameOf(kSubmitResultNames, result)},
            {"store", NameOf(kStoreReachNames, catalogs_->Reach())},
            {"refusals", submission.refusals},
            {"stopping", submission.given_up || closed_},
            {"left_ms", (submission.deadline - ports_.clock->Now()).count()},
            {"omitted", not_accepted_lines_.TakeOmitted()}});
}

void JobFront::Finish(const std::shared_ptr<Submission>& submission,
                      SubmitResult result) {
  if (submission->given_up) return;
  if (result != SubmitResult::kAccepted) LogNotAccepted(*submission, result);
  submission->done(result);
}

void JobFront::AdvanceLater(const std::shared_ptr<Submission>& submission) {
  ports_.timers->After(kRetryDelay, [self = shared_from_this(), submission] {
    self->Advance(submission);
  });
}

void JobFront::Advance(const std::shared_ptr<Submission>& submission) {
  if (submission->given_up) return;
  if (ports_.clock->Now() >= submission->deadline) {
    return Finish(submission, submission->open_try ? SubmitResult::kUnknown
                                                   : SubmitResult::kRefused);
  }
  const StoreReach reach = catalogs_->Reach();
  if (reach == StoreReach::kNone && !submission->open_try) {
    return Finish(submission, SubmitResult::kRefused);
  }
  if (reach == StoreReach::kUnknown && !submission->open_try) {
    return AdvanceLater(submission);
  }
  const bool other_way = submission->store_silent;
  submission->store_silent = false;
  if (submission->may_use_peers &&
      (reach == StoreReach::kThroughPeers || other_way)) {
    const std::string peer = NextPeer();
    if (!peer.empty()) return SubmitThroughPeer(submission, peer);
  }
  SubmitToStore(submission);
}

void JobFront::SubmitToStore(const std::shared_ptr<Submission>& submission) {
  if (!submissions_.TryBegin()) return OnStoreRefusal(submission);
  Txn txn;
  txn.conditions.push_back({keys_.job_prefix + submission->id, 0});
  txn.conditions.push_back({keys_.final_prefix + submission->id, 0});
  txn.writes.push_back(
      {.key = keys_.job_prefix + submission->id, .value = submission->record});
  submission->try_pending = true;
  ports_.store->Commit(
      txn, [self = shared_from_this(), submission](const StoreAnswer& answer) {
        self->submissions_.End(answer.status);
        submission->try_pending = false;
        switch (answer.status) {
          case TxnStatus::kOk:
            self->Offer(*submission, answer.revision);
            return self->Finish(submission, SubmitResult::kAccepted);
          case TxnStatus::kConflict:
            // A conflict means that the id is stored already, by an earlier try
            // or by an earlier submission.
            return self->Finish(submission, SubmitResult::kAccepted);
          case TxnStatus::kLost:
            submission->open_try = true;
            submission->store_silent = true;
            // Settled by the next try, there or through a peer.
            return self->Advance(submission);
          default:
            submission->store_silent = true;
            return self->OnStoreRefusal(submission);
        }
      });
}

void JobFront::OnStoreRefusal(const std::shared_ptr<Submission>& submission) {
  ++submission->refusals;
  if (!submission->open_try && submission->refusals >= kMaxRefusals) {
    return Finish(submission, SubmitResult::kRefused);
  }
  AdvanceLater(submission);
}

void JobFront::Offer(const Submission& submission, std::int64_t revision) {
  // Told only to the owner that the record names: a later one relies on that.
  if (submission.offered_term == 0 ||
      submission.offered_term != agent_->OwnerTerm()) {
    return;
  }
  PartitionOwner* owner = agent_->LocalOwner();
  if (owner != nullptr) {
    owner->OfferJob(submission.id, revision, submission.record);
    return;
  }
  const OwnerView* remote = agent_->RemoteOwner();
  if (remote == nullptr) return;
  ports_.peers->Call(remote->address, PeerPaths::kOffer,
                     {{"job", submission.id},
                      {"term", submission.offered_term},
                      {"revision", revision},
                      {"record", EncodeBase64(submission.record)}},
                     kOwnerTimeout, [](std::optional<Json>) {
                       // The owner's watch finds what it was not told.
                     });
}

void JobFront::SubmitThroughPeer(const std::shared_ptr<Submission>& submission,
                                 const std::string& peer) {
  const Millis timeout =
      std::min(submission->deadline - ports_.clock->Now(), kPeerTimeout);
  submission->try_pending = true;
  ports_.peers->Call(
      peer, PeerPaths::kSubmit,
      {{"job", submission->id},
       {"record", EncodeBase64(submission->record)},
       {"term", submission->offered_term},
       {"timeout_ms", timeout.count()}},
      timeout,
      [self = shared_from_this(), submission](std::optional<Json> answer) {
        submission->try_pending = false;
        const std::optional<SubmitResult> result =
            answer ? ValueOf(kSubmitResultNames,
                             FieldOr(*answer, "result", std::string()))
                   : std::nullopt;
        if (result == SubmitResult::kAccepted) {
          return self->Finish(submission, *result);
        }
        // Only a definite refusal leaves nothing open at the peer.
        if (result == SubmitResult::kRefused) {
          ++submission->refusals;
        } else {
          submission->open_try = true;
        }
        if (!submission->open_try && submission->refusals >= kMaxRefusals) {
          return self->Finish(submission, SubmitResult::kRefused);
        }
        self->AdvanceLater(submission);
      });
}

void JobFront::Find(const std::string& job, TimePoint deadline,
                    std::function<void(FindAnswer)> done) {
  if (closed_) return done({.result = FindResult::kUnavailable});
  done = Track<FindAnswer>(std::move(done), [] {
    return FindAnswer{.result = FindResult::kUnavailable};
  });
  lookup_->Find(job, deadline, std::move(done));
}

void JobFront::Cancel(const std::string& job, TimePoint deadline,
                      std::function<void(CancelResult)> done) {
  if (closed_) return done(CancelResult::kUnavailable);
  done = Track<CancelResult>(std::move(done),
                             [] { return CancelResult::kUnavailable; });
  const std::string peer = catalogs_->StoreFresh() ? "" : NextPeer();
  if (peer.empty()) {
    CancelInStore(job, deadline, std::move(done));
    return;
  }
  ports_.peers->Call(peer, PeerPaths::kCancel, {{"job", job}}, kPeerTimeout,
                     [self = shared_from_this(), job, deadline,
                      done = std::move(done)](std::optional<Json> answer) {
                       if (answer && answer->contains("known")) {
                         done(FieldOr(*answer, "known", false)
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
          self->lookup_->FindInStore(
              job, deadline, [done](const FindAnswer& found) {
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
        self->ports_.store->Commit(
            txn, [self, job, done, again](const StoreAnswer& b) {
              if (b.status != TxnStatus::kOk) return again();
              self->notifier_->Tell(job);
              done(CancelResult::kDone);
            });
      });
}

void JobFront::Pending(const std::string& queue,
                       std::function<void(std::optional<int>)> done) {
  if (closed_) return done(std::nullopt);
  done = Track<std::optional<int>>(std::move(done),
                                   [] { return std::optional<int>(); });
  PartitionOwner* owner = agent_->LocalOwner();
  if (owner != nullptr) return done(owner->Pending(queue));
  const OwnerView* remote = agent_->RemoteOwner();
  if (remote == nullptr) return done(std::nullopt);
  ports_.peers->Call(
      remote->address, PeerPaths::kPending, {{"queue", queue}}, kOwnerTimeout,
      [done = std::move(done)](std::optional<Json> answer) {
        const int pending = answer ? FieldOr(*answer, "pending", -1) : -1;
        if (pending < 0) return done(std::nullopt);
        done(pending);
      });
}

void JobFront::Serve(PeerMethods* methods) {
  lookup_->Serve(methods);
  const std::weak_ptr<JobFront> weak = weak_from_this();
  methods->On(PeerPaths::kOffer, [weak](const Json& body, PeerCallback done) {
    const std::shared_ptr<JobFront> self = weak.lock();
    PartitionOwner* owner =
        self == nullptr ? nullptr : self->agent_->LocalOwner();
    if (owner == nullptr ||
        owner->Term() != body.at("term").get<std::int64_t>()) {
      return done(std::nullopt);
    }
    owner->OfferJob(body.at("job"), body.at("revision"),
                    DecodeBase64(body.at("record").get<std::string>()));
    done(Json::object());
  });
  methods->On(PeerPaths::kCancelled,
              [weak](const Json& body, PeerCallback done) {
                const std::shared_ptr<JobFront> self = weak.lock();
                PartitionOwner* owner =
                    self == nullptr ? nullptr : self->agent_->LocalOwner();
                if (owner == nullptr) return done(std::nullopt);
                owner->NoteCancelled(body.at("job"));
                done(Json{{"term", owner->Term()}});
              });
  methods->On(PeerPaths::kPending, [weak](const Json& body, PeerCallback done) {
    const std::shared_ptr<JobFront> self = weak.lock();
    PartitionOwner* owner =
        self == nullptr ? nullptr : self->agent_->LocalOwner();
    if (owner == nullptr) return done(std::nullopt);
    const std::optional<int> pending = owner->Pending(body.at("queue"));
    if (!pending) return done(std::nullopt);
    done(Json{{"pending", *pending}});
  });
  methods->On(PeerPaths::kSubmit, [weak](const Json& body, PeerCallback done) {
    const std::shared_ptr<JobFront> self = weak.lock();
    if (self == nullptr || !self->catalogs_->StoreFresh()) {
      return done(Json{{"result", "refused"}});
    }
    const std::shared_ptr<Submission> submission =
        std::make_shared<Submission>();
    submission->id = body.at("job").get<std::string>();
    submission->record = DecodeBase64(body.at("record").get<std::string>());
    submission->offered_term = body.value("term", std::int64_t{0});
    submission->deadline =
        self->ports_.clock->Now() + Millis(body.value("timeout_ms", 500));
    submission->may_use_peers = false;
    submission->done = [done](SubmitResult result) {
      done(Json{{"result", NameOf(kSubmitResultNames, result)}});
    };
    self->SubmitToStore(submission);
  });
  methods->On(PeerPaths::kCancel, [weak](const Json& body, PeerCallback done) {
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
