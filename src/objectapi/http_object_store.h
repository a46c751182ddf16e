#ifndef DOGWOODRAIL_OBJECTAPI_HTTP_OBJECT_STORE_H_
#define DOGWOODRAIL_OBJECTAPI_HTTP_OBJECT_STORE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "objectapi/object_store.h"

namespace dogwoodrail::objectapi {

// Address of the Object API and the timeout of a call.
struct HttpObjectStoreOptions {
  std::string ip;
  std::uint16_t port = 0;
  std::chrono::milliseconds timeout{2000};
};

// Object API over HTTP/1.1, using the HTTP client of cxxtools. Keeps no
// connection or other state between calls, so it is thread-safe.
class HttpObjectStore : public ObjectStore {
 public:
  explicit HttpObjectStore(HttpObjectStoreOptions options);

  core::base::Result<Object> Get(const ObjectKey& key) override;
  core::base::Result<ObjectVersion> PutIf(const ObjectKey& key,
                                          const std::string& value,
                                          ObjectVersion expected) override;
  core::base::Result<std::optional<Object>> Watch(
      const ObjectKey& key, ObjectVersion after,
      std::chrono::milliseconds wait) override;
  core::base::Result<std::vector<ObjectListing>> List(
      const std::string& prefix) override;

 private:
  const HttpObjectStoreOptions options_;
};

}  // namespace dogwoodrail::objectapi

#endif  // DOGWOODRAIL_OBJECTAPI_HTTP_OBJECT_STORE_H_
