// The envelope's codec: round trips, and any bytes at all.
#include <gtest/gtest.h>

#include "basilusher/Wire/Envelope.h"
// The property library's bridge needs the test library first.
#include <rapidcheck/gtest.h>

#include "basilusher/Support/Random.h"

namespace basilusher {
namespace {

std::vector<Message> OneOfEach() {
  KeySet keys;
  keys.Add("id", {.team = "a", .hash = "h", .withdrawn = true});
  return {Heartbeat{.info = {.instance = "e"}, .intent_version = 4},
          IntentPull{3},
          IntentPush{4, Json{{"a", 1}}},
          KeysPull{"d"},
          KeysPush{keys},
          SlotAsk{.pool = "p", .request_id = "r", .avoid = {"w"}},
          SlotGrant{"r", 1, "w"},
          SlotRefusal{"r", 1, 301, 50},
          SlotHeld{.pool = "p", .request_id = "r"},
          SlotDone{.pool = "p", .request_id = "r", .result = SlotResult::kLost},
          PlaceAsk{.team = "t", .term = 2, .sequence = 9, .ceiling = 3},
          PlaceAnswer{.team = "t", .term = 2, .sequence = 9, .ceiling = 4},
          PlaceTerm{"t", 2, {"e", 5}},
          PlaceRecall{"t", 2, 1},
          ClaimAsk{.team = "t", .key = "k", .commit = true},
          ClaimReply{.request_id = "r", .state = ClaimState::kReused},
          ClaimDone{.team = "t", .outcome = {.body = "b"}},
          ClaimDoneAck{"r"},
          TaskAsk{.operation = TaskOperation::kCancel, .task_id = "x"},
          TaskAnswer{.call_id = "c", .state = Json{{"s", 1}}}};
}

TEST(Envelope, RoundTripsEveryKind) {
  const std::vector<Message> messages = OneOfEach();
  ASSERT_EQ(messages.size(), std::variant_size_v<Message>);
  for (const Message& message : messages) {
    const std::string bytes =
        EncodeEnvelope({.from = {"e", 7}, .trace = "t", .message = message});
    const Envelope envelope = DecodeEnvelope(bytes);
    EXPECT_EQ(envelope.message.index(), message.index());
    EXPECT_EQ(EncodeEnvelope(envelope), bytes) << KindOf(message);
  }
}

/// Decodes; the only exception allowed is the numbered one.
void DecodeAny(const std::string& bytes) {
  try {
    static_cast<void>(DecodeEnvelope(bytes));
  } catch (const Error& error) {
    RC_ASSERT(error.Code() == ResultCode::kEnvelopeMalformed ||
              error.Code() == ResultCode::kEnvelopeVersion);
  }
}

RC_GTEST_PROP(Envelope, SurvivesAnyBytes, (const std::string& bytes)) {
  DecodeAny(bytes);
}

TEST(Envelope, SurvivesChangedBytes) {
  constexpr int kRounds = 4000;
  SeededRandom random(20261204);
  const std::vector<Message> messages = OneOfEach();
  for (int n = 0; n < kRounds; ++n) {
    std::string bytes =
        EncodeEnvelope({.from = {"e", 7},
                        .trace = "t",
                        .message = messages[random.Next() % messages.size()]});
    const std::uint64_t changes = random.Next() % 4 + 1;
    for (std::uint64_t change = 0; change < changes; ++change) {
      bytes[random.Next() % bytes.size()] = static_cast<char>(random.Next());
    }
    if (random.Next() % 3 == 0) bytes.resize(random.Next() % bytes.size());
    DecodeAny(bytes);
  }
}

TEST(Envelope, RefusesAnotherVersion) {
  Json json = Json::from_cbor(EncodeEnvelope({.message = IntentPull{1}}));
  json["v"] = 2;
  std::string bytes;
  Json::to_cbor(json, bytes);
  try {
    static_cast<void>(DecodeEnvelope(bytes));
    FAIL() << "version 2 was taken";
  } catch (const Error& error) {
    EXPECT_EQ(error.Code(), ResultCode::kEnvelopeVersion);
  }
}

}  // namespace
}  // namespace basilusher
