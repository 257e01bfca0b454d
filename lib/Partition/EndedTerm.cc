// Ageing and encoding of what is known of an ended term.
#include "basilusher/Partition/EndedTerm.h"

#include <algorithm>
#include <utility>

#include "basilusher/Partition/WorkerLink.h"

namespace basilusher {
namespace {

/// Longest duration that a peer may report.
constexpr std::int64_t kMaxReportedMs = 600000;
constexpr std::int64_t kPerMille = 1000;

constexpr const char* kTermField = "term";
constexpr const char* kEndedAgoField = "ended_ago_ms";
constexpr const char* kLongLeasesField = "long_leases";
constexpr const char* kEarlierLeftField = "earlier_left_ms";
constexpr const char* kUsualLeaseField = "usual_lease_ms";
constexpr const char* kStartsField = "unsettled_starts";
/// Columns of a start: task, worker, run, time since it was sent (ms), lasting.
constexpr std::size_t kStartColumns = 5;

std::optional<Millis> DecodeDuration(const Json& value) {
  const std::optional<std::int64_t> ms = IntegerOf(value);
  if (!ms || *ms < 0 || *ms > kMaxReportedMs) return std::nullopt;
  return Millis(*ms);
}

std::optional<Millis> DurationIn(const Json& in, const char* name) {
  const auto field = in.find(name);
  return field == in.end() ? std::nullopt : DecodeDuration(*field);
}

/// Least time that passes here while another clock counts `duration`.
Millis ShortestHere(Millis duration) {
  return Millis(duration.count() * (kPerMille - kClockDriftPerMille) /
                kPerMille);
}

/// Longest time that passes here while another clock counts `duration`.
Millis LongestHere(Millis duration) {
  if (duration == Millis(0)) return duration;
  return Millis(
      duration.count() * kPerMille / (kPerMille - kClockDriftPerMille) + 1);
}

Json EncodeStarts(const std::vector<UnsettledStart>& starts) {
  Json out = Json::array();
  for (const UnsettledStart& start : starts) {
    out.push_back({FormatTaskId(start.task), start.worker, start.run,
                   std::min(start.sent_ago.count(), kMaxReportedMs),
                   start.lasting});
  }
  return out;
}

std::optional<UnsettledStart> DecodeStart(const Json& row) {
  if (!row.is_array() || row.size() != kStartColumns || !row[0].is_string() ||
      !row[1].is_string() || !row[4].is_boolean()) {
    return std::nullopt;
  }
  const std::optional<TaskId> task = ParseTaskId(row[0].get<std::string>());
  const std::optional<std::int64_t> run = IntegerOf(row[2]);
  const std::optional<Millis> ago = DecodeDuration(row[3]);
  if (!task || !run || *run < 0 || !ago) return std::nullopt;
  return UnsettledStart{.task = *task,
                        .worker = row[1].get<std::string>(),
                        .run = *run,
                        .sent_ago = ShortestHere(*ago),
                        .lasting = row[4].get<bool>()};
}

std::optional<std::vector<UnsettledStart>> DecodeStarts(const Json& in) {
  std::vector<UnsettledStart> starts;
  const auto field = in.find(kStartsField);
  if (field == in.end()) return starts;
  if (!field->is_array()) return std::nullopt;
  for (const Json& row : *field) {
    const std::optional<UnsettledStart> start = DecodeStart(row);
    if (!start) return std::nullopt;
    starts.push_back(*start);
  }
  return starts;
}

}  // namespace

EndedTerm Aged(const EndedTerm& ended, Millis passed) {
  EndedTerm aged = ended;
  aged.ended_ago += passed;
  aged.earlier_left = std::max(Millis(0), ended.earlier_left - passed);
  for (UnsettledStart& start : aged.unsettled_starts) start.sent_ago += passed;
  if (!ended.long_leases) return aged;
  aged.long_leases->clear();
  for (const auto& [worker, left] : *ended.long_leases) {
    if (left > passed) (*aged.long_leases)[worker] = left - passed;
  }
  return aged;
}

Json EncodeLongLeases(const LongLeases& leases) {
  Json out = Json::object();
  for (const auto& [worker, left] : leases) out[worker] = left.count();
  return out;
}

std::optional<LongLeases> DecodeLongLeases(const Json& in) {
  const auto field = in.find(kLongLeasesField);
  if (field == in.end() || !field->is_object()) return std::nullopt;
  LongLeases leases;
  for (const auto& [worker, value] : field->items()) {
    const std::optional<Millis> left = DecodeDuration(value);
    if (!left) return std::nullopt;
    leases[worker] = *left;
  }
  return leases;
}

Json EncodeEndedTerm(const EndedTerm& ended) {
  // An end that is told as more recent than it was only lengthens a wait.
  const std::int64_t ago = std::min(ended.ended_ago.count(), kMaxReportedMs);
  Json out = {{kTermField, ended.term},
              {kEndedAgoField, ago},
              {kUsualLeaseField, ended.usual_lease.count()},
              {kEarlierLeftField, ended.earlier_left.count()},
              {kStartsField, EncodeStarts(ended.unsettled_starts)}};
  if (ended.long_leases) {
    out[kLongLeasesField] = EncodeLongLeases(*ended.long_leases);
  }
  return out;
}

std::optional<EndedTerm> DecodeEndedTerm(const Json& in) {
  if (!in.is_object()) return std::nullopt;
  const std::int64_t term = FieldOr(in, kTermField, std::int64_t{0});
  const std::optional<Millis> ago = DurationIn(in, kEndedAgoField);
  const std::optional<Millis> left = DurationIn(in, kEarlierLeftField);
  std::optional<std::vector<UnsettledStart>> starts = DecodeStarts(in);
  if (term <= 0 || !ago || !left || !starts) return std::nullopt;
  const Millis usual = DurationIn(in, kUsualLeaseField).value_or(Millis(0));
  EndedTerm ended{.term = term,
                  .ended_ago = ShortestHere(*ago),
                  .long_leases = DecodeLongLeases(in),
                  .usual_lease = LongestHere(usual),
                  .earlier_left = LongestHere(*left),
                  .unsettled_starts = std::move(*starts)};
  if (ended.long_leases) {
    for (auto& [worker, left_there] : *ended.long_leases) {
      left_there = LongestHere(left_there);
    }
  }
  return ended;
}

}  // namespace basilusher
