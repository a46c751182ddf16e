// Relay on the loopback interface that injects faults into TCP connections and
// UDP datagrams.
#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <exception>

#include "standins/common/http_client.h"
#include "standins/faultproxy/proxy.h"

DEFINE_int32(listen, 7000, "port to listen on");
DEFINE_string(target, "", "IP:port to relay connections to");
DEFINE_int32(control, 7001, "port for POST /control and GET /counts");
DEFINE_bool(udp, false, "also relay UDP datagrams on the same port");
DEFINE_uint64(seed, 1, "seed of the random number generator for faults");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    dogwoodrail::standin::ProxyOptions options;
    options.listen = static_cast<std::uint16_t>(FLAGS_listen);
    options.control = static_cast<std::uint16_t>(FLAGS_control);
    options.target = dogwoodrail::standin::ParseEndpoint(FLAGS_target);
    options.datagrams = FLAGS_udp;
    options.seed = FLAGS_seed;
    boost::asio::io_context io(1);
    dogwoodrail::standin::Proxy proxy(io, options);
    proxy.Start();
    io.run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "standin_faultproxy: %s\n", e.what());
    return 1;
  }
  return 0;
}
