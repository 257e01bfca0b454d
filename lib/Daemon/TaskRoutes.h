// HTTP routes for tasks.
#ifndef BASILUSHER_LIB_DAEMON_TASKROUTES_H_
#define BASILUSHER_LIB_DAEMON_TASKROUTES_H_

#include <httplib.h>

#include "EntryTasks.h"

namespace basilusher {

/// Adds submission, query and cancellation of tasks.
void AddTaskRoutes(httplib::Server* server, EntryServices* services);

}  // namespace basilusher

#endif  // BASILUSHER_LIB_DAEMON_TASKROUTES_H_
