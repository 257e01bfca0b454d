// Reading of span lines and their tree.
#include "TraceTree.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <sstream>

#include "basilusher/Support/Json.h"

namespace basilusher {
namespace {

constexpr double kMicrosPerMilli = 1000;

std::vector<Json> ReadSpans(const std::vector<std::string>& files) {
  std::vector<Json> spans;
  for (const std::string& file : files) {
    std::istringstream lines(ReadFile(file));
    std::string line;
    while (std::getline(lines, line)) {
      const Json json = Json::parse(line, nullptr, /*allow_exceptions=*/false);
      if (json.is_object() && json.value("event", "") == "span") {
        spans.push_back(json);
      }
    }
  }
  return spans;
}

/// Draws spans below `parent`, in order of their start.
void Draw(const std::multimap<std::string, Json>& children,
          const std::string& parent, std::int64_t origin, int depth,
          std::string* text) {
  constexpr int kDeepest = 16;
  if (depth > kDeepest) return;
  const auto range = children.equal_range(parent);
  for (auto it = range.first; it != range.second; ++it) {
    const Json& span = it->second;
    const std::int64_t start = span.at("start").get<std::int64_t>();
    const std::int64_t end = span.at("end").get<std::int64_t>();
    char times[64];
    std::snprintf(times, sizeof times, "%9.3f ms +%.3f ms",
                  static_cast<double>(start - origin) / kMicrosPerMilli,
                  static_cast<double>(end - start) / kMicrosPerMilli);
    *text += std::string(static_cast<std::size_t>(depth) * 2, ' ') +
             span.at("name").get<std::string>() + " [" +
             span.at("process").get<std::string>() + "] " + times;
    for (const char* name :
         {"request", "queue", "home", "attempt", "worker", "outcome"}) {
      if (span.contains(name)) {
        *text += std::string(" ") + name + "=" + span.at(name).dump();
      }
    }
    *text += "\n";
    Draw(children, span.at("span").get<std::string>(), origin, depth + 1, text);
  }
}

}  // namespace

std::string RenderTrace(const std::vector<std::string>& files,
                        const std::string& id) {
  const std::vector<Json> spans = ReadSpans(files);
  std::set<std::string> traces;
  for (const Json& span : spans) {
    if (span.at("trace") == id || span.value("request", "") == id) {
      traces.insert(span.at("trace").get<std::string>());
    }
  }
  std::vector<Json> own;
  std::set<std::string> ids;
  for (const Json& span : spans) {
    if (!traces.contains(span.at("trace").get<std::string>())) continue;
    own.push_back(span);
    ids.insert(span.at("span").get<std::string>());
  }
  if (own.empty()) return "";
  std::sort(own.begin(), own.end(), [](const Json& a, const Json& b) {
    return a.at("start").get<std::int64_t>() <
           b.at("start").get<std::int64_t>();
  });
  std::multimap<std::string, Json> children;
  for (const Json& span : own) {
    const std::string parent = span.at("parent").get<std::string>();
    // A parent outside these files leaves the span at the root.
    children.emplace(ids.contains(parent) ? parent : "", span);
  }
  std::string text;
  Draw(children, "", own.front().at("start").get<std::int64_t>(), 0, &text);
  return text;
}

}  // namespace basilusher
