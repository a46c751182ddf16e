// In-memory stand-in for the platform's Object API on the loopback interface.
#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <exception>

#include "standins/objectapi/object_server.h"

DEFINE_int32(port, 8000, "port of the Object API");
DEFINE_int32(control, 0,
             "additional port for POST /fault and GET /counts; 0 disables it");

int main(int argc, char** argv) {
  using dogwoodrail::standin::ObjectServer;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    boost::asio::io_context io(1);
    ObjectServer server(io, static_cast<std::uint16_t>(FLAGS_port),
                        static_cast<std::uint16_t>(FLAGS_control));
    server.Start();
    io.run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "standin_objectapi: %s\n", e.what());
    return 1;
  }
  return 0;
}
