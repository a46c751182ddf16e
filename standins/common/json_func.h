#ifndef DOGWOODRAIL_STANDINS_COMMON_JSON_FUNC_H_
#define DOGWOODRAIL_STANDINS_COMMON_JSON_FUNC_H_

#include <boost/property_tree/ptree.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/base/error_type.h"

namespace dogwoodrail::standin {

using JsonTree = boost::property_tree::ptree;

// Parses JSON into a property tree, which stores every value as text.
core::base::Result<JsonTree> ParseJson(const std::string& text);

// Returns `text` as a quoted and escaped JSON string.
std::string QuoteJson(std::string_view text);

// Serializes a JSON object member by member.
class JsonObject {
 public:
  // Adds a member and returns *this for chaining.
  JsonObject& Add(std::string_view name, std::string_view value);
  JsonObject& Add(std::string_view name, const char* value);
  JsonObject& Add(std::string_view name, std::int64_t value);
  JsonObject& Add(std::string_view name, double value);
  JsonObject& Add(std::string_view name, bool value);
  // Adds a member whose value is already serialized JSON.
  JsonObject& AddRaw(std::string_view name, std::string_view json);
  // Returns the serialized object.
  std::string Text() const { return text_ + "}"; }

 private:
  std::string text_ = "{";
};

}  // namespace dogwoodrail::standin

#endif  // DOGWOODRAIL_STANDINS_COMMON_JSON_FUNC_H_
