// Stand-in backend server on the loopback interface with controllable faults.
#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>

#include "standins/backend/backend_server.h"

DEFINE_string(service, "", "name of the service");
DEFINE_string(name, "", "name of the backend server; the port if empty");
DEFINE_int32(port, 9000, "port for requests");
DEFINE_string(operator, "", "IP:port of the node's operator endpoint");
DEFINE_string(announced_address, "",
              "IP:port to announce; own address if empty");
DEFINE_string(node, "", "IP:port of the node's caller endpoint");
DEFINE_string(next, "", "path to call via the node for each request");
DEFINE_int32(slots, 15, "maximum number of concurrent requests");
DEFINE_int32(queue, 4, "maximum number of queued requests");
DEFINE_bool(slower, false, "above the slots, slow down instead of 503");
DEFINE_int32(service_time_ms, 10, "execution time of a request");
DEFINE_int32(cold_start_ms, 0, "duration of the state 'starting'");
DEFINE_int32(min_drain_ms, 1000, "minimum time in the state 'draining'");
DEFINE_string(crash_marker, "crash-marker",
              "text in a request that crashes the process");
DEFINE_string(leak_marker, "", "text in keys; logged if a request contains it");
DEFINE_string(execution_log, "", "file to append executions to");

namespace {

using dogwoodrail::standin::BackendOptions;

BackendOptions OptionsFromFlags() {
  BackendOptions options;
  options.service = FLAGS_service;
  options.name = FLAGS_name.empty() ? std::to_string(FLAGS_port) : FLAGS_name;
  options.port = static_cast<std::uint16_t>(FLAGS_port);
  options.operator_ip_port = FLAGS_operator;
  options.announced_address = FLAGS_announced_address.empty()
                                  ? "127.0.0.1:" + std::to_string(FLAGS_port)
                                  : FLAGS_announced_address;
  options.node_ip_port = FLAGS_node;
  options.next = FLAGS_next;
  options.slots = FLAGS_slots;
  options.queue = FLAGS_queue;
  options.slower_over_slots = FLAGS_slower;
  options.service_time = std::chrono::milliseconds(FLAGS_service_time_ms);
  options.cold_start = std::chrono::milliseconds(FLAGS_cold_start_ms);
  options.min_drain = std::chrono::milliseconds(FLAGS_min_drain_ms);
  options.crash_marker = FLAGS_crash_marker;
  options.leak_marker = FLAGS_leak_marker;
  options.execution_log = FLAGS_execution_log;
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    boost::asio::io_context io(1);
    dogwoodrail::standin::BackendServer server(io, OptionsFromFlags());
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&server](boost::system::error_code ec, int) {
      if (!ec) server.Drain();
    });
    server.Start();
    io.run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "standin_backend: %s\n", e.what());
    return 1;
  }
  return 0;
}
