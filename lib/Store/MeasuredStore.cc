// Counting decorator of a store.
#include "basilusher/Store/MeasuredStore.h"

#include <utility>

#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

constexpr Millis kReportPeriod{1000};

/// The call did not get an answer that says what it asked.
bool Failed(TxnStatus status) {
  return status == TxnStatus::kRefused || status == TxnStatus::kUnreachable ||
         status == TxnStatus::kLost;
}

}  // namespace

MeasuredStore::MeasuredStore(const char* purpose, TransactionalStore* store,
                             TimerService* timers, Counters* counters)
    : purpose_(purpose), store_(store), timers_(timers), counters_(counters) {}

void MeasuredStore::Get(const std::string& key, StoreAnswerCallback done) {
  store_->Get(key, Measure(StoreCall::kGet, std::move(done)));
}

void MeasuredStore::List(const std::string& prefix, StoreAnswerCallback done,
                         StoreProgressCallback on_progress) {
  store_->List(prefix, Measure(StoreCall::kList, std::move(done)),
               std::move(on_progress));
}

void MeasuredStore::Watch(const std::string& prefix, std::int64_t revision,
                          Millis wait, StoreAnswerCallback done,
                          StoreProgressCallback on_progress) {
  store_->Watch(prefix, revision, wait,
                Measure(StoreCall::kWatch, std::move(done)),
                std::move(on_progress));
}

void MeasuredStore::Commit(const Txn& txn, StoreAnswerCallback done) {
  store_->Commit(txn, Measure(StoreCall::kCommit, std::move(done)));
}

void MeasuredStore::GrantLease(Millis ttl, StoreAnswerCallback done) {
  store_->GrantLease(ttl, Measure(StoreCall::kGrant, std::move(done)));
}

void MeasuredStore::KeepLease(std::int64_t lease, StoreAnswerCallback done) {
  store_->KeepLease(lease, Measure(StoreCall::kKeep, std::move(done)));
}

void MeasuredStore::EndLease(std::int64_t lease, StoreAnswerCallback done) {
  store_->EndLease(lease, Measure(StoreCall::kEnd, std::move(done)));
}

StoreAnswerCallback MeasuredStore::Measure(StoreCall call,
                                           StoreAnswerCallback done) {
  return [this, call, done = std::move(done)](const StoreAnswer& answer) {
    Note(call, answer.status);
    done(answer);
  };
}

void MeasuredStore::Note(StoreCall call, TxnStatus status) {
  counters_->Add("store_calls_total{for=\"" + std::string(purpose_) +
                 "\",call=\"" + std::string(NameOf(kStoreCallNames, call)) +
                 "\",status=\"" + std::string(NameOf(kTxnStatusNames, status)) +
                 "\"}");
  ++recent_[static_cast<std::size_t>(call)][static_cast<std::size_t>(status)];
  if (report_planned_ || !Failed(status)) return;
  report_planned_ = true;
  timers_->After(kReportPeriod, [this] { Report(); });
}

void MeasuredStore::Report() {
  report_planned_ = false;
  Json fields = {{"for", purpose_}};
  for (std::size_t call = 0; call < kCalls; ++call) {
    Json by_status = Json::object();
    for (std::size_t status = 0; status < kStatuses; ++status) {
      const std::int64_t n = recent_[call][status];
      if (n > 0) by_status[std::string(kTxnStatusNames[status].second)] = n;
    }
    if (!by_status.empty()) {
      fields[std::string(kStoreCallNames[call].second)] = std::move(by_status);
    }
  }
  recent_ = {};
  LogEvent(LogLevel::kWarning, "store-calls-failed", fields);
}

}  // namespace basilusher
