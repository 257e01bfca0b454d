// Routing of messages to the components of an entry.
#ifndef BASILUSHER_CONTROL_ROUTING_H_
#define BASILUSHER_CONTROL_ROUTING_H_

#include <cstddef>
#include <vector>

#include "basilusher/Support/EnumTable.h"
#include "basilusher/Wire/Messages.h"

namespace basilusher {

/// Components of an entry. Each runs in an actor of its own.
enum class ComponentKind {
  kMembership,
  kConfig,
  kSlotHome,
  kPlaceHome,
  kClaimHome,
  kFrontDoor,
  kTaskHome,
  kFleet,
};

inline constexpr std::size_t kComponentCount = 8;

inline constexpr EnumTable<ComponentKind, kComponentCount> kComponentNames = {{
    {ComponentKind::kMembership, "membership"},
    {ComponentKind::kConfig, "config"},
    {ComponentKind::kSlotHome, "slot-home"},
    {ComponentKind::kPlaceHome, "place-home"},
    {ComponentKind::kClaimHome, "claim-home"},
    {ComponentKind::kFrontDoor, "front-door"},
    {ComponentKind::kTaskHome, "task-home"},
    {ComponentKind::kFleet, "fleet"},
}};

/// Components that handle `message`. Thread-safe.
std::vector<ComponentKind> RecipientsOf(const Message& message);

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_ROUTING_H_
