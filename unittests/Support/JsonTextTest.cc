// Guards against texts and log lines that differ from those of documents.
#include <gtest/gtest.h>

#include "basilusher/Support/JsonText.h"
// The property library's bridge needs the test library first.
#include <rapidcheck/gtest.h>

#include <limits>

#include "LogCapture.h"

namespace basilusher {
namespace {

std::string StrictOrError(const std::string& text) {
  try {
    std::string out;
    AppendJsonString(&out, text);
    return out;
  } catch (const Json::type_error& error) {
    return error.what();
  }
}

std::string DocumentOrError(const std::string& text) {
  try {
    return Json(text).dump();
  } catch (const Json::type_error& error) {
    return error.what();
  }
}

RC_GTEST_PROP(JsonText, StringsAreWrittenAsByADocument,
              (const std::string& text)) {
  RC_ASSERT(StrictOrError(text) == DocumentOrError(text));
  std::string lossy = "before";
  AppendJsonStringLossy(&lossy, text);
  RC_ASSERT(lossy == "before" + DumpLossy(Json(text)));
}

TEST(JsonText, EachByteIsWrittenAsByADocument) {
  for (int byte = 0; byte < 256; ++byte) {
    const std::string text = {'a', static_cast<char>(byte), 'z'};
    EXPECT_EQ(StrictOrError(text), DocumentOrError(text)) << byte;
  }
  EXPECT_EQ(StrictOrError("\xc3\xa4\n"), "\"\xc3\xa4\\n\"");
}

TEST(JsonText, NumbersAtTheirLimitsAreWritten) {
  std::string out;
  AppendJsonNumber(&out, std::numeric_limits<std::int64_t>::min());
  out.push_back(' ');
  AppendJsonNumber(&out, std::numeric_limits<std::uint64_t>::max());
  EXPECT_EQ(out, "-9223372036854775808 18446744073709551615");
}

/// Keeps the last line.
class LastLine : public LogSink {
 public:
  explicit LastLine(std::string* line) : line_(line) {}
  void Write(LogLevel, const std::string& line) override { *line_ = line; }

 private:
  std::string* line_;
};

/// Two lines written one after the other differ in their times.
std::string WithoutTime(const std::string& line) {
  Json fields = Json::parse(line);
  const std::string time = "\"time\":" + fields.at("time").dump();
  std::string out = line;
  return out.erase(out.find(time), time.size());
}

/// Writes the same fields as a list and as a document.
#define EXPECT_SAME_LINE(...)                                                \
  do {                                                                       \
    std::string line;                                                        \
    OpenLogOn("te\"st", LogLevel::kInfo, std::make_unique<LastLine>(&line)); \
    LogEvent(LogLevel::kNotice, "an-event", __VA_ARGS__);                    \
    const std::string by_list = WithoutTime(line);                           \
    LogEvent(LogLevel::kNotice, "an-event", Json(__VA_ARGS__));              \
    CloseLog();                                                              \
    EXPECT_EQ(by_list, WithoutTime(line));                                   \
  } while (false)

TEST(LogLine, FieldsAreWrittenAsByADocument) {
  const std::string text = "w\n\xff\x01";
  const char* literal = "literal";
  const Json document = {{"z", 1}, {"a", "\xff"}};
  EXPECT_SAME_LINE({{"worker", text}, {"b", literal}, {"a", "c"}});
  EXPECT_SAME_LINE({{"z", true},
                    {"y", -5},
                    {"x", std::uint64_t{18446744073709551615U}},
                    {"w", 1.5},
                    {"v", std::numeric_limits<double>::quiet_NaN()},
                    {"u", 0.1F},
                    {"t", std::size_t{3}},
                    {"s", document}});
  // The first of equal names is kept; the line's own names win.
  EXPECT_SAME_LINE({{"a", 1}, {"a", 2}, {"b", 3}});
  EXPECT_SAME_LINE({{"time", 1}, {"event", "x"}, {"process", 2}, {"zz", 3}});
  EXPECT_SAME_LINE({{"n", 7}});
}

TEST(LogLine, ListsAsValuesAreKept) {
  LogCapture capture;
  LogEvent(LogLevel::kInfo, "lists",
           {{"names", {"a", "b"}},
            {"set", std::vector<int>{1, 2}},
            {"many", Json::array({1})}});
  const std::vector<Json> lines = capture.Lines("lists");
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(lines[0].at("names"), Json({"a", "b"}));
  EXPECT_EQ(lines[0].at("set"), Json({1, 2}));
}

TEST(LogLine, MoreFieldsThanALineHasAreWritten) {
  LogCapture capture;
  LogEvent(
      LogLevel::kInfo, "many",
      {{"f01", 1}, {"f02", 1}, {"f03", 1}, {"f04", 1}, {"f05", 1},  {"f06", 1},
       {"f07", 1}, {"f08", 1}, {"f09", 1}, {"f10", 1}, {"f11", 1},  {"f12", 1},
       {"f13", 1}, {"f14", 1}, {"f15", 1}, {"f16", 1}, {"f17", 1},  {"f18", 1},
       {"f19", 1}, {"f20", 1}, {"f21", 1}, {"f22", 1}, {"f23", 1},  {"f24", 1},
       {"f25", 1}, {"f26", 1}, {"f27", 1}, {"f28", 1}, {"f29", "x"}});
  const std::vector<Json> lines = capture.Lines("many");
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(lines[0].size(), 33U);
  EXPECT_EQ(lines[0].at("f29"), "x");
}

}  // namespace
}  // namespace basilusher
