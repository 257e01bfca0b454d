// Settings, their page, and shares of connections.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "basilusher/Daemon/Settings.h"
#include "basilusher/Daemon/WorkerClient.h"

namespace basilusher {
namespace {

Json GoodSettings() {
  return {{"instance", "entry-1"},
          {"dataCentre", "dc-1"},
          {"address", "127.0.0.1"},
          {"httpPort", 0},
          {"peerPort", 0},
          {"store", {{"address", "127.0.0.1"}, {"port", 1}}},
          {"operatorTokenHash", std::string(64, 'a')}};
}

TEST(Settings, PageListsEveryField) {
  std::ifstream page(std::string(BASILUSHER_SOURCE_DIR) +
                     "/docs/OPERATIONS.md");
  std::ostringstream text;
  text << page.rdbuf();
  const Json schema = Json::parse(kSettingsSchema);
  for (const auto& field : schema.at("properties").items()) {
    EXPECT_NE(text.str().find(field.key()), std::string::npos) << field.key();
  }
}

TEST(Settings, EachBadFieldIsNamed) {
  EXPECT_EQ(ParseSettings(GoodSettings(), "s").instance, "entry-1");
  const std::vector<std::pair<std::string, Json>> cases = {
      {"/instance", "a b"},
      {"/address", "localhost"},
      {"/httpPort", 70000},
      {"/store/port", 0},
      {"/operatorTokenHash", "short"},
      {"/httpThreads", 1}};
  for (const std::pair<std::string, Json>& row : cases) {
    Json json = GoodSettings();
    json[Json::json_pointer(row.first)] = row.second;
    try {
      ParseSettings(json, "s");
      FAIL() << row.first << " was taken";
    } catch (const Error& error) {
      EXPECT_EQ(error.Code(), ResultCode::kSettingsInvalid);
      EXPECT_NE(std::string(error.what()).find(row.first), std::string::npos)
          << error.what();
    }
  }
}

TEST(ConnectionShare, AllEntriesTogetherStayWithinAWorkersConnections) {
  constexpr int kConnections = 64;
  for (int entries = 1; entries <= 20; ++entries) {
    // One more entry may be joining.
    const int each =
        ConnectionShare(kConnections, entries) + kControlConnections;
    EXPECT_LE(each * (entries + 1), kConnections) << entries;
  }
}

}  // namespace
}  // namespace basilusher
