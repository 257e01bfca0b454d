// Durations of tasks, learned from finished runs. Load pattern: declared
// estimates are off by a random factor that differs by queue (spread of its
// logarithm 0.2 to 0.9), tasks of one step differ by 0.3, and the work of a
// queue shifts within minutes.
#ifndef BASILUSHER_SCHEDULE_DURATIONMODEL_H_
#define BASILUSHER_SCHEDULE_DURATIONMODEL_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "basilusher/Jobs/StepDurations.h"

namespace basilusher {

/// What distinguishes runs before they start.
struct RunKind {
  std::string_view queue;
  /// Who declared the estimate.
  std::string_view workspace;
  std::string_view image;
  int step = 0;
  /// Size of one task, thousandths of a core.
  std::int64_t cpu_millis = 0;
};

/// How the measured duration of a run bounds that of a whole, undisturbed run.
enum class DurationBound : std::uint8_t {
  kExact,
  /// The run was cut short, or began from a checkpoint or before it was seen.
  kAtLeast,
  /// The run was slowed down: by its worker, its distance from its data, or its
  /// pace.
  kAtMost,
};

/// One run that has ended.
struct RunObservation {
  RunKind kind;
  /// The submitter's estimate; zero if unknown.
  std::int64_t declared_ms = 0;
  double duration_ms = 0;
  DurationBound bound = DurationBound::kExact;
  /// Number of tasks in the step: runs of one step are not independent.
  int tasks = 1;
};

/// Log-normal distribution of a duration.
struct ExpectedDuration {
  /// Mean and standard deviation of the natural logarithm of milliseconds.
  double log_mean = 0;
  double log_sd = 0;

  double MedianMs() const;
  double MeanMs() const;
  /// Exceeded by one run in ten.
  double UpperMs() const;
};

/// Mean time until a run ends that has run for `elapsed_ms`. Thread-safe.
double RemainingMs(const ExpectedDuration& expected, double elapsed_ms);

/// Adds a censored duration: its conditional mean, weighted by the probability
/// that the bound would have been crossed otherwise. A bound that says nothing
/// new has no weight. Precondition: `bound` is not kExact. Thread-safe.
void AddCensored(const ExpectedDuration& expected, double duration_ms,
                 DurationBound bound, SiblingRuns* siblings);

/// Error of the expectations of a queue's finished runs: decayed moments of the
/// logarithm of actual to expected duration.
struct DurationAccuracy {
  std::string queue;
  /// Number of finished runs that were compared.
  std::int64_t runs = 0;
  /// Geometric means, milliseconds.
  double expected_ms = 0;
  double actual_ms = 0;
  /// Means; zero is unbiased.
  double learned_bias = 0;
  double declared_bias = 0;
  /// Root mean squares.
  double learned_error = 0;
  double declared_error = 0;
  /// Weight of the declared estimate, from 0 to 1.
  double slope = 0;
};

struct DurationModelOptions {
  /// Weight of the observations that are remembered, in independent runs. The
  /// influence of one decays by e after as many.
  double memory = 30;
  std::size_t max_kinds = 512;
  std::size_t max_submitters = 1024;
};

/// Distribution of the duration of a run by its kind.
///
/// For each kind a linear regression of log(actual) on log(declared) decays
/// with each observation and is shrunk towards that of the next wider kind:
/// (queue, step, image, size), (queue, step), queue, all runs, and finally the
/// declared estimate itself. Slope 1 with an offset is a scaled estimate; slope
/// 0 ignores the estimate. Finished siblings of the same step move the estimate
/// as a normal posterior with the variances between and within steps.
///
/// The mean bias of a workspace's estimates against those of its queue is
/// removed before they are used. An estimate moves the expectation by at most
/// `slope` times a few standard deviations of the kind's estimates.
///
/// Does no I/O and reads no clock. Not thread-safe.
class DurationModel {
 public:
  explicit DurationModel(DurationModelOptions options = {});

  /// Adds a run that has ended, to the model and to `siblings`, the earlier
  /// ones of its step. Ignores durations that are not positive.
  void Observe(const RunObservation& run, SiblingRuns* siblings);

  /// The narrowest known kind. Allocates; keep the result.
  DurationKindRef Resolve(const RunKind& kind) const;
  /// False if Resolve() may give another result than when it gave `ref`.
  bool IsCurrent(const DurationKindRef& ref) const {
    return ref.epoch == epoch_;
  }
  /// Expected duration of a run of a step of which `siblings` have ended.
  /// Precondition: IsCurrent(ref).
  ExpectedDuration Expect(const DurationKindRef& ref, std::int64_t declared_ms,
                          const SiblingRuns& siblings) const;

  /// One entry for each known queue, in no particular order.
  std::vector<DurationAccuracy> Accuracy() const;
  std::size_t KindCount() const { return kinds_.size(); }

 private:
  /// Decayed moments of pairs (log declared, log actual), and the fit.
  struct Kind {
    std::string key;
    std::uint32_t parent = 0;
    double weight = 0;
    double mean_x = 0;
    double mean_y = 0;
    double sxx = 0;
    double sxy = 0;
    double syy = 0;
    /// Squared deviations of runs from the earlier ones of their step.
    double within_sum = 0;
    double within_weight = 0;
    // The fit: log actual = offset + slope * log declared.
    double offset = 0;
    double slope = 1;
    /// Variance around the fit, and the part of it within steps.
    double variance = 0;
    double within = 0;
    std::int64_t used_at = 0;
  };
  /// Decayed mean of log(declared / actual) of a queue, by its name, or of one
  /// of its workspaces, less that of the queue.
  struct Submitter {
    std::string key;
    double weight = 0;
    double bias = 0;
    std::int64_t used_at = 0;
  };
  struct Errors {
    std::string queue;
    std::int64_t runs = 0;
    double actual = 0;
    double learned = 0;
    double learned_squares = 0;
    double declared = 0;
    double declared_squares = 0;
    double weight = 0;
    double declared_weight = 0;
  };

  DurationKindRef ResolveOrAdd(const RunKind& kind);
  std::uint32_t AddKind(const std::string& key, std::uint32_t parent);
  std::uint32_t AddSubmitter(const std::string& key);
  static void AddError(Submitter* submitter, double error, double weight);
  void Refit(Kind* kind) const;
  static void AddPair(Kind* kind, double x, double y, double weight,
                      double memory);
  /// Drops the kinds that have had no run for longest.
  void ShrinkKinds();
  void ShrinkSubmitters();
  /// Logarithm of the declared estimate without the bias of its workspace.
  double Unbiased(const DurationKindRef& ref, std::int64_t declared_ms) const;
  /// The same, no further from the kind's mean than an estimate may count.
  static double Limited(const Kind& kind, double x);
  void CountError(const RunObservation& run, double expected_log,
                  double actual_log);

  DurationModelOptions options_;
  std::vector<Kind> kinds_;
  std::unordered_map<std::string, std::uint32_t> kind_index_;
  std::vector<Submitter> submitters_;
  std::unordered_map<std::string, std::uint32_t> submitter_index_;
  std::unordered_map<std::string, Errors> errors_;
  std::int64_t runs_ = 0;
  std::uint64_t epoch_ = 1;
};

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_DURATIONMODEL_H_
