// Tests when a node reads, writes and lists the directory.
#include "core/member/directory.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>

namespace dogwoodrail::core::member {
namespace {

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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::member
