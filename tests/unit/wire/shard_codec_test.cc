#include "wire/shard_codec.h"

#include <boost/test/unit_test.hpp>

#include "wire/frame_func.h"
#include "wire/rate_codec.h"

namespace dogwoodrail::wire {
namespace {

using core::base::AccountName;
using core::base::Duration;
using core::base::Incarnation;
using core::base::NodeAddress;
using core::base::TimePoint;
using core::shard::MemberId;
using core::shard::ShardMessage;
using core::shard::ShardMessageKind;

MemberId FirstNode() {
  return {NodeAddress("10.0.0.1:7000"), Incarnation(UINT64_MAX)};
}
MemberId SecondNode() { return {NodeAddress("10.0.0.2:7000"), Incarnation(2)}; }

// Returns the payload of an encoded frame.
Bytes ExtractPayload(const Bytes& frame) {
  FrameDecoder decoder;
  decoder.Append(frame.data(), frame.size());
  const auto decoded = decoder.Next();
  BOOST_REQUIRE((decoded && *decoded));
  return (*decoded)->payload;
}

ShardMessage MakeRenewMessage() {
  ShardMessage message;
  message.kind = ShardMessageKind::kRenew;
  message.shard = core::shard::ShardIndex(63);
  message.epoch = core::shard::Epoch(8);
  message.to_incarnation = SecondNode().incarnation;
  message.sent = TimePoint(Duration(123'456'789));
  message.echo = TimePoint(Duration(-5));
  message.record_age = std::chrono::minutes(3);
  message.affirmed = true;
  message.version = core::shard::RecordVersion(9);
  core::shard::ShardRecord record;
  record.shard = message.shard;
  record.epoch = message.epoch;
  record.primary = FirstNode();
  record.standby = SecondNode();
  record.witnesses = {SecondNode(), FirstNode(), SecondNode()};
  message.record = record;
  return message;
}

BOOST_AUTO_TEST_SUITE(shard_codec)

BOOST_AUTO_TEST_CASE(shard_message_round_trip) {
  const ShardMessage sent = MakeRenewMessage();
  const auto got = DecodeShard(ExtractPayload(EncodeShard(sent)));
  BOOST_REQUIRE(got.has_value());
  BOOST_TEST((got->kind == sent.kind));
  BOOST_TEST((got->shard == sent.shard && got->epoch == sent.epoch));
  BOOST_TEST((got->to_incarnation == sent.to_incarnation));
  BOOST_TEST((got->sent == sent.sent && got->echo == sent.echo));
  BOOST_TEST((got->record_age == sent.record_age));
  BOOST_TEST(got->affirmed);
  BOOST_TEST((got->record == sent.record && got->version == sent.version));
}

BOOST_AUTO_TEST_CASE(shard_message_without_record_round_trip) {
  ShardMessage sent = MakeRenewMessage();
  sent.record.reset();
  const auto got = DecodeShard(ExtractPayload(EncodeShard(sent)));
  BOOST_REQUIRE(got.has_value());
  BOOST_TEST(!got->record.has_value());
}

BOOST_AUTO_TEST_CASE(rate_copy_round_trip) {
  core::rate::RateCopy copy;
  copy.kind = core::rate::RateCopyKind::kAccount;
  copy.account = AccountName("lots");
  copy.level = 17'000'001;
  copy.index = core::rate::CopyIndex(3);
  copy.holders.push_back({FirstNode(), core::rate::RequestSequence(4), 5, 6, 7,
                          std::chrono::seconds(2)});
  const auto got =
      DecodeRate(ExtractPayload(EncodeRate({Incarnation(3), copy})));
  BOOST_REQUIRE(got.has_value());
  BOOST_TEST((got->to == Incarnation(3)));
  const auto& back = std::get<core::rate::RateCopy>(got->message);
  BOOST_TEST(back.level == copy.level);
  BOOST_REQUIRE(back.holders.size() == 1U);
  BOOST_TEST((back.holders[0].holder == FirstNode()));
  BOOST_TEST(back.holders[0].outstanding == 5);
  BOOST_TEST((back.holders[0].remaining == Duration(2'000'000)));
}

BOOST_AUTO_TEST_CASE(invalid_values_are_rejected) {
  ShardMessage unknown_kind = MakeRenewMessage();
  unknown_kind.kind = static_cast<ShardMessageKind>(12);
  BOOST_TEST(
      !DecodeShard(ExtractPayload(EncodeShard(unknown_kind))).has_value());
  core::rate::RateRequest negative_held;
  negative_held.account = AccountName("lots");
  negative_held.held = -1;
  BOOST_TEST(
      !DecodeRate(ExtractPayload(EncodeRate({{}, negative_held}))).has_value());
  core::rate::RateReply unknown_status;
  unknown_status.account = AccountName("lots");
  unknown_status.status = static_cast<core::rate::RateReplyStatus>(9);
  BOOST_TEST(!DecodeRate(ExtractPayload(EncodeRate({{}, unknown_status})))
                  .has_value());
}

// The last bytes may be padding. Without them the payload still decodes to the
// same message.
BOOST_AUTO_TEST_CASE(truncated_payloads_are_rejected) {
  const ShardMessage sent = MakeRenewMessage();
  const Bytes whole = ExtractPayload(EncodeShard(sent));
  constexpr std::size_t kMaxPadding = 3;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    const Bytes truncated(whole.begin(),
                          whole.begin() + static_cast<std::ptrdiff_t>(size));
    const auto got = DecodeShard(truncated);
    const bool only_padding_missing = size + kMaxPadding >= whole.size();
    BOOST_TEST((!got || (only_padding_missing && got->record == sent.record)));
    BOOST_TEST((!got || got->sent == sent.sent));
    BOOST_TEST(!DecodeRate(truncated).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::wire
