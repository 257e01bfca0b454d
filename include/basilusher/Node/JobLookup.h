// Finds out the state of a job, from the owner or else from its records.
#ifndef BASILUSHER_NODE_JOBLOOKUP_H_
#define BASILUSHER_NODE_JOBLOOKUP_H_

#include <functional>
#include <memory>
#include <string>

#include "basilusher/Node/CallLimiter.h"
#include "basilusher/Node/CatalogKeeper.h"
#include "basilusher/Node/NodeAgent.h"
#include "basilusher/Node/Peers.h"
#include "basilusher/Support/Counters.h"
#include "basilusher/Support/LineBudget.h"

namespace basilusher {

enum class FindResult { kFound, kAbsent, kUnavailable };

struct FindAnswer {
  FindResult result = FindResult::kUnavailable;
  JobStatus job;
};

/// What a node's requests of submitters use. `counters` may be null.
struct JobFrontPorts {
  TransactionalStore* store = nullptr;
  TimerService* timers = nullptr;
  const Clock* clock = nullptr;
  PeerCaller* peers = nullptr;
  Counters* counters = nullptr;
};

/// What the owner said of a job.
enum class OwnerReply {
  /// Not asked: the caller did not want it.
  kNotAsked,
  /// No owner is known to this node.
  kNoOwner,
  /// This node's own owner does not show the job.
  kNotShownHere,
  kNotShown,
  kNoAnswer,
};

inline constexpr EnumTable<OwnerReply, 5> kOwnerReplyNames = {{
    {OwnerReply::kNotAsked, "not-asked"},
    {OwnerReply::kNoOwner, "no-owner"},
    {OwnerReply::kNotShownHere, "not-shown-here"},
    {OwnerReply::kNotShown, "not-shown"},
    {OwnerReply::kNoAnswer, "no-answer"},
}};

/// Why a job's state could not be told.
enum class LookupFailure {
  /// The store did not answer both reads before the caller's deadline.
  kStoreUnanswered,
  kJobUnreadable,
  kFinalUnreadable,
};

inline constexpr EnumTable<LookupFailure, 3> kLookupFailureNames = {{
    {LookupFailure::kStoreUnanswered, "store-unanswered"},
    {LookupFailure::kJobUnreadable, "job-unreadable"},
    {LookupFailure::kFinalUnreadable, "final-unreadable"},
}};

/// Each callback runs once. Not thread-safe: I/O thread only.
class JobLookup : public std::enable_shared_from_this<JobLookup> {
 public:
  JobLookup(JobFrontPorts ports, CallLimiterOptions limits, RecordKeys keys,
            std::shared_ptr<NodeAgent> agent,
            std::shared_ptr<CatalogKeeper> catalogs);

  /// Asks the owner, and the store if the owner does not show the job.
  /// kUnavailable if neither has told by `deadline`.
  void Find(const std::string& job, TimePoint deadline,
            std::function<void(FindAnswer)> done);
  /// The same without the owner.
  void FindInStore(const std::string& job, TimePoint deadline,
                   std::function<void(FindAnswer)> done);

  /// Answers peers' requests to the owner of this node.
  void Serve(PeerMethods* methods);

 private:
  struct Request;
  void AskStore(const std::shared_ptr<Request>& request);
  /// Reads the job's record and, if it has none, its final state. Holds one of
  /// the calls that the limit allows until both are read.
  void ReadJob(const std::shared_ptr<Request>& request);
  void ReadFinal(const std::shared_ptr<Request>& request);
  void ReadLater(const std::shared_ptr<Request>& request);
  void Answer(const std::shared_ptr<Request>& request, const char* source,
              FindAnswer answer);
  void Fail(const std::shared_ptr<Request>& request, LookupFailure failure);

  JobFrontPorts ports_;
  RecordKeys keys_;
  std::shared_ptr<NodeAgent> agent_;
  std::shared_ptr<CatalogKeeper> catalogs_;
  CallLimiter reads_;
  LineBudget log_budget_;
};

}  // namespace basilusher

#endif  // BASILUSHER_NODE_JOBLOOKUP_H_
