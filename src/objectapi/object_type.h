#ifndef DOGWOODRAIL_OBJECTAPI_OBJECT_TYPE_H_
#define DOGWOODRAIL_OBJECTAPI_OBJECT_TYPE_H_

#include <cstddef>
#include <string>

#include "core/base/id_type.h"

namespace dogwoodrail::objectapi {

// Key of an object: segments of a-z, 0-9, '_' and '-', separated by '/'.
using ObjectKey = core::base::StrongString<struct ObjectKeyTag>;

// Version of an object; increases with each write. 0: no such object.
using ObjectVersion = core::base::StrongNumber<struct ObjectVersionTag>;

constexpr std::size_t kMaxObjectBytes = std::size_t{1} << 20U;

// An object's value and the version it was read at.
struct Object {
  std::string value;
  ObjectVersion version;
};

// Entry of a List result: a key and its current version.
struct ObjectListing {
  ObjectKey key;
  ObjectVersion version;
};

}  // namespace dogwoodrail::objectapi

#endif  // DOGWOODRAIL_OBJECTAPI_OBJECT_TYPE_H_
