#ifndef DOGWOODRAIL_STANDINS_OBJECTAPI_OBJECT_STORE_H_
#define DOGWOODRAIL_STANDINS_OBJECTAPI_OBJECT_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace dogwoodrail::standin {

constexpr std::size_t kMaxObjectBytes = std::size_t{1024} * 1024;

// A value and its version. Version 0 means that the object does not exist.
struct ObjectValue {
  std::uint64_t version = 0;
  std::string body;
};

// Outcome of a conditional write.
struct PutOutcome {
  bool written = false;
  std::uint64_t version = 0;  // current version after the call
};

// In-memory object store. It keeps the previous value of each object to serve
// stale reads.
class ObjectStore {
 public:
  // Writes the object only if its current version is `if_version`.
  PutOutcome Put(const std::string& key, std::uint64_t if_version,
                 std::string body);
  // Returns the current value, or the previous one if `stale` is set.
  ObjectValue Get(const std::string& key, bool stale) const;
  // Returns a JSON array of the keys that start with `prefix` and their
  // versions.
  std::string List(const std::string& prefix) const;

 private:
  struct Entry {
    ObjectValue current;
    ObjectValue previous;
  };

  std::map<std::string, Entry> entries_;
  std::uint64_t last_version_ = 0;
};

}  // namespace dogwoodrail::standin

#endif  // DOGWOODRAIL_STANDINS_OBJECTAPI_OBJECT_STORE_H_
