// Ageing and encoding of what is known of an ended term.
#include "basilusher/Partition/EndedTerm.h"

#include <algorithm>

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

}  // namespace

EndedTerm Aged(const EndedTerm& ended, Millis passed) {
  EndedTerm aged = ended;
  aged.ended_ago += passed;
  aged.earlier_left = std::max(Millis(0), ended.earlier_left - passed);
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
              {kEarlierLeftField, ended.earlier_left.count()}};
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
  if (term <= 0 || !ago || !left) return std::nullopt;
  const Millis usual = DurationIn(in, kUsualLeaseField).value_or(Millis(0));
  EndedTerm ended{.term = term,
                  .ended_ago = ShortestHere(*ago),
                  .long_leases = DecodeLongLeases(in),
                  .usual_lease = LongestHere(usual),
                  .earlier_left = LongestHere(*left)};
  if (ended.long_leases) {
    for (auto& [worker, left_there] : *ended.long_leases) {
      left_there = LongestHere(left_there);
    }
  }
  return ended;
}

}  // namespace basilusher
