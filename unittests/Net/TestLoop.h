// A loop over loopback that a test turns by hand.
#ifndef BASILUSHER_UNITTESTS_NET_TESTLOOP_H_
#define BASILUSHER_UNITTESTS_NET_TESTLOOP_H_

#include <string>

#include "IoLoopImpl.h"

namespace basilusher {

/// Returns a loopback address with a port that was free.
std::string FreeAddress(IoLoop* loop);

}  // namespace basilusher

#endif  // BASILUSHER_UNITTESTS_NET_TESTLOOP_H_
