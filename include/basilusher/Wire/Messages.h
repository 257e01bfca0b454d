// Messages between the system's own processes.
#ifndef BASILUSHER_WIRE_MESSAGES_H_
#define BASILUSHER_WIRE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "basilusher/Model/ClusterView.h"
#include "basilusher/Model/KeySet.h"
#include "basilusher/Support/Json.h"

namespace basilusher {

/// One run of one entry process, as the sender or receiver of a message.
struct PeerId {
  std::string instance;
  std::int64_t incarnation = 0;

  friend auto operator<=>(const PeerId&, const PeerId&) = default;
};

/// "instance#incarnation". Thread-safe.
std::string ToString(const PeerId& peer);

/// How the use of a slot ended.
enum class SlotResult {
  kAnswered,
  /// The worker answered that the work failed.
  kFailed,
  /// The worker said that it did not run.
  kRefused,
  /// No byte reached the worker.
  kUnreachable,
  /// Bytes were sent and no whole answer came.
  kLost,
  /// The slot was not used.
  kUnused,
};

/// What a home knows of an idempotency key.
enum class ClaimState {
  kAbsent,
  /// Committed for the request that asked.
  kClaimed,
  /// Another submission holds it and its outcome is not recorded.
  kInProgress,
  /// The outcome is recorded.
  kRecorded,
  /// The key was used for another body.
  kReused,
  /// The store can't be asked.
  kUnavailable,
};

/// Sent to every peer each period and on each change of configuration.
struct Heartbeat {
  EntryInfo info;
  std::int64_t intent_version = 0;
  std::string keys_digest;
  /// Milliseconds since the sender last heard from the store; -1 for never.
  std::int64_t store_age_ms = -1;
  bool shutting_down = false;
};

struct IntentPull {
  std::int64_t version = 0;
};

struct IntentPush {
  std::int64_t version = 0;
  Json document;
};

struct KeysPull {
  std::string digest;
};

struct KeysPush {
  KeySet keys;
};

/// Asks the home of a pool for a slot.
struct SlotAsk {
  std::string pool;
  std::string request_id;
  int attempt = 0;
  std::string team;
  std::string queue;
  WorkClass work_class = WorkClass::kStandard;
  /// Time the request may wait and, once started, run.
  std::int64_t wait_ms = 0;
  std::int64_t hold_ms = 0;
  int max_waiting = 0;
  /// Workers that failed earlier attempts.
  std::vector<std::string> avoid;
};

struct SlotGrant {
  std::string request_id;
  int attempt = 0;
  std::string worker;
};

struct SlotRefusal {
  std::string request_id;
  int attempt = 0;
  int code = 0;
  int retry_after_ms = 0;
};

/// Tells a new home of a slot in use.
struct SlotHeld {
  std::string pool;
  std::string request_id;
  int attempt = 0;
  std::string team;
  std::string worker;
  std::int64_t hold_ms = 0;
};

struct SlotDone {
  std::string pool;
  std::string request_id;
  int attempt = 0;
  std::string worker;
  SlotResult result = SlotResult::kUnused;
  std::int64_t service_ms = 0;
};

/// A holder's report to the home of a team: its ceiling is exactly `ceiling`
/// and it takes no answer to an ask with a lower sequence number any more.
struct PlaceAsk {
  std::string team;
  std::int64_t term = 0;
  std::int64_t sequence = 0;
  int ceiling = 0;
  /// Limit in force when the ceiling was given.
  int basis = 0;
  int in_use = 0;
  /// Ceiling that the holder would like to have.
  int wanted = 0;
};

/// The home's answer: the holder may hold `ceiling` places from now on.
struct PlaceAnswer {
  std::string team;
  std::int64_t term = 0;
  std::int64_t sequence = 0;
  int ceiling = 0;
  int basis = 0;
};

/// Announces the home of a team and its term, and asks for a report.
struct PlaceTerm {
  std::string team;
  std::int64_t term = 0;
  PeerId home;
};

/// Asks a holder to lower its ceiling as places become free.
struct PlaceRecall {
  std::string team;
  std::int64_t term = 0;
  int lower_to = 0;
};

/// Looks an idempotency key up, or claims it if `commit`.
struct ClaimAsk {
  std::string team;
  std::string key;
  std::string body_digest;
  std::string request_id;
  bool commit = false;
};

/// Outcome kept for an idempotency key.
struct RecordedOutcome {
  int outcome = 0;
  int code = 0;
  int status = 0;
  std::string body;
  /// Digest of the whole answer, also when the body was too large to keep.
  std::string digest;
  bool body_kept = true;
  std::string worker;
};

struct ClaimReply {
  std::string request_id;
  bool commit = false;
  ClaimState state = ClaimState::kUnavailable;
  RecordedOutcome outcome;
};

/// Records the outcome of a claimed request.
struct ClaimDone {
  std::string team;
  std::string key;
  std::string request_id;
  RecordedOutcome outcome;
};

struct ClaimDoneAck {
  std::string request_id;
};

/// Operations on tasks, sent to the home of the task's bucket.
enum class TaskOperation { kSubmit, kQuery, kCancel };

struct TaskAsk {
  TaskOperation operation = TaskOperation::kQuery;
  std::string call_id;
  std::string task_id;
  std::string team;
  std::string key;
  std::string queue;
  std::string body;
  bool idempotent = true;
};

struct TaskAnswer {
  std::string call_id;
  int code = 0;
  /// State of the task as shown to its team; empty if the call failed.
  Json state;
};

using Message =
    std::variant<Heartbeat, IntentPull, IntentPush, KeysPull, KeysPush, SlotAsk,
                 SlotGrant, SlotRefusal, SlotHeld, SlotDone, PlaceAsk,
                 PlaceAnswer, PlaceTerm, PlaceRecall, ClaimAsk, ClaimReply,
                 ClaimDone, ClaimDoneAck, TaskAsk, TaskAnswer>;

/// Name of the message's type on the wire. Thread-safe.
std::string_view KindOf(const Message& message);

}  // namespace basilusher

#endif  // BASILUSHER_WIRE_MESSAGES_H_
