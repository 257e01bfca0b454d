// Plain words on why a queue, team or instance fares as it does.
#ifndef BASILUSHER_LIB_DAEMON_EXPLAIN_H_
#define BASILUSHER_LIB_DAEMON_EXPLAIN_H_

#include <string>
#include <vector>

#include "EntryServices.h"

namespace basilusher {

/// What this entry knows of `name`, a line each; empty if it is no queue, team,
/// pool, worker or entry. Thread-safe.
std::vector<std::string> Explain(EntryServices* services,
                                 const std::string& name);

}  // namespace basilusher

#endif  // BASILUSHER_LIB_DAEMON_EXPLAIN_H_
