#ifndef DOGWOODRAIL_NODE_INI_READER_H_
#define DOGWOODRAIL_NODE_INI_READER_H_

#include <string>
#include <vector>

#include "core/base/error_type.h"

namespace dogwoodrail::node {

// One "key = value" entry of an INI file.
struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;
};

// Parses INI text into its entries in file order. An error begins with the line
// number.
core::base::Result<std::vector<IniEntry>> ReadIni(const std::string& text);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_INI_READER_H_
