#include <boost/test/unit_test.hpp>

#include "wire/call_generated.h"
#include "wire/frame_func.h"

namespace dogwoodrail::wire {
namespace {

Bytes EncodePingFrame() {
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(fbs::CreatePing(fbb, 7));
  return EncodeFrame(FrameKind::kPing, fbb);
}

BOOST_AUTO_TEST_SUITE(frame)

BOOST_AUTO_TEST_CASE(frames_are_decoded_for_any_read_size) {
  Bytes stream = EncodePingFrame();
  const Bytes second = EncodePingFrame();
  stream.insert(stream.end(), second.begin(), second.end());
  for (std::size_t read_size = 1; read_size <= stream.size(); ++read_size) {
    FrameDecoder decoder;
    int found = 0;
    for (std::size_t at = 0; at < stream.size(); at += read_size) {
      decoder.Append(stream.data() + at,
                     std::min(read_size, stream.size() - at));
      for (auto f = decoder.Next(); f && *f; f = decoder.Next()) {
        const auto* ping = VerifiedRoot<fbs::Ping>((*f)->payload);
        BOOST_REQUIRE(ping != nullptr);
        BOOST_TEST(ping->number() == 7U);
        ++found;
      }
    }
    BOOST_TEST(found == 2);
  }
}

BOOST_AUTO_TEST_CASE(invalid_lengths_and_versions_are_errors) {
  struct Case {
    const char* name;
    Bytes bytes;
  };
  const Case cases[] = {
      {"length 0", {0, 0, 0, 0}},
      {"length 1", {1, 0, 0, 0, 1}},
      {"length above the limit", {0xff, 0xff, 0xff, 0x7f}},
      {"unknown version", {2, 0, 0, 0, 99, 2}},
  };
  for (const Case& it : cases) {
    BOOST_TEST_CONTEXT(it.name) {
      FrameDecoder decoder;
      decoder.Append(it.bytes.data(), it.bytes.size());
      BOOST_TEST(!decoder.Next().has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(truncated_flatbuffers_fail_verification) {
  Bytes hello;
  {
    flatbuffers::FlatBufferBuilder fbb;
    fbb.Finish(fbs::CreateHelloDirect(fbb, "127.0.0.1:1", 1, "a", "r"));
    hello.assign(fbb.GetBufferPointer(),
                 fbb.GetBufferPointer() + fbb.GetSize());
  }
  BOOST_TEST(VerifiedRoot<fbs::Hello>(hello) != nullptr);
  for (std::size_t size = 0; size < hello.size(); ++size) {
    const Bytes truncated(hello.begin(),
                          hello.begin() + static_cast<std::ptrdiff_t>(size));
    BOOST_TEST(VerifiedRoot<fbs::Hello>(truncated) == nullptr);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::wire
