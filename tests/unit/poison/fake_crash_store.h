#ifndef DOGWOODRAIL_TESTS_UNIT_POISON_FAKE_CRASH_STORE_H_
#define DOGWOODRAIL_TESTS_UNIT_POISON_FAKE_CRASH_STORE_H_

#include <map>
#include <string>
#include <vector>

#include "core/poison/stored_crash.h"

namespace dogwoodrail::core::poison {

// The objects with crashes in a store that can be away and come back from an
// older copy.
class FakeCrashStore {
 public:
  std::vector<CrashObject> List() const {
    std::vector<CrashObject> list;
    for (const auto& [name, it] : objects_) list.push_back(it);
    return list;
  }
  void Write(const std::string& name, const StoredCrashes& crashes) {
    ++writes;
    objects_[name] = {name, ++revision_, crashes};
  }
  bool Remove(const CrashObject& object) {
    const auto it = objects_.find(object.node);
    if (it == objects_.end() || it->second.revision != object.revision) {
      return false;
    }
    objects_.erase(it);
    return true;
  }
  void TakeCopy() { copy_ = objects_; }
  void RestoreCopy() { objects_ = copy_; }

  bool available = true;
  std::size_t writes = 0;

 private:
  std::map<std::string, CrashObject> objects_;
  std::map<std::string, CrashObject> copy_;
  std::uint64_t revision_ = 0;
};

}  // namespace dogwoodrail::core::poison

#endif  // DOGWOODRAIL_TESTS_UNIT_POISON_FAKE_CRASH_STORE_H_
