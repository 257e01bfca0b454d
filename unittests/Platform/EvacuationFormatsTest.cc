// Guards against keys of evacuations that are read although they can name no
// data centre, and settings that turn the feature on by mistake.
#include <gtest/gtest.h>

#include "Formats.h"
#include "Settings.h"

namespace basilusher::platform {
namespace {

Json SoundSettings() {
  return {
      {"Node", "n-1"},
      {"Ip", "127.0.0.1"},
      {"Zone", "z-1"},
      {"PortRange", {7000, 7015}},
      {"Listen", {{"Front", "127.0.0.1:8340"}, {"Ready", "127.0.0.1:8343"}}},
      {"platform", {{"Addr", "127.0.0.1:9000"}}}};
}

std::optional<Millis> BoundOf(const Json& value) {
  Json settings = SoundSettings();
  settings["Bounds"] = {{"EvacuateMs", value}};
  return DecodeNodeSettings(settings, "test").evacuation_bound;
}

TEST(EvacuationFormatsTest, TheKeyNamesTheDataCentre) {
  EXPECT_EQ(Formats().DecodeEvacuation("op/evacuate/z-1"), "z-1");
  EXPECT_EQ(Formats().DecodeEvacuation("op/config"), std::nullopt);
  EXPECT_EQ(Formats().DecodeEvacuation("op/wave/1"), std::nullopt);
  EXPECT_EQ(Formats().DecodeEvacuation("op/evacuate"), std::nullopt);
}

TEST(EvacuationFormatsTest, AKeyThatNamesNoneIsAnError) {
  for (const std::string& end : {std::string(), std::string("a/b"),
                                 std::string("/"), std::string(201, 'z')}) {
    try {
      Formats().DecodeEvacuation("op/evacuate/" + end);
      ADD_FAILURE() << end;
    } catch (const Error& error) {
      EXPECT_EQ(error.Code(), ResultCode::kIntentInvalid) << end;
    }
  }
}

TEST(EvacuationFormatsTest, OnlyABoundTurnsTheFeatureOn) {
  EXPECT_EQ(DecodeNodeSettings(SoundSettings(), "test").evacuation_bound,
            std::nullopt);
  EXPECT_EQ(BoundOf(5000), Millis(5000));
  EXPECT_EQ(BoundOf(nullptr), std::nullopt);
  EXPECT_EQ(BoundOf(0), std::nullopt);
  EXPECT_EQ(BoundOf("5000"), std::nullopt);
}

}  // namespace
}  // namespace basilusher::platform
