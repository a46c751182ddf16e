#ifndef DOGWOODRAIL_OBJECTAPI_OBJECT_TYPE_H_
#define DOGWOODRAIL_OBJECTAPI_OBJECT_TYPE_H_

#include <cstddef>
#include <string>

#include "core/base/id_type.h"

namespace dogwoodrail::objectapi {

// Key of an object: segments of a-z, 0-9, '_' and '-', parted by '/'.
using ObjectKey = core::base::StrongString<struct ObjectKeyTag>;

// Version of an object; grows with each write. 0 means that it does not exist.
using ObjectVersion = core::base::StrongNumber<struct ObjectVersionTag>;

constexpr std::size_t kMaxObjectBytes = std::size_t{1} << 20U;

// Value of an object at one version.
struct Object {
  std::string value;
  ObjectVersion version;
};

// One row of a listing.
struct ObjectListing {
  ObjectKey key;
  ObjectVersion version;
};

}  // namespace dogwoodrail::objectapi

#endif  // DOGWOODRAIL_OBJECTAPI_OBJECT_TYPE_H_
