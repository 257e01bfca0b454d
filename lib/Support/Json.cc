// JSON parsing and schema checks by library.
#include "basilusher/Support/Json.h"

#include <fstream>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace basilusher {
namespace {

using Adapter = valijson::adapters::NlohmannJsonAdapter;

constexpr std::size_t kShownValueBytes = 60;

std::string ToPointer(const std::vector<std::string>& context) {
  std::string pointer;
  for (const std::string& step : context) {
    if (step == "<root>") continue;
    // The library writes a step as [name]; a pointer wants /name.
    pointer += "/" + step.substr(1, step.size() - 2);
  }
  return pointer.empty() ? "/" : pointer;
}

std::string ShowValue(const Json& document, const std::string& pointer) {
  if (pointer == "/") return "the whole document";
  try {
    std::string text = document.at(Json::json_pointer(pointer)).dump();
    if (text.size() > kShownValueBytes) text.resize(kShownValueBytes);
    return text;
  } catch (const Json::exception&) {
    return "nothing";
  }
}

}  // namespace

std::vector<SchemaViolation> CheckSchema(const Json& document,
                                         std::string_view schema_text) {
  const Json schema_json = Json::parse(schema_text);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(Adapter(schema_json), schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  std::vector<SchemaViolation> violations;
  if (validator.validate(schema, Adapter(document), &results)) {
    return violations;
  }
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    const std::string pointer = ToPointer(error.context);
    violations.push_back({.field = pointer,
                          .found = ShowValue(document, pointer),
                          .expected = error.description});
  }
  return violations;
}

Json ParseJson(const std::string& text, const std::string& source,
               ResultCode code) {
  try {
    return Json::parse(text);
  } catch (const Json::parse_error& error) {
    throw Error(code, source + ": not valid JSON at byte " +
                          std::to_string(error.byte) + ": " + error.what());
  }
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream out;
  if (!in || !(out << in.rdbuf())) {
    throw Error(ResultCode::kSettingsUnreadable,
                path + ": cannot be read; check the path and its permissions");
  }
  return out.str();
}

std::string DescribeViolation(const std::string& source,
                              const SchemaViolation& violation) {
  return source + ": field " + violation.field + ": found " + violation.found +
         "; expected: " + violation.expected;
}

}  // namespace basilusher
