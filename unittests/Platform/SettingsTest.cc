// Settings files with the platform's fields at the top, and with the sections
// of this product beside them.
#include <gtest/gtest.h>

#include <string>

#include "Settings.h"
#include "basilusher/Support/Error.h"

namespace basilusher::platform {
namespace {

Json PlatformFields() {
  return {{"Node", "n1"},
          {"Ip", "10.0.0.1"},
          {"Zone", "z1"},
          {"PortRange", {7000, 7099}},
          {"Listen", {{"Front", "10.0.0.1:80"}, {"Ready", "10.0.0.1:81"}}},
          {"platform", {{"Addr", "10.0.0.2:5000"}}},
          {"Bounds", {{"MaxHoldMs", 9000}, {"cancel_ms", 2500}}}};
}

/// Returns the message of the error, or an empty string.
std::string ErrorOf(const Json& file) {
  try {
    DecodeNodeSettings(file, "settings.json");
  } catch (const Error& error) {
    return error.what();
  }
  return "";
}

/// Files that earlier versions of the template rendered have to be read as
/// before.
TEST(SettingsTest, FlatFilesAreRead) {
  const NodeSettings settings = DecodeNodeSettings(PlatformFields(), "file");
  EXPECT_EQ(settings.node, "n1");
  EXPECT_EQ(settings.max_task_lease, Millis(9000));
  EXPECT_FALSE(settings.learned_durations);
}

TEST(SettingsTest, NestedFilesGiveTheSameSettings) {
  const Json nested = {{"Scheduling", {{"LearnedDurations", false}}},
                       {"Platform", PlatformFields()}};
  EXPECT_EQ(DecodeNodeSettings(nested, "file"),
            DecodeNodeSettings(PlatformFields(), "file"));
  EXPECT_EQ(DecodeNodeSettings({{"Platform", PlatformFields()}}, "file"),
            DecodeNodeSettings(PlatformFields(), "file"));
}

TEST(SettingsTest, WorkspaceSharesAreSwitchedOnByThemselves) {
  Json file = PlatformFields();
  file["Scheduling"] = {{"WorkspaceShares", true}};
  const NodeSettings settings = DecodeNodeSettings(file, "file");
  EXPECT_TRUE(settings.workspace_shares);
  EXPECT_FALSE(settings.learned_durations);
}

TEST(SettingsTest, LearnedDurationsAreSwitchedOnInBothForms) {
  const Json on = {{"LearnedDurations", true}};
  EXPECT_TRUE(DecodeNodeSettings(
                  {{"Scheduling", on}, {"Platform", PlatformFields()}}, "file")
                  .learned_durations);
  Json flat = PlatformFields();
  flat["Scheduling"] = on;
  EXPECT_TRUE(DecodeNodeSettings(flat, "file").learned_durations);
  EXPECT_FALSE(DecodeNodeSettings(flat, "file").workspace_shares);
}

/// The platform may come to have a field of this name.
TEST(SettingsTest, AFlatFileWithAFieldCalledPlatformIsRead) {
  Json flat = PlatformFields();
  flat["Platform"] = {{"Version", 2}};
  EXPECT_EQ(DecodeNodeSettings(flat, "file"),
            DecodeNodeSettings(PlatformFields(), "file"));
}

TEST(SettingsTest, ErrorsNameTheField) {
  Json nested = {{"Platform", PlatformFields()}};
  nested["Scheduling"] = {{"LearnedDurations", "yes"}};
  EXPECT_NE(ErrorOf(nested).find("LearnedDurations"), std::string::npos);
  nested["Scheduling"] = 1;
  EXPECT_NE(ErrorOf(nested).find("Scheduling"), std::string::npos);
  nested.erase("Scheduling");
  nested["Platform"].erase("Node");
  EXPECT_NE(ErrorOf(nested).find("Node"), std::string::npos);
  EXPECT_NE(ErrorOf({{"Platform", 5}}), "");
}

}  // namespace
}  // namespace basilusher::platform
