// Arithmetic on resources, task ids and validation of job descriptions.
#include "basilusher/Jobs/Job.h"

#include <algorithm>
#include <charconv>

namespace basilusher {
namespace {

/// Limits of a job description: far above what deployments submit, and low
/// enough that one job cannot exhaust the memory of an entry process.
constexpr int kMaxSteps = 256;
constexpr int kMaxTasksPerJob = 20000;
constexpr std::size_t kMaxPayloadBytes = std::size_t{64} * 1024;

bool ReadInt(std::string_view* text, int* value) {
  const char* begin = text->data();
  const std::from_chars_result result =
      std::from_chars(begin, begin + text->size(), *value);
  if (result.ec != std::errc() || *value < 0) return false;
  text->remove_prefix(static_cast<std::size_t>(result.ptr - begin));
  return true;
}

bool SkipDot(std::string_view* text) {
  if (text->empty() || text->front() != '.') return false;
  text->remove_prefix(1);
  return true;
}

std::string CheckStep(const StepSpec& step, int index) {
  const std::string where = "step " + std::to_string(index);
  if (step.count < 1 || step.count > kMaxTasksPerJob) {
    return where + ": the number of tasks is outside 1.." +
           std::to_string(kMaxTasksPerJob);
  }
  if (step.need.cpu_millis < 0 || step.need.memory_mb < 0 ||
      step.need.accelerators < 0 || step.estimate_ms < 0) {
    return where + ": negative resources or duration estimate";
  }
  for (const int earlier : step.after) {
    if (earlier < 0 || earlier >= index) {
      return where + ": depends on step " + std::to_string(earlier) +
             ", which is not an earlier step";
    }
  }
  return {};
}

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  cpu_millis += other.cpu_millis;
  memory_mb += other.memory_mb;
  accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu_millis -= other.cpu_millis;
  memory_mb -= other.memory_mb;
  accelerators -= other.accelerators;
  return *this;
}

Resources operator+(Resources a, const Resources& b) { return a += b; }
Resources operator-(Resources a, const Resources& b) { return a -= b; }

Resources operator*(const Resources& a, std::int64_t n) {
  return {.cpu_millis = a.cpu_millis * n,
          .memory_mb = a.memory_mb * n,
          .accelerators = a.accelerators * n};
}

Resources ElementwiseMax(const Resources& a, const Resources& b) {
  return {.cpu_millis = std::max(a.cpu_millis, b.cpu_millis),
          .memory_mb = std::max(a.memory_mb, b.memory_mb),
          .accelerators = std::max(a.accelerators, b.accelerators)};
}

Resources ElementwiseMin(const Resources& a, const Resources& b) {
  return {.cpu_millis = std::min(a.cpu_millis, b.cpu_millis),
          .memory_mb = std::min(a.memory_mb, b.memory_mb),
          .accelerators = std::min(a.accelerators, b.accelerators)};
}

bool Fits(const Resources& need, const Resources& room) {
  return need.cpu_millis <= room.cpu_millis &&
         need.memory_mb <= room.memory_mb &&
         need.accelerators <= room.accelerators;
}

bool IsFinal(JobState state) {
  return state == JobState::kSucceeded || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

std::string FormatTaskId(const TaskId& id) {
  return id.job + "." + std::to_string(id.occurrence) + "." +
         std::to_string(id.step) + "." + std::to_string(id.index);
}

std::optional<TaskId> ParseTaskId(std::string_view text) {
  TaskId id;
  const std::size_t dot = text.find('.');
  if (dot == std::string_view::npos || dot == 0) return std::nullopt;
  id.job = std::string(text.substr(0, dot));
  text.remove_prefix(dot + 1);
  if (!ReadInt(&text, &id.occurrence) || !SkipDot(&text) ||
      !ReadInt(&text, &id.step) || !SkipDot(&text) ||
      !ReadInt(&text, &id.index) || !text.empty()) {
    return std::nullopt;
  }
  return id;
}

std::size_t MaxOpenOccurrences(const JobSpec& job) {
  std::int64_t tasks = 0;
  for (const StepSpec& step : job.steps) tasks += step.count;
  return static_cast<std::size_t>(std::max<std::int64_t>(
      1, kMaxTasksPerJob / std::max<std::int64_t>(1, tasks)));
}

std::string ValidateJob(const JobSpec& job) {
  if (job.steps.empty()) return "a job needs at least one step";
  if (job.steps.size() > kMaxSteps) return "too many steps";
  if (job.payload.size() > kMaxPayloadBytes) return "the payload is too long";
  if (job.times < 0 || job.interval_ms < 0) {
    return "negative number of occurrences or interval";
  }
  std::int64_t tasks = 0;
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    std::string problem = CheckStep(job.steps[i], static_cast<int>(i));
    if (!problem.empty()) return problem;
    tasks += job.steps[i].count;
  }
  if (tasks > kMaxTasksPerJob) return "too many tasks";
  return {};
}

}  // namespace basilusher
