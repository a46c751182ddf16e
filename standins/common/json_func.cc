// Boost.PropertyTree's parser includes boost/bind.hpp, which emits a
// warning unless this macro is defined.
#define BOOST_BIND_GLOBAL_PLACEHOLDERS
#include "standins/common/json_func.h"

#include <boost/property_tree/json_parser.hpp>
#include <cstdio>
#include <sstream>

namespace dogwoodrail::standin {

core::base::Result<JsonTree> ParseJson(const std::string& text) {
  std::istringstream in(text);
  JsonTree tree;
  try {
    boost::property_tree::read_json(in, tree);
  } catch (const boost::property_tree::json_parser_error& e) {
    return core::base::MakeError(core::base::ErrorCode::kInvalidArgument,
                                 e.what());
  }
  return tree;
}

std::string QuoteJson(std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < kFirstPrintable) {
      char buf[8];
      std::snprintf(buf, sizeof(buf), "\\u%04x", c);
      out += buf;
    } else {
      out += c;
    }
  }
  return out + "\"";
}

JsonObject& JsonObject::AddRaw(std::string_view name, std::string_view json) {
  if (text_.size() > 1) text_ += ',';
  text_ += QuoteJson(name);
  text_ += ':';
  text_ += json;
  return *this;
}

JsonObject& JsonObject::Add(std::string_view name, std::string_view value) {
  return AddRaw(name, QuoteJson(value));
}

JsonObject& JsonObject::Add(std::string_view name, const char* value) {
  return AddRaw(name, QuoteJson(value));
}

JsonObject& JsonObject::Add(std::string_view name, std::int64_t value) {
  return AddRaw(name, std::to_string(value));
}

JsonObject& JsonObject::Add(std::string_view name, double value) {
  return AddRaw(name, std::to_string(value));
}

JsonObject& JsonObject::Add(std::string_view name, bool value) {
  return AddRaw(name, value ? "true" : "false");
}

}  // namespace dogwoodrail::standin
