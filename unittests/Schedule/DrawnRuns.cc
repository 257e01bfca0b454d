// Draws steps and implements the estimators of the replays.
#include "DrawnRuns.h"

#include <algorithm>
#include <cmath>

namespace basilusher {
namespace {

/// Share of a run that is still to come on the average, as the owner assumes
/// without learned durations.
constexpr double kMeanShareLeft = 0.5;

class DeclaredEstimator : public Estimator {
 public:
  double StepMs(const DrawnStep& step) const override {
    return StepDurationMs({.estimate_ms = step.declared_ms}, 1.0);
  }
  double LeftMs(const DrawnStep& step, double) const override {
    return StepMs(step) * kMeanShareLeft;
  }
  void OnTaskDone(DrawnStep*, double) override {}
};

class ScaledEstimator : public Estimator {
 public:
  double StepMs(const DrawnStep& step) const override {
    return StepDurationMs({.estimate_ms = step.declared_ms}, scale_.ratio);
  }
  double LeftMs(const DrawnStep& step, double) const override {
    return StepMs(step) * kMeanShareLeft;
  }
  void OnTaskDone(DrawnStep* step, double ms) override {
    if (step->declared_ms <= 0) return;
    scale_.AddSample(ms, static_cast<double>(step->declared_ms));
  }

 private:
  /// The replays have one queue each.
  DurationEstimate scale_;
};

class LearnedEstimator : public Estimator {
 public:
  double StepMs(const DrawnStep& step) const override {
    return Expected(step).MedianMs();
  }
  double MeanMs(const DrawnStep& step) const override {
    return Expected(step).MeanMs();
  }
  double LeftMs(const DrawnStep& step, double elapsed_ms) const override {
    return RemainingMs(WithRunning(step), elapsed_ms);
  }
  void OnTaskDone(DrawnStep* step, double ms) override {
    model_.Observe({.kind = KindOf(*step),
                    .declared_ms = step->declared_ms,
                    .duration_ms = ms,
                    .tasks = static_cast<int>(step->task_ms.size())},
                   &step->ended);
  }

 private:
  static RunKind KindOf(const DrawnStep& step) {
    return {
        .queue = step.queue, .workspace = step.workspace, .step = step.index};
  }
  ExpectedDuration Expected(const DrawnStep& step) const {
    return model_.Expect(model_.Resolve(KindOf(step)), step.declared_ms,
                         step.ended);
  }
  /// As DurationLearner does.
  ExpectedDuration WithRunning(const DrawnStep& step) const {
    const ExpectedDuration expected = Expected(step);
    SiblingRuns running;
    for (const double ms : step.running_ms) {
      AddCensored(expected, ms, DurationBound::kAtLeast, &running);
    }
    const double others =
        step.running_ms.empty()
            ? 0
            : 1 - 1 / static_cast<double>(step.running_ms.size());
    SiblingRuns siblings = step.ended;
    siblings.count += others * running.count;
    siblings.log_sum += others * running.log_sum;
    return model_.Expect(model_.Resolve(KindOf(step)), step.declared_ms,
                         siblings);
  }

  DurationModel model_;
};

/// Knows the median of each step.
class TrueEstimator : public Estimator {
 public:
  double StepMs(const DrawnStep& step) const override { return step.true_ms; }
  double LeftMs(const DrawnStep& step, double) const override {
    return step.true_ms * kMeanShareLeft;
  }
  void OnTaskDone(DrawnStep*, double) override {}
};

}  // namespace

DrawnStep DrawStep(const StepLaw& law, std::mt19937* random) {
  std::normal_distribution<double> normal;
  DrawnStep step;
  step.queue = law.queue;
  step.true_ms = law.median_ms * std::exp(law.spread * normal(*random));
  const double factor =
      law.declared_bias * std::exp(law.declared_spread * normal(*random));
  step.declared_ms =
      std::max<std::int64_t>(1, std::llround(step.true_ms * factor));
  for (int i = 0; i < law.tasks; ++i) {
    step.task_ms.push_back(step.true_ms *
                           std::exp(law.within * normal(*random)));
  }
  return step;
}

std::unique_ptr<Estimator> MakeEstimator(EstimatorKind kind) {
  switch (kind) {
    case EstimatorKind::kDeclared:
      return std::make_unique<DeclaredEstimator>();
    case EstimatorKind::kScaled:
      return std::make_unique<ScaledEstimator>();
    case EstimatorKind::kLearned:
      return std::make_unique<LearnedEstimator>();
    case EstimatorKind::kTrue:
      break;
  }
  return std::make_unique<TrueEstimator>();
}

const char* NameOfEstimator(EstimatorKind kind) {
  switch (kind) {
    case EstimatorKind::kDeclared:
      return "declared";
    case EstimatorKind::kScaled:
      return "scaled";
    case EstimatorKind::kLearned:
      return "learned";
    case EstimatorKind::kTrue:
      break;
  }
  return "true";
}

void Train(const StepLaw& law, int n, std::mt19937* random,
           Estimator* estimator) {
  for (int i = 0; i < n; ++i) {
    DrawnStep step = DrawStep(law, random);
    for (const double ms : step.task_ms) estimator->OnTaskDone(&step, ms);
  }
}

}  // namespace basilusher
