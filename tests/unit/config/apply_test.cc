#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>

#include "core/config/config_cmd.h"

namespace dogwoodrail::core::config {
namespace {

KeyHash HashOf(char digit) { return KeyHash(std::string(64, digit)); }

// Returns a ticket that creates an account, its key and a route.
Ticket MakeFirstTicket() {
  Ticket ticket;
  ticket.number = base::TicketNumber(1);
  ticket.id = TicketId(std::string(32, '1'));
  ticket.author = "operator";
  ticket.accounts = {{base::AccountName("almaty"), 10, 20}};
  ticket.keys = {{HashOf('a'), base::AccountName("almaty")}};
  Route route;
  route.name = base::RouteName("lots");
  route.path_prefix = "/lots";
  route.service = base::ServiceName("lots");
  route.max_attempts = 3;
  route.retry_percent = 10;
  route.timeout = std::chrono::seconds(1);
  ticket.routes = {route};
  return ticket;
}

Ticket MakeNextTicket() {
  Ticket ticket;
  ticket.number = base::TicketNumber(2);
  ticket.id = TicketId(std::string(32, '2'));
  ticket.author = "operator";
  return ticket;
}

ConfigState FirstState() {
  return ApplyTicket(ConfigState(), MakeFirstTicket()).value();
}

struct BadTicket {
  const char* expected;  // substring of the error message
  std::function<void(Ticket&)> corrupt;
};

BOOST_AUTO_TEST_CASE(first_ticket_is_applied) {
  const ConfigState state = FirstState();
  BOOST_TEST(state.number().value() == 1U);
  BOOST_REQUIRE(state.FindKey(HashOf('a')) != nullptr);
  BOOST_TEST(state.FindAccount(base::AccountName("almaty"))->rate_per_s == 10U);
  BOOST_TEST(state.MatchRoute("/lots/7?x=/y")->name.value() == "lots");
}

BOOST_AUTO_TEST_CASE(error_names_the_invalid_field) {
  const BadTicket cases[] = {
      {"rate_per_s is 0", [](Ticket& t) { t.accounts[0].rate_per_s = 0; }},
      {"burst is 1000001", [](Ticket& t) { t.accounts[0].burst = 1'000'001; }},
      {"name must be",
       [](Ticket& t) { t.accounts[0].name = base::AccountName("A b"); }},
      {"listed twice", [](Ticket& t) { t.accounts.push_back(t.accounts[0]); }},
      {"sha256 must be", [](Ticket& t) { t.keys[0].hash = KeyHash("secret"); }},
      {"which does not exist",
       [](Ticket& t) { t.keys[0].account = base::AccountName("other"); }},
      {"max_attempts is 0", [](Ticket& t) { t.routes[0].max_attempts = 0; }},
      {"max_attempts is 65", [](Ticket& t) { t.routes[0].max_attempts = 65; }},
      {"retry_percent is 101",
       [](Ticket& t) { t.routes[0].retry_percent = 101; }},
      {"timeout_ms is 0",
       [](Ticket& t) { t.routes[0].timeout = std::chrono::milliseconds(0); }},
      {"timeout_ms must not be negative",
       [](Ticket& t) { t.routes[0].timeout = std::chrono::milliseconds(-1); }},
      {"path_prefix must", [](Ticket& t) { t.routes[0].path_prefix = "lots"; }},
      {"path_prefix must",
       [](Ticket& t) { t.routes[0].path_prefix = "/a/.."; }},
      {"must not end", [](Ticket& t) { t.routes[0].path_prefix = "/lots/"; }},
      {"service must be",
       [](Ticket& t) { t.routes[0].service = base::ServiceName(); }},
      {"another route has",
       [](Ticket& t) {
         t.routes.push_back(t.routes[0]);
         t.routes[1].name = base::RouteName("other");
       }},
      {"author must be", [](Ticket& t) { t.author.clear(); }},
      {"author must be", [](Ticket& t) { t.author = "a\x1b[2J"; }},
      {"id must be", [](Ticket& t) { t.id = TicketId("x"); }},
      {"names no account",
       [](Ticket& t) {
         t.accounts.clear();
         t.keys.clear();
         t.routes.clear();
       }},
  };
  for (const BadTicket& it : cases) {
    Ticket ticket = MakeFirstTicket();
    it.corrupt(ticket);
    const auto result = ApplyTicket(ConfigState(), ticket);
    BOOST_TEST_CONTEXT(it.expected) {
      BOOST_REQUIRE(!result);
      BOOST_TEST((result.error().code == base::ErrorCode::kInvalidArgument));
      BOOST_TEST(result.error().detail.find(it.expected) != std::string::npos,
                 result.error().detail);
    }
  }
}

BOOST_AUTO_TEST_CASE(ticket_number_must_be_the_next) {
  Ticket ticket = MakeFirstTicket();
  ticket.number = base::TicketNumber(3);
  const auto result = ApplyTicket(FirstState(), ticket);
  BOOST_REQUIRE(!result);
  BOOST_TEST((result.error().code == base::ErrorCode::kConflict));
}

BOOST_AUTO_TEST_CASE(withdrawn_key_stays_withdrawn) {
  Ticket withdraw = MakeNextTicket();
  withdraw.keys = {
      {HashOf('a'), base::AccountName("almaty"), KeyState::kWithdrawn}};
  const ConfigState state = ApplyTicket(FirstState(), withdraw).value();
  BOOST_TEST(state.FindKey(HashOf('a')) == nullptr);
  Ticket again = MakeNextTicket();
  again.number = base::TicketNumber(3);
  again.keys = {{HashOf('a'), base::AccountName("almaty")}};
  const auto result = ApplyTicket(state, again);
  BOOST_REQUIRE(!result);
  BOOST_TEST(result.error().detail.find("withdrawn") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(key_cannot_change_its_account) {
  Ticket ticket = MakeNextTicket();
  ticket.accounts = {{base::AccountName("tartu"), 1, 1}};
  ticket.keys = {{HashOf('a'), base::AccountName("tartu")}};
  BOOST_TEST(!ApplyTicket(FirstState(), ticket).has_value());
}

BOOST_AUTO_TEST_CASE(account_with_active_keys_cannot_be_removed) {
  Ticket ticket = MakeNextTicket();
  ticket.accounts = {{base::AccountName("almaty"), 0, 0, EntryState::kRemoved}};
  BOOST_TEST(!ApplyTicket(FirstState(), ticket).has_value());
  ticket.keys = {
      {HashOf('a'), base::AccountName("almaty"), KeyState::kWithdrawn}};
  const auto result = ApplyTicket(FirstState(), ticket);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(result->accounts().empty());
}

BOOST_AUTO_TEST_CASE(unknown_entries_cannot_be_removed) {
  Ticket ticket = MakeNextTicket();
  ticket.keys = {
      {HashOf('b'), base::AccountName("almaty"), KeyState::kWithdrawn}};
  BOOST_TEST(!ApplyTicket(FirstState(), ticket).has_value());
  ticket.keys.clear();
  ticket.accounts = {
      {base::AccountName("almatyy"), 0, 0, EntryState::kRemoved}};
  BOOST_TEST(!ApplyTicket(FirstState(), ticket).has_value());
}

BOOST_AUTO_TEST_CASE(prefix_moves_to_another_route_in_one_ticket) {
  Ticket ticket = MakeNextTicket();
  ticket.routes = MakeFirstTicket().routes;
  ticket.routes.push_back(ticket.routes[0]);
  ticket.routes[0].name = base::RouteName("lots2");
  ticket.routes[1].state = EntryState::kRemoved;
  for (int order = 0; order < 2; ++order) {
    const auto result = ApplyTicket(FirstState(), ticket);
    BOOST_REQUIRE(result.has_value());
    BOOST_REQUIRE(result->MatchRoute("/lots") != nullptr);
    BOOST_TEST(result->MatchRoute("/lots")->name.value() == "lots2");
    std::swap(ticket.routes[0], ticket.routes[1]);
  }
}

BOOST_AUTO_TEST_CASE(longest_prefix_of_whole_segments_matches) {
  Ticket ticket = MakeNextTicket();
  Route route = MakeFirstTicket().routes[0];
  route.name = base::RouteName("finished");
  route.path_prefix = "/lots/finished";
  ticket.routes = {route};
  ConfigState state = ApplyTicket(FirstState(), ticket).value();
  const auto match = [&state](const char* target) {
    const Route* found = state.MatchRoute(target);
    return found == nullptr ? std::string("none") : found->name.value();
  };
  BOOST_TEST(match("/lots") == "lots");
  BOOST_TEST(match("/lots/") == "lots");
  BOOST_TEST(match("/lotsmore") == "none");
  BOOST_TEST(match("/lots/finished/9") == "finished");
  BOOST_TEST(match("/lots/finishedx") == "lots");
  BOOST_TEST(match("/other") == "none");
  route.name = base::RouteName("all");
  route.path_prefix = "/";
  state.PutRoute(route);
  BOOST_TEST(match("/other") == "all");
  BOOST_TEST(match("/") == "all");
}

BOOST_AUTO_TEST_CASE(ambiguous_paths_match_no_route) {
  ConfigState state = FirstState();
  Route route = MakeFirstTicket().routes[0];
  route.name = base::RouteName("all");
  route.path_prefix = "/";
  state.PutRoute(route);
  for (const char* target :
       {"", "lots", "//lots", "/lots//x", "/./lots", "/x/../lots", "/%6cots",
        "/x%2f..", "/x%5c", "/%2e%2e/lots", "/x\\y", "/x%", "/x%zz", "/a b",
        "/a%00", "*", "http://h/lots", "/lots/..", "/lots#x"}) {
    BOOST_TEST_CONTEXT(target) {
      BOOST_TEST(state.MatchRoute(target) == nullptr);
    }
  }
  BOOST_TEST(state.MatchRoute("/lots/a%20b/%C3%A4") != nullptr);
}

}  // namespace
}  // namespace dogwoodrail::core::config
