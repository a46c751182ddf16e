#include "wire/spread_codec.h"

#include <string>
#include <vector>

#include "wire/frame_func.h"
#include "wire/spread_generated.h"

namespace dogwoodrail::wire {
namespace {

namespace spread = core::spread;
using core::base::TicketNumber;

constexpr std::int64_t kNoAge = -1;

flatbuffers::Offset<fbs::SpreadTicket> AddTicket(
    flatbuffers::FlatBufferBuilder* fbb, TicketNumber number,
    const std::string& body) {
  const auto bytes = fbb->CreateVector(
      reinterpret_cast<const std::uint8_t*>(body.data()), body.size());
  return fbs::CreateSpreadTicket(*fbb, number.value(), bytes);
}

std::string ReadBody(const fbs::SpreadTicket& ticket) {
  return {ticket.body()->begin(), ticket.body()->end()};
}

}  // namespace

Bytes EncodeSpread(const spread::PeerQuery& query) {
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(fbs::CreateSpreadFrame(fbb, query.sequence, false,
                                    query.after.value(), query.number_only));
  return EncodeFrame(FrameKind::kSpread, fbb);
}

Bytes EncodeSpread(const spread::PeerAnswer& answer) {
  flatbuffers::FlatBufferBuilder fbb;
  std::vector<flatbuffers::Offset<fbs::SpreadTicket>> tickets;
  for (const spread::Ticket& it : answer.tickets) {
    tickets.push_back(AddTicket(&fbb, it.number, it.body));
  }
  const auto ticket_vector = fbb.CreateVector(tickets);
  flatbuffers::Offset<fbs::SpreadTicket> snapshot;
  if (answer.has_snapshot) {
    snapshot = AddTicket(&fbb, answer.snapshot.number, answer.snapshot.body);
  }
  const std::int64_t age_us =
      answer.confirmed_age ? answer.confirmed_age->count() : kNoAge;
  fbb.Finish(fbs::CreateSpreadFrame(
      fbb, answer.sequence, true, answer.in_force.value(), false, answer.fresh,
      ticket_vector, snapshot, age_us, answer.watched, answer.store_era.value(),
      answer.settled));
  return EncodeFrame(FrameKind::kSpread, fbb);
}

core::base::Result<SpreadMessage> DecodeSpread(const Bytes& payload) {
  const auto* frame = VerifiedRoot<fbs::SpreadFrame>(payload);
  if (frame == nullptr) {
    return core::base::MakeError(core::base::ErrorCode::kCorrupt,
                                 "malformed SpreadFrame");
  }
  const TicketNumber number(frame->number());
  if (!frame->is_answer()) {
    return SpreadMessage(
        spread::PeerQuery{frame->sequence(), number, frame->number_only()});
  }
  spread::PeerAnswer answer;
  answer.sequence = frame->sequence();
  answer.in_force = number;
  answer.fresh = frame->fresh();
  answer.watched = frame->watched();
  answer.store_era = core::config::StoreEra(frame->store_era());
  answer.settled = frame->settled();
  if (frame->confirmed_age_us() >= 0) {
    answer.confirmed_age = core::base::Duration(frame->confirmed_age_us());
  }
  if (frame->tickets() != nullptr) {
    for (const fbs::SpreadTicket* it : *frame->tickets()) {
      answer.tickets.push_back({TicketNumber(it->number()), ReadBody(*it)});
    }
  }
  if (frame->snapshot() != nullptr) {
    answer.has_snapshot = true;
    answer.snapshot.number = TicketNumber(frame->snapshot()->number());
    answer.snapshot.body = ReadBody(*frame->snapshot());
  }
  return SpreadMessage(std::move(answer));
}

}  // namespace dogwoodrail::wire
