// Table of faults.
#include "basilusher/Standin/FaultTable.h"

namespace basilusher {

Fault ParseFault(const Json& json) {
  const std::string name = json.value("kind", std::string());
  const std::optional<FaultKind> kind = ValueOf(kFaultNames, name);
  if (!kind) {
    throw Error(ResultCode::kSettingsInvalid,
                "fault: field /kind: found \"" + name +
                    "\"; expected: none, delay, refuse, lose-answer or cut");
  }
  return {.operation = json.value("operation", std::string("*")),
          .kind = *kind,
          .calls = json.value("calls", -1),
          .delay = Millis(json.value("delayMillis", 0))};
}

void FaultTable::Add(const Fault& fault) {
  const std::lock_guard<std::mutex> lock(mutex_);
  faults_.push_back(fault);
}

void FaultTable::Clear() {
  const std::lock_guard<std::mutex> lock(mutex_);
  faults_.clear();
}

Fault FaultTable::Take(const std::string& operation) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto it = faults_.begin(); it != faults_.end(); ++it) {
    if (it->operation != "*" && it->operation != operation) continue;
    Fault fault = *it;
    if (it->calls > 0 && --it->calls == 0) faults_.erase(it);
    return fault;
  }
  return {};
}

}  // namespace basilusher
