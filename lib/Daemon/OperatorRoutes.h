// HTTP routes for operators.
#ifndef BASILUSHER_LIB_DAEMON_OPERATORROUTES_H_
#define BASILUSHER_LIB_DAEMON_OPERATORROUTES_H_

#include <httplib.h>

#include "EntryServices.h"

namespace basilusher {

/// Adds the routes below /operator/, which need the operators' token.
void AddOperatorRoutes(httplib::Server* server, EntryServices* services);

}  // namespace basilusher

#endif  // BASILUSHER_LIB_DAEMON_OPERATORROUTES_H_
