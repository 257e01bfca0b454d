// Learns the distribution of run durations.
#include "basilusher/Schedule/DurationModel.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace basilusher {
namespace {

/// Assumed duration of a run of which nothing is known, as in Urgency.cc.
constexpr double kUnknownMs = 1000.0;
/// Longer declared estimates carry no information: a run of a day outlives the
/// terms whose owners learn from it.
constexpr std::int64_t kMaxDeclaredMs = 86'400'000;
constexpr double kMaxDurationMs = 86'400'000.0;

// Beliefs before the first observation. The spreads are about those of the
// large deployment.
constexpr double kPriorVariance = 0.25;
constexpr double kPriorWithin = 0.09;
/// Weight of the next wider kind in the offset, the slope and the variance, in
/// observations.
constexpr double kOffsetPrior = 4.0;
constexpr double kSlopePrior = 4.0;
constexpr double kVariancePrior = 4.0;
/// Variance of log(declared) to which the weight of the slope's prior refers.
constexpr double kTypicalInputVariance = 0.25;
/// Variance of log(declared) that is assumed while few are known: a queue may
/// hold work of very different length.
constexpr double kUnknownInputVariance = 1.0;
/// An estimate counts up to this many standard deviations from the mean.
constexpr double kInputLimit = 2.5;
/// A finished run shows that its estimate carries no information if the two
/// differ by more than this factor.
const double kMaxInputError = std::log(30.0);
/// Largest bias that one observation shows: a factor of a thousand.
const double kMaxBias = std::log(1000.0);

constexpr double kMinVariance = 0.0025;
/// Part of a kind's variance that lies between steps, at least.
constexpr double kMinBetweenShare = 0.1;
/// Weight of "no bias" in a workspace's bias, in observations.
constexpr double kBiasPrior = 2.0;
constexpr double kBiasMemory = 60.0;
/// Observations over which the errors of expectations are averaged.
constexpr double kErrorMemory = 200.0;
/// Share of the kinds that is dropped when there are too many. Each drop makes
/// all references outdated, so it must be rare.
constexpr std::size_t kDropDivisor = 4;

/// Censored durations that tell less are ignored.
constexpr double kMinWeight = 1e-3;

/// Quantile 0.9 of the standard normal distribution.
constexpr double kUpperQuantile = 1.2816;
/// Beyond this many standard deviations the asymptotic hazard rate is used.
constexpr double kFarTail = 5.0;

double NormalCdf(double z) { return 0.5 * std::erfc(-z / std::numbers::sqrt2); }

double NormalDensity(double z) {
  return std::exp(-0.5 * z * z) / std::sqrt(2 * std::numbers::pi);
}

/// Mean of a standard normal variable given that it exceeds `z`.
double UpperTailMean(double z) {
  if (z > kFarTail) return z + 1 / z;
  return NormalDensity(z) / NormalCdf(-z);
}

bool IsInformative(std::int64_t declared_ms) {
  return declared_ms > 0 && declared_ms <= kMaxDeclaredMs;
}

std::string QueueKey(const RunKind& kind) { return std::string(kind.queue); }

std::string StepKey(const RunKind& kind) {
  return QueueKey(kind) + '\n' + std::to_string(kind.step);
}

/// Binary order of magnitude: tasks of similar size share a kind.
int SizeClass(std::int64_t cpu_millis) {
  return cpu_millis <= 0 ? 0 : std::ilogb(static_cast<double>(cpu_millis));
}

std::string ImageKey(const RunKind& kind) {
  return StepKey(kind) + '\n' + std::to_string(SizeClass(kind.cpu_millis)) +
         '\n' + std::string(kind.image);
}

std::string SubmitterKey(const RunKind& kind) {
  return QueueKey(kind) + '\n' + std::string(kind.workspace);
}

}  // namespace

double ExpectedDuration::MedianMs() const { return std::exp(log_mean); }

double ExpectedDuration::MeanMs() const {
  return std::exp(log_mean + log_sd * log_sd / 2);
}

double ExpectedDuration::UpperMs() const {
  return std::exp(log_mean + kUpperQuantile * log_sd);
}

double RemainingMs(const ExpectedDuration& expected, double elapsed_ms) {
  if (elapsed_ms <= 0) return expected.MeanMs();
  const double z = (std::log(elapsed_ms) - expected.log_mean) / expected.log_sd;
  // The inverse of the hazard rate, which is about z / (sd * elapsed) there.
  if (z > kFarTail) return elapsed_ms * expected.log_sd / z;
  const double beyond =
      expected.MeanMs() * NormalCdf(expected.log_sd - z) / NormalCdf(-z);
  return std::max(0.0, beyond - elapsed_ms);
}

void AddCensored(const ExpectedDuration& expected, double duration_ms,
                 DurationBound bound, SiblingRuns* siblings) {
  if (duration_ms <= 0) return;
  const double z =
      (std::log(duration_ms) - expected.log_mean) / expected.log_sd;
  const double sign = bound == DurationBound::kAtLeast ? 1.0 : -1.0;
  const double weight = NormalCdf(sign * z);
  siblings->count += weight;
  siblings->log_sum +=
      weight *
      (expected.log_mean + sign * expected.log_sd * UpperTailMean(sign * z));
}

DurationModel::DurationModel(DurationModelOptions options) : options_(options) {
  Kind all;
  all.variance = kPriorVariance;
  all.within = kPriorWithin;
  all.mean_x = std::log(kUnknownMs);
  kinds_.push_back(all);
}

std::uint32_t DurationModel::AddKind(const std::string& key,
                                     std::uint32_t parent) {
  const auto [it, added] =
      kind_index_.try_emplace(key, static_cast<std::uint32_t>(kinds_.size()));
  if (added) {
    Kind kind = kinds_[parent];
    kind.key = key;
    kind.parent = parent;
    kind.weight = kind.sxx = kind.sxy = kind.syy = 0;
    kind.within_sum = kind.within_weight = 0;
    kinds_.push_back(kind);
    ++epoch_;
  }
  kinds_[it->second].used_at = runs_;
  return it->second;
}

std::uint32_t DurationModel::AddSubmitter(const std::string& key) {
  const auto [it, added] = submitter_index_.try_emplace(
      key, static_cast<std::uint32_t>(submitters_.size()));
  if (added) {
    submitters_.push_back({.key = key});
    ++epoch_;
  }
  submitters_[it->second].used_at = runs_;
  return it->second;
}

void DurationModel::AddError(Submitter* submitter, double error,
                             double weight) {
  submitter->weight =
      submitter->weight * std::exp(-weight / kBiasMemory) + weight;
  submitter->bias += (error - submitter->bias) * weight / submitter->weight;
}

DurationKindRef DurationModel::ResolveOrAdd(const RunKind& kind) {
  ShrinkKinds();
  ShrinkSubmitters();
  DurationKindRef ref;
  const std::uint32_t queue = AddKind(QueueKey(kind), 0);
  const std::uint32_t step = AddKind(StepKey(kind), queue);
  ref.kind = AddKind(ImageKey(kind), step);
  AddSubmitter(QueueKey(kind));
  // Number zero stands for an unknown one.
  ref.submitter = AddSubmitter(SubmitterKey(kind)) + 1;
  ref.epoch = epoch_;
  return ref;
}

DurationKindRef DurationModel::Resolve(const RunKind& kind) const {
  DurationKindRef ref{.epoch = epoch_};
  for (const std::string& key :
       {ImageKey(kind), StepKey(kind), QueueKey(kind)}) {
    const auto it = kind_index_.find(key);
    if (it == kind_index_.end()) continue;
    ref.kind = it->second;
    break;
  }
  const auto it = submitter_index_.find(SubmitterKey(kind));
  if (it != submitter_index_.end()) ref.submitter = it->second + 1;
  return ref;
}

double DurationModel::Unbiased(const DurationKindRef& ref,
                               std::int64_t declared_ms) const {
  const double x = std::log(static_cast<double>(declared_ms));
  if (ref.submitter == 0) return x;
  const Submitter& submitter = submitters_[ref.submitter - 1];
  return x -
         submitter.bias * submitter.weight / (submitter.weight + kBiasPrior);
}

double DurationModel::Limited(const Kind& kind, double x) {
  if (kind.weight <= 0) return x;
  const double variance = (kind.sxx + kVariancePrior * kUnknownInputVariance) /
                          (kind.weight + kVariancePrior);
  const double limit = kInputLimit * std::sqrt(variance);
  return std::clamp(x, kind.mean_x - limit, kind.mean_x + limit);
}

ExpectedDuration DurationModel::Expect(const DurationKindRef& ref,
                                       std::int64_t declared_ms,
                                       const SiblingRuns& siblings) const {
  const Kind& kind = kinds_[ref.kind];
  const double x = IsInformative(declared_ms)
                       ? Limited(kind, Unbiased(ref, declared_ms))
                       : kind.mean_x;
  const double mean = kind.offset + kind.slope * x;
  const double between =
      std::max(kind.variance - kind.within, kMinBetweenShare * kind.variance);
  ExpectedDuration expected;
  double step_variance = between;
  expected.log_mean = mean;
  if (siblings.count > 0) {
    const double of_mean = kind.within / siblings.count;
    const double share = between / (between + of_mean);
    expected.log_mean += share * (siblings.log_sum / siblings.count - mean);
    step_variance = between * of_mean / (between + of_mean);
  }
  expected.log_mean =
      std::clamp(expected.log_mean, 0.0, std::log(kMaxDurationMs));
  expected.log_sd = std::sqrt(step_variance + kind.within);
  return expected;
}

void DurationModel::AddPair(Kind* kind, double x, double y, double weight,
                            double memory) {
  const double kept = std::exp(-weight / memory);
  kind->weight *= kept;
  kind->sxx *= kept;
  kind->sxy *= kept;
  kind->syy *= kept;
  if (kind->weight <= 0) kind->mean_x = kind->mean_y = 0;
  kind->weight += weight;
  const double share = weight / kind->weight;
  const double dx = x - kind->mean_x;
  const double dy = y - kind->mean_y;
  kind->mean_x += share * dx;
  kind->mean_y += share * dy;
  kind->sxx += weight * dx * (x - kind->mean_x);
  kind->sxy += weight * dx * (y - kind->mean_y);
  kind->syy += weight * dy * (y - kind->mean_y);
}

void DurationModel::Refit(Kind* kind) const {
  const bool is_root = kind == kinds_.data();
  const Kind& parent = kinds_[kind->parent];
  const double prior_slope = is_root ? 1.0 : parent.slope;
  const double prior_offset = is_root ? 0.0 : parent.offset;
  const double prior_variance = is_root ? kPriorVariance : parent.variance;
  const double prior_within = is_root ? kPriorWithin : parent.within;
  const double slope_prior = kSlopePrior * kTypicalInputVariance;
  // A slope outside of 0 to 1 would give the estimate more weight than its own
  // error, or reverse the order of what was declared.
  kind->slope = std::clamp(
      (kind->sxy + slope_prior * prior_slope) / (kind->sxx + slope_prior), 0.0,
      1.0);
  const double prior_at_mean = prior_offset + prior_slope * kind->mean_x;
  const double at_mean =
      (kind->weight * kind->mean_y + kOffsetPrior * prior_at_mean) /
      (kind->weight + kOffsetPrior);
  kind->offset = at_mean - kind->slope * kind->mean_x;
  const double shift = kind->mean_y - at_mean;
  const double residual = kind->syy - 2 * kind->slope * kind->sxy +
                          kind->slope * kind->slope * kind->sxx +
                          kind->weight * shift * shift;
  kind->variance = std::max(kMinVariance, (kVariancePrior * prior_variance +
                                           std::max(residual, 0.0)) /
                                              (kVariancePrior + kind->weight));
  kind->within = std::max(kMinVariance,
                          (kVariancePrior * prior_within + kind->within_sum) /
                              (kVariancePrior + kind->within_weight));
}

void DurationModel::CountError(const RunObservation& run, double expected_log,
                               double actual_log) {
  const std::string queue(run.kind.queue);
  if (!errors_.contains(queue) && errors_.size() >= options_.max_kinds) return;
  Errors& errors = errors_[queue];
  errors.queue = queue;
  ++errors.runs;
  const double kept = 1 - 1 / kErrorMemory;
  const double learned = actual_log - expected_log;
  errors.weight = errors.weight * kept + 1;
  errors.actual += (actual_log - errors.actual) / errors.weight;
  errors.learned += (learned - errors.learned) / errors.weight;
  errors.learned_squares +=
      (learned * learned - errors.learned_squares) / errors.weight;
  if (!IsInformative(run.declared_ms)) return;
  const double declared =
      actual_log - std::log(static_cast<double>(run.declared_ms));
  errors.declared_weight = errors.declared_weight * kept + 1;
  errors.declared += (declared - errors.declared) / errors.declared_weight;
  errors.declared_squares +=
      (declared * declared - errors.declared_squares) / errors.declared_weight;
}

void DurationModel::Observe(const RunObservation& run, SiblingRuns* siblings) {
  if (!(run.duration_ms > 0)) return;
  ++runs_;
  const double duration = std::clamp(run.duration_ms, 1.0, kMaxDurationMs);
  const DurationKindRef ref = ResolveOrAdd(run.kind);
  const ExpectedDuration expected = Expect(ref, run.declared_ms, *siblings);
  double y = std::log(duration);
  double weight = 1;
  const bool exact = run.bound == DurationBound::kExact;
  if (exact) {
    CountError(run, expected.log_mean, y);
  } else {
    SiblingRuns imputed;
    AddCensored(expected, duration, run.bound, &imputed);
    weight = imputed.count;
    if (weight < kMinWeight) return;
    y = imputed.log_sum / imputed.count;
  }
  const Kind& narrowest = kinds_[ref.kind];
  // Runs of one step count together as the number of independent runs that
  // would tell as much about the kind.
  const double between = std::max(narrowest.variance - narrowest.within,
                                  kMinBetweenShare * narrowest.variance);
  const double correlation = between / (between + narrowest.within);
  const double kind_weight =
      weight / (1 + (std::max(run.tasks, 1) - 1) * correlation);
  const double deviation =
      siblings->count > 0 ? y - siblings->log_sum / siblings->count : 0;
  const bool informative = IsInformative(run.declared_ms);
  if (informative) {
    const double error =
        std::clamp(std::log(static_cast<double>(run.declared_ms)) - y,
                   -kMaxBias, kMaxBias);
    // The regressions describe the error that the workspaces of the queue have
    // in common; this is the rest.
    Submitter* queue = &submitters_[submitter_index_.at(QueueKey(run.kind))];
    AddError(queue, error, kind_weight);
    AddError(&submitters_[ref.submitter - 1], error - queue->bias, kind_weight);
  }
  const double input = informative ? Unbiased(ref, run.declared_ms) : 0;
  const bool usable = informative && std::abs(input - y) <= kMaxInputError;
  std::uint32_t path[4] = {ref.kind, kinds_[ref.kind].parent, 0, 0};
  path[2] = kinds_[path[1]].parent;
  for (int level = 3; level >= 0; --level) {
    Kind& kind = kinds_[path[level]];
    const double x = usable ? Limited(kind, input) : kind.mean_x;
    if (exact && siblings->count >= 1) {
      const double kept = std::exp(-1 / (options_.memory * 4));
      const double share = siblings->count / (siblings->count + 1);
      kind.within_sum = kind.within_sum * kept + share * deviation * deviation;
      kind.within_weight = kind.within_weight * kept + 1;
    }
    AddPair(&kind, x, y, kind_weight, options_.memory);
    Refit(&kind);
  }
  siblings->count += weight;
  siblings->log_sum += weight * y;
}

void DurationModel::ShrinkKinds() {
  // One observation adds three kinds at most, and two submitters.
  if (kinds_.size() + 3 <= options_.max_kinds) return;
  std::vector<std::int64_t> ages;
  ages.reserve(kinds_.size());
  for (const Kind& kind : kinds_) ages.push_back(kind.used_at);
  const auto cut =
      ages.begin() + static_cast<std::ptrdiff_t>(ages.size() / kDropDivisor);
  std::nth_element(ages.begin(), cut, ages.end());
  // A wider kind is used whenever a narrower one is, so none loses its parent.
  const std::int64_t oldest = *cut;
  std::vector<Kind> kept;
  std::vector<std::uint32_t> moved(kinds_.size(), 0);
  kept.reserve(kinds_.size());
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    if (i > 0 && kinds_[i].used_at <= oldest) continue;
    moved[i] = static_cast<std::uint32_t>(kept.size());
    kept.push_back(std::move(kinds_[i]));
  }
  kind_index_.clear();
  for (std::size_t i = 1; i < kept.size(); ++i) {
    kept[i].parent = moved[kept[i].parent];
    kind_index_[kept[i].key] = static_cast<std::uint32_t>(i);
  }
  kinds_ = std::move(kept);
  ++epoch_;
}

void DurationModel::ShrinkSubmitters() {
  if (submitters_.size() + 2 <= options_.max_submitters) return;
  std::vector<std::int64_t> ages;
  ages.reserve(submitters_.size());
  for (const Submitter& submitter : submitters_) {
    ages.push_back(submitter.used_at);
  }
  const auto cut =
      ages.begin() + static_cast<std::ptrdiff_t>(ages.size() / kDropDivisor);
  std::nth_element(ages.begin(), cut, ages.end());
  std::erase_if(submitters_, [oldest = *cut](const Submitter& submitter) {
    return submitter.used_at <= oldest;
  });
  submitter_index_.clear();
  for (std::size_t i = 0; i < submitters_.size(); ++i) {
    submitter_index_[submitters_[i].key] = static_cast<std::uint32_t>(i);
  }
  ++epoch_;
}

std::vector<DurationAccuracy> DurationModel::Accuracy() const {
  std::vector<DurationAccuracy> accuracy;
  accuracy.reserve(errors_.size());
  for (const auto& [queue, errors] : errors_) {
    const auto kind = kind_index_.find(queue);
    accuracy.push_back({.queue = queue,
                        .runs = errors.runs,
                        .expected_ms = std::exp(errors.actual - errors.learned),
                        .actual_ms = std::exp(errors.actual),
                        .learned_bias = errors.learned,
                        .declared_bias = errors.declared,
                        .learned_error = std::sqrt(errors.learned_squares),
                        .declared_error = std::sqrt(errors.declared_squares),
                        .slope = kind == kind_index_.end()
                                     ? 1.0
                                     : kinds_[kind->second].slope});
  }
  return accuracy;
}

}  // namespace basilusher
