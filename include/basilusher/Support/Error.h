// Numbered result codes and the exception that carries them.
#ifndef BASILUSHER_SUPPORT_ERROR_H_
#define BASILUSHER_SUPPORT_ERROR_H_

#include <stdexcept>
#include <string>
#include <string_view>

namespace basilusher {

/// Result codes shown to callers and operators. docs/ERRORS.md lists each one;
/// a unit test compares the page with this enumeration. Numbers never change
/// their meaning.
enum class ResultCode : int {
  kOk = 0,
  // Settings and intent files: 100 to 199.
  kSettingsUnreadable = 101,
  kSettingsMalformed = 102,
  kSettingsInvalid = 103,
  kIntentInvalid = 110,
  kIntentStale = 111,
  kIntentReverts = 112,
  kUsage = 120,
  // Callers' requests: 200 to 299.
  kMalformedRequest = 201,
  kKeyMissing = 202,
  kKeyUnknown = 203,
  kKeyWithdrawn = 204,
  kWrongTeam = 205,
  kUnknownQueue = 206,
  kBodyTooLarge = 207,
  kDeadlineExpired = 208,
  kIdempotencyKeyMissing = 209,
  kIdempotencyKeyReused = 210,
  kUnknownTask = 211,
  kOperatorTokenWrong = 212,
  kTaskEnded = 213,
  // Refusals for lack of room or authority; nothing ran: 300 to 399.
  kOverloaded = 301,
  kTeamAtLimit = 302,
  kNoWorker = 303,
  kShuttingDown = 304,
  kIsolated = 305,
  kClaimUnavailable = 306,
  kRetriesExhausted = 307,
  kCancelled = 308,
  kNoIntent = 309,
  // Doubt: the request may have run: 400 to 499.
  kAnswerLost = 401,
  kClaimInProgress = 402,
  kEarlierOutcomeUnknown = 403,
  kCancelledWhileRunning = 404,
  // The platform and the processes' own protocol: 500 to 599.
  kStoreUnavailable = 501,
  kStoreConflict = 502,
  kStoreAnswerLost = 503,
  kStoreBudgetSpent = 504,
  kEnvelopeMalformed = 510,
  kEnvelopeVersion = 511,
  kTransportFailed = 512,
  kTaskFailsEverywhere = 520,
};

/// Name of `code` as written in docs/ERRORS.md. Thread-safe.
std::string_view ResultCodeName(ResultCode code);

/// An error with its numbered code. The text names the field or the resource
/// and what to do about it.
class Error : public std::runtime_error {
 public:
  /// `code` must not be kOk.
  Error(ResultCode code, const std::string& text);

  /// The numbered code. Thread-safe.
  ResultCode Code() const { return code_; }

 private:
  ResultCode code_;
};

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_ERROR_H_
