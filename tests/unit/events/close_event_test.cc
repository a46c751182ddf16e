#include "node/close_event.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/base/event_table.h"
#include "http/close_table.h"
#include "node/event_log.h"
#include "node/metrics.h"
#include "node/node_base.h"

namespace dogwoodrail::node {
namespace {

using core::base::Event;
using core::base::EventLevel;
using core::base::EventNumber;
using core::base::TimePoint;
using core::stop::StopCause;
using core::stop::StopEnd;
using http::CloseCause;
using http::ConnectionClose;

ConnectionClose OwedClose(CloseCause cause) {
  ConnectionClose close;
  close.cause = cause;
  close.owed = http::ExchangeId(7);
  close.request = core::base::RequestId("r1");
  close.requests_read = 2;
  return close;
}

// Returns the value of a counter for a cause, or an empty string.
std::string CounterOf(const Metrics& metrics, const std::string& name,
                      CloseCause cause) {
  const std::string text = metrics.FormatConnectionMetrics();
  const std::string row = "\n" + name + "{cause=\"" +
                          std::string(http::GetCloseCauseSpec(cause).name) +
                          "\"} ";
  const auto begin = text.find(row);
  if (begin == std::string::npos) return "";
  const auto value = begin + row.size();
  return text.substr(value, text.find('\n', value) - value);
}

EventLevel LevelOf(const Event& event) {
  return core::base::FindEvent(static_cast<std::uint16_t>(event.number))->level;
}

// A node without listeners that records its events.
struct NodeFixture {
  NodeFixture()
      : node(
            loop, Settings(),
            [this](Event event) { events.push_back(std::move(event)); },
            MakeOwnDialect()) {}

  // Returns the details of the only event with a number.
  std::string DetailOf(EventNumber number) const {
    std::vector<std::string> details;
    for (const Event& it : events) {
      if (it.number == number) details.push_back(it.detail);
    }
    BOOST_REQUIRE(details.size() == 1U);
    return details.front();
  }

  // Returns the number of events with a number and details.
  std::size_t CountOf(EventNumber number, const std::string& detail) const {
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(), [&](const Event& it) {
          return it.number == number && it.detail == detail;
        }));
  }

  std::vector<Event> events;
  boost::asio::io_context loop;
  Node node;
};

BOOST_AUTO_TEST_SUITE(close_events)

BOOST_AUTO_TEST_CASE(each_cause_without_an_owed_request_is_a_debug_event) {
  Metrics metrics;
  for (const http::CloseCauseSpec& it : http::CloseCauseTable()) {
    ConnectionClose close;
    close.cause = it.cause;
    close.unread_bytes = 4;
    const Event event = MakeCloseEvent(close);
    BOOST_TEST(FormatEvent(event) ==
               "804 caller_closed cause=" + std::string(it.name) +
                   " requests=0 unread=4");
    BOOST_TEST((LevelOf(event) == EventLevel::kDebug));
    metrics.OnConnectionClosed(close);
    BOOST_TEST(CounterOf(metrics, "dogwoodrail_connections_closed_total",
                         it.cause) == "1");
    BOOST_TEST(CounterOf(metrics, "dogwoodrail_requests_unanswered_total",
                         it.cause) == (it.by_caller ? "" : "0"));
  }
  const std::string text = metrics.FormatConnectionMetrics();
  BOOST_TEST(text.find("\ndogwoodrail_connections_closed_unread_total " +
                       std::to_string(http::kCloseCauseCount) + "\n") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(each_cause_with_an_owed_request_is_counted) {
  Metrics metrics;
  for (const http::CloseCauseSpec& it : http::CloseCauseTable()) {
    const ConnectionClose close = OwedClose(it.cause);
    const Event event = MakeCloseEvent(close);
    metrics.OnConnectionClosed(close);
    const std::string detail =
        "request=r1 cause=" + std::string(it.name) + " requests=2 unread=0";
    if (it.by_caller) {
      BOOST_TEST(FormatEvent(event) ==
                 "804 caller_closed " + detail + " abandoned=1");
      BOOST_TEST(CounterOf(metrics, "dogwoodrail_requests_abandoned_total",
                           it.cause) == "1");
      continue;
    }
    BOOST_TEST(FormatEvent(event) == "109 request_unanswered " + detail);
    BOOST_TEST((LevelOf(event) == EventLevel::kWarning));
    BOOST_TEST(CounterOf(metrics, "dogwoodrail_requests_unanswered_total",
                         it.cause) == "1");
  }
}

BOOST_AUTO_TEST_CASE(cause_of_the_connections_that_end_with_the_process) {
  BOOST_TEST((CloseCauseOf(StopEnd::kDeadline) == CloseCause::kStopDeadline));
  BOOST_TEST((CloseCauseOf(StopEnd::kFinished) == CloseCause::kServerClosed));
  BOOST_TEST((CloseCauseOf(StopEnd::kLoopEnded) == CloseCause::kServerClosed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(process_end, NodeFixture)

BOOST_AUTO_TEST_CASE(finished_stop) {
  node.Post([this] { node.BeginStop(StopCause::kSigTerm); });
  node.Run();
  BOOST_TEST(DetailOf(EventNumber::kNodeStopping).find(" cause=SIGTERM") !=
             std::string::npos);
  BOOST_TEST(
      DetailOf(EventNumber::kNodeStopped)
          .find(" cause=finished requests=0 executions=0 connections=0") !=
      std::string::npos);
}

BOOST_AUTO_TEST_CASE(second_signal_changes_neither_cause) {
  node.Post([this] { BOOST_TEST(node.BeginStop(StopCause::kSigInt)); });
  node.Post([this] { BOOST_TEST(!node.BeginStop(StopCause::kSigTerm)); });
  node.Run();
  BOOST_TEST(DetailOf(EventNumber::kNodeStopping).find(" cause=SIGINT") !=
             std::string::npos);
  BOOST_TEST(
      DetailOf(EventNumber::kNodeStopped)
          .find(" cause=finished requests=0 executions=0 connections=0") !=
      std::string::npos);
}

// An exception in one handler ended the process with all its requests.
BOOST_AUTO_TEST_CASE(exception_in_a_handler_does_not_end_the_process) {
  bool went_on = false;
  node.Post([] { throw std::runtime_error("broken"); });
  node.Post([] { throw 7; });
  node.Post([this, &went_on] {
    went_on = true;
    node.BeginStop(StopCause::kSigTerm);
  });
  node.Run();
  BOOST_TEST(went_on);
  BOOST_TEST(CountOf(EventNumber::kHandlerFailed,
                     "work=event_loop cause=broken") == 1U);
  BOOST_TEST(CountOf(EventNumber::kHandlerFailed,
                     "work=event_loop cause=unknown exception") == 1U);
  BOOST_TEST(node.barrier().failures() == 2U);
  BOOST_TEST(DetailOf(EventNumber::kNodeStopped).find(" cause=finished ") !=
             std::string::npos);
}

// A system whose timers fail must not hold up the others, least of all a stop.
BOOST_AUTO_TEST_CASE(exception_in_a_tick_does_not_end_the_ticks) {
  int ticks = 0;
  node.AddTickHandler([](TimePoint) { throw std::runtime_error("broken"); });
  node.AddTickHandler([this, &ticks](TimePoint) {
    if (++ticks == 3) node.BeginStop(StopCause::kSigTerm);
  });
  node.Run();
  BOOST_TEST(ticks >= 3);
  BOOST_TEST(CountOf(EventNumber::kHandlerFailed,
                     "work=added_tick cause=broken") >= 3U);
  BOOST_TEST(DetailOf(EventNumber::kNodeStopped).find(" cause=finished ") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::node
