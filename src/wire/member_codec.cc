#include "wire/member_codec.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <string>
#include <vector>

#include "wire/address_func.h"
#include "wire/frame_func.h"
#include "wire/member_generated.h"

namespace dogwoodrail::wire {
namespace {

namespace ip = boost::asio::ip;
namespace member = core::member;
using core::base::ErrorCode;
using core::base::MakeError;

constexpr std::uint16_t kNoService = UINT16_MAX;
constexpr std::size_t kMaxNameBytes = 64;

// Zones and services of a datagram. Its records refer to them by index.
struct NameTables {
  std::vector<const member::MemberRecord*> zones;  // first record of each
  std::vector<std::string> services;
};

std::uint16_t ZoneIndex(NameTables* tables,
                        const member::MemberRecord& record) {
  std::vector<const member::MemberRecord*>& zones = tables->zones;
  const auto found = std::find_if(zones.begin(), zones.end(), [&](auto* it) {
    return it->zone == record.zone && it->region == record.region;
  });
  const auto index = static_cast<std::uint16_t>(found - zones.begin());
  if (found == zones.end()) zones.push_back(&record);
  return index;
}

std::uint16_t ServiceIndex(NameTables* tables,
                           const core::base::ServiceName& service) {
  if (service.empty()) return kNoService;
  std::vector<std::string>& list = tables->services;
  const auto found = std::find(list.begin(), list.end(), service.value());
  const auto index = static_cast<std::uint16_t>(found - list.begin());
  if (found == list.end()) list.push_back(service.value());
  return index;
}

// Returns false if the address of the record is not a valid "ip:port" address.
bool AddEntry(const member::MemberRecord& record, NameTables* tables,
              std::vector<fbs::MemberEntry>* entries) {
  const auto parsed = ParseIpPort(record.address.value());
  if (!parsed) return false;
  boost::system::error_code ec;
  const ip::address address = ip::make_address(parsed->ip, ec);
  if (ec) return false;
  const ip::address_v6 v6 =
      address.is_v6() ? address.to_v6()
                      : ip::make_address_v6(ip::v4_mapped, address.to_v4());
  const ip::address_v6::bytes_type octets = v6.to_bytes();
  entries->emplace_back(
      record.incarnation.value(), record.version,
      flatbuffers::span<const std::uint8_t, 16>(octets.data(), octets.size()),
      record.accuser, parsed->port, ZoneIndex(tables, record),
      ServiceIndex(tables, record.backend.service), record.backend.slots,
      static_cast<std::uint8_t>(record.state),
      static_cast<std::uint8_t>(record.backend.phase));
  return true;
}

std::string FormatAddress(const fbs::MemberEntry& entry) {
  ip::address_v6::bytes_type octets;
  for (std::size_t it = 0; it < octets.size(); ++it) {
    octets.at(it) = entry.ip()->Get(static_cast<flatbuffers::uoffset_t>(it));
  }
  const ip::address_v6 v6(octets);
  const std::string port = std::to_string(entry.port());
  if (v6.is_v4_mapped()) {
    return ip::make_address_v4(ip::v4_mapped, v6).to_string() + ":" + port;
  }
  return "[" + v6.to_string() + "]:" + port;
}

// Returns false if the entry has unknown enum values, names that are too long
// or indexes that the datagram does not contain.
bool ReadEntry(const fbs::MemberDatagram& datagram,
               const fbs::MemberEntry& entry, member::MemberRecord* record) {
  if (entry.zone() >= datagram.zones()->size()) return false;
  if (entry.state() > static_cast<std::uint8_t>(member::MemberState::kLeft)) {
    return false;
  }
  if (entry.phase() > static_cast<std::uint8_t>(member::BackendPhase::kGone)) {
    return false;
  }
  const fbs::MemberZone* zone = datagram.zones()->Get(entry.zone());
  if (zone->zone()->size() > kMaxNameBytes) return false;
  if (zone->region()->size() > kMaxNameBytes) return false;
  record->address = core::base::NodeAddress(FormatAddress(entry));
  record->incarnation = core::base::Incarnation(entry.incarnation());
  record->version = entry.version();
  record->zone = core::base::ZoneName(zone->zone()->str());
  record->region = core::base::RegionName(zone->region()->str());
  record->state = static_cast<member::MemberState>(entry.state());
  record->accuser = entry.accuser();
  record->backend.phase = static_cast<member::BackendPhase>(entry.phase());
  record->backend.slots = entry.slots();
  if (entry.service() == kNoService) return true;
  const auto* services = datagram.services();
  if (services == nullptr || entry.service() >= services->size()) return false;
  const flatbuffers::String* service = services->Get(entry.service());
  if (service->size() > kMaxNameBytes) return false;
  record->backend.service = core::base::ServiceName(service->str());
  return true;
}

bool ReadRumours(const fbs::MemberDatagram& datagram,
                 std::vector<member::Rumour>* rumours) {
  if (datagram.rumours() == nullptr) return true;
  for (const fbs::MemberRumour* it : *datagram.rumours()) {
    if (it->bytes()->size() > member::kMaxRumourBytes) return false;
    rumours->push_back({static_cast<member::RumourKind>(it->kind()), it->key(),
                        it->version(),
                        std::string(it->bytes()->begin(), it->bytes()->end())});
  }
  return true;
}

void ReadDigests(const fbs::MemberDatagram& datagram,
                 member::MemberMessage* message) {
  if (datagram.digests() != nullptr) {
    for (const fbs::MemberDigest* it : *datagram.digests()) {
      message->zones.push_back(
          {core::base::ZoneName(it->zone()->str()), it->digest()});
    }
  }
  if (datagram.buckets() != nullptr) {
    message->buckets.assign(datagram.buckets()->begin(),
                            datagram.buckets()->end());
  }
  if (datagram.bucket_zone() != nullptr) {
    message->bucket_zone = core::base::ZoneName(datagram.bucket_zone()->str());
  }
}

std::vector<flatbuffers::Offset<fbs::MemberRumour>> AddRumours(
    const std::vector<member::Rumour>& rumours,
    flatbuffers::FlatBufferBuilder* fbb) {
  std::vector<flatbuffers::Offset<fbs::MemberRumour>> list;
  for (const member::Rumour& it : rumours) {
    const auto bytes = fbb->CreateVector(
        reinterpret_cast<const std::uint8_t*>(it.bytes.data()),
        it.bytes.size());
    list.push_back(fbs::CreateMemberRumour(
        *fbb, static_cast<std::uint8_t>(it.kind), it.key, it.version, bytes));
  }
  return list;
}

}  // namespace

core::base::Result<Bytes> EncodeMember(const member::MemberMessage& message) {
  NameTables tables;
  std::vector<fbs::MemberEntry> entries;
  if (!AddEntry(message.sender, &tables, &entries)) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "invalid address of the sender");
  }
  for (const member::MemberRecord& it : message.records) {
    (void)AddEntry(it, &tables, &entries);
  }
  flatbuffers::FlatBufferBuilder fbb;
  std::vector<flatbuffers::Offset<fbs::MemberZone>> zones;
  for (const member::MemberRecord* it : tables.zones) {
    zones.push_back(fbs::CreateMemberZoneDirect(fbb, it->zone.value().c_str(),
                                                it->region.value().c_str()));
  }
  std::vector<flatbuffers::Offset<fbs::MemberDigest>> digests;
  for (const member::ZoneDigest& it : message.zones) {
    digests.push_back(
        fbs::CreateMemberDigestDirect(fbb, it.zone.value().c_str(), it.digest));
  }
  const auto rumours = AddRumours(message.rumours, &fbb);
  const auto entry_vector = fbb.CreateVectorOfStructs(entries);
  const auto zone_vector = fbb.CreateVector(zones);
  const auto services =
      tables.services.empty() ? 0 : fbb.CreateVectorOfStrings(tables.services);
  const auto target =
      message.target.empty() ? 0 : fbb.CreateString(message.target.value());
  const auto rumour_vector = rumours.empty() ? 0 : fbb.CreateVector(rumours);
  const auto digest_vector = digests.empty() ? 0 : fbb.CreateVector(digests);
  const auto bucket_zone = message.bucket_zone.empty()
                               ? 0
                               : fbb.CreateString(message.bucket_zone.value());
  const auto buckets =
      message.buckets.empty() ? 0 : fbb.CreateVector(message.buckets);
  fbb.Finish(fbs::CreateMemberDatagram(
      fbb, static_cast<std::uint8_t>(message.kind), message.sequence,
      entry_vector, zone_vector, services, target, rumour_vector, digest_vector,
      bucket_zone, buckets, message.reply_wanted, message.confirmed,
      message.differing_zones));
  return EncodeDatagram(FrameKind::kMember, fbb);
}

core::base::Result<member::MemberMessage> DecodeMember(const Bytes& payload) {
  const auto* datagram = VerifiedRoot<fbs::MemberDatagram>(payload);
  if (datagram == nullptr || datagram->entries()->size() == 0 ||
      datagram->kind() >
          static_cast<std::uint8_t>(member::MessageKind::kSyncAnswer)) {
    return MakeError(ErrorCode::kCorrupt, "malformed MemberDatagram");
  }
  member::MemberMessage message;
  message.kind = static_cast<member::MessageKind>(datagram->kind());
  message.sequence = datagram->sequence();
  for (const fbs::MemberEntry* it : *datagram->entries()) {
    member::MemberRecord record;
    if (!ReadEntry(*datagram, *it, &record)) {
      return MakeError(ErrorCode::kCorrupt, "malformed MemberEntry");
    }
    message.records.push_back(std::move(record));
  }
  message.sender = message.records.front();
  message.records.erase(message.records.begin());
  if (!ReadRumours(*datagram, &message.rumours)) {
    return MakeError(ErrorCode::kCorrupt, "malformed MemberRumour");
  }
  ReadDigests(*datagram, &message);
  if (datagram->target() != nullptr) {
    message.target = core::base::NodeAddress(datagram->target()->str());
  }
  message.reply_wanted = datagram->reply_wanted();
  message.confirmed = datagram->confirmed();
  message.differing_zones = datagram->differing_zones();
  return message;
}

}  // namespace dogwoodrail::wire
