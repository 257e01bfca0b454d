// Field names of the messages on the wire.
#ifndef BASILUSHER_LIB_WIRE_MESSAGEJSON_H_
#define BASILUSHER_LIB_WIRE_MESSAGEJSON_H_

#include "basilusher/Wire/Messages.h"

namespace basilusher {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerId, instance, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Heartbeat, info, intent_version, keys_digest,
                                   store_age_ms, shutting_down)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(IntentPull, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(IntentPush, version, document)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeysPull, digest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeysPush, keys)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SlotAsk, pool, request_id, attempt, team,
                                   queue, work_class, wait_ms, hold_ms,
                                   max_waiting, avoid)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SlotGrant, request_id, attempt, worker)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SlotRefusal, request_id, attempt, code,
                                   retry_after_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SlotHeld, pool, request_id, attempt, team,
                                   worker, hold_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SlotDone, pool, request_id, attempt, worker,
                                   result, service_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceAsk, team, term, sequence, ceiling,
                                   basis, in_use, wanted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceAnswer, team, term, sequence, ceiling,
                                   basis)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceTerm, team, term, home)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceRecall, team, term, lower_to)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimAsk, team, key, body_digest, request_id,
                                   commit)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RecordedOutcome, outcome, code, status, body,
                                   digest, body_kept, worker)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimReply, request_id, commit, state,
                                   outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimDone, team, key, request_id, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimDoneAck, request_id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskAsk, operation, call_id, task_id, team,
                                   key, queue, body, idempotent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskAnswer, call_id, code, state)

}  // namespace basilusher

#endif  // BASILUSHER_LIB_WIRE_MESSAGEJSON_H_
