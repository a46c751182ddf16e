#ifndef TESTS_UNIT_PLATFORM_FAKE_OBJECT_STORE_H_
#define TESTS_UNIT_PLATFORM_FAKE_OBJECT_STORE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "objectapi/object_store.h"

namespace dogwoodrail::objectapi {

// What happens to one call of PutIf.
enum class PutFault {
  kNone,
  kUnavailable,      // not sent
  kLostBeforeWrite,  // no answer, not written
  kLostAfterWrite,   // no answer, written
  kWrittenLater,     // no answer, written before the next call of PutIf
};

// Object API in memory. Faults are taken from `put_faults` in order.
class FakeObjectStore : public ObjectStore {
 public:
  std::vector<PutFault> put_faults;
  std::function<void()> before_put;  // runs once, before the next PutIf
  bool reads_fail = false;
  int puts = 0;

  core::base::Result<Object> Get(const ObjectKey& key) override {
    if (reads_fail) return Fail(core::base::ErrorCode::kUnavailable);
    const auto it = objects_.find(key);
    if (it == objects_.end()) return Fail(core::base::ErrorCode::kNotFound);
    return it->second;
  }

  core::base::Result<ObjectVersion> PutIf(const ObjectKey& key,
                                          const std::string& value,
                                          ObjectVersion expected) override {
    if (auto hook = std::move(before_put)) {
      before_put = nullptr;
      hook();
    }
    ++puts;
    if (late_) {
      auto late = std::move(late_);
      late_ = nullptr;
      late();
    }
    switch (NextFault()) {
      case PutFault::kNone:
        return Write(key, value, expected);
      case PutFault::kUnavailable:
        return Fail(core::base::ErrorCode::kUnavailable);
      case PutFault::kLostBeforeWrite:
        return Fail(core::base::ErrorCode::kOutcomeUnknown);
      case PutFault::kLostAfterWrite:
        Write(key, value, expected);
        return Fail(core::base::ErrorCode::kOutcomeUnknown);
      case PutFault::kWrittenLater:
        late_ = [=] { Write(key, value, expected); };
        return Fail(core::base::ErrorCode::kOutcomeUnknown);
    }
    return Fail(core::base::ErrorCode::kUnavailable);
  }

  core::base::Result<std::optional<Object>> Watch(
      const ObjectKey& key, ObjectVersion after,
      std::chrono::milliseconds /*wait*/) override {
    const auto it = objects_.find(key);
    if (it == objects_.end() || !(after < it->second.version)) {
      return std::optional<Object>();
    }
    return std::optional<Object>(it->second);
  }

  core::base::Result<std::vector<ObjectListing>> List(
      const std::string& prefix) override {
    std::vector<ObjectListing> rows;
    for (const auto& [key, object] : objects_) {
      if (key.value().rfind(prefix, 0) == 0) {
        rows.push_back({key, object.version});
      }
    }
    return rows;
  }

 private:
  static tl::unexpected<core::base::Error> Fail(core::base::ErrorCode code) {
    return core::base::MakeError(code, "fault");
  }

  PutFault NextFault() {
    if (put_faults.empty()) return PutFault::kNone;
    const PutFault fault = put_faults.front();
    put_faults.erase(put_faults.begin());
    return fault;
  }

  core::base::Result<ObjectVersion> Write(const ObjectKey& key,
                                          const std::string& value,
                                          ObjectVersion expected) {
    const auto it = objects_.find(key);
    const ObjectVersion current =
        it == objects_.end() ? ObjectVersion(0) : it->second.version;
    if (current != expected) return Fail(core::base::ErrorCode::kConflict);
    objects_[key] = Object{value, ObjectVersion(++last_version_)};
    return ObjectVersion(last_version_);
  }

  std::map<ObjectKey, Object> objects_;
  std::uint64_t last_version_ = 0;
  std::function<void()> late_;
};

}  // namespace dogwoodrail::objectapi

#endif  // TESTS_UNIT_PLATFORM_FAKE_OBJECT_STORE_H_
