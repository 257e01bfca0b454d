// Lookups in the configuration.
#include "basilusher/Jobs/Catalog.h"

#include <algorithm>

namespace basilusher {

const QueueConfig* Catalog::Route(std::string_view host,
                                  std::string_view path) const {
  const QueueConfig* best = nullptr;
  for (const auto& [name, queue] : queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix)) continue;
    if (best == nullptr ||
        queue.path_prefix.size() > best->path_prefix.size()) {
      best = &queue;
    }
  }
  return best;
}

std::string Catalog::WorkspaceOfKey(std::string_view key) const {
  for (const auto& [name, workspace] : workspaces) {
    if (std::find(workspace.keys.begin(), workspace.keys.end(), key) !=
        workspace.keys.end()) {
      return name;
    }
  }
  return {};
}

}  // namespace basilusher
