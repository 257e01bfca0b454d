// What submitters can do, on any node: hand in, follow and cancel jobs.
#ifndef BASILUSHER_NODE_JOBFRONT_H_
#define BASILUSHER_NODE_JOBFRONT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "basilusher/Node/CallLimiter.h"
#include "basilusher/Node/CancellationNotifier.h"
#include "basilusher/Node/CatalogKeeper.h"
#include "basilusher/Node/JobLookup.h"
#include "basilusher/Node/NodeAgent.h"
#include "basilusher/Node/Peers.h"
#include "basilusher/Support/LineBudget.h"

namespace basilusher {

enum class SubmitResult {
  /// Stored: the job will run.
  kAccepted,
  /// Not stored and never will be: it has not run and will not run.
  kRefused,
  /// May or may not be stored.
  kUnknown,
};

inline constexpr EnumTable<SubmitResult, 3> kSubmitResultNames = {{
    {SubmitResult::kAccepted, "accepted"},
    {SubmitResult::kRefused, "refused"},
    {SubmitResult::kUnknown, "unknown"},
}};

enum class CancelResult { kDone, kAbsent, kUnavailable };

struct JobFrontOptions {
  RecordKeys keys;
  /// The owner is told of a cancellation until this long after it was stored:
  /// nothing of the job may start later.
  Millis cancel_bound{3000};
  /// Bounds on calls to the store that are under way for submissions, and for
  /// requests for a job's state.
  CallLimiterOptions submissions;
  CallLimiterOptions lookups;
};

/// Each callback runs once. Not thread-safe: I/O thread only.
class JobFront : public std::enable_shared_from_this<JobFront> {
 public:
  JobFront(JobFrontPorts ports, JobFrontOptions options,
           std::shared_ptr<NodeAgent> agent,
           std::shared_ptr<CatalogKeeper> catalogs);

  /// Applies to cancellations from now on.
  void SetCancelBound(Millis bound) { notifier_->SetBound(bound); }

  /// Stores the job under its id, once. Refuses at once what surely cannot be
  /// stored now; while an earlier try may still take effect, it repeats, at
  /// this node and through peers, until `deadline`.
  void Submit(const JobSpec& job, TimePoint deadline,
              std::function<void(SubmitResult)> done);
  void Find(const std::string& job, TimePoint deadline,
            std::function<void(FindAnswer)> done);
  void Cancel(const std::string& job, TimePoint deadline,
              std::function<void(CancelResult)> done);
  /// Accepted jobs of `queue` of which no task has started; nothing if the
  /// owner cannot be asked.
  void Pending(const std::string& queue,
               std::function<void(std::optional<int>)> done);

  /// For a planned stop: callers that wait, and those that ask later, are told
  /// at once what is known. A submission that may be stored is unknown; one
  /// that was not sent is refused and never stored. May be called again.
  void AnswerAll();

  /// Answers peers' calls of the same purpose.
  void Serve(PeerMethods* methods);

 private:
  struct Submission;
  /// Enters a caller among those that wait until `done` is run; AnswerAll runs
  /// it with what `if_given_up` returns.
  template <typename Answer>
  std::function<void(Answer)> Track(std::function<void(Answer)> done,
                                    std::function<Answer()> if_given_up);
  void LogNotAccepted(const Submission& submission, SubmitResult result);
  void Advance(const std::shared_ptr<Submission>& submission);
  void AdvanceLater(const std::shared_ptr<Submission>& submission);
  void SubmitToStore(const std::shared_ptr<Submission>& submission);
  /// The store, or this node's limit on calls to it, has refused a try.
  void OnStoreRefusal(const std::shared_ptr<Submission>& submission);
  void SubmitThroughPeer(const std::shared_ptr<Submission>& submission,
                         const std::string& peer);
  /// Tells the owner of a job that has just been stored.
  void Offer(const Submission& submission, std::int64_t revision);
  void Finish(const std::shared_ptr<Submission>& submission,
              SubmitResult result);
  void CancelInStore(const std::string& job, TimePoint deadline,
                     std::function<void(CancelResult)> done);
  /// A peer that may reach the store, another one at each call; empty if none
  /// is known.
  std::string NextPeer();

  JobFrontPorts ports_;
  RecordKeys keys_;
  std::shared_ptr<NodeAgent> agent_;
  std::shared_ptr<CatalogKeeper> catalogs_;
  CallLimiter submissions_;
  std::shared_ptr<CancellationNotifier> notifier_;
  std::shared_ptr<JobLookup> lookup_;
  std::size_t peers_taken_ = 0;
  /// Answers for callers that wait, by the caller's number.
  std::map<std::uint64_t, std::function<void()>> waiting_;
  std::uint64_t callers_ = 0;
  LineBudget not_accepted_lines_;
  /// AnswerAll was called.
  bool closed_ = false;
};

}  // namespace basilusher

#endif  // BASILUSHER_NODE_JOBFRONT_H_
