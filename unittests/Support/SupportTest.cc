// Errors, trace context, JSON checks, counters and digests.
#include <gtest/gtest.h>
// The property library's bridge needs the test library first.
#include <rapidcheck/gtest.h>

#include <chrono>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

#include "basilusher/Support/Counters.h"
#include "basilusher/Support/Digest.h"
#include "basilusher/Support/Json.h"
#include "basilusher/Support/Log.h"
#include "basilusher/Support/Random.h"
#include "basilusher/Support/Trace.h"

namespace basilusher {
namespace {

/// Numbers and names of the result codes in docs/ERRORS.md.
std::set<std::pair<int, std::string>> CodesOfPage() {
  std::set<std::pair<int, std::string>> codes;
  std::ifstream page(std::string(BASILUSHER_SOURCE_DIR) + "/docs/ERRORS.md");
  std::string line;
  while (std::getline(page, line)) {
    int number = 0;
    char name[64] = {};
    int length = 0;
    std::sscanf(line.c_str(), "| %d | %63[a-z-] |%n", &number, name, &length);
    // A row of another table ends its second cell differently.
    if (length > 0) {
      codes.emplace(number, name);
    }
  }
  return codes;
}

TEST(ErrorsPage, ListsEveryCodeAndNoOther) {
  constexpr int kLargest = 600;
  std::set<std::pair<int, std::string>> codes;
  for (int number = 0; number < kLargest; ++number) {
    const std::string_view name =
        ResultCodeName(static_cast<ResultCode>(number));
    if (name != "invalid") codes.emplace(number, std::string(name));
  }
  EXPECT_EQ(CodesOfPage(), codes);
}

TEST(Traceparent, ReadsWhatItWrites) {
  SeededRandom random(1);
  const TraceContext trace = BeginTrace(&random);
  EXPECT_EQ(ParseTraceparent(FormatTraceparent(trace)), trace);
  const TraceContext child = ChildOf(trace, &random);
  EXPECT_EQ(child.trace_id, trace.trace_id);
  EXPECT_NE(child.span_id, trace.span_id);
}

TEST(Traceparent, RefusesMalformedHeaders) {
  const std::string trace(32, 'a');
  const std::string span(16, 'b');
  const std::vector<std::string> cases = {
      "",
      "00-" + trace + "-" + span,
      "01-" + trace + "-" + span + "-01",
      "00-" + std::string(32, '0') + "-" + span + "-01",
      "00-" + trace + "-" + std::string(16, '0') + "-01",
      "00-" + std::string(32, 'A') + "-" + span + "-01",
      "00-" + trace + "_" + span + "-01",
      "00-" + trace + "-" + span + "-0x"};
  for (const std::string& header : cases) {
    EXPECT_FALSE(ParseTraceparent(header).has_value()) << header;
  }
}

RC_GTEST_PROP(Traceparent, NeverFailsOnAnyText, (const std::string& text)) {
  static_cast<void>(ParseTraceparent(text));
}

TEST(CheckSchema, NamesTheBadField) {
  const std::vector<SchemaViolation> violations = CheckSchema(
      Json{{"port", "x"}},
      R"({"type":"object","properties":{"port":{"type":"integer"}}})");
  ASSERT_FALSE(violations.empty());
  EXPECT_EQ(violations.front().field, "/port");
  EXPECT_EQ(violations.front().found, "\"x\"");
}

TEST(Counters, AddAndRender) {
  Counters counters;
  counters.Add("b", 2);
  counters.Set("a", 7);
  EXPECT_EQ(counters.Render(), "basilusher_a 7\nbasilusher_b 2\n");
  EXPECT_EQ(counters.Value("none"), 0);
}

RC_GTEST_PROP(Digest, ConstantTimeComparisonIsEquality,
              (const std::string& a, const std::string& b)) {
  RC_ASSERT(EqualInConstantTime(a, a));
  RC_ASSERT(EqualInConstantTime(a, b) == (a == b));
}

TEST(PlacementHash, SpreadsSimilarNames) {
  std::set<std::uint64_t> hashes;
  for (int n = 0; n < 1000; ++n) {
    hashes.insert(PlacementHash("entry-1", "slots/" + std::to_string(n)) % 64);
  }
  EXPECT_EQ(hashes.size(), 64U);
}

/// At the peak of a large fleet decisions exceed the rate of informational
/// lines; the summaries that explain them must not be left out.
TEST(StdoutLog, PeriodicSummariesAreNotSampled) {
  testing::internal::CaptureStdout();
  OpenStdoutLog("test");
  for (int i = 0; i < 10000; ++i) {
    LogEvent(LogLevel::kInfo, "decision", {{"number", i}});
  }
  LogEvent(LogLevel::kNotice, "summary", {{"pool", "a"}});
  CloseLog();
  const std::string lines = testing::internal::GetCapturedStdout();
  EXPECT_NE(lines.find("\"summary\""), std::string::npos);
  EXPECT_NE(lines.find("\"notice\""), std::string::npos);
  EXPECT_EQ(lines.find("\"number\":9999"), std::string::npos);
}

/// A reader of the log must be able to tell that decisions are missing, and of
/// which process.
TEST(StdoutLog, OmittedLinesAreCounted) {
  testing::internal::CaptureStdout();
  OpenStdoutLog("node-1");
  constexpr int kLines = 10000;
  for (int i = 0; i < kLines; ++i) {
    LogEvent(LogLevel::kInfo, "decision", {{"number", i}});
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  LogEvent(LogLevel::kNotice, "summary", {{"pool", "a"}});
  const std::int64_t counted = OmittedLogLines();
  CloseLog();
  std::istringstream lines(testing::internal::GetCapturedStdout());
  std::int64_t decisions = 0;
  std::int64_t omitted = 0;
  for (std::string line; std::getline(lines, line);) {
    const Json fields = Json::parse(line);
    if (fields.at("event") == "decision") ++decisions;
    if (fields.at("event") != "log-lines-omitted") continue;
    omitted += fields.at("count").get<std::int64_t>();
    EXPECT_EQ(fields.at("infos"), fields.at("count"));
    EXPECT_EQ(fields.at("process"), "node-1");
    EXPECT_EQ(fields.at("level"), "warning");
    EXPECT_GT(fields.at("time"), 0);
  }
  EXPECT_GT(omitted, 0);
  EXPECT_EQ(omitted, counted);
  EXPECT_EQ(decisions + omitted, kLines);
}

}  // namespace
}  // namespace basilusher
