#include "json/json_reader.h"

#include <cxxtools/jsondeserializer.h>

#include <algorithm>
#include <charconv>
#include <exception>
#include <set>
#include <sstream>
#include <utility>

namespace dogwoodrail::json {
namespace {

using core::base::ErrorCode;
using core::base::MakeError;
using core::base::Result;

// Returns true if the text is nested deeper than kMaxNesting. Depth is checked
// before parsing because cxxtools frees a value recursively, one call per
// level: 200,000 open brackets overflow the stack.
bool IsNestedTooDeep(std::string_view text) {
  std::size_t depth = 0;
  bool in_string = false;
  bool escaped = false;
  for (const char c : text) {
    if (in_string) {
      if (!escaped && c == '"') in_string = false;
      escaped = !escaped && c == '\\';
      continue;
    }
    if (c == '"') in_string = true;
    if (c == '[' || c == '{') ++depth;
    if ((c == ']' || c == '}') && depth > 0) --depth;
    if (depth > kMaxNesting) return true;
  }
  return false;
}

// Skips white space and returns true if the stream is at its end.
bool IsAtEnd(std::istream& in) {
  in >> std::ws;
  return in.eof() || in.peek() == std::istream::traits_type::eof();
}

// Returns the text of a scalar value.
std::string ScalarText(const JsonNode& node) {
  std::string text;
  node.getValue(text);
  return text;
}

bool IsObject(const JsonNode& node) {
  return node.category() == JsonNode::Object;
}

}  // namespace

Result<JsonNode> ParseJson(const std::string& text) {
  if (IsNestedTooDeep(text)) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "JSON is nested deeper than " +
                         std::to_string(kMaxNesting) + " levels");
  }
  JsonNode node;
  std::istringstream in(text);
  try {
    cxxtools::JsonDeserializer deserializer(in);
    deserializer.deserialize(node);
  } catch (const std::exception& ex) {
    return MakeError(ErrorCode::kInvalidArgument, ex.what());
  }
  if (!IsAtEnd(in)) {
    return MakeError(ErrorCode::kInvalidArgument, "text after the JSON value");
  }
  return node;
}

JsonReader::JsonReader(const JsonNode& node, std::string where)
    : node_(node), where_(std::move(where)) {
  if (!IsObject(node)) Fail("must be a JSON object");
}

bool JsonReader::Has(const char* name) const {
  return IsObject(node_) && node_.findMember(name) != nullptr;
}

const JsonNode* JsonReader::RequireField(const char* name) {
  requested_fields_.emplace_back(name);
  if (Has(name)) return node_.findMember(name);
  Fail(std::string("field '") + name + "' is missing");
  return nullptr;
}

const JsonNode* JsonReader::RequireScalar(const char* name, const char* type) {
  const JsonNode* field = RequireField(name);
  if (field == nullptr) return nullptr;
  if (field->category() == JsonNode::Value && field->typeName() == type) {
    return field;
  }
  Fail(std::string("field '") + name + "' must be of type " + type);
  return nullptr;
}

std::string JsonReader::String(const char* name) {
  const JsonNode* field = RequireScalar(name, "string");
  return field == nullptr ? std::string() : ScalarText(*field);
}

// The parser accepts "-" and "01" as numbers, which JSON does not allow.
std::uint64_t JsonReader::Number(const char* name, std::uint64_t max) {
  const JsonNode* field = RequireScalar(name, "int");
  if (field == nullptr) return 0;
  const std::string text = ScalarText(*field);
  std::uint64_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  const bool valid = ec == std::errc() && end == text.data() + text.size();
  const bool leading_zero = text.size() > 1 && text.front() == '0';
  if (valid && !leading_zero && n <= max) return n;
  Fail(std::string("field '") + name + "' is " + text + ", allowed are 0 to " +
       std::to_string(max));
  return 0;
}

bool JsonReader::Bool(const char* name) {
  const JsonNode* field = RequireScalar(name, "bool");
  if (field == nullptr) return false;
  const std::string text = ScalarText(*field);
  if (text != "true" && text != "false") {
    Fail(std::string("field '") + name + "' must be true or false");
  }
  return text == "true";
}

std::size_t JsonReader::Choice(const char* name,
                               const std::vector<std::string_view>& allowed) {
  const std::string text = String(name);
  const auto it = std::find(allowed.begin(), allowed.end(), text);
  if (it != allowed.end()) {
    return static_cast<std::size_t>(it - allowed.begin());
  }
  std::string list;
  for (const std::string_view choice : allowed) {
    list += list.empty() ? "" : ", ";
    list += choice;
  }
  Fail(std::string("field '") + name + "' must be one of " + list);
  return 0;
}

const JsonNode* JsonReader::Object(const char* name) {
  const JsonNode* field = RequireField(name);
  if (field == nullptr || IsObject(*field)) return field;
  Fail(std::string("field '") + name + "' must be an object");
  return nullptr;
}

std::vector<const JsonNode*> JsonReader::Array(const char* name) {
  std::vector<const JsonNode*> elements;
  requested_fields_.emplace_back(name);
  if (!Has(name)) return elements;
  const JsonNode* field = node_.findMember(name);
  if (field->category() != JsonNode::Array) {
    Fail(std::string("field '") + name + "' must be an array");
    return elements;
  }
  for (const JsonNode& it : *field) elements.push_back(&it);
  return elements;
}

void JsonReader::Fail(const std::string& why) {
  if (error_.empty()) error_ = where_ + ": " + why;
}

Result<void> JsonReader::Finish() {
  std::set<std::string> seen;
  if (IsObject(node_)) {
    for (const JsonNode& it : node_) {
      if (std::find(requested_fields_.begin(), requested_fields_.end(),
                    it.name()) == requested_fields_.end()) {
        Fail("unknown field '" + it.name() + "'");
      }
      if (!seen.insert(it.name()).second) {
        Fail("field '" + it.name() + "' is given twice");
      }
    }
  }
  if (error_.empty()) return {};
  return MakeError(ErrorCode::kInvalidArgument, error_);
}

}  // namespace dogwoodrail::json
