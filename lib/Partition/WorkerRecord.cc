// Encoding of the record of workers, and what is kept of closed links.
#include "basilusher/Partition/WorkerRecord.h"

#include <algorithm>
#include <optional>

#include "basilusher/Support/Json.h"

namespace basilusher {
namespace {

/// Keys in the record that are no worker ids. Earlier releases pass over
/// entries whose values are no strings.
constexpr const char* kFullyReadTermKey = "";
constexpr const char* kIncarnationsKey = "#incarnations";
constexpr const char* kUsualLeaseKey = "#lease_ms";

/// Returns the row [start, settled clock] of a worker. What is malformed counts
/// as unknown.
FencedIncarnation DecodeIncarnation(const Json& rows, const std::string& id) {
  if (!rows.is_object()) return {};
  const auto row = rows.find(id);
  if (row == rows.end() || !row->is_array() || row->size() != 2) return {};
  const std::optional<std::int64_t> born = IntegerOf((*row)[0]);
  const std::optional<std::int64_t> clock = IntegerOf((*row)[1]);
  if (!born || !clock || *born <= 0 || *clock < 0) return {};
  return {.born_unix_ms = *born, .settled_clock_ms = *clock};
}

}  // namespace

bool IsRecordable(const std::string& worker_id) {
  return worker_id != kFullyReadTermKey && worker_id != kIncarnationsKey &&
         worker_id != kUsualLeaseKey;
}

std::string EncodeWorkerRecord(const WorkerRecord& record) {
  Json document = Json::object();
  if (record.fully_read_term > 0) {
    document[kFullyReadTermKey] = record.fully_read_term;
  }
  if (record.usual_lease > Millis(0)) {
    document[kUsualLeaseKey] = record.usual_lease.count();
  }
  Json incarnations = Json::object();
  for (const auto& [id, worker] : record.workers) {
    document[id] = worker.address;
    const FencedIncarnation& fenced = worker.fenced;
    if (fenced.born_unix_ms == 0) continue;
    incarnations[id] = {fenced.born_unix_ms, fenced.settled_clock_ms};
  }
  for (const auto& [id, fenced] : record.former) {
    incarnations[id] = {fenced.born_unix_ms, fenced.settled_clock_ms};
  }
  if (!incarnations.empty()) {
    document[kIncarnationsKey] = std::move(incarnations);
  }
  return document.dump();
}

WorkerRecord DecodeWorkerRecord(const std::string& bytes) {
  WorkerRecord record;
  const Json document = Json::parse(bytes, nullptr, false);
  if (!document.is_object()) return record;
  record.fully_read_term =
      FieldOr(document, kFullyReadTermKey, std::int64_t{0});
  record.usual_lease = Millis(std::max<std::int64_t>(
      0, FieldOr(document, kUsualLeaseKey, std::int64_t{0})));
  const Json incarnations = document.value(kIncarnationsKey, Json::object());
  for (const auto& [id, value] : document.items()) {
    const std::string address =
        value.is_string() ? value.get<std::string>() : std::string();
    // An address that nothing listens on names no worker to read.
    if (!IsRecordable(id) || address.empty()) continue;
    record.workers[id] = {.address = address,
                          .fenced = DecodeIncarnation(incarnations, id)};
  }
  if (!incarnations.is_object()) return record;
  for (const auto& [id, row] : incarnations.items()) {
    if (!IsRecordable(id) || record.workers.contains(id)) continue;
    record.former[id] = DecodeIncarnation(incarnations, id);
  }
  return record;
}

void FormerIncarnations::NoteClosed(const std::string& worker,
                                    const FencedIncarnation& fenced,
                                    bool may_return, TimePoint now) {
  std::erase_if(closed_, [&](const auto& entry) {
    return now - entry.second.at >= retention_;
  });
  closed_[worker] = {.fenced = fenced, .may_return = may_return, .at = now};
}

std::map<std::string, FencedIncarnation> FormerIncarnations::MayReturn(
    TimePoint now) const {
  std::map<std::string, FencedIncarnation> former;
  for (const auto& [worker, closed] : closed_) {
    if (closed.may_return && now - closed.at < retention_) {
      former[worker] = closed.fenced;
    }
  }
  return former;
}

const FencedIncarnation* FormerIncarnations::Find(const std::string& worker,
                                                  TimePoint now) const {
  const auto it = closed_.find(worker);
  if (it == closed_.end() || now - it->second.at >= retention_) return nullptr;
  return &it->second.fenced;
}

}  // namespace basilusher
