#ifndef DOGWOODRAIL_OBJECTAPI_OBJECT_STORE_H_
#define DOGWOODRAIL_OBJECTAPI_OBJECT_STORE_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "core/base/error_type.h"
#include "objectapi/object_type.h"

namespace dogwoodrail::objectapi {

// The platform's Object API, as much of it as is used. Calls block; another
// Object API is one more implementation of this class.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  // Reads an object. Errors: kNotFound, kUnavailable, kTimeout, kCorrupt.
  virtual core::base::Result<Object> Get(const ObjectKey& key) = 0;

  // Writes an object if it still has the expected version, and returns the new
  // one. Errors: kConflict (it has another version; nothing was written),
  // kInvalidArgument (refused for good), kUnavailable (nothing was sent),
  // kOutcomeUnknown (it may have been written, or may yet be).
  virtual core::base::Result<ObjectVersion> PutIf(const ObjectKey& key,
                                                  const std::string& value,
                                                  ObjectVersion expected) = 0;

  // Waits for a version above `after`; empty if there is none in that time.
  // Errors as for Get.
  virtual core::base::Result<std::optional<Object>> Watch(
      const ObjectKey& key, ObjectVersion after,
      std::chrono::milliseconds wait) = 0;

  // Lists the objects whose keys begin with the prefix. Errors as for Get.
  virtual core::base::Result<std::vector<ObjectListing>> List(
      const std::string& prefix) = 0;
};

}  // namespace dogwoodrail::objectapi

#endif  // DOGWOODRAIL_OBJECTAPI_OBJECT_STORE_H_
