// Guards against transactions and answers of the store that are encoded or
// decoded otherwise than by a document.
#include "AnyJson.h"
#include "StoreCodec.h"
#include "basilusher/Support/Base64.h"

namespace basilusher::platform {
namespace {

std::string AnyItemText() {
  std::vector<std::pair<std::string, Json>> fields = {
      {"Key", "jobs/" + std::to_string(AnyBelow(50))},
      {"Rev", AnyBelow(100000)}};
  if (!OneIn(4)) {
    fields.emplace_back(
        "Value",
        EncodeBase64(std::string(static_cast<std::size_t>(AnyBelow(9)), 'v')));
  }
  if (OneIn(4)) fields.emplace_back("Tombstone", OneIn(2));
  if (OneIn(6)) fields.emplace_back("Lease", AnyValue());
  if (OneIn(20)) fields[1].second = AnyValue();
  if (OneIn(20)) fields.emplace_back("Value", AnyValue());
  if (OneIn(20)) fields.emplace_back("Tombstone", AnyValue());
  if (OneIn(20)) fields.erase(fields.begin());
  if (OneIn(2)) std::swap(fields.front(), fields.back());
  return ObjectText(fields);
}

std::string AnyReplyText(const std::string& field) {
  std::string rows;
  for (int n = AnyBelow(4); n > 0; --n) {
    rows += (rows.empty() ? "" : ",") +
            (OneIn(30) ? AnyValue().dump() : AnyItemText());
  }
  std::string text = "{\"" + field + "\":[" + rows + "]";
  if (!OneIn(4)) text += ",\"CurrentRev\":" + std::to_string(AnyBelow(100000));
  if (OneIn(3)) text += ",\"Rev\":" + std::to_string(AnyBelow(100000));
  if (OneIn(3)) text += OneIn(2) ? ",\"HasMore\":true" : ",\"HasMore\":false";
  if (OneIn(6)) text += ",\"Other\":" + AnyValue().dump();
  if (OneIn(10)) text += ",\"" + field + "\":" + AnyValue().dump();
  if (OneIn(10)) text += ",\"CurrentRev\":" + AnyValue().dump();
  return MaybeDamaged(text + "}");
}

/// A usual reply has to be what the document says. One that is not usual goes
/// to the document anyway.
void CheckReply(const std::string& body, const std::string& field) {
  const std::optional<StoreReply> reply = DecodeUsualReply(body, field);
  if (!reply) return;
  RC_LOG() << body;
  const Json in = Json::parse(body);
  const Json rows = in.value(field, Json::array());
  RC_ASSERT(reply->rows.size() == rows.size());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const StoredItem item = DecodeItem(rows[i]);
    RC_ASSERT(reply->rows[i].key == item.key);
    RC_ASSERT(reply->rows[i].value == item.value);
    RC_ASSERT(reply->rows[i].revision == item.revision);
    RC_ASSERT(reply->rows[i].removed == item.removed);
  }
  RC_ASSERT(reply->current_revision.has_value() == in.contains("CurrentRev"));
  RC_ASSERT(reply->current_revision.value_or(0) ==
            in.value("CurrentRev", std::int64_t{0}));
  RC_ASSERT(reply->revision.value_or(0) == in.value("Rev", std::int64_t{0}));
  RC_ASSERT(reply->has_more == FieldOr(in, "HasMore", false));
}

RC_GTEST_PROP(StoreCodec, AReplyIsDecodedAsByADocument, ()) {
  for (int i = 0; i < 20; ++i) {
    const std::string field = OneIn(2) ? "items" : "events";
    CheckReply(AnyReplyText(field), field);
  }
}

/// Guards against a reader that leaves every reply to the document.
TEST(StoreCodec, AUsualReplyIsDecoded) {
  const std::optional<StoreReply> reply = DecodeUsualReply(
      R"({"CurrentRev":9,"events":[{"Key":"a","Rev":7,"Value":"dmFsdWU="},)"
      R"({"Key":"b","Rev":8,"Tombstone":true,"By":{"x":[1]}}]})",
      "events");
  ASSERT_TRUE(reply.has_value());
  ASSERT_EQ(reply->rows.size(), 2U);
  EXPECT_EQ(reply->rows[0].key, "a");
  EXPECT_EQ(reply->rows[0].value, "value");
  EXPECT_EQ(reply->rows[0].revision, 7);
  EXPECT_TRUE(reply->rows[1].removed);
  EXPECT_EQ(reply->current_revision, 9);
  EXPECT_FALSE(reply->revision.has_value());
}

RC_GTEST_PROP(StoreCodec, TransactionsAreEncodedAsDocuments,
              (const std::vector<std::string>& texts, std::int64_t revision)) {
  Txn txn;
  Json expect = Json::array();
  Json writes = Json::array();
  Json removals = Json::array();
  for (const std::string& text : texts) {
    const std::string key =
        Json::parse(DumpLossy(Json(text))).get<std::string>();
    txn.conditions.push_back({key, revision});
    expect.push_back({{"Key", key}, {"Rev", revision}});
    const std::int64_t lease = OneIn(2) ? 0 : revision;
    txn.writes.push_back({.key = key, .value = text, .lease = lease});
    Json row = {{"Key", key}, {"Value", EncodeBase64(text)}};
    if (lease != 0) row["Lease"] = lease;
    writes.push_back(row);
    if (OneIn(2)) continue;
    txn.removals.push_back(key);
    removals.push_back(key);
  }
  RC_ASSERT(
      EncodeTxn(txn) ==
      Json({{"Expect", expect}, {"SetKeys", writes}, {"Remove", removals}})
          .dump());
}

}  // namespace
}  // namespace basilusher::platform
