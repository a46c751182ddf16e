#ifndef DOGWOODRAIL_JSON_JSON_READER_H_
#define DOGWOODRAIL_JSON_JSON_READER_H_

#include <cxxtools/serializationinfo.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/error_type.h"

namespace dogwoodrail::json {

// Maximum nesting depth of objects and arrays.
constexpr std::size_t kMaxNesting = 16;

// A parsed JSON value.
using JsonNode = cxxtools::SerializationInfo;

// Parses a text that consists of a single JSON value. Returns kInvalidArgument
// if the text is malformed, if text follows the value, or if it is nested
// deeper than kMaxNesting.
core::base::Result<JsonNode> ParseJson(const std::string& text);

// Reads the fields of a JSON object by name and type. Finish returns the first
// error; a field that was never requested or that is given twice is an error.
class JsonReader {
 public:
  // The node must outlive the reader; `where` prefixes error messages.
  JsonReader(const JsonNode& node, std::string where);

  // Returns true if the object has the field.
  bool Has(const char* name) const;
  // Return the value of a required field. A missing or invalid field records an
  // error and returns an empty string, zero or false. Number accepts 0 to max.
  std::string String(const char* name);
  std::uint64_t Number(const char* name, std::uint64_t max);
  bool Bool(const char* name);
  // Returns the index of a required string field's value in the list; records
  // an error and returns 0 if it is not in the list.
  std::size_t Choice(const char* name,
                     const std::vector<std::string_view>& allowed);
  // Returns a required object field; records an error and returns nullptr if it
  // is missing or not an object.
  const JsonNode* Object(const char* name);
  // Returns the elements of an optional array field; none if it is absent.
  std::vector<const JsonNode*> Array(const char* name);
  // Records an error unless one is already recorded.
  void Fail(const std::string& why);
  // Checks for unknown and repeated fields, then returns the first error or
  // success.
  core::base::Result<void> Finish();

 private:
  // Marks the field as requested and returns it; records an error and returns
  // nullptr if it is missing.
  const JsonNode* RequireField(const char* name);
  // Like RequireField, and also requires a scalar of the given type.
  const JsonNode* RequireScalar(const char* name, const char* type);

  const JsonNode& node_;
  std::string where_;
  std::string error_;
  std::vector<std::string> requested_fields_;
};

}  // namespace dogwoodrail::json

#endif  // DOGWOODRAIL_JSON_JSON_READER_H_
