#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "wire/call_generated.h"
#include "wire/call_message.h"
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

// A frame for which there is no memory is dropped but for its beginning, and
// the frames behind it are read as ever.
BOOST_AUTO_TEST_CASE(frame_without_memory_is_received_truncated) {
  CallMessage call;
  call.call = core::base::CallId(0x123456789abcdefU);
  call.body = std::string(200'000, 'x');
  AnswerMessage answer;
  answer.call = core::base::CallId(42);
  answer.body = call.body;
  Bytes stream = EncodePingFrame();
  for (const Bytes& it :
       {EncodeCall(call), EncodePingFrame(), EncodeAnswer(answer),
        EncodeAnswer(answer), EncodePingFrame()}) {
    stream.insert(stream.end(), it.begin(), it.end());
  }
  for (const std::size_t read_size :
       {std::size_t{1}, std::size_t{7}, std::size_t{1030}, std::size_t{65536},
        stream.size()}) {
    FrameDecoder decoder;
    std::size_t checks = 0;
    decoder.SetRoomCheck([&checks](std::size_t) { return ++checks == 3; });
    std::vector<std::string> found;
    for (std::size_t at = 0; at < stream.size(); at += read_size) {
      decoder.Append(stream.data() + at,
                     std::min(read_size, stream.size() - at));
      for (auto f = decoder.Next(); f && *f; f = decoder.Next()) {
        const Frame& frame = **f;
        if (frame.kind == FrameKind::kPing) {
          found.push_back("ping");
        } else if (frame.is_truncated) {
          BOOST_TEST(frame.payload.size() <= kTruncatedPayloadBytes);
          const auto id = DecodeTruncatedId(frame.payload);
          BOOST_REQUIRE(id.has_value());
          found.push_back(std::to_string(id->value()));
        } else {
          BOOST_TEST(DecodeAnswer(frame.payload)->body == answer.body);
          found.push_back("whole");
        }
      }
    }
    const std::vector<std::string> expected = {
        "ping", std::to_string(call.call.value()), "ping", "42", "whole",
        "ping"};
    BOOST_TEST(found == expected, boost::test_tools::per_element());
  }
}

BOOST_AUTO_TEST_CASE(beginning_that_is_no_message_has_no_id) {
  CallMessage call;
  const Bytes frame = EncodeCall(call);
  const Bytes payload(frame.begin() + kFrameLengthBytes + kFramePrefixBytes,
                      frame.end());
  for (std::size_t n = 0; n < payload.size(); ++n) {
    Bytes beginning = payload;
    beginning.resize(n);
    (void)DecodeTruncatedId(beginning);
  }
  for (std::size_t at = 0; at < payload.size(); ++at) {
    for (const std::uint8_t value : {0x00, 0x7f, 0x80, 0xff}) {
      Bytes odd = payload;
      odd[at] = value;
      (void)DecodeTruncatedId(odd);
    }
  }
  BOOST_TEST(!DecodeTruncatedId({}).has_value());
  BOOST_TEST(!DecodeTruncatedId(Bytes(100, 0xff)).has_value());
}

BOOST_AUTO_TEST_CASE(answer_says_that_the_status_was_invalid) {
  AnswerMessage answer;
  answer.invalid_answer = true;
  FrameDecoder decoder;
  const Bytes bytes = EncodeAnswer(answer);
  decoder.Append(bytes.data(), bytes.size());
  const auto frame = decoder.Next();
  BOOST_REQUIRE((frame && *frame));
  const auto decoded = DecodeAnswer((*frame)->payload);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->invalid_answer);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::wire
