// Which jobs are within the share of their workspace. Load pattern: one
// workspace sends several times its usual rate for some seconds while a pool is
// full. Ordered by slack alone, its jobs take the capacity that makes the
// others' jobs late. A share by what runs now favours whoever comes late in a
// burst, so the rate of arrival decides.
#ifndef BASILUSHER_SCHEDULE_WORKSPACESHARE_H_
#define BASILUSHER_SCHEDULE_WORKSPACESHARE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "basilusher/Support/Clock.h"

namespace basilusher {

/// One arrival of a job, as input to the classification.
struct JobArrival {
  std::string workspace;
  /// Jobs a second that the workspace is entitled to.
  double weight = 0;
  TimePoint at{};
};

/// A token bucket for each workspace, filled at its weight in jobs a second.
/// A job that finds a token is within its workspace's share. Pure state: reads
/// no clock. Not thread-safe.
class WorkspaceShares {
 public:
  /// Takes the next arrival and returns true if it is within the share. A
  /// workspace that has sent nothing for a while starts with a full bucket. A
  /// weight of zero or less entitles to nothing.
  bool Admit(const JobArrival& arrival);

  /// Classifies the jobs that a new owner finds, in the order of their arrival,
  /// from an empty bucket: what the previous owner has already served is not
  /// known, and a full bucket would entitle a workspace a second time. Replaces
  /// what was known. Returns for each of `arrivals` whether it is within the
  /// share.
  std::vector<bool> Restore(const std::vector<JobArrival>& arrivals);

  /// Drops the buckets of all workspaces that `known` does not name.
  void Retain(const std::set<std::string>& known);

 private:
  /// Time at which a steady sender's next job is due, by workspace, in
  /// milliseconds of the arrivals' clock (generic cell rate algorithm). Holds
  /// fractions, since the interval between two jobs may be a few milliseconds.
  std::map<std::string, double> next_due_ms_;
};

/// A waiting job, as input to the decision whether shares order a pool.
struct ShareCandidate {
  /// The job is beyond its workspace's share.
  bool over_share = false;
  /// Cores that its waiting tasks ask for now.
  double waiting_cores = 0;
};

/// True if jobs within their share go before the others: the waiting tasks need
/// more than the pool's free cores, and only some of the jobs are beyond their
/// share. Thread-safe.
bool SharesDecide(const std::vector<ShareCandidate>& waiting,
                  double free_cores);

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_WORKSPACESHARE_H_
