// Prints the cost of shard ownership by number of nodes and shards: time of a
// tick, memory, and messages per node.
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/shard/shard_table.h"
#include "wire/shard_codec.h"

namespace dogwoodrail::core::shard {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr Duration kSettle = std::chrono::seconds(8);
constexpr Duration kSpan = std::chrono::seconds(10);

// Simulates the shard tables of a fleet and its platform with no network
// latency.
class Fleet {
 public:
  Fleet(std::size_t nodes, std::uint32_t shards) : objects_(shards) {
    ShardSettings settings;
    settings.shard_count = shards;
    for (std::size_t it = 0; it < nodes; ++it) {
      const base::NodeAddress address(std::to_string(it));
      const base::ZoneName zone("zone" + std::to_string(it % 3));
      members_.push_back({{address, base::Incarnation(it + 1)}, zone});
      tables_.push_back(
          std::make_unique<ShardTable>(settings, members_[it], now_));
    }
    for (const auto& it : tables_) it->OnMembers(members_);
  }

  void Run(Duration span) {
    for (const TimePoint end = now_ + span; now_ < end; now_ += kTick) {
      for (std::size_t it = 0; it < tables_.size(); ++it) {
        const auto begin = std::chrono::steady_clock::now();
        const ShardActions actions = tables_[it]->Tick(now_);
        tick_time_ += std::chrono::steady_clock::now() - begin;
        ++ticks_;
        ExecuteAll(it, actions);
      }
    }
  }

  void ResetCounts() {
    messages = bytes = reads = writes = 0;
    tick_time_ = {};
    ticks_ = 0;
  }

  // Returns the mean time of one tick of one node in microseconds.
  double TickMicros() const {
    return std::chrono::duration<double, std::micro>(tick_time_).count() /
           static_cast<double>(ticks_);
  }

  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;

 private:
  struct Object {
    std::uint64_t version = 0;
    ShardRecord record;
  };

  void ExecuteAll(std::size_t node, const ShardActions& actions) {
    for (const auto& action : actions) {
      std::visit([&](const auto& it) { Execute(node, it); }, action);
    }
  }

  template <typename Other>
  void Execute(std::size_t, const Other&) {}

  void Execute(std::size_t node, const SendShardMessage& send) {
    ++messages;
    bytes += wire::EncodeShard(send.message).size();
    const auto to = std::stoul(send.to.address.value());
    ExecuteAll(to,
               tables_[to]->OnMessage(members_[node].id, send.message, now_));
  }

  void Execute(std::size_t node, const ReadShardRecord& read) {
    ++reads;
    const Object& object = objects_[read.shard.value()];
    ShardPlatformAnswer answer;
    answer.shard = read.shard;
    answer.outcome = PlatformOutcome::kAbsent;
    answer.version = RecordVersion(object.version);
    if (object.version != 0) {
      answer.outcome = PlatformOutcome::kFound;
      answer.record = object.record;
    }
    ExecuteAll(node, tables_[node]->OnPlatformAnswer(answer, now_));
  }

  void Execute(std::size_t node, const WriteShardRecord& write) {
    ++writes;
    Object& object = objects_[write.record.shard.value()];
    ShardPlatformAnswer answer;
    answer.shard = write.record.shard;
    answer.outcome = PlatformOutcome::kConflict;
    if (object.version == write.if_version.value()) {
      ++object.version;
      object.record = write.record;
      answer.outcome = PlatformOutcome::kWritten;
      answer.record = write.record;
    }
    answer.version = RecordVersion(object.version);
    ExecuteAll(node, tables_[node]->OnPlatformAnswer(answer, now_));
  }

  std::vector<Object> objects_;
  std::vector<Member> members_;
  std::vector<std::unique_ptr<ShardTable>> tables_;
  TimePoint now_{std::chrono::hours(1)};
  std::chrono::steady_clock::duration tick_time_{};
  std::uint64_t ticks_ = 0;
};

void PrintRow(std::size_t nodes, std::uint32_t shards) {
  const std::size_t before = mallinfo2().uordblks;
  Fleet fleet(nodes, shards);
  fleet.Run(kSettle);
  const std::size_t heap = mallinfo2().uordblks - before;
  fleet.ResetCounts();
  fleet.Run(kSpan);
  const double span = std::chrono::duration<double>(kSpan).count();
  const auto node_count = static_cast<double>(nodes);
  std::printf("%6zu %7u %9.1f %12.0f %11.1f %13.0f %13.0f %9.2f %9.2f\n", nodes,
              shards, fleet.TickMicros(),
              static_cast<double>(heap) / node_count / shards,
              static_cast<double>(fleet.messages) / span / node_count,
              static_cast<double>(fleet.bytes) / span / node_count,
              static_cast<double>(fleet.messages) / span,
              static_cast<double>(fleet.reads) / span,
              static_cast<double>(fleet.writes) / span);
}

}  // namespace
}  // namespace dogwoodrail::core::shard

int main() {
  std::printf("%6s %7s %9s %12s %11s %13s %13s %9s %9s\n", "nodes", "shards",
              "us/tick", "bytes/shard", "msg/s/node", "bytes/s/node",
              "msg/s fleet", "reads/s", "writes/s");
  for (const std::size_t nodes : {3, 12, 48}) {
    for (const std::uint32_t shards : {64U, 256U}) {
      dogwoodrail::core::shard::PrintRow(nodes, shards);
    }
  }
  return 0;
}
