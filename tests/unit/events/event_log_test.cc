#include "node/event_log.h"

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <sstream>
#include <string>
#include <thread>

namespace dogwoodrail::node {
namespace {

using core::base::AccountName;
using core::base::Event;
using core::base::EventNumber;
using core::base::RequestId;
using core::base::WallTime;

LogSettings SmallLog(std::size_t capacity) {
  LogSettings settings;
  settings.timeline_events = capacity;
  return settings;
}

EventLog MakeLog(std::size_t capacity) {
  return EventLog(SmallLog(capacity), &SystemWallTime, nullptr);
}

BOOST_AUTO_TEST_CASE(keeps_the_last_events_in_order) {
  EventLog log = MakeLog(3);
  for (int it = 0; it < 5; ++it) {
    log.Record({EventNumber::kNodeStarted, {}, {}, std::to_string(it)});
  }
  const auto events = log.Read({});
  BOOST_REQUIRE(events.size() == 3U);
  BOOST_TEST(events.front().sequence == 3U);
  BOOST_TEST(events.back().event.detail == "4");
  EventQuery newer;
  newer.after = 4;
  BOOST_TEST(log.Read(newer).size() == 1U);
  newer.after = 5;
  BOOST_TEST(log.Read(newer).empty());
}

BOOST_AUTO_TEST_CASE(suppressed_lines_are_counted) {
  std::ostringstream out;
  auto logger = std::make_shared<spdlog::logger>(
      "bounded", std::make_shared<spdlog::sinks::ostream_sink_st>(out));
  logger->set_pattern("%v");
  LogSettings settings;
  settings.lines_per_s = 3;
  WallTime now{std::chrono::milliseconds(1000)};
  EventLog log(
      settings, [&now] { return now; }, logger);
  for (int it = 0; it < 10; ++it) {
    log.Record({EventNumber::kNodeStarted, {}, {}, "n=" + std::to_string(it)});
  }
  log.Record({EventNumber::kNodeStopped, {}, {}, ""});
  now += std::chrono::seconds(1);
  log.Record({EventNumber::kNodeStarted, {}, {}, "n=10"});
  BOOST_TEST(out.str() ==
             "901 node_started n=0\n901 node_started n=1\n"
             "901 node_started n=2\n903 node_stopped\n"
             "901 node_started n=10 left_out=7\n");
}

BOOST_AUTO_TEST_CASE(query_filters_events) {
  EventLog log = MakeLog(10);
  const RequestId request("r1");
  const AccountName account("almaty");
  log.Record({EventNumber::kRequestReceived, request, account, ""});
  log.Record({EventNumber::kRequestReceived, RequestId("r2"), account, ""});
  log.Record({EventNumber::kRequestAnswered, request, {}, ""});
  EventQuery query;
  query.request = request;
  BOOST_TEST(log.Read(query).size() == 2U);
  query.account = account;
  BOOST_TEST(log.Read(query).size() == 1U);
  query = {};
  query.number = 101;
  BOOST_TEST(log.Read(query).size() == 2U);
  query.limit = 1;
  BOOST_TEST(log.Read(query).size() == 1U);
}

BOOST_AUTO_TEST_CASE(concurrent_records_lose_no_event) {
  constexpr std::size_t kThreads = 4;
  constexpr std::size_t kEvents = 500;
  EventLog log = MakeLog(kThreads * kEvents);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (std::size_t it = 0; it < kThreads; ++it) {
    threads.emplace_back([&log] {
      for (std::size_t n = 0; n < kEvents; ++n) {
        log.Record({EventNumber::kLinkOpened, {}, {}, ""});
        if (n % 100 == 0) log.Read({});
      }
    });
  }
  for (std::thread& it : threads) it.join();
  EventQuery all;
  all.limit = kThreads * kEvents;
  const auto events = log.Read(all);
  BOOST_REQUIRE(events.size() == kThreads * kEvents);
  for (std::size_t it = 0; it < events.size(); ++it) {
    BOOST_REQUIRE(events[it].sequence == it + 1);
  }
}

BOOST_AUTO_TEST_CASE(lines_cannot_be_forged) {
  const Event event{EventNumber::kRequestRefused, RequestId("r1"),
                    AccountName("almaty"), "path=/a\n2026 error x\x1b[2J"};
  BOOST_TEST(FormatEvent(event) ==
             "102 request_refused request=r1 account=almaty "
             "path=/a?2026 error x?[2J");
}

}  // namespace
}  // namespace dogwoodrail::node
