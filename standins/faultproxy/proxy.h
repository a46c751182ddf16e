#ifndef DOGWOODRAIL_STANDINS_FAULTPROXY_PROXY_H_
#define DOGWOODRAIL_STANDINS_FAULTPROXY_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <unordered_set>

#include "standins/common/http_server.h"
#include "standins/common/json_func.h"
#include "standins/faultproxy/datagram_relay.h"
#include "standins/faultproxy/relay.h"

namespace dogwoodrail::standin {

// Options of the proxy.
struct ProxyOptions {
  std::uint16_t listen = 0;
  std::uint16_t control = 0;
  Tcp::endpoint target;
  bool datagrams = false;  // also relay UDP on the same port
  std::uint64_t seed = 1;
};

// Relays connections to one target and injects the faults set by POST /control.
// GET /counts returns the counters.
class Proxy {
 public:
  Proxy(asio::io_context& io, const ProxyOptions& options);

  // Starts listening.
  void Start();

 private:
  void Listen();
  void Accept();
  void Handle(const ExchangePtr& exchange);
  void Apply(const JsonTree& tree);
  std::string CountsText() const;

  asio::io_context& io_;
  ProxyOptions options_;
  FaultState faults_;
  FaultCounts counts_;
  Tcp::acceptor acceptor_;
  HttpServer control_;
  std::unique_ptr<DatagramRelay> datagrams_;
  std::unordered_set<std::shared_ptr<Relay>> relays_;
};

}  // namespace dogwoodrail::standin

#endif  // DOGWOODRAIL_STANDINS_FAULTPROXY_PROXY_H_
