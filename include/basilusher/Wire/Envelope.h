// The versioned envelope around messages, in CBOR.
#ifndef BASILUSHER_WIRE_ENVELOPE_H_
#define BASILUSHER_WIRE_ENVELOPE_H_

#include <string>

#include "basilusher/Wire/Messages.h"

namespace basilusher {

/// Version of the protocol between the processes.
inline constexpr int kEnvelopeVersion = 1;

/// A message with its sender and its trace.
struct Envelope {
  PeerId from;
  /// traceparent of the request that the message serves; may be empty.
  std::string trace;
  Message message;
};

/// Encodes `envelope` as CBOR. Thread-safe.
std::string EncodeEnvelope(const Envelope& envelope);

/// Decodes CBOR; throws Error(kEnvelopeMalformed) or Error(kEnvelopeVersion)
/// on bytes of any other kind. Thread-safe.
Envelope DecodeEnvelope(const std::string& bytes);

}  // namespace basilusher

#endif  // BASILUSHER_WIRE_ENVELOPE_H_
