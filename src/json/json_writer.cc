#include "json/json_writer.h"

#include <cxxtools/jsonserializer.h>

#include <sstream>

namespace dogwoodrail::json {

JsonNode MakeObject() {
  JsonNode node;
  node.setCategory(JsonNode::Object);
  return node;
}

JsonNode& AddArray(JsonNode& parent, const char* name) {
  JsonNode& node = parent.addMember(name);
  node.setCategory(JsonNode::Array);
  return node;
}

JsonNode& AddObject(JsonNode& parent, const char* name) {
  JsonNode& node = parent.addMember(name);
  node.setCategory(JsonNode::Object);
  return node;
}

std::string WriteJson(const JsonNode& node, bool indented) {
  std::ostringstream out;
  cxxtools::JsonSerializer serializer(out);
  serializer.beautify(indented);
  serializer.serialize(node).finish();
  return out.str();
}

}  // namespace dogwoodrail::json
