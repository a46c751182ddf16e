#include "objectapi/config_store.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "tests/unit/objectapi/fake_object_store.h"

namespace dogwoodrail::objectapi {
namespace {

using core::base::ErrorCode;
using core::config::Ticket;

Ticket MakeTicket(char id, std::uint32_t rate) {
  Ticket ticket;
  ticket.id = core::config::TicketId(std::string(32, id));
  ticket.author = "operator";
  ticket.accounts = {{core::base::AccountName("almaty"), rate, 20}};
  return ticket;
}

ConfigStore MakeStore(FakeObjectStore& objects) {
  ConfigStoreOptions options;
  options.pause = [](std::chrono::milliseconds) {};
  return ConfigStore(objects, options);
}

std::uint32_t RateInForce(ConfigStore& store) {
  const auto head = store.ReadHead().value();
  return head.head.state.FindAccount(core::base::AccountName("almaty"))
      ->rate_per_s;
}

BOOST_AUTO_TEST_CASE(tickets_are_numbered_and_stored) {
  FakeObjectStore objects;
  ConfigStore store = MakeStore(objects);
  std::uint32_t n = 0;
  for (const char id : {'1', '2', '3'}) {
    ++n;
    const auto number = store.SubmitTicket(MakeTicket(id, 10 * n));
    BOOST_REQUIRE(number.has_value());
    BOOST_TEST(number->value() == n);
  }
  BOOST_TEST(store.ListTickets()->size() == 3U);
  BOOST_TEST(
      store.ReadTicket(core::base::TicketNumber(2))->accounts[0].rate_per_s ==
      20U);
  BOOST_TEST(RateInForce(store) == 30U);
  const auto missing = store.ReadTicket(core::base::TicketNumber(4));
  BOOST_TEST((missing.error().code == ErrorCode::kNotFound));
}

BOOST_AUTO_TEST_CASE(rejected_ticket_writes_nothing) {
  FakeObjectStore objects;
  ConfigStore store = MakeStore(objects);
  const auto result = store.SubmitTicket(MakeTicket('1', 0));
  BOOST_TEST((result.error().code == ErrorCode::kInvalidArgument));
  BOOST_TEST(objects.puts == 0);
}

// Faults injected into writes of the head and the result of SubmitTicket.
struct WriteCase {
  const char* name;
  std::vector<PutFault> faults;
  bool accepted;
  ErrorCode error;
};

BOOST_AUTO_TEST_CASE(result_after_lost_responses_is_correct) {
  const std::vector<PutFault> always_lost(20, PutFault::kLostBeforeWrite);
  const WriteCase cases[] = {
      {"written, response lost", {PutFault::kLostAfterWrite}, true, {}},
      {"not written, response lost", {PutFault::kLostBeforeWrite}, true, {}},
      {"written after a delay", {PutFault::kWrittenLater}, true, {}},
      {"lost, then unavailable",
       {PutFault::kLostBeforeWrite, PutFault::kUnavailable},
       true,
       {}},
      {"never sent", {PutFault::kUnavailable}, false, ErrorCode::kUnavailable},
      {"always lost", always_lost, false, ErrorCode::kOutcomeUnknown},
  };
  for (const WriteCase& it : cases) {
    BOOST_TEST_CONTEXT(it.name) {
      FakeObjectStore objects;
      ConfigStore store = MakeStore(objects);
      objects.put_faults = it.faults;
      const auto result = store.SubmitTicket(MakeTicket('1', 10));
      BOOST_REQUIRE(result.has_value() == it.accepted);
      if (result) {
        BOOST_TEST(RateInForce(store) == 10U);
      } else {
        BOOST_TEST((result.error().code == it.error));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(concurrent_tickets_one_accepted_one_conflict) {
  for (const PutFault fault :
       {PutFault::kNone, PutFault::kLostBeforeWrite, PutFault::kLostAfterWrite,
        PutFault::kWrittenLater}) {
    FakeObjectStore objects;
    ConfigStore store = MakeStore(objects);
    objects.before_put = [&objects] {
      ConfigStore other = MakeStore(objects);
      BOOST_TEST(other.SubmitTicket(MakeTicket('2', 22)).has_value());
    };
    objects.put_faults = {PutFault::kNone, fault};
    const auto result = store.SubmitTicket(MakeTicket('1', 11));
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().code == ErrorCode::kConflict));
    BOOST_TEST(RateInForce(store) == 22U);
  }
}

// The response to a successful write is lost, and another operator's ticket
// gets the next number before the retry. The first ticket must be found in the
// history and reported as accepted.
BOOST_AUTO_TEST_CASE(accepted_ticket_is_found_in_the_history) {
  FakeObjectStore objects;
  ConfigStoreOptions options;
  options.pause = [&objects](std::chrono::milliseconds) {
    ConfigStore other = MakeStore(objects);
    BOOST_TEST(other.SubmitTicket(MakeTicket('2', 22)).has_value());
  };
  ConfigStore store(objects, options);
  objects.put_faults = {PutFault::kLostAfterWrite};
  const auto result = store.SubmitTicket(MakeTicket('1', 11));
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(result->value() == 1U);
  BOOST_TEST(RateInForce(store) == 22U);
}

BOOST_AUTO_TEST_CASE(unknown_outcome_of_archiving_does_not_fail_the_ticket) {
  FakeObjectStore objects;
  ConfigStore store = MakeStore(objects);
  BOOST_REQUIRE(store.SubmitTicket(MakeTicket('1', 10)).has_value());
  objects.put_faults = {PutFault::kLostAfterWrite};
  BOOST_TEST(store.SubmitTicket(MakeTicket('2', 20)).has_value());
  BOOST_TEST(store.ReadTicket(core::base::TicketNumber(1)).has_value());
  objects.put_faults = {PutFault::kUnavailable};
  const auto result = store.SubmitTicket(MakeTicket('3', 30));
  BOOST_TEST((result.error().code == ErrorCode::kUnavailable));
  BOOST_TEST(RateInForce(store) == 20U);
}

BOOST_AUTO_TEST_CASE(failed_read_writes_nothing) {
  FakeObjectStore objects;
  ConfigStore store = MakeStore(objects);
  objects.reads_fail = true;
  const auto result = store.SubmitTicket(MakeTicket('1', 10));
  BOOST_TEST((result.error().code == ErrorCode::kUnavailable));
  BOOST_TEST(objects.puts == 0);
}

BOOST_AUTO_TEST_CASE(watch_returns_only_newer_heads) {
  FakeObjectStore objects;
  ConfigStore store = MakeStore(objects);
  const std::chrono::milliseconds wait{1};
  BOOST_TEST(!store.WatchHead(ObjectVersion(0), wait)->has_value());
  BOOST_REQUIRE(store.SubmitTicket(MakeTicket('1', 10)).has_value());
  const auto head = store.WatchHead(ObjectVersion(0), wait).value();
  BOOST_REQUIRE(head.has_value());
  BOOST_TEST(head->head.state.number().value() == 1U);
  BOOST_TEST(!store.WatchHead(head->version, wait)->has_value());
}

}  // namespace
}  // namespace dogwoodrail::objectapi
