#include "core/poison/crash_spread.h"

#include <algorithm>
#include <utility>

namespace dogwoodrail::core::poison {
namespace {

// Sizes on the wire.
constexpr std::size_t kMessageBytes = 64;
constexpr std::size_t kRecordBytes = 80;
constexpr std::size_t kEntryBytes = 24;
constexpr std::size_t kSummaryBytes = 24;
constexpr std::size_t kIdBytes = 16;
constexpr std::size_t kMaxDatagramBytes = 1200;
constexpr std::size_t kMaxSummaries = 40;
// Limits of one answer to offers.
constexpr std::size_t kMaxAnswers = 16;

std::size_t RecordBytes(const CrashRecord& record) {
  return kRecordBytes + record.entries.size() * kEntryBytes;
}

std::uint16_t GroupBit(std::size_t group) {
  return static_cast<std::uint16_t>(1U << group);
}

bool IsEmpty(const CrashMessage& message) {
  return message.records.empty() && message.cleared.empty() &&
         !message.digests && message.offered_groups == 0 &&
         message.requests.empty();
}

}  // namespace

std::size_t MessageBytes(const CrashMessage& message) {
  std::size_t bytes = kMessageBytes;
  for (const CrashRecord& it : message.records) bytes += RecordBytes(it);
  bytes += (message.cleared.size() + message.offers.size()) * kSummaryBytes;
  bytes += message.requests.size() * kIdBytes;
  const bool has_digests =
      message.digests && *message.digests != CrashDigests{};
  if (has_digests) bytes += kDigestGroups * sizeof(std::uint64_t);
  return bytes;
}

CrashSpread::CrashSpread(const PoisonSettings& settings, CrashSet& crashes,
                         PickPeer pick_peer, CountMembers count_members)
    : settings_(settings),
      crashes_(crashes),
      pick_peer_(std::move(pick_peer)),
      count_members_(std::move(count_members)),
      allowance_(static_cast<double>(settings.burst_bytes)) {}

// With k sends by each node that receives a record, e^-k of the nodes miss it;
// anti-entropy reaches them.
std::size_t CrashSpread::SendsPerRecord() const {
  constexpr std::size_t kBaseSends = 4;
  constexpr std::size_t kSendsPerDigit = 2;
  constexpr std::size_t kDecimal = 10;
  std::size_t sends = kBaseSends;
  for (std::size_t n = count_members_(); n > 0; n /= kDecimal) {
    sends += kSendsPerDigit;
  }
  return sends;
}

// A node may end soon after it has observed a crash, so that the first round
// does not wait.
void CrashSpread::Queue(const CrashId& id, Change change) {
  if (queue_.empty()) next_gossip_ = {};
  QueuedRecord& queued = queue_[id];
  queued.sends_left = SendsPerRecord();
  if (change == Change::kRecord) queued.change = change;
}

void CrashSpread::Refill(base::TimePoint now) {
  if (refilled_at_ == base::TimePoint()) refilled_at_ = now;
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  refilled_at_ = now;
  allowance_ =
      std::min(static_cast<double>(settings_.burst_bytes),
               allowance_ + elapsed.count() *
                                static_cast<double>(settings_.bytes_per_s));
}

void CrashSpread::Send(const base::NodeAddress& to, CrashMessage message,
                       Messages& messages) {
  const std::size_t bytes = MessageBytes(message);
  allowance_ -= static_cast<double>(bytes);
  sent_bytes_ += bytes;
  messages.push_back({to, std::move(message)});
}

CrashSpread::Messages CrashSpread::OnMessage(const base::NodeAddress& from,
                                             const CrashMessage& message,
                                             base::TimePoint now) {
  Refill(now);
  for (const CrashRecord& it : message.records) {
    const bool known = crashes_.Find(it.id) != nullptr;
    if (!crashes_.Merge(it, now)) continue;
    Queue(it.id, known ? Change::kCleared : Change::kRecord);
  }
  for (const auto* list : {&message.cleared, &message.offers}) {
    for (const CrashSummary& it : *list) {
      if (crashes_.Clear(it.id, it.cleared)) Queue(it.id, Change::kCleared);
    }
  }
  Messages messages;
  if (message.digests && allowance_ > 0) {
    CrashMessage answer;
    AddOffers(message, now, answer);
    if (!IsEmpty(answer)) Send(from, std::move(answer), messages);
  }
  AnswerOffers(message, now, messages, from);
  return messages;
}

// Only groups whose summaries fit whole are offered: the receiver takes a
// record that is not offered for one that this node lacks.
void CrashSpread::AddOffers(const CrashMessage& message, base::TimePoint now,
                            CrashMessage& answer) const {
  const CrashDigests own = crashes_.Digests(now);
  for (std::size_t group = 0; group < kDigestGroups; ++group) {
    if (own.at(group) == message.digests->at(group)) continue;
    std::vector<CrashSummary> offers;
    for (const auto& [id, it] : crashes_.records()) {
      if (CrashSet::GroupOf(id) != group || crashes_.IsExpiring(it, now)) {
        continue;
      }
      offers.push_back({id, it.cleared});
    }
    const bool fits = answer.offers.size() + offers.size() <= kMaxSummaries;
    if (!fits && answer.offered_groups != 0) continue;
    answer.offers.insert(answer.offers.end(), offers.begin(), offers.end());
    answer.offered_groups |= GroupBit(group);
  }
}

void CrashSpread::AnswerOffers(const CrashMessage& message, base::TimePoint now,
                               Messages& messages,
                               const base::NodeAddress& to) {
  if (message.offered_groups == 0 && message.requests.empty()) return;
  std::vector<CrashId> wanted = message.requests;
  CrashMessage request;
  for (const CrashSummary& it : message.offers) {
    if (crashes_.Find(it.id) == nullptr) request.requests.push_back(it.id);
  }
  const auto find_offer = [&message](const CrashId& id) {
    return std::find_if(message.offers.begin(), message.offers.end(),
                        [&id](const CrashSummary& it) { return it.id == id; });
  };
  for (const auto& [id, it] : crashes_.records()) {
    const bool offered_group =
        (message.offered_groups & GroupBit(CrashSet::GroupOf(id))) != 0;
    if (!offered_group || crashes_.IsExpiring(it, now)) continue;
    const auto offer = find_offer(id);
    if (offer == message.offers.end()) {
      wanted.push_back(id);
    } else if ((it.cleared & ~offer->cleared) != 0) {
      request.cleared.push_back({id, it.cleared});
    }
  }
  if (request.requests.size() > kMaxSummaries) {
    request.requests.resize(kMaxSummaries);
  }
  if (!IsEmpty(request)) Send(to, std::move(request), messages);
  for (const CrashId& id : wanted) {
    const CrashRecord* record = crashes_.Find(id);
    if (record == nullptr || crashes_.IsExpiring(*record, now)) continue;
    if (allowance_ <= 0 || messages.size() >= kMaxAnswers) return;
    CrashMessage reply;
    reply.records.push_back(*record);
    Send(to, std::move(reply), messages);
  }
}

CrashSpread::Messages CrashSpread::Tick(base::TimePoint now) {
  Refill(now);
  Messages messages;
  if (now >= next_gossip_) {
    next_gossip_ = now + settings_.gossip_interval;
    AddGossip(now, messages);
  }
  if (now < next_sync_) return messages;
  next_sync_ = now + settings_.sync_interval;
  const base::NodeAddress peer = pick_peer_();
  if (peer.empty()) return messages;
  CrashMessage sync;
  sync.digests = crashes_.Digests(now);
  Send(peer, std::move(sync), messages);
  return messages;
}

// Each record goes out in one datagram a round, to gossip_fanout peers.
void CrashSpread::AddGossip(base::TimePoint now, Messages& messages) {
  if (queue_.empty() || allowance_ <= 0) return;
  const CrashMessage message = NextGossip(now);
  if (IsEmpty(message)) return;
  for (std::size_t it = 0; it < settings_.gossip_fanout; ++it) {
    const base::NodeAddress peer = pick_peer_();
    if (!peer.empty()) Send(peer, message, messages);
  }
}

// Records against blocked requests go first.
CrashMessage CrashSpread::NextGossip(base::TimePoint now) {
  CrashMessage message;
  std::size_t bytes = kMessageBytes;
  std::vector<CrashId> order;
  for (const auto& [id, it] : queue_) order.push_back(id);
  std::stable_partition(order.begin(), order.end(), [this](const CrashId& id) {
    const CrashRecord* record = crashes_.Find(id);
    return record != nullptr && crashes_.HasBlocked(*record);
  });
  for (const CrashId& id : order) {
    const CrashRecord* record = crashes_.Find(id);
    if (record == nullptr || crashes_.IsExpiring(*record, now)) {
      queue_.erase(id);
      continue;
    }
    QueuedRecord& queued = queue_.at(id);
    const bool only_cleared = queued.change == Change::kCleared;
    const std::size_t size =
        only_cleared ? kSummaryBytes : RecordBytes(*record);
    const bool first = bytes == kMessageBytes;
    if (!first && bytes + size > kMaxDatagramBytes) continue;
    bytes += size;
    if (only_cleared) {
      message.cleared.push_back({id, record->cleared});
    } else {
      message.records.push_back(*record);
    }
    const std::size_t sent =
        std::min(queued.sends_left, settings_.gossip_fanout);
    queued.sends_left -= sent;
    if (queued.sends_left == 0) queue_.erase(id);
  }
  return message;
}

}  // namespace dogwoodrail::core::poison
