// JSON parsing and schema checks by library.
#include "basilusher/Support/Json.h"

#include <cmath>
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
/// Deepest nesting of a CBOR record. The library decodes recursively.
constexpr int kMaxCborDepth = 64;
/// Floating-point numbers up to here are whole numbers without gaps.
constexpr double kMaxExactDouble = 9007199254740992.0;

/// Refuses a document that is nested deeper than `kMaxCborDepth`.
class DepthCheck : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return Enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }
  // Json::from_cbor() reports the error.
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }
  bool TooDeep() const { return too_deep_; }

 private:
  bool Enter() {
    too_deep_ = ++depth_ > kMaxCborDepth;
    return !too_deep_;
  }
  bool Leave() {
    --depth_;
    return true;
  }

  int depth_ = 0;
  bool too_deep_ = false;
};

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

std::optional<std::int64_t> IntegerOf(const Json& value) {
  if (value.is_number_unsigned()) {
    const std::uint64_t number = value.get<std::uint64_t>();
    if (number > std::numeric_limits<std::int64_t>::max()) return std::nullopt;
    return static_cast<std::int64_t>(number);
  }
  if (value.is_number_integer()) return value.get<std::int64_t>();
  if (!value.is_number_float()) return std::nullopt;
  const double number = value.get<double>();
  if (!(std::abs(number) <= kMaxExactDouble)) return std::nullopt;
  return static_cast<std::int64_t>(number);
}

Json DecodeCbor(const std::string& bytes) {
  DepthCheck check;
  Json::sax_parse(bytes, &check, Json::input_format_t::cbor);
  if (check.TooDeep()) {
    throw Error(ResultCode::kMalformedRequest, "nested too deeply");
  }
  return Json::from_cbor(bytes);
}

std::string DumpLossy(const Json& document) {
  return document.dump(-1, ' ', false, Json::error_handler_t::replace);
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
