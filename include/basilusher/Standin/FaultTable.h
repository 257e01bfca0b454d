// Faults that tests set on the stand-ins.
#ifndef BASILUSHER_STANDIN_FAULTTABLE_H_
#define BASILUSHER_STANDIN_FAULTTABLE_H_

#include <mutex>
#include <string>
#include <vector>

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/EnumTable.h"
#include "basilusher/Support/Json.h"

namespace basilusher {

enum class FaultKind {
  kNone,
  /// Answers late.
  kDelay,
  /// Answers that it won't; no effect.
  kRefuse,
  /// Takes effect and then ends the connection without an answer.
  kLoseAnswer,
  /// Ends the connection with no effect.
  kCut,
};

inline constexpr EnumTable<FaultKind, 5> kFaultNames = {{
    {FaultKind::kNone, "none"},
    {FaultKind::kDelay, "delay"},
    {FaultKind::kRefuse, "refuse"},
    {FaultKind::kLoseAnswer, "lose-answer"},
    {FaultKind::kCut, "cut"},
}};

struct Fault {
  /// Operation it applies to; "*" for all.
  std::string operation = "*";
  FaultKind kind = FaultKind::kNone;
  /// Number of calls it applies to; -1 until it is cleared.
  int calls = -1;
  Millis delay{0};
};

/// Reads {"operation", "kind", "calls", "delayMillis"}; throws
/// Error(kSettingsInvalid).
Fault ParseFault(const Json& json);

/// Thread-safe.
class FaultTable {
 public:
  void Add(const Fault& fault);
  void Clear();
  /// The fault for one call of `operation`; kNone if there is none.
  Fault Take(const std::string& operation);

 private:
  std::mutex mutex_;
  std::vector<Fault> faults_;
};

}  // namespace basilusher

#endif  // BASILUSHER_STANDIN_FAULTTABLE_H_
