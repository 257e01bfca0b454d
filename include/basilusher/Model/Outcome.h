// The three outcomes of a request and the answer given to its caller.
#ifndef BASILUSHER_MODEL_OUTCOME_H_
#define BASILUSHER_MODEL_OUTCOME_H_

#include <string>

#include "basilusher/Support/EnumTable.h"
#include "basilusher/Support/Error.h"

namespace basilusher {

/// What became of a request. kNotRun is only used if no byte of it reached a
/// worker or the worker itself said that it did not run.
enum class Outcome { kRan, kNotRun, kUnknown };

inline constexpr EnumTable<Outcome, 3> kOutcomeNames = {{
    {Outcome::kRan, "ran"},
    {Outcome::kNotRun, "not-run"},
    {Outcome::kUnknown, "unknown"},
}};

/// What a "not run" covers: this submission alone, or every submission with the
/// same idempotency key so far.
enum class NotRunScope { kSubmission, kIdempotencyKey };

inline constexpr EnumTable<NotRunScope, 2> kNotRunScopeNames = {{
    {NotRunScope::kSubmission, "submission"},
    {NotRunScope::kIdempotencyKey, "idempotency-key"},
}};

/// The answer to one request.
struct Answer {
  Outcome outcome = Outcome::kNotRun;
  ResultCode code = ResultCode::kOk;
  /// Status of the worker's own answer; meaningful for kRan.
  int status = 0;
  /// The worker's whole answer; meaningful for kRan.
  std::string body;
  /// Worker that ran it, if any.
  std::string worker;
  NotRunScope scope = NotRunScope::kSubmission;
  /// Milliseconds after which a retry makes sense; zero if none was worked out.
  int retry_after_ms = 0;
  /// Plain words for the caller.
  std::string text;
  /// Whether the answer was taken from the record of an earlier submission.
  bool recorded = false;
};

/// A true refusal. Thread-safe.
Answer Refuse(ResultCode code, const std::string& text, int retry_after_ms = 0);

/// An answer that leaves open whether the request ran. Thread-safe.
Answer Doubt(ResultCode code, const std::string& text);

}  // namespace basilusher

#endif  // BASILUSHER_MODEL_OUTCOME_H_
