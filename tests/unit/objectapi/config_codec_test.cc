#include "objectapi/config_codec.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "core/config/config_cmd.h"

namespace dogwoodrail::objectapi {
namespace {

constexpr const char* kTicketFile = R"({
  "accounts": [{"name": "almaty", "rate_per_s": 10, "burst": 20,
                "state": "active"}],
  "keys": [{"sha256":
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
    "account": "almaty", "state": "active"}],
  "routes": [{"name": "lots", "path_prefix": "/lots", "service": "lots",
    "importance": "lookup", "idempotent": true, "open_to_all": false,
    "max_attempts": 3, "retry_percent": 10, "timeout_ms": 1500,
    "state": "active"}]
})";

core::config::Ticket MakeTicket() {
  core::config::Ticket ticket = DecodeTicketFile(kTicketFile).value();
  ticket.number = core::base::TicketNumber(1);
  ticket.id = core::config::TicketId(std::string(32, '1'));
  ticket.author = "operator \"one\" \\";
  ticket.time = core::base::WallTime(std::chrono::milliseconds(1796358278123));
  return ticket;
}

// Returns the ticket file with the first match of a text replaced.
std::string ReplaceInTicket(const std::string& from, const std::string& to) {
  std::string text = kTicketFile;
  const auto at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

BOOST_AUTO_TEST_CASE(ticket_and_head_round_trip) {
  const core::config::Ticket ticket = MakeTicket();
  BOOST_TEST((DecodeTicket(EncodeTicket(ticket)).value() == ticket));
  BOOST_TEST((DecodeTicket(EncodeTicket(ticket, true)).value() == ticket));
  const ConfigHead head = {
      core::config::ApplyTicket(core::config::ConfigState(), ticket).value(),
      ticket};
  const ConfigHead read = DecodeHead(EncodeHead(head)).value();
  BOOST_TEST((read.state == head.state));
  BOOST_TEST((read.last_ticket == ticket));
}

BOOST_AUTO_TEST_CASE(removed_entries_need_only_a_name) {
  const auto ticket = DecodeTicketFile(
      R"({"accounts": [{"name": "a", "state": "removed"}],
          "routes": [{"name": "r", "state": "removed"}]})");
  BOOST_REQUIRE(ticket.has_value());
  BOOST_TEST((ticket->routes[0].state == core::config::EntryState::kRemoved));
}

struct MalformedTicket {
  const char* expected;  // part of the error message
  std::string text;
};

BOOST_AUTO_TEST_CASE(malformed_tickets_are_rejected_with_the_location) {
  const MalformedTicket cases[] = {
      {"parsing json failed", ""},
      {"parsing json failed", "{"},
      {"must be a JSON object", "[]"},
      {"must be a JSON object", "nul"},
      {"text after the JSON value", std::string(kTicketFile) + "x"},
      {"nested deeper", std::string(300'000, '[')},
      {"unknown field 'acounts'", ReplaceInTicket("accounts", "acounts")},
      {"accounts[0]: account: field 'burst' is missing",
       ReplaceInTicket("\"burst\": 20,", "")},
      {"unknown field 'bursts'",
       ReplaceInTicket("\"burst\"", "\"bursts\": 1, \"burst\"")},
      {"given twice", ReplaceInTicket("\"burst\"", "\"burst\": 1, \"burst\"")},
      {"field 'burst' must be of type int", ReplaceInTicket("20", "\"20\"")},
      {"field 'burst' must be of type int", ReplaceInTicket("20", "2.5")},
      {"field 'burst' is -1", ReplaceInTicket("20", "-1")},
      {"field 'burst' is 4294967296", ReplaceInTicket("20", "4294967296")},
      {"field 'burst' is 99999999999999999999",
       ReplaceInTicket("20", "99999999999999999999")},
      {"must be one of active, removed", ReplaceInTicket("active", "enabled")},
      {"must be one of lookup, tracking, operation, money",
       ReplaceInTicket("lookup", "urgent")},
      {"field 'idempotent' must be of type bool",
       ReplaceInTicket("true", "\"true\"")},
      {"'accounts' must be an array", R"({"accounts": {}})"},
      {"accounts[0]: account: must be a JSON object", R"({"accounts": [1]})"},
  };
  for (const MalformedTicket& it : cases) {
    BOOST_TEST_CONTEXT(it.expected) {
      const auto ticket = DecodeTicketFile(it.text);
      BOOST_REQUIRE(!ticket.has_value());
      BOOST_TEST(ticket.error().detail.find(it.expected) != std::string::npos,
                 ticket.error().detail);
    }
  }
}

BOOST_AUTO_TEST_CASE(corrupt_heads_are_rejected) {
  const core::config::Ticket ticket = MakeTicket();
  const std::string text = EncodeHead(
      {core::config::ApplyTicket(core::config::ConfigState(), ticket).value(),
       ticket});
  for (std::size_t size = 0; size < text.size(); size += 7) {
    BOOST_TEST(!DecodeHead(text.substr(0, size)).has_value());
  }
  std::string other = text;
  other.replace(other.find("\"number\":1"), 10, "\"number\":2");
  BOOST_TEST(
      (DecodeHead(other).error().code == core::base::ErrorCode::kCorrupt));
  other = text;
  const auto at = other.rfind("\"rate_per_s\":10");
  other.replace(at, 15, "\"rate_per_s\":0");
  BOOST_TEST(!DecodeHead(other).has_value());
}

}  // namespace
}  // namespace dogwoodrail::objectapi
