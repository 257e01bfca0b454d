// Accounting of bytes held for clients.
#include "basilusher/Net/ClientBudget.h"

#include <string>

#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

constexpr Millis kLogPeriod{1000};
/// Share of the budget that small requests may use ahead of what closed
/// connections give back. Without a bound a flood of heads took twice the
/// budget in one turn of the loop.
constexpr std::size_t kShareAhead = 8;

}  // namespace

ClientBudget::ClientBudget(ClientBudgetOptions options, const Clock* clock,
                           Counters* counters)
    : options_(options), clock_(clock), counters_(counters) {}

bool ClientBudget::Hold(Holder* holder, std::size_t bytes, Use use) {
  if (bytes > holder->held_bytes_ && !MakeRoom(holder, bytes, use)) {
    return false;
  }
  if (holder->held_bytes_ == 0) holder->held_since_ = clock_->Now();
  held_bytes_ = held_bytes_ - holder->held_bytes_ + bytes;
  holder->held_bytes_ = bytes;
  if (bytes == 0) {
    holders_.erase(holder);
  } else {
    holders_.insert(holder);
  }
  return true;
}

bool ClientBudget::MakeRoom(const Holder* holder, std::size_t bytes, Use use) {
  const std::size_t wanted = held_bytes_ - holder->held_bytes_ + bytes;
  if (use == Use::kBody) {
    return wanted <= options_.max_bytes - options_.reserved_bytes;
  }
  // What closed connections held is free a turn of the loop later. Small
  // requests need not wait for that; large responses could pile up meanwhile.
  while (wanted - closing_bytes_ > options_.max_bytes) {
    if (!CloseHeaviest(holder)) return false;
  }
  const std::size_t ahead =
      use == Use::kSmall ? options_.max_bytes / kShareAhead : 0;
  return wanted <= options_.max_bytes + ahead;
}

void ClientBudget::Release(Holder* holder) {
  held_bytes_ -= holder->held_bytes_;
  if (holder->closing_) closing_bytes_ -= holder->held_bytes_;
  holder->held_bytes_ = 0;
  holders_.erase(holder);
}

bool ClientBudget::CloseHeaviest(const Holder* spared) {
  const TimePoint now = clock_->Now();
  const auto weight = [now](const Holder& holder) {
    const Millis age = now - holder.held_since_ + Millis(1);
    return static_cast<double>(holder.held_bytes_) *
           static_cast<double>(age.count());
  };
  // Most connections in question wait for their clients, so that few are asked
  // in vain.
  std::set<Holder*> asked;
  while (true) {
    Holder* heaviest = nullptr;
    for (Holder* it : holders_) {
      if (it == spared || it->closing_ || asked.contains(it)) continue;
      if (heaviest == nullptr || weight(*it) > weight(*heaviest)) heaviest = it;
    }
    if (heaviest == nullptr) return false;
    asked.insert(heaviest);
    if (!heaviest->CloseForBudget()) continue;
    heaviest->closing_ = true;
    closing_bytes_ += heaviest->held_bytes_;
    NoteLimit(ClientLimit::kHeldMost);
    return true;
  }
}

void ClientBudget::NoteLimit(ClientLimit reason) {
  ++unlogged_[static_cast<std::size_t>(reason)];
  if (counters_ != nullptr) {
    counters_->Add("clients_limited_total{reason=\"" +
                   std::string(NameOf(kClientLimitNames, reason)) + "\"}");
  }
  const TimePoint now = clock_->Now();
  if (now < next_log_at_) return;
  next_log_at_ = now + kLogPeriod;
  Json fields = {{"held_bytes", held_bytes_},
                 {"max_bytes", options_.max_bytes}};
  for (const auto& [limit, name] : kClientLimitNames) {
    std::int64_t& count = unlogged_[static_cast<std::size_t>(limit)];
    if (count > 0) fields[std::string(name)] = count;
    count = 0;
  }
  LogEvent(LogLevel::kWarning, "clients-limited", fields);
}

}  // namespace basilusher
