// Group commit, sealing and reading of a journal.
#include "basilusher/Control/Journal.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace basilusher {
namespace {

constexpr int kRecordIdDigits = 16;
/// Time after which a lazy record is written without waiting for others.
constexpr Millis kLazyPeriod{300};
/// Least time between two attempts to load a journal that can't be read.
constexpr Millis kLoadBackoff{250};
/// A writer that has not read or written for longer loads the whole journal
/// again, since the segment that it has as the last may have been deleted.
constexpr Millis kFullReadAfter{3600000};

/// Returns the key of a segment; zero-padded, so that keys sort by number.
std::string SegmentKey(const std::string& prefix, std::int64_t number) {
  std::string digits = std::to_string(number);
  constexpr std::size_t kWidth = 10;
  digits.insert(0, kWidth - std::min(kWidth, digits.size()), '0');
  return prefix + digits;
}

}  // namespace

Journal::Journal(Context context, JournalOptions options, ApplyRecord apply)
    : context_(std::move(context)),
      options_(std::move(options)),
      apply_(std::move(apply)) {}

void Journal::Load() {
  const TimePoint now = context_.clock->Now();
  if (call_in_flight_ || now < next_load_) return;
  next_load_ = now + kLoadBackoff;
  BeginRead();
  if (fully_loaded_once_ && now - last_read_ < kFullReadAfter) {
    ReadTail();
    return;
  }
  context_.store->List(StorePurpose::kClaim, options_.prefix,
                       [this](const StoreReply& reply) { OnLoaded(reply); });
}

void Journal::Refresh() {
  if (!loaded_ || call_in_flight_) return;
  BeginRead();
  ReadTail();
}

void Journal::ReadUpToNow(std::function<void()> done) {
  waiting_readers_.push_back(std::move(done));
  if (loaded_) {
    Refresh();
  } else {
    Load();
  }
}

void Journal::BeginRead() {
  call_in_flight_ = true;
  current_readers_ = std::exchange(waiting_readers_, {});
}

void Journal::CompleteReaders() {
  const std::vector<std::function<void()>> served =
      std::exchange(current_readers_, {});
  for (const std::function<void()>& done : served) done();
}

void Journal::ReadTail() {
  context_.store->Get(StorePurpose::kClaim,
                      SegmentKey(options_.prefix, tail_number_),
                      [this](const StoreReply& reply) { OnTailRead(reply); });
}

void Journal::OnTailRead(const StoreReply& reply) {
  if (reply.status == StoreStatus::kUnavailable) {
    call_in_flight_ = false;
    return;
  }
  if (reply.status == StoreStatus::kOk) {
    const std::int64_t number = tail_number_;
    ApplySegment(reply.entries.front());
    if (tail_number_ != number) {
      // Another writer sealed that segment, so the next one may exist.
      ReadTail();
      return;
    }
  }
  call_in_flight_ = false;
  loaded_ = true;
  next_load_ = {};
  last_read_ = context_.clock->Now();
  CompleteCommittedAppends();
  CompleteReaders();
  StartWrite();
}

void Journal::OnLoaded(const StoreReply& reply) {
  call_in_flight_ = false;
  if (reply.status != StoreStatus::kOk) return;
  sealed_.clear();
  tail_ = Json::array();
  tail_version_ = 0;
  tail_bytes_ = 0;
  for (const StoreEntry& entry : reply.entries) ApplySegment(entry);
  loaded_ = true;
  fully_loaded_once_ = true;
  next_load_ = {};
  last_read_ = context_.clock->Now();
  CompleteCommittedAppends();
  CompleteReaders();
  StartWrite();
}

void Journal::ApplySegment(const StoreEntry& entry) {
  const Json segment = Json::parse(entry.value);
  const std::int64_t number = segment.at("number").get<std::int64_t>();
  for (const Json& record : segment.at("records")) ApplyNew(record);
  if (segment.at("sealed").get<bool>()) {
    sealed_.push_back({number, entry.version,
                       segment.at("sealedMicros").get<std::int64_t>()});
    tail_number_ = std::max(tail_number_, number + 1);
    tail_ = Json::array();
    tail_bytes_ = 0;
    tail_version_ = 0;
    return;
  }
  tail_number_ = number;
  tail_version_ = entry.version;
  tail_ = segment.at("records");
  tail_bytes_ = entry.value.size();
}

void Journal::ApplyNew(const Json& record) {
  if (!applied_ids_.insert(record.at("id").get<std::string>()).second) return;
  apply_(record);
}

void Journal::Append(Json record, Precondition precondition, AppendDone done) {
  const std::string id = RandomHex(context_.random, kRecordIdDigits);
  record["id"] = id;
  pending_.push_back({.id = id,
                      .record = std::move(record),
                      .precondition = std::move(precondition),
                      .done = std::move(done),
                      .since = context_.clock->Now()});
  if (!loaded_) {
    Load();
    return;
  }
  StartWrite();
}

void Journal::AppendLazily(Json record, AppendDone done) {
  const std::string id = RandomHex(context_.random, kRecordIdDigits);
  record["id"] = id;
  pending_.push_back({.id = id,
                      .record = std::move(record),
                      .precondition = [] { return true; },
                      .done = std::move(done),
                      .since = context_.clock->Now(),
                      .lazy = true});
}

void Journal::OnTick() {
  FailOverdueAppends();
  if (loaded_ && !waiting_readers_.empty()) Refresh();
  if (pending_.empty() && waiting_readers_.empty()) return;
  if (!loaded_) {
    Load();
    return;
  }
  StartWrite();
}

std::vector<Journal::PendingRecord*> Journal::ChooseBatch() {
  std::vector<PendingRecord*> batch;
  bool write_due = false;
  const TimePoint now = context_.clock->Now();
  std::size_t bytes = 0;
  for (PendingRecord& row : pending_) {
    write_due = write_due || !row.lazy || now - row.since >= kLazyPeriod;
    bytes += row.record.dump().size();
    batch.push_back(&row);
    if (bytes >= options_.segment_bytes) break;
  }
  if (!write_due) batch.clear();
  return batch;
}

void Journal::RejectFailedPreconditions() {
  std::vector<AppendDone> rejected;
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (it->precondition()) {
      ++it;
      continue;
    }
    rejected.push_back(std::move(it->done));
    it = pending_.erase(it);
  }
  for (const AppendDone& done : rejected) done(AppendResult::kRejected);
}

void Journal::StartWrite() {
  if (call_in_flight_ || !loaded_ || pending_.empty()) return;
  if (context_.clock->Now() - last_write_ < options_.write_period) return;
  // Preconditions are evaluated on all records read so far; the swap fails if
  // another writer has added a record since.
  RejectFailedPreconditions();
  if (call_in_flight_ || !loaded_) return;
  const std::vector<PendingRecord*> batch = ChooseBatch();
  if (!batch.empty()) SendBatch(batch);
}

void Journal::SendBatch(const std::vector<PendingRecord*>& batch) {
  call_in_flight_ = true;
  last_write_ = context_.clock->Now();
  writing_.clear();
  std::size_t bytes = tail_bytes_;
  for (PendingRecord* row : batch) {
    row->outcome_unknown = true;
    writing_.push_back(row->record);
    bytes += row->record.dump().size();
  }
  writing_seals_ = bytes >= options_.segment_bytes;
  const SwapRequest request{.key = SegmentKey(options_.prefix, tail_number_),
                            .expected_version = tail_version_,
                            .value = SegmentJson(writing_seals_).dump()};
  context_.counters->Add("journal_writes");
  context_.counters->Add("journal_records",
                         static_cast<std::int64_t>(batch.size()));
  context_.store->Swap(StorePurpose::kClaim, request,
                       [this](const StoreReply& reply) { OnSwapped(reply); });
}

Json Journal::SegmentJson(bool seal) const {
  Json records = tail_;
  for (const Json& record : writing_) records.push_back(record);
  return {{"number", tail_number_},
          {"sealed", seal},
          {"sealedMicros", seal ? WallMicros() : 0},
          {"records", std::move(records)}};
}

void Journal::OnSwapped(const StoreReply& reply) {
  call_in_flight_ = false;
  if (reply.status != StoreStatus::kOk) {
    // The swap may have taken effect; reading the segment back decides.
    context_.counters->Add("journal_rereads");
    loaded_ = false;
    Load();
    return;
  }
  last_read_ = context_.clock->Now();
  const std::vector<Json> written = std::move(writing_);
  writing_.clear();
  tail_version_ = reply.version;
  for (const Json& record : written) {
    tail_.push_back(record);
    tail_bytes_ += record.dump().size();
  }
  if (writing_seals_) {
    sealed_.push_back({tail_number_, reply.version, WallMicros()});
    ++tail_number_;
    tail_ = Json::array();
    tail_bytes_ = 0;
    tail_version_ = 0;
  }
  for (const Json& record : written) ApplyNew(record);
  CompleteCommittedAppends();
}

void Journal::CompleteCommittedAppends() {
  std::vector<AppendDone> committed;
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (!applied_ids_.contains(it->id)) {
      // A record that was sent and is missing after a reload is not lost: if
      // the segment has changed since, the old swap can no longer succeed;
      // either way, the next write sends the record again under the same id.
      ++it;
      continue;
    }
    committed.push_back(std::move(it->done));
    it = pending_.erase(it);
  }
  DropSealedIds();
  for (const AppendDone& done : committed) done(AppendResult::kCommitted);
}

void Journal::DropSealedIds() {
  if (applied_segment_ == tail_number_) return;
  applied_segment_ = tail_number_;
  applied_ids_.clear();
  for (const Json& record : tail_) {
    applied_ids_.insert(record.at("id").get<std::string>());
  }
}

void Journal::FailOverdueAppends() {
  const TimePoint now = context_.clock->Now();
  std::vector<std::pair<AppendDone, AppendResult>> overdue;
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (it->lazy || now - it->since < options_.append_timeout) {
      ++it;
      continue;
    }
    overdue.emplace_back(std::move(it->done), it->outcome_unknown
                                                  ? AppendResult::kUnknown
                                                  : AppendResult::kNotWritten);
    it = pending_.erase(it);
  }
  for (const std::pair<AppendDone, AppendResult>& row : overdue) {
    row.first(row.second);
  }
}

void Journal::ExpireSegments(Millis retention) {
  if (!loaded_ || call_in_flight_) return;
  const std::int64_t limit =
      WallMicros() -
      std::chrono::duration_cast<std::chrono::microseconds>(retention).count();
  for (auto it = sealed_.begin(); it != sealed_.end();) {
    // The segment before the last is kept: it tells readers the number of the
    // last segment even if that has not been written yet.
    if (it->sealed_micros > limit || it->number + 1 >= tail_number_) {
      ++it;
      continue;
    }
    context_.store->Swap(StorePurpose::kBackground,
                         {.key = SegmentKey(options_.prefix, it->number),
                          .expected_version = it->version,
                          .erase = true},
                         [](const StoreReply& /*reply*/) {});
    it = sealed_.erase(it);
  }
}

}  // namespace basilusher
