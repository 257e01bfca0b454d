// Shows the spans of one trace as a tree.
#ifndef BASILUSHER_LIB_CLIENT_TRACETREE_H_
#define BASILUSHER_LIB_CLIENT_TRACETREE_H_

#include <string>
#include <vector>

namespace basilusher {

/// Reads the span lines of `files` and draws those of the trace or request
/// `id`, with times in milliseconds from the first span; empty if there is
/// none. Throws Error(kSettingsUnreadable).
std::string RenderTrace(const std::vector<std::string>& files,
                        const std::string& id);

}  // namespace basilusher

#endif  // BASILUSHER_LIB_CLIENT_TRACETREE_H_
