// Registry of counters.
#include "basilusher/Support/Counters.h"

#include <utility>

namespace basilusher {

Counters::Cell* Counters::Find(std::string_view name) {
  const auto it = cells_.find(name);
  if (it != cells_.end()) return it->second.get();
  return cells_.emplace(name, std::make_unique<Cell>(0)).first->second.get();
}

Counters::Cell* Counters::Get(std::string_view name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return Find(name);
}

void Counters::Add(std::string_view name, std::int64_t n) {
  Get(name)->fetch_add(n, std::memory_order_relaxed);
}

void Counters::Set(std::string_view name, std::int64_t value) {
  Get(name)->store(value, std::memory_order_relaxed);
}

void Counters::Observe(std::string_view name, std::int64_t value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto it = histograms_.find(name);
  if (it == histograms_.end()) {
    it = histograms_.emplace(name, Histogram()).first;
    it->second.count = Find(it->first + "_count");
    it->second.sum = Find(it->first + "_sum");
  }
  Histogram& histogram = it->second;
  for (std::size_t i = 0; i < kBounds.size(); ++i) {
    if (value > kBounds[i]) continue;
    Cell*& bucket = histogram.buckets[i];
    if (bucket == nullptr) {
      bucket = Find(it->first + "_bucket{le=\"" + std::to_string(kBounds[i]) +
                    "\"}");
    }
    bucket->fetch_add(1, std::memory_order_relaxed);
  }
  histogram.count->fetch_add(1, std::memory_order_relaxed);
  histogram.sum->fetch_add(value, std::memory_order_relaxed);
}

std::int64_t Counters::Value(std::string_view name) const {
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
