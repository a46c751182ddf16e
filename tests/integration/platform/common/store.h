#ifndef DOGWOODRAIL_TESTS_INTEGRATION_PLATFORM_COMMON_STORE_H_
#define DOGWOODRAIL_TESTS_INTEGRATION_PLATFORM_COMMON_STORE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "standins/common/http_server.h"

namespace dogwoodrail::integration {

// Stand-in of the platform's store: objects by kind and name, with lists in
// pages, watches and conditional creation. It can come back from an older copy:
// revisions go back and are given out again, and the era, which each answer
// states, rises by one. Runs on the thread of the loop; the public functions
// may be called from any other thread.
class PlatformStore {
 public:
  PlatformStore(boost::asio::io_context& loop, std::uint16_t port);

  // Opens the listener.
  void Start();
  // Creates or replaces an object. `spec` is sent to readers byte by byte, so
  // that it may be anything that another writer left.
  void Put(const std::string& kind, const std::string& name,
           const std::string& spec);
  // While not available, every call is answered 503.
  void SetAvailable(bool available);
  // Keeps a copy of the present state.
  void TakeCopy();
  // Keeps a copy of the present state from before any object of a kind was
  // written.
  void TakeCopyWithout(const std::string& kind);
  // Ends the process of the store: connections end and are refused.
  void GoAway();
  // Replaces the state by the copy and begins the next era. To be called while
  // the store is away; what is put before Return() is there when it serves.
  void RestoreCopy();
  // Serves again after GoAway().
  void Return();
  // Number of objects of a kind.
  std::size_t Count(const std::string& kind);

 private:
  struct Object {
    std::uint64_t revision = 0;
    std::string spec;
  };
  using Objects = std::map<std::string, Object>;
  struct State {
    std::map<std::string, Objects> kinds;
    std::uint64_t revision = 1;
  };

  // Answers with the era.
  void Respond(const standin::ExchangePtr& exchange,
               boost::beast::http::status status, std::string body) const;
  // Runs a function on the thread of the loop and waits for it.
  void RunOnLoop(const std::function<void()>& function);
  void Handle(const standin::ExchangePtr& exchange);
  void HandleRead(const standin::ExchangePtr& exchange, const std::string& kind,
                  const std::string& name, const std::string& query);
  void HandleWrite(const standin::ExchangePtr& exchange,
                   const std::string& kind, const std::string& name);
  // Answers a watch once there is a change, or at its end.
  void Watch(const standin::ExchangePtr& exchange, const std::string& kind,
             std::uint64_t after, std::chrono::steady_clock::time_point end);
  std::string ListText(const std::string& kind, const std::string& after);
  std::string EventsText(const std::string& kind, std::uint64_t after);

  boost::asio::io_context& loop_;
  standin::HttpServer server_;
  std::mutex mutex_;
  State state_;
  State copy_;
  std::uint64_t era_ = 1;
  bool available_ = true;
};

}  // namespace dogwoodrail::integration

#endif  // DOGWOODRAIL_TESTS_INTEGRATION_PLATFORM_COMMON_STORE_H_
