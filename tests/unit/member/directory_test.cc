// Tests when a node reads, writes and lists the directory.
#include "core/member/directory.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace dogwoodrail::core::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

base::TimePoint At(base::Duration time) { return base::TimePoint(time); }

const base::NodeAddress self_address("10.0.0.1:7000");

Directory MakeDirectory() {
  return Directory(DirectorySettings(), self_address, 1);
}

// Returns a directory that found an entry of an earlier process and has to read
// it.
Directory MakeRestarted() {
  Directory directory = MakeDirectory();
  BOOST_REQUIRE(directory.Next(At(seconds(1))).has_value());
  directory.OnCreated(false, At(seconds(1)));
  return directory;
}

// Returns a directory whose entry and list are read, in a fleet of others.
Directory MakeSettled(const DirectoryEntry& entry, std::uint64_t seed = 1) {
  Directory directory(DirectorySettings(), entry.address, seed);
  directory.SetAlone(false);
  directory.Next(At(seconds(1)));
  directory.OnCreated(false, At(seconds(1)));
  directory.Next(At(seconds(1)));
  directory.OnOwn(entry, At(seconds(1)));
  directory.Next(At(seconds(1)));
  directory.OnList(At(seconds(1)));
  return directory;
}

backend::DrainMark MakeMark(const char* id) {
  return {backend::InstanceId(id), 100};
}

// Starts the next call and checks that it is the given one.
void Expect(Directory& directory, DirectoryCall call, base::TimePoint now) {
  const auto next = directory.Next(now);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((*next == call));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(directory)

// Of two nodes that start together at least one must find the other.
BOOST_AUTO_TEST_CASE(the_own_entry_is_written_before_the_others_are_listed) {
  Directory directory = MakeDirectory();
  Expect(directory, DirectoryCall::kCreateOwn, At(seconds(1)));
  BOOST_TEST(!directory.is_written());
  directory.OnCreated(true, At(seconds(1)));
  BOOST_TEST(directory.is_written());
  Expect(directory, DirectoryCall::kList, At(seconds(1)));
}

BOOST_AUTO_TEST_CASE(an_entry_that_exists_is_read_before_it_is_written) {
  Directory directory = MakeRestarted();
  Expect(directory, DirectoryCall::kReadOwn, At(seconds(1)));
  directory.OnOwn(std::nullopt, At(seconds(1)));
  Expect(directory, DirectoryCall::kWriteOwn, At(seconds(1)));
  directory.OnWritten(At(seconds(1)));
  Expect(directory, DirectoryCall::kList, At(seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_mark_set_during_the_creation_is_written_after_it) {
  Directory directory = MakeDirectory();
  directory.Next(At(seconds(1)));
  directory.SetDrained(MakeMark("i-1"), At(seconds(1)));
  directory.OnCreated(true, At(seconds(1)));
  BOOST_TEST(!directory.is_written());
  Expect(directory, DirectoryCall::kWriteOwn, At(seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_mark_set_before_an_entry_is_found_is_written) {
  Directory directory = MakeDirectory();
  directory.Next(At(seconds(1)));
  directory.SetDrained(MakeMark("i-2"), At(seconds(1)));
  directory.OnCreated(false, At(seconds(1)));
  Expect(directory, DirectoryCall::kReadOwn, At(seconds(1)));
  directory.OnOwn(DirectoryEntry{self_address, MakeMark("i-1")},
                  At(seconds(1)));
  BOOST_TEST(directory.own().drained->instance.value() == "i-2");
  Expect(directory, DirectoryCall::kWriteOwn, At(seconds(1)));
}

BOOST_AUTO_TEST_CASE(an_unchanged_entry_is_not_written_again) {
  Directory directory = MakeRestarted();
  directory.Next(At(seconds(1)));
  directory.OnOwn(DirectoryEntry{self_address, MakeMark("i-1")},
                  At(seconds(1)));
  BOOST_TEST(directory.is_written());
  BOOST_TEST(directory.own().drained->instance.value() == "i-1");
  Expect(directory, DirectoryCall::kList, At(seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_mark_set_before_the_read_overrides_the_entry) {
  Directory directory = MakeRestarted();
  directory.Next(At(seconds(1)));
  directory.SetDrained(MakeMark("i-2"), At(seconds(1)));
  directory.OnOwn(DirectoryEntry{self_address, MakeMark("i-1")},
                  At(seconds(1)));
  BOOST_TEST(directory.own().drained->instance.value() == "i-2");
  Expect(directory, DirectoryCall::kWriteOwn, At(seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_mark_set_during_a_write_is_written_after_it) {
  Directory directory = MakeRestarted();
  directory.Next(At(seconds(1)));
  directory.OnOwn(std::nullopt, At(seconds(1)));
  directory.Next(At(seconds(1)));
  directory.SetDrained(MakeMark("i-1"), At(seconds(1)));
  directory.OnWritten(At(seconds(1)));
  BOOST_TEST(!directory.is_written());
  Expect(directory, DirectoryCall::kWriteOwn, At(seconds(1)));
}

BOOST_AUTO_TEST_CASE(
    the_directory_is_listed_again_only_while_no_other_node_is_known) {
  Directory directory = MakeRestarted();
  directory.Next(At(seconds(1)));
  directory.OnOwn(DirectoryEntry{self_address, std::nullopt}, At(seconds(1)));
  directory.Next(At(seconds(1)));
  directory.OnList(At(seconds(1)));
  BOOST_TEST(!directory.Next(At(seconds(1))).has_value());
  Expect(directory, DirectoryCall::kList, At(seconds(3)));
  directory.OnList(At(seconds(3)));
  directory.SetAlone(false);
  BOOST_TEST(!directory.Next(At(seconds(60))).has_value());
}

BOOST_AUTO_TEST_CASE(a_failed_write_is_retried) {
  Directory directory = MakeRestarted();
  directory.Next(At(seconds(1)));
  directory.OnOwn(std::nullopt, At(seconds(1)));
  directory.Next(At(seconds(1)));
  directory.OnFailed(At(seconds(1)));
  BOOST_TEST(!directory.Next(At(seconds(1))).has_value());
  Expect(directory, DirectoryCall::kWriteOwn, At(seconds(2)));
}

BOOST_AUTO_TEST_CASE(entry_is_verified_in_a_new_era) {
  Directory directory = MakeSettled({self_address, MakeMark("i-1")});
  BOOST_TEST(!directory.Next(At(seconds(60))).has_value());
  directory.OnEraChanged(4, At(seconds(60)));
  BOOST_TEST(!directory.is_written());
  Expect(directory, DirectoryCall::kReadOwn, At(milliseconds(60500)));
  const auto match = directory.OnOwn(
      DirectoryEntry{self_address, MakeMark("i-1")}, At(seconds(61)));
  BOOST_TEST((match == EntryMatch::kSame));
  BOOST_TEST(directory.is_written());
  BOOST_TEST(!directory.Next(At(seconds(90))).has_value());
}

BOOST_AUTO_TEST_CASE(entry_lost_with_an_era_is_written_again) {
  const DirectoryEntry own{self_address, MakeMark("i-2")};
  const std::vector<std::optional<DirectoryEntry>> lost = {
      std::nullopt, DirectoryEntry{self_address, std::nullopt},
      DirectoryEntry{self_address, MakeMark("i-1")},
      DirectoryEntry{base::NodeAddress("10.0.0.2:7000"), MakeMark("i-2")}};
  for (const auto& it : lost) {
    Directory directory = MakeSettled(own);
    directory.OnEraChanged(4, At(seconds(60)));
    Expect(directory, DirectoryCall::kReadOwn, At(seconds(61)));
    directory.OnOwn(it, At(seconds(61)));
    BOOST_TEST(!directory.is_written());
    Expect(directory, DirectoryCall::kWriteOwn, At(seconds(61)));
    BOOST_TEST(directory.own().drained->instance.value() == "i-2");
    directory.OnWritten(At(seconds(61)));
    BOOST_TEST(directory.is_written());
    BOOST_TEST(!directory.Next(At(seconds(90))).has_value());
  }
}

BOOST_AUTO_TEST_CASE(lost_drain_mark_of_late_is_looked_for_at_once) {
  constexpr std::size_t kNodes = 1000;
  constexpr std::size_t kSeeds = 50;
  std::size_t early = 0;
  for (std::size_t seed = 0; seed < kSeeds; ++seed) {
    Directory marked = MakeSettled({self_address, std::nullopt}, seed);
    marked.SetDrained(MakeMark("i-1"), At(seconds(60)));
    Expect(marked, DirectoryCall::kWriteOwn, At(seconds(60)));
    marked.OnWritten(At(seconds(60)));
    marked.OnEraChanged(kNodes, At(seconds(62)));
    Expect(marked, DirectoryCall::kReadOwn, At(milliseconds(62200)));
    // A mark that any copy has waits like the others.
    Directory old = MakeSettled({self_address, MakeMark("i-1")}, seed);
    old.OnEraChanged(kNodes, At(seconds(62)));
    if (old.Next(At(milliseconds(62200)))) ++early;
  }
  BOOST_TEST(early < kSeeds / 5);
}

BOOST_AUTO_TEST_CASE(mark_set_while_verifying_is_written_and_verifies) {
  Directory directory = MakeSettled({self_address, std::nullopt});
  directory.OnEraChanged(22000, At(seconds(60)));
  directory.SetDrained(MakeMark("i-1"), At(seconds(60)));
  Expect(directory, DirectoryCall::kWriteOwn, At(seconds(60)));
  directory.OnWritten(At(seconds(60)));
  BOOST_TEST(directory.is_written());
}

BOOST_AUTO_TEST_CASE(call_in_progress_at_the_change_of_the_era_proves_nothing) {
  const DirectoryEntry own{self_address, std::nullopt};
  Directory created = MakeDirectory();
  created.Next(At(seconds(1)));
  created.OnEraChanged(4, At(seconds(1)));
  created.OnCreated(true, At(seconds(1)));
  BOOST_TEST(!created.is_read());
  Expect(created, DirectoryCall::kCreateOwn, At(seconds(1)));

  Directory read = MakeSettled(own);
  read.OnEraChanged(4, At(seconds(60)));
  Expect(read, DirectoryCall::kReadOwn, At(seconds(61)));
  read.OnEraChanged(4, At(seconds(61)));
  read.OnOwn(own, At(seconds(61)));
  BOOST_TEST(!read.is_written());
  Expect(read, DirectoryCall::kReadOwn, At(seconds(62)));

  Directory written = MakeSettled(own);
  written.SetDrained(MakeMark("i-1"), At(seconds(60)));
  Expect(written, DirectoryCall::kWriteOwn, At(seconds(60)));
  written.OnEraChanged(4, At(seconds(60)));
  written.OnWritten(At(seconds(60)));
  BOOST_TEST(!written.is_written());
  Expect(written, DirectoryCall::kWriteOwn, At(seconds(60)));
  written.OnWritten(At(seconds(60)));
  BOOST_TEST(written.is_written());
}

// A node that starts again must not forget the mark that it reads just then.
BOOST_AUTO_TEST_CASE(mark_read_at_the_change_of_the_era_is_kept) {
  Directory directory = MakeRestarted();
  Expect(directory, DirectoryCall::kReadOwn, At(seconds(1)));
  directory.OnEraChanged(4, At(seconds(1)));
  directory.OnOwn(DirectoryEntry{self_address, MakeMark("i-1")},
                  At(seconds(1)));
  BOOST_TEST(!directory.is_read());
  Expect(directory, DirectoryCall::kReadOwn, At(seconds(1)));
  directory.OnOwn(std::nullopt, At(seconds(1)));
  BOOST_TEST(directory.own().drained->instance.value() == "i-1");
  Expect(directory, DirectoryCall::kWriteOwn, At(seconds(1)));
}

BOOST_AUTO_TEST_CASE(marks_of_several_processes_are_kept) {
  Directory directory = MakeSettled({self_address, MakeMark("i-1")});
  for (const char* id : {"i-2", "i-1", "i-3", "i-4", "i-5", "i-6"}) {
    directory.SetDrained(MakeMark(id), At(seconds(60)));
  }
  BOOST_TEST(directory.own().drained->instance.value() == "i-6");
  const std::vector<backend::DrainMark> before = {
      MakeMark("i-3"), MakeMark("i-4"), MakeMark("i-5")};
  BOOST_TEST((directory.own().drained_before == before));
}

BOOST_AUTO_TEST_CASE(failed_calls_of_a_verification_are_retried_later) {
  Directory directory = MakeSettled({self_address, std::nullopt});
  directory.OnEraChanged(4, At(seconds(60)));
  Expect(directory, DirectoryCall::kReadOwn, At(seconds(61)));
  directory.OnFailed(At(seconds(61)));
  BOOST_TEST(!directory.Next(At(seconds(61))).has_value());
  Expect(directory, DirectoryCall::kReadOwn, At(seconds(62)));
  directory.OnOwn(std::nullopt, At(seconds(62)));
  Expect(directory, DirectoryCall::kWriteOwn, At(seconds(62)));
  directory.OnFailed(At(seconds(62)));
  BOOST_TEST(!directory.Next(At(seconds(62))).has_value());
  Expect(directory, DirectoryCall::kWriteOwn, At(seconds(63)));
  BOOST_TEST(!directory.is_written());
}

BOOST_AUTO_TEST_CASE(lone_node_lists_the_others_soon_in_a_new_era) {
  Directory directory = MakeSettled({self_address, std::nullopt});
  directory.SetAlone(true);
  for (int at = 10; at <= 100; at += 10) {
    if (directory.Next(At(seconds(at)))) directory.OnList(At(seconds(at)));
  }
  directory.OnEraChanged(1, At(seconds(101)));
  Expect(directory, DirectoryCall::kReadOwn, At(milliseconds(101500)));
  directory.OnOwn(DirectoryEntry{self_address, std::nullopt},
                  At(milliseconds(101500)));
  Expect(directory, DirectoryCall::kList, At(seconds(102)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::member
