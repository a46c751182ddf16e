#ifndef DOGWOODRAIL_STANDINS_OBJECTAPI_OBJECT_SERVER_H_
#define DOGWOODRAIL_STANDINS_OBJECTAPI_OBJECT_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "standins/common/http_server.h"
#include "standins/objectapi/object_store.h"

namespace dogwoodrail::standin {

// Simulated outage of the platform: connections refused, closed without a
// response, or left open without a response.
enum class Outage { kNone, kRefuse, kDrop, kSilent };

// Faults set by POST /fault.
struct ObjectFaults {
  Outage outage = Outage::kNone;
  std::chrono::milliseconds delay{0};
  int lose_answer_after_write = 0;  // remaining writes to leave unanswered
  bool stale_reads = false;
};

// Number of calls since the process started.
struct ObjectCounts {
  std::int64_t reads = 0;
  std::int64_t writes = 0;
  std::int64_t conflicts = 0;
  std::int64_t watches = 0;
  std::int64_t lists = 0;
  std::int64_t lost_answers = 0;
};

// Serves the Object API. POST /fault and GET /counts are served on the same
// port and on an optional control port.
class ObjectServer {
 public:
  // A `control_port` of 0 disables the control port.
  ObjectServer(asio::io_context& io, std::uint16_t port,
               std::uint16_t control_port);

  // Starts listening.
  void Start();

 private:
  struct Watch {
    ExchangePtr exchange;
    std::string key;
    std::uint64_t after = 0;
    asio::steady_timer timer;
  };
  using WatchPtr = std::shared_ptr<Watch>;

  void Handle(const ExchangePtr& exchange);
  bool HandleControl(const ExchangePtr& exchange);
  void SetFaults(const ExchangePtr& exchange);
  // Takes a copy of the store, or returns to the one taken before: later writes
  // are lost, and their versions are given out again.
  void HandleCopy(const std::string& action);
  std::string CountsText() const;
  void ApplyOutage();
  void Route(const ExchangePtr& exchange);
  void HandleGet(const ExchangePtr& exchange, const std::string& key);
  void HandlePut(const ExchangePtr& exchange, const std::string& key);
  void HandleWatch(const ExchangePtr& exchange, const std::string& query);
  void NotifyWatches(const std::string& key);
  void RespondWithValue(const ExchangePtr& exchange, const ObjectValue& value);

  asio::io_context& io_;
  HttpServer api_;
  HttpServer control_;
  bool has_control_;
  ObjectStore store_;
  ObjectStore copy_;
  ObjectFaults faults_;
  ObjectCounts counts_;
  std::list<WatchPtr> watches_;
};

}  // namespace dogwoodrail::standin

#endif  // DOGWOODRAIL_STANDINS_OBJECTAPI_OBJECT_SERVER_H_
