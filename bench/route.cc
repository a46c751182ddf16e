// Prints the cost of choosing a serving node by number of endpoints.

#include <gflags/gflags.h>
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <string>

#include "core/route/endpoint_chooser.h"

DEFINE_int32(calls, 1000000, "calls per row");

namespace dogwoodrail::core::route {
namespace {

constexpr int kZones = 4;

// Prints one row.
void PrintRow(int endpoints) {
  RouteSettings settings;
  settings.own_zone = base::ZoneName("zone0");
  const std::size_t before = mallinfo2().uordblks;
  EndpointChooser chooser(settings, 1);
  const base::ServiceName service("lots");
  base::TimePoint now(std::chrono::seconds(1));
  for (int it = 0; it < endpoints; ++it) {
    chooser.Upsert({service,
                    base::NodeAddress("10.0." + std::to_string(it / 250) + "." +
                                      std::to_string(it % 250) + ":7000"),
                    base::ZoneName("zone" + std::to_string(it % kZones)),
                    base::BackendServerState::kReady},
                   now);
  }
  const double bytes = static_cast<double>(mallinfo2().uordblks - before);
  ChooseRequest request;
  request.service = service;
  request.account = base::AccountName("account");
  CallOutcome answer;
  answer.service = service;
  answer.account = request.account;
  answer.latency = std::chrono::milliseconds(10);
  answer.hint = LoadHint{3, 50, 0};
  const auto start = std::chrono::steady_clock::now();
  for (int it = 0; it < FLAGS_calls; ++it) {
    now += std::chrono::microseconds(10);
    answer.address = chooser.Choose(request, now).address;
    chooser.OnSent(service, answer.address);
    chooser.OnAnswered(answer, now);
  }
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - start;
  std::printf("%9d %24.0f %15.0f\n", endpoints, elapsed.count() / FLAGS_calls,
              bytes / endpoints);
}

}  // namespace
}  // namespace dogwoodrail::core::route

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf("%9s %24s %15s\n", "endpoints", "ns/choose+sent+answered",
              "bytes/endpoint");
  for (const int endpoints : {10, 100, 1000}) {
    dogwoodrail::core::route::PrintRow(endpoints);
  }
  return 0;
}
