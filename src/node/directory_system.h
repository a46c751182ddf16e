#ifndef DOGWOODRAIL_NODE_DIRECTORY_SYSTEM_H_
#define DOGWOODRAIL_NODE_DIRECTORY_SYSTEM_H_

#include <cstdint>
#include <functional>

#include "core/base/error_type.h"
#include "core/base/event_type.h"
#include "core/member/directory.h"
#include "node/host_type.h"
#include "node/node_base.h"

namespace dogwoodrail::node {

// Carries out what the directory decides: keeps this node's entry in the store
// and gives the addresses of others to membership as seeds.
class DirectorySystem {
 public:
  using TimePoint = core::base::TimePoint;
  using DrainMark = core::backend::DrainMark;

  DirectorySystem(const core::member::DirectorySettings& settings,
                  std::uint64_t seed, Node& node, const HostPorts& ports,
                  core::base::EventSink emit);

  // Sends the call that is due.
  void Tick(TimePoint now);
  // Keeps a drain mark, for a later life of this node.
  void KeepDrainMark(const DrainMark& mark, TimePoint now);
  // True if all that is to be kept has been acknowledged.
  bool is_written() const { return directory_.is_written(); }
  // Sets what is called with the drain mark that an earlier life has kept.
  void SetDrainMarkHook(std::function<void(const DrainMark&)> hook) {
    on_drain_mark_ = std::move(hook);
  }

 private:
  void ReadOwn();
  void WriteOwn();
  void List();
  // Counts the failure of a call and logs its cause.
  void OnFailed(const core::base::Error& error);

  Node& node_;
  const HostPorts& ports_;
  core::base::EventSink emit_;
  core::member::Directory directory_;
  std::function<void(const DrainMark&)> on_drain_mark_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_DIRECTORY_SYSTEM_H_
