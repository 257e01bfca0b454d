// CBOR codec of the envelope; the body is coded by type.
#include "basilusher/Wire/Envelope.h"

#include <array>
#include <utility>

#include "MessageJson.h"

namespace basilusher {
namespace {

constexpr std::array<std::string_view, std::variant_size_v<Message>> kKinds = {
    "heartbeat",  "intent-pull",    "intent-push", "keys-pull",
    "keys-push",  "slot-ask",       "slot-grant",  "slot-refusal",
    "slot-held",  "slot-done",      "place-ask",   "place-answer",
    "place-term", "place-recall",   "claim-ask",   "claim-reply",
    "claim-done", "claim-done-ack", "task-ask",    "task-answer"};

template <std::size_t Index>
Message DecodeBodyAt(const Json& body) {
  return body.get<std::variant_alternative_t<Index, Message>>();
}

template <std::size_t... Indices>
Message DecodeBody(std::string_view kind, const Json& body,
                   std::index_sequence<Indices...> /*unused*/) {
  using Decoder = Message (*)(const Json&);
  constexpr std::array<Decoder, sizeof...(Indices)> kDecoders = {
      &DecodeBodyAt<Indices>...};
  for (std::size_t n = 0; n < kKinds.size(); ++n) {
    if (kKinds[n] == kind) return kDecoders[n](body);
  }
  throw Error(ResultCode::kEnvelopeMalformed,
              "envelope: field /kind: found \"" + std::string(kind) +
                  "\"; expected: a known kind of message");
}

Envelope DecodeJson(const Json& json) {
  if (!json.is_object()) {
    throw Error(ResultCode::kEnvelopeMalformed, "envelope: not a map");
  }
  const int version = json.at("v").get<int>();
  if (version != kEnvelopeVersion) {
    throw Error(ResultCode::kEnvelopeVersion,
                "envelope: field /v: found " + std::to_string(version) +
                    "; expected: " + std::to_string(kEnvelopeVersion));
  }
  return {.from = json.at("from").get<PeerId>(),
          .trace = json.at("trace").get<std::string>(),
          .message = DecodeBody(
              json.at("kind").get<std::string>(), json.at("body"),
              std::make_index_sequence<std::variant_size_v<Message>>())};
}

}  // namespace

std::string ToString(const PeerId& peer) {
  return peer.instance + "#" + std::to_string(peer.incarnation);
}

std::string_view KindOf(const Message& message) {
  return kKinds[message.index()];
}

std::string EncodeEnvelope(const Envelope& envelope) {
  Json json;
  json["v"] = kEnvelopeVersion;
  json["from"] = envelope.from;
  json["trace"] = envelope.trace;
  json["kind"] = KindOf(envelope.message);
  json["body"] =
      std::visit([](const auto& body) { return Json(body); }, envelope.message);
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

Envelope DecodeEnvelope(const std::string& bytes) {
  try {
    return DecodeJson(Json::from_cbor(bytes));
  } catch (const Json::exception& error) {
    throw Error(ResultCode::kEnvelopeMalformed,
                std::string("envelope: ") + error.what());
  }
}

}  // namespace basilusher
