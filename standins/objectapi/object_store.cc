#include "standins/objectapi/object_store.h"

#include <utility>

#include "standins/common/json_func.h"

namespace dogwoodrail::standin {

PutOutcome ObjectStore::Put(const std::string& key, std::uint64_t if_version,
                            std::string body) {
  const auto it = entries_.find(key);
  const std::uint64_t version =
      it == entries_.end() ? 0 : it->second.current.version;
  if (version != if_version) return {false, version};
  Entry& entry = entries_[key];
  entry.previous = std::move(entry.current);
  entry.current = {++last_version_, std::move(body)};
  return {true, last_version_};
}

ObjectValue ObjectStore::Get(const std::string& key, bool stale) const {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return {};
  return stale ? it->second.previous : it->second.current;
}

std::string ObjectStore::List(const std::string& prefix) const {
  std::string out;
  for (auto it = entries_.lower_bound(prefix); it != entries_.end(); ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) break;
    if (!out.empty()) out += ',';
    out += JsonObject()
               .Add("key", it->first)
               .Add("version",
                    static_cast<std::int64_t>(it->second.current.version))
               .Text();
  }
  return "[" + out + "]";
}

}  // namespace dogwoodrail::standin
