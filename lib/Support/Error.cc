// Names of the result codes.
#include "basilusher/Support/Error.h"

#include <cassert>

#include "basilusher/Support/EnumTable.h"

namespace basilusher {
namespace {

constexpr EnumTable<ResultCode, 42> kNames = {{
    {ResultCode::kOk, "ok"},
    {ResultCode::kSettingsUnreadable, "settings-unreadable"},
    {ResultCode::kSettingsMalformed, "settings-malformed"},
    {ResultCode::kSettingsInvalid, "settings-invalid"},
    {ResultCode::kIntentInvalid, "intent-invalid"},
    {ResultCode::kIntentStale, "intent-stale"},
    {ResultCode::kIntentReverts, "intent-reverts"},
    {ResultCode::kUsage, "usage"},
    {ResultCode::kMalformedRequest, "malformed-request"},
    {ResultCode::kKeyMissing, "key-missing"},
    {ResultCode::kKeyUnknown, "key-unknown"},
    {ResultCode::kKeyWithdrawn, "key-withdrawn"},
    {ResultCode::kWrongTeam, "wrong-team"},
    {ResultCode::kUnknownQueue, "unknown-queue"},
    {ResultCode::kBodyTooLarge, "body-too-large"},
    {ResultCode::kDeadlineExpired, "deadline-expired"},
    {ResultCode::kIdempotencyKeyMissing, "idempotency-key-missing"},
    {ResultCode::kIdempotencyKeyReused, "idempotency-key-reused"},
    {ResultCode::kUnknownTask, "unknown-task"},
    {ResultCode::kOperatorTokenWrong, "operator-token-wrong"},
    {ResultCode::kTaskEnded, "task-ended"},
    {ResultCode::kOverloaded, "overloaded"},
    {ResultCode::kTeamAtLimit, "team-at-limit"},
    {ResultCode::kNoWorker, "no-worker"},
    {ResultCode::kShuttingDown, "shutting-down"},
    {ResultCode::kIsolated, "isolated"},
    {ResultCode::kClaimUnavailable, "claim-unavailable"},
    {ResultCode::kRetriesExhausted, "retries-exhausted"},
    {ResultCode::kCancelled, "cancelled"},
    {ResultCode::kNoIntent, "no-intent"},
    {ResultCode::kAnswerLost, "answer-lost"},
    {ResultCode::kClaimInProgress, "claim-in-progress"},
    {ResultCode::kEarlierOutcomeUnknown, "earlier-outcome-unknown"},
    {ResultCode::kCancelledWhileRunning, "cancelled-while-running"},
    {ResultCode::kStoreUnavailable, "store-unavailable"},
    {ResultCode::kStoreConflict, "store-conflict"},
    {ResultCode::kStoreAnswerLost, "store-answer-lost"},
    {ResultCode::kStoreBudgetSpent, "store-budget-spent"},
    {ResultCode::kEnvelopeMalformed, "envelope-malformed"},
    {ResultCode::kEnvelopeVersion, "envelope-version"},
    {ResultCode::kTransportFailed, "transport-failed"},
    {ResultCode::kTaskFailsEverywhere, "task-fails-everywhere"},
}};

}  // namespace

std::string_view ResultCodeName(ResultCode code) {
  return NameOf(kNames, code);
}

Error::Error(ResultCode code, const std::string& text)
    : std::runtime_error(text), code_(code) {
  assert(code != ResultCode::kOk && "an error needs a code other than ok");
}

}  // namespace basilusher
