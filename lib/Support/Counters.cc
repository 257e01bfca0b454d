// Registry of counters.
#include "basilusher/Support/Counters.h"

#include <utility>

namespace basilusher {

Counters::Cell* Counters::Get(const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::unique_ptr<Cell>& cell = cells_[name];
  if (cell == nullptr) cell = std::make_unique<Cell>(0);
  return cell.get();
}

void Counters::Add(const std::string& name, std::int64_t n) {
  Get(name)->fetch_add(n, std::memory_order_relaxed);
}

void Counters::Set(const std::string& name, std::int64_t value) {
  Get(name)->store(value, std::memory_order_relaxed);
}

void Counters::Observe(const std::string& name, std::int64_t value) {
  // Milliseconds, from a local answer to a job that is hopelessly late.
  static constexpr std::int64_t kBounds[] = {
      5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000};
  for (const std::int64_t bound : kBounds) {
    if (value <= bound) {
      Add(name + "_bucket{le=\"" + std::to_string(bound) + "\"}");
    }
  }
  Add(name + "_count");
  Add(name + "_sum", value);
}

std::int64_t Counters::Value(const std::string& name) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = cells_.find(name);
  return it == cells_.end() ? 0 : it->second->load(std::memory_order_relaxed);
}

std::string Counters::Render() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string text;
  for (const std::pair<const std::string, std::unique_ptr<Cell>>& row :
       cells_) {
    text += "basilusher_" + row.first + " " +
            std::to_string(row.second->load(std::memory_order_relaxed)) + "\n";
  }
  return text;
}

}  // namespace basilusher
