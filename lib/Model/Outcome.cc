// Construction of answers.
#include "basilusher/Model/Outcome.h"

namespace basilusher {

Answer Refuse(ResultCode code, const std::string& text, int retry_after_ms) {
  return {.outcome = Outcome::kNotRun,
          .code = code,
          .retry_after_ms = retry_after_ms,
          .text = text};
}

Answer Doubt(ResultCode code, const std::string& text) {
  return {.outcome = Outcome::kUnknown, .code = code, .text = text};
}

}  // namespace basilusher
