// Requests to evacuate data centres, as a node knows them.
#include "basilusher/Partition/EvacuationView.h"

#include "basilusher/Support/Json.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Unexpected keys and values that are told apart. Further ones are not logged:
/// an operator's error must not fill memory or the log.
constexpr std::size_t kMaxLogged = 256;

}  // namespace

void EvacuationView::SetMaxAge(std::optional<Millis> max_age) {
  const bool switched = max_age.has_value() != max_age_.has_value();
  max_age_ = max_age;
  if (!switched) return;
  for (const auto& [data_centre, revision] : requests_) {
    Log(data_centre, max_age_.has_value(), revision);
  }
  SetGauge();
}

void EvacuationView::Begin(const std::string& data_centre,
                           const std::string& value, std::int64_t revision) {
  const bool added = !requests_.contains(data_centre);
  requests_[data_centre] = revision;
  if (!max_age_) return;
  const Json document = Json::parse(value, nullptr, false);
  const bool expected = document.is_object() && document.empty();
  if (!expected && IsFirst("value of " + data_centre)) {
    LogEvent(LogLevel::kWarning, "evacuation-value-ignored",
             {{"data_centre", data_centre},
              {"revision", revision},
              {"bytes", value.size()}});
  }
  if (!added) return;
  Log(data_centre, true, revision);
  SetGauge();
}

void EvacuationView::End(const std::string& data_centre,
                         std::int64_t revision) {
  if (requests_.erase(data_centre) == 0 || !max_age_) return;
  Log(data_centre, false, revision);
  SetGauge();
}

void EvacuationView::NoteInvalid(const std::string& key,
                                 const std::string& problem) {
  if (!max_age_ || !IsFirst("key " + key)) return;
  LogEvent(LogLevel::kWarning, "evacuation-key-invalid",
           {{"key", key}, {"problem", problem}});
}

std::set<std::string> EvacuationView::All() const {
  std::set<std::string> data_centres;
  if (!max_age_) return data_centres;
  for (const auto& [data_centre, revision] : requests_) {
    data_centres.insert(data_centre);
  }
  return data_centres;
}

bool EvacuationView::IsStale(Millis silence) const {
  if (!max_age_) return false;
  const std::optional<Millis> age = Age();
  return !age || *age - silence >= *max_age_;
}

std::optional<Millis> EvacuationView::Age() const {
  const TimePoint fresh_at = fresh_at_ ? fresh_at_() : TimePoint{};
  if (fresh_at == TimePoint{}) return std::nullopt;
  return clock_->Now() - fresh_at;
}

void EvacuationView::Log(const std::string& data_centre, bool begun,
                         std::int64_t revision) const {
  const std::optional<Millis> age = Age();
  LogEvent(LogLevel::kNotice, "evacuation",
           {{"data_centre", data_centre},
            {"state", begun ? "begun" : "ended"},
            {"revision", revision},
            {"age_ms", age ? Json(age->count()) : Json()}});
}

void EvacuationView::SetGauge() const {
  if (counters_ == nullptr) return;
  counters_->Set("evacuated_data_centres",
                 static_cast<std::int64_t>(All().size()));
}

bool EvacuationView::IsFirst(const std::string& what) {
  return logged_.size() < kMaxLogged && logged_.insert(what).second;
}

}  // namespace basilusher
