#ifndef DOGWOODRAIL_OBJECTAPI_OBJECT_STORE_H_
#define DOGWOODRAIL_OBJECTAPI_OBJECT_STORE_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "core/base/error_type.h"
#include "objectapi/object_type.h"

namespace dogwoodrail::objectapi {

// Interface to the operations of the platform's Object API that nodes and tools
// use. All calls block. Another Object API is supported by a further subclass.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  // Reads an object. Errors: kNotFound, kUnavailable, kTimeout, kCorrupt.
  virtual core::base::Result<Object> Get(const ObjectKey& key) = 0;

  // Compare-and-swap: writes the object if its version is still the expected
  // one, and returns the new version. Errors: kConflict (the version differs;
  // nothing was written), kInvalidArgument (rejected; a retry would fail too),
  // kUnavailable (not written), kOutcomeUnknown (it may have been written, or
  // may still be).
  virtual core::base::Result<ObjectVersion> PutIf(const ObjectKey& key,
                                                  const std::string& value,
                                                  ObjectVersion expected) = 0;

  // Long poll: waits for a version greater than `after`; empty if there
  // is none within `wait`.
  // Errors as for Get.
  virtual core::base::Result<std::optional<Object>> Watch(
      const ObjectKey& key, ObjectVersion after,
      std::chrono::milliseconds wait) = 0;

  // Lists the objects whose keys start with the prefix. Errors as for Get.
  virtual core::base::Result<std::vector<ObjectListing>> List(
      const std::string& prefix) = 0;
};

}  // namespace dogwoodrail::objectapi

#endif  // DOGWOODRAIL_OBJECTAPI_OBJECT_STORE_H_
