#ifndef DOGWOODRAIL_STANDINS_BACKEND_ANNOUNCER_H_
#define DOGWOODRAIL_STANDINS_BACKEND_ANNOUNCER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "standins/backend/backend_type.h"
#include "standins/common/http_client.h"

namespace dogwoodrail::standin {

// Load of the backend server at a point in time.
struct LoadReport {
  int in_use = 0;
  int queued = 0;
};

// Announces the backend server to its node every second.
class Announcer {
 public:
  Announcer(boost::asio::io_context& io, const BackendOptions& options,
            const BackendControl& control,
            std::function<LoadReport()> current_load);

  // Announces immediately and then every second.
  void Start();
  // Switches the announced state to "draining" and announces it immediately.
  void Drain();

 private:
  void Announce();
  void AnnouncePeriodically();
  LoadReport ReportedLoad();
  std::string StateText() const;

  const BackendOptions& options_;
  const BackendControl& control_;
  std::function<LoadReport()> current_load_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<HttpClient> node_;
  std::deque<LoadReport> load_history_;  // one per second, newest last
  std::chrono::steady_clock::time_point ready_at_;
  bool draining_ = false;
};

}  // namespace dogwoodrail::standin

#endif  // DOGWOODRAIL_STANDINS_BACKEND_ANNOUNCER_H_
