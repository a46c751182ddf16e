#ifndef TESTS_UNIT_OBJECTAPI_FAKE_OBJECT_STORE_H_
#define TESTS_UNIT_OBJECTAPI_FAKE_OBJECT_STORE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "objectapi/object_store.h"

namespace dogwoodrail::objectapi {

// Fault injected into a call of PutIf.
enum class PutFault {
  kNone,
  kUnavailable,      // the request is not sent
  kLostBeforeWrite,  // no response, not written
  kLostAfterWrite,   // no response, written
  kWrittenLater,     // no response, written just before the next PutIf
};

// In-memory Object API. Each call of PutIf consumes the next fault of
// `put_faults`.
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
    if (delayed_write_) {
      auto delayed_write = std::move(delayed_write_);
      delayed_write_ = nullptr;
      delayed_write();
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
        delayed_write_ = [=] { Write(key, value, expected); };
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
    return core::base::MakeError(code, "injected fault");
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
  std::function<void()> delayed_write_;
};

}  // namespace dogwoodrail::objectapi

#endif  // TESTS_UNIT_OBJECTAPI_FAKE_OBJECT_STORE_H_
