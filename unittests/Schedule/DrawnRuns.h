// Drawn steps whose declared estimates are off at random, and the estimators
// that the replays compare.
#ifndef BASILUSHER_UNITTESTS_SCHEDULE_DRAWNRUNS_H_
#define BASILUSHER_UNITTESTS_SCHEDULE_DRAWNRUNS_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "basilusher/Schedule/DurationModel.h"
#include "basilusher/Schedule/Urgency.h"

namespace basilusher {

/// One step, as it will run.
struct DrawnStep {
  std::string queue = "queue";
  std::string workspace = "team";
  int index = 0;
  std::int64_t declared_ms = 0;
  /// Median of its tasks.
  double true_ms = 0;
  /// Duration of each task.
  std::vector<double> task_ms;
  SiblingRuns ended;
  /// Time for which each of its present runs has run, if that is told.
  std::vector<double> running_ms;
};

/// How the steps of a queue are drawn; spreads are standard deviations of the
/// logarithm.
struct StepLaw {
  std::string queue = "queue";
  double median_ms = 1000;
  double spread = 0.5;
  double within = 0.3;
  double declared_spread = 0.5;
  /// Mean factor of the declared estimates.
  double declared_bias = 1;
  int tasks = 8;
};

DrawnStep DrawStep(const StepLaw& law, std::mt19937* random);

/// One way to tell how long a task runs.
class Estimator {
 public:
  virtual ~Estimator() = default;
  /// Median of a task that has not started.
  virtual double StepMs(const DrawnStep& step) const = 0;
  /// Mean, for sums of work.
  virtual double MeanMs(const DrawnStep& step) const { return StepMs(step); }
  /// Mean time until a task ends that has run for `elapsed_ms`.
  virtual double LeftMs(const DrawnStep& step, double elapsed_ms) const = 0;
  virtual void OnTaskDone(DrawnStep* step, double ms) = 0;
};

enum class EstimatorKind { kDeclared, kScaled, kLearned, kTrue };

std::unique_ptr<Estimator> MakeEstimator(EstimatorKind kind);
const char* NameOfEstimator(EstimatorKind kind);

/// Lets all tasks of `n` drawn steps end.
void Train(const StepLaw& law, int n, std::mt19937* random,
           Estimator* estimator);

}  // namespace basilusher

#endif  // BASILUSHER_UNITTESTS_SCHEDULE_DRAWNRUNS_H_
