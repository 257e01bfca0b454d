// Message types and their recipients.
#include "basilusher/Control/Routing.h"

namespace basilusher {

std::vector<ComponentKind> RecipientsOf(const Message& message) {
  struct RecipientVisitor {
    using Kinds = std::vector<ComponentKind>;
    Kinds operator()(const Heartbeat&) {
      return {ComponentKind::kMembership, ComponentKind::kConfig};
    }
    Kinds operator()(const IntentPull&) { return {ComponentKind::kConfig}; }
    Kinds operator()(const IntentPush&) { return {ComponentKind::kConfig}; }
    Kinds operator()(const KeysPull&) { return {ComponentKind::kConfig}; }
    Kinds operator()(const KeysPush&) { return {ComponentKind::kConfig}; }
    Kinds operator()(const SlotAsk&) { return {ComponentKind::kSlotHome}; }
    Kinds operator()(const SlotHeld&) { return {ComponentKind::kSlotHome}; }
    Kinds operator()(const SlotDone&) { return {ComponentKind::kSlotHome}; }
    Kinds operator()(const SlotGrant&) { return {ComponentKind::kFrontDoor}; }
    Kinds operator()(const SlotRefusal&) { return {ComponentKind::kFrontDoor}; }
    Kinds operator()(const PlaceAsk&) { return {ComponentKind::kPlaceHome}; }
    Kinds operator()(const PlaceAnswer&) { return {ComponentKind::kFrontDoor}; }
    Kinds operator()(const PlaceTerm&) {
      return {ComponentKind::kPlaceHome, ComponentKind::kFrontDoor};
    }
    Kinds operator()(const PlaceRecall&) { return {ComponentKind::kFrontDoor}; }
    Kinds operator()(const ClaimAsk&) { return {ComponentKind::kClaimHome}; }
    Kinds operator()(const ClaimDone&) { return {ComponentKind::kClaimHome}; }
    Kinds operator()(const ClaimReply&) { return {ComponentKind::kFrontDoor}; }
    Kinds operator()(const ClaimDoneAck&) {
      return {ComponentKind::kFrontDoor};
    }
    Kinds operator()(const TaskAsk&) { return {ComponentKind::kTaskHome}; }
    Kinds operator()(const TaskAnswer&) { return {ComponentKind::kTaskHome}; }
  };
  return std::visit(RecipientVisitor(), message);
}

}  // namespace basilusher
