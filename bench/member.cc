// Prints the cost of membership: time and memory of one node's table by number
// of members, and traffic, dissemination and failure detection time of small
// fleets in virtual time.
#include <malloc.h>

#include <chrono>
#include <cstdio>

#include "tests/unit/member/member_simulation.h"

namespace {

using namespace std::chrono_literals;        // NOLINT
using namespace dogwoodrail::tests::member;  // NOLINT
using WallClock = std::chrono::steady_clock;

constexpr std::size_t kRegions = 11;
constexpr std::size_t kZones = 27;
constexpr std::size_t kServices = 3400;
constexpr int kChanges = 12;
constexpr base::Duration kChangeTime = 120s;
constexpr double kLoss = 0.05;

MemberRecord MakeRecord(std::size_t n) {
  MemberRecord record;
  record.address = base::NodeAddress("10." + std::to_string(n / 62500) + "." +
                                     std::to_string(n / 250 % 250) + "." +
                                     std::to_string(n % 250) + ":7001");
  record.incarnation = base::Incarnation(n + 1);
  record.version = 1;
  const std::size_t zone = n % kZones;
  record.region = base::RegionName("region-" + std::to_string(zone % kRegions));
  record.zone = base::ZoneName("zone-" + std::to_string(zone));
  record.backend.service =
      base::ServiceName("service-" + std::to_string(n % kServices));
  record.backend.phase = BackendPhase::kReady;
  record.backend.slots = 50;
  return record;
}

std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

template <typename Fn>
double NsPerRound(std::size_t count, Fn fn) {
  const auto start = WallClock::now();
  for (std::size_t it = 0; it < count; ++it) fn(it);
  const std::chrono::duration<double, std::nano> elapsed =
      WallClock::now() - start;
  return elapsed.count() / static_cast<double>(count);
}

void MeasureTable(std::size_t size) {
  const MemberRecord own = MakeRecord(0);
  MemberSelf self{own.address, own.incarnation, 1, own.zone, own.region};
  const std::size_t before = HeapBytes();
  MemberTable table(self, {}, 1);
  base::TimePoint now{};
  table.Tick(now);
  const double learn = NsPerRound(size, [&](std::size_t n) {
    MemberMessage message;
    message.kind = MessageKind::kSyncRecords;
    message.sender = MakeRecord(n);
    table.OnDatagram(message.sender.address, message, now);
  });
  const std::size_t bytes = HeapBytes() - before;
  constexpr std::size_t kRounds = 20000;
  MemberMessage ping;
  ping.kind = MessageKind::kPing;
  ping.sender = MakeRecord(size / 2);
  const double quiet = NsPerRound(kRounds, [&](std::size_t) {
    table.OnDatagram(ping.sender.address, ping, now);
  });
  const double change = NsPerRound(kRounds, [&](std::size_t n) {
    ping.records.assign(1, MakeRecord(1 + n % (size - 1)));
    ping.records[0].version = 2 + n;
    table.OnDatagram(ping.sender.address, ping, now);
  });
  const double tick = NsPerRound(5000, [&](std::size_t) {
    now += 100ms;
    table.Tick(now);
  });
  const double lookup = NsPerRound(kRounds, [&](std::size_t n) {
    std::size_t found = 0;
    table.ForEachReady(
        base::ServiceName("service-" + std::to_string(n % kServices)),
        [&](const MemberRecord&) { ++found; });
  });
  std::printf("%8zu %12zu %10.0f %10.0f %10.0f %10.0f %10.0f\n", size,
              bytes / size, learn, quiet, change, tick, lookup);
}

void Announce(Simulation& sim, std::size_t n, BackendPhase phase) {
  sim.Execute(n, sim[n].table->SetBackend({base::ServiceName("menu"), phase, 8},
                                          sim.now()));
}

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Makes one change every ten seconds, the rate at the target fleet size.
void ChangePeriodically(Simulation& sim) {
  for (int it = 0; it < kChanges; ++it) {
    Announce(sim, 1, it % 2 == 0 ? BackendPhase::kReady : BackendPhase::kNone);
    sim.Run(kChangeTime / kChanges);
  }
}

void MeasureFleet(std::size_t regions, std::size_t zones, std::size_t per_zone,
                  std::uint64_t seed) {
  Simulation sim(seed);
  AddFleet(&sim, regions, zones, per_zone);
  const std::size_t size = sim.size();
  const bool joined = sim.RunUntil([&] { return sim.AllSee(size); }, 300s);
  const double join = Seconds(sim.now().time_since_epoch());
  sim.Run(60s);
  for (std::size_t n = 0; n < size; ++n) sim[n].notices.clear();
  const auto rate = [&](std::size_t count, base::Duration time) {
    return static_cast<double>(count) / static_cast<double>(size) /
           Seconds(time);
  };
  sim.bytes = sim.datagrams = sim.bytes_between_regions = 0;
  sim.Run(60s);
  const double idle = rate(sim.bytes, 60s);
  const double datagrams = rate(sim.datagrams, 60s);
  sim.bytes = sim.bytes_between_regions = 0;
  ChangePeriodically(sim);
  const double busy = rate(sim.bytes, kChangeTime);
  const double remote = rate(sim.bytes_between_regions, kChangeTime);
  sim.loss = kLoss;
  sim.bytes = 0;
  ChangePeriodically(sim);
  const double lossy = rate(sim.bytes, kChangeTime);
  Rumour rumour;
  rumour.version = 1;
  sim[1].table->SpreadRumour(rumour);
  const base::TimePoint start = sim.now();
  sim.RunUntil(
      [&] {
        for (std::size_t n = 0; n < size; ++n) {
          if (n != 1 && sim[n].rumours.empty()) return false;
        }
        return true;
      },
      60s);
  const double spread = Seconds(sim.now() - start);
  const std::size_t failed = sim.CountNotices(NoticeKind::kFailed);
  sim[size / 2].gone = true;
  const base::TimePoint gone = sim.now();
  const auto noticed = [&] {
    for (std::size_t n = 0; n < size; ++n) {
      const MemberRecord* record = sim[n].table->Find(sim[size / 2].address);
      if (n != size / 2 && record != nullptr && record->IsLive()) return false;
    }
    return true;
  };
  sim.RunUntil(noticed, 120s);
  const double detect = Seconds(sim.now() - gone);
  std::printf("%8zu %8.1f%s %9.0f %9.1f %9.0f %9.0f %9.0f %9.1f %9.1f %9zu\n",
              size, join, joined ? " " : "!", idle, datagrams, busy, remote,
              lossy, spread, detect, failed);
}

void MeasureZoneReturn(std::size_t regions, std::size_t zones,
                       std::size_t per_zone, std::uint64_t seed) {
  Simulation sim(seed);
  AddFleet(&sim, regions, zones, per_zone);
  const std::size_t size = sim.size();
  sim.RunUntil([&] { return sim.AllSee(size); }, 300s);
  sim.Run(10s);
  std::size_t lost = 0;
  for (std::size_t n = 0; n < size; ++n) {
    sim[n].gone = sim.zone(n) == "r0z1";
    lost += sim[n].gone;
  }
  const base::TimePoint gone = sim.now();
  sim.bytes = 0;
  sim.RunUntil([&] { return sim.AllSee(size - lost); }, 300s);
  const base::Duration detect = sim.now() - gone;
  const double bytes_gone = static_cast<double>(sim.bytes) /
                            static_cast<double>(size - lost) / Seconds(detect);
  for (std::size_t n = 0; n < size; ++n) {
    if (sim[n].gone) sim.Start(n);
  }
  const base::TimePoint back = sim.now();
  sim.bytes = 0;
  sim.RunUntil([&] { return sim.AllSee(size); }, 300s);
  const base::Duration settle = sim.now() - back;
  const double bytes_back = static_cast<double>(sim.bytes) /
                            static_cast<double>(size) / Seconds(settle);
  std::printf("%8zu %8zu %12.1f %12.0f %12.1f %12.0f\n", size, lost,
              Seconds(detect), bytes_gone, Seconds(settle), bytes_back);
}

}  // namespace

int main() {
  std::printf("One node's table\n%8s %12s %10s %10s %10s %10s %10s\n",
              "members", "bytes each", "ns join", "ns ping", "ns change",
              "ns tick", "ns lookup");
  for (const std::size_t size : {10, 100, 1000, 10000, 22000}) {
    MeasureTable(size);
  }
  std::printf(
      "\nFleets, bytes a second sent a node with IP and UDP headers, seed 1\n"
      "(change: one each 10 s; between: of that, between regions; lossy: with\n"
      "5 %% loss, as in the columns after it)\n"
      "%8s %9s %9s %9s %9s %9s %9s %9s %9s %9s\n",
      "members", "s to join", "idle B/s", "idle 1/s", "change", "between",
      "lossy", "s spread", "s detect", "wrong");
  MeasureFleet(2, 2, 8, 1);
  MeasureFleet(3, 3, 11, 1);
  MeasureFleet(5, 2, 30, 1);
  MeasureFleet(5, 2, 100, 1);
  std::printf(
      "\nA zone vanishes and returns (seed 1)\n%8s %8s %12s %12s %12s %12s\n",
      "members", "zone", "s detect", "B/s a node", "s settle", "B/s a node");
  MeasureZoneReturn(3, 3, 11, 1);
  MeasureZoneReturn(5, 2, 30, 1);
  MeasureZoneReturn(5, 2, 60, 1);
  return 0;
}
