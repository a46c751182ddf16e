#ifndef DOGWOODRAIL_JSON_JSON_WRITER_H_
#define DOGWOODRAIL_JSON_JSON_WRITER_H_

#include <string>

#include "json/json_reader.h"

namespace dogwoodrail::json {

// Returns an empty object, to be filled with addValue and addMember.
JsonNode MakeObject();
// Add an empty array or object to the parent and return it.
JsonNode& AddArray(JsonNode& parent, const char* name);
JsonNode& AddObject(JsonNode& parent, const char* name = "");

// Serializes the value as JSON, optionally indented.
std::string WriteJson(const JsonNode& node, bool indented = false);

}  // namespace dogwoodrail::json

#endif  // DOGWOODRAIL_JSON_JSON_WRITER_H_
