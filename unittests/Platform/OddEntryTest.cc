// Guards against directory entries, waves and submissions of other writers that
// are read although they name nothing that can be used.
#include <gtest/gtest.h>

#include "Formats.h"

namespace basilusher::platform {
namespace {

/// Nesting at which a recursive decoder runs out of stack.
constexpr std::size_t kDeep = 400000;

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

/// A sound directory entry; each test changes one field of it.
Json SoundEntry() {
  return {{"Service", "pool"},
          {"Addr", "10.1.2.3:8080"},
          {"Zone", "zone"},
          {"State", "ready"},
          {"Room", {{"Cpu", 32000}, {"MemMb", 65536}, {"Gpu", 0}}},
          {"Labels", {"a", "r1-1"}},
          {"RemainingMs", 0},
          {"born", 1765000000000}};
}

bool IsRead(const std::string& id, const std::string& bytes) {
  return Formats().DecodeWorker("servers/" + id, bytes).has_value();
}

/// The sound entry with the JSON text `value` in place of `field`.
std::string EntryWith(const std::string& field, const std::string& value) {
  Json entry = SoundEntry();
  entry.erase(field);
  std::string text = entry.dump();
  text.pop_back();
  return text + ",\"" + field + "\":" + value + "}";
}

TEST(OddEntryTest, ASoundEntryIsRead) {
  const std::optional<WorkerEntry> entry =
      Formats().DecodeWorker("servers/w-1", SoundEntry().dump());
  ASSERT_TRUE(entry);
  EXPECT_EQ(entry->id, "w-1");
  EXPECT_EQ(entry->room.cpu_millis, 32000);
  EXPECT_EQ(entry->rack, "r1-1");
  EXPECT_EQ(entry->born_unix_ms, 1765000000000);
  EXPECT_TRUE(IsRead("w-1", EntryWith("RemainingMs", "1500.0")));
  EXPECT_TRUE(IsRead("w-1", EntryWith("Unknown", "{\"a\":[1e300]}")));
}

TEST(OddEntryTest, ADeeplyNestedEntryNamesNoWorker) {
  EXPECT_FALSE(IsRead("w-1", Nested(kDeep)));
  for (const char* field : {"Room", "Labels", "Addr", "State", "born"}) {
    EXPECT_FALSE(IsRead("w-1", EntryWith(field, Nested(kDeep)))) << field;
  }
  // The fields that matter are sound.
  EXPECT_TRUE(IsRead("w-1", EntryWith("Unknown", Nested(kDeep))));
}

TEST(OddEntryTest, ANumberOutOfRangeNamesNoWorker) {
  for (const char* number :
       {"1e400", "1e30", "18446744073709551615", "9223372036854775807", "-1",
        "-1e30", "\"5\"", "true"}) {
    EXPECT_FALSE(IsRead("w-1", EntryWith("RemainingMs", number))) << number;
    EXPECT_FALSE(IsRead("w-1", EntryWith("born", number))) << number;
    EXPECT_FALSE(IsRead(
        "w-1", EntryWith("Room", "{\"Cpu\":" + std::string(number) + "}")))
        << number;
  }
}

TEST(OddEntryTest, AnAddressThatCannotBeCalledNamesNoWorker) {
  for (const char* address :
       {"", ":", "10.1.2.3", "10.1.2.3:", "10.1.2.3:0", "10.1.2.3:65536",
        "10.1.2.3:99999999999999999999", "10.1.2.3:-1", "10.1.2.3:80x",
        "10.1.2.3: 80", "10.1.2:80", "host:80", "10.1.2.3\\u0000x:80",
        "10.1.2.3\\r\\nX: y:80"}) {
    EXPECT_FALSE(
        IsRead("w-1", EntryWith("Addr", "\"" + std::string(address) + "\"")))
        << address;
  }
  EXPECT_FALSE(IsRead(
      "w-1", EntryWith("Addr", "\"" + std::string(60000, '1') + ":80\"")));
  EXPECT_TRUE(IsRead("w-1", EntryWith("Addr", "\"10.1.2.3:65535\"")));
}

TEST(OddEntryTest, AnIdThatCannotBeSentNamesNoWorker) {
  const std::string sound = SoundEntry().dump();
  for (const std::string& id :
       {std::string(), std::string(193, 'w'), std::string("a b"),
        std::string("a\r\nX: y"), std::string("w\0", 2), std::string("\xff"),
        std::string("w\x7f")}) {
    EXPECT_FALSE(IsRead(id, sound)) << id;
  }
  EXPECT_TRUE(IsRead(std::string(192, 'w'), sound));
  EXPECT_TRUE(IsRead("a/b", sound));
}

TEST(OddEntryTest, ALongNameOrListNamesNoWorker) {
  const std::string text = "\"" + std::string(60000, 'a') + "\"";
  for (const char* field : {"Service", "Zone"}) {
    EXPECT_FALSE(IsRead("w-1", EntryWith(field, text))) << field;
  }
  EXPECT_FALSE(IsRead("w-1", EntryWith("Labels", "[" + text + "]")));
  EXPECT_FALSE(IsRead(
      "w-1",
      EntryWith("Labels", Json(std::vector<std::string>(5000, "a")).dump())));
}

TEST(OddEntryTest, BytesThatAreNoTextNameNoWorker) {
  EXPECT_FALSE(IsRead("w-1", ""));
  EXPECT_FALSE(IsRead("w-1", "\xff\xfe"));
  EXPECT_FALSE(IsRead("w-1", EntryWith("Service", "\"\xc3\x28\"")));
  EXPECT_FALSE(IsRead("w-1", EntryWith("Service", "\"\\ud800\"")));
}

TEST(OddEntryTest, AnOddWaveIsNotRead) {
  const auto is_read = [](const std::string& bytes) {
    return Formats().DecodeWave("op/wave/1", bytes).has_value();
  };
  EXPECT_TRUE(is_read(R"({"Wave":1,"Machines":["m"],"RampS":10,"Cap":2})"));
  EXPECT_FALSE(is_read(R"({"Wave":1,"Machines":["m"],"RampS":1e30})"));
  EXPECT_FALSE(is_read(R"({"Wave":1,"Machines":)" + Nested(kDeep) + "}"));
}

TEST(OddSubmissionTest, OddNumbersAreRejected) {
  const auto submit = [](const std::string& step) {
    DecodeSubmission(R"({"Spec":"","Steps":[)" + step + "]}",
                     "00000000000000a1", "queue");
  };
  EXPECT_NO_THROW(submit(R"({"Count":1,"Cpu":500})"));
  for (const char* cpu : {"9223372036854775807", "1e30", "-1", "1e400"}) {
    EXPECT_THROW(submit(R"({"Count":1,"Cpu":)" + std::string(cpu) + "}"), Error)
        << cpu;
  }
  // Cut to 32 bits it would be one task.
  EXPECT_THROW(submit(R"({"Count":4294967297})"), Error);
  for (const char* field :
       {"EstimateMs", "TargetMs", "MaxPerServer", "MaxUnavailable"}) {
    EXPECT_THROW(submit(R"({"Count":1,")" + std::string(field) + R"(":1e30})"),
                 Error)
        << field;
  }
  EXPECT_THROW(submit(Nested(kDeep)), Error);
}

}  // namespace
}  // namespace basilusher::platform
