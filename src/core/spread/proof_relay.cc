#include "core/spread/proof_relay.h"

#include <algorithm>
#include <utility>

namespace dogwoodrail::core::spread {

using config::FollowResult;
using config::StoreUse;

namespace {

// A longer gap between two ticks means that this process was stopped; answers
// may wait unread.
constexpr base::Duration kMaxTickGap = std::chrono::milliseconds(500);
// Half of the 64 bits, so that sequences never reach the value for "none".
constexpr std::uint64_t kMaxFirstSequence = std::uint64_t{1} << 63U;

}  // namespace

ProofRelay::ProofRelay(const RelaySettings& settings,
                       const config::FollowSettings& follow, ApplyHook apply,
                       std::uint64_t seed)
    : settings_(settings),
      apply_(std::move(apply)),
      random_(seed),
      follower_(follow, random_()),
      validity_(follow.key_lease),
      last_sequence_(base::RandomBelow(random_, kMaxFirstSequence)),
      jitter_(DrawJitter()),
      snapshot_bytes_left_(settings.snapshot_bytes_per_tick) {}

RelayActions ProofRelay::Tick(const RelayView& view, base::TimePoint now) {
  RelayActions actions;
  if (now - last_tick_ > kMaxTickGap) {
    for (auto& [address, source] : sources_) source.sent_at = now;
    others_known_at_.reset();
  }
  last_tick_ = now;
  snapshot_bytes_left_ = settings_.snapshot_bytes_per_tick;
  ForgetUnseenNumber(now);
  ExcludeSilentSources(now);
  UpdateSources(view);
  UpdateWatched(view, now);
  SendQueries(now, &actions);
  SendStartQueries(view, now, &actions);
  SendChanges(now, &actions);
  store_use_ = ChooseStoreUse(view, now);
  actions.store_call = follower_.Next(store_use_, now);
  return actions;
}

// A reader counts its own watch only, because the sources of readers are
// readers: two that have lost the store could each rely on the other.
void ProofRelay::UpdateWatched(const RelayView& view, base::TimePoint now) {
  const bool source_watched =
      std::any_of(sources_.begin(), sources_.end(),
                  [](const auto& it) { return it.second.watched; });
  if (source_watched) sources_watched_at_ = now;
  const bool watches = view.is_reader || store_use_ == StoreUse::kStandInWatch;
  const bool own_watched = watches && follower_.IsWatching(now);
  watched_ = own_watched || (!view.is_reader && source_watched);
}

void ProofRelay::ExcludeSilentSources(base::TimePoint now) {
  for (auto it = excluded_.begin(); it != excluded_.end();) {
    it = it->second <= now ? excluded_.erase(it) : std::next(it);
  }
  for (auto it = sources_.begin(); it != sources_.end();) {
    const Source& source = it->second;
    const bool silent =
        source.sequence != 0 && now - source.sent_at > settings_.answer_timeout;
    if (silent) excluded_[it->first] = now + settings_.exclusion_time;
    it = silent ? sources_.erase(it) : std::next(it);
  }
}

void ProofRelay::UpdateSources(const RelayView& view) {
  const auto is_wanted = [&](const base::NodeAddress& address) {
    return std::find(view.sources.begin(), view.sources.end(), address) !=
           view.sources.end();
  };
  for (auto it = sources_.begin(); it != sources_.end();) {
    it = is_wanted(it->first) ? std::next(it) : sources_.erase(it);
  }
  for (const base::NodeAddress& it : view.sources) {
    if (!IsExcluded(it)) sources_.try_emplace(it);
  }
}

// A node without a configuration does not query: its first one has to come from
// the store, because an earlier process of this node may have acted on a newer
// one than another node has.
void ProofRelay::SendQueries(base::TimePoint now, RelayActions* actions) {
  if (in_force() == base::TicketNumber()) return;
  for (auto& [address, source] : sources_) {
    if (source.sequence != 0 || now < source.next_query) continue;
    source.sequence = ++last_sequence_;
    source.sent_at = now;
    source.next_query = now + settings_.query_interval;
    actions->queries.push_back({address, {source.sequence, in_force(), false}});
  }
}

// The queries have no sequence, so that their answers confirm nothing.
void ProofRelay::SendStartQueries(const RelayView& view, base::TimePoint now,
                                  RelayActions* actions) {
  if (settled_ || in_force() == base::TicketNumber()) return;
  if (view.others > 0 && !others_known_at_) others_known_at_ = now;
  settled_ = IsStartOver(view, now);
  opened_behind_ = settled_ && IsBehind();
  if (settled_ || now < next_start_query_) return;
  next_start_query_ = now + settings_.start_query_interval;
  for (const base::NodeAddress& it : view.witnesses) {
    actions->queries.push_back({it, {0, in_force(), false}});
  }
}

bool ProofRelay::IsStartOver(const RelayView& view, base::TimePoint now) const {
  if (now - started_at_ >= settings_.longest_start) return true;
  const bool asked =
      others_known_at_ &&
      now - std::max(*others_known_at_, started_at_) >= settings_.start_timeout;
  const std::size_t wanted = std::min(settings_.start_answers, view.others);
  return asked && start_answers_.size() >= wanted && !IsBehind();
}

void ProofRelay::CompareStart(const base::NodeAddress& peer,
                              const PeerAnswer& answer) {
  if (settled_ || in_force() == base::TicketNumber()) return;
  start_answers_.insert(peer);
  // One that has an older configuration knows less than this node.
  compared_ = answer.settled && !IsBehind() && !(answer.in_force < in_force());
  settled_ = compared_;
}

// A node that was itself opened by its timeout may know as little as the one
// that asks.
bool ProofRelay::IsWitness(base::TimePoint now) const {
  return settled_ &&
         (compared_ || now - started_at_ >= settings_.longest_start);
}

// The nodes that had it may be gone, and the store may have lost it. Without a
// limit, the others would refuse keys until the operator writes again.
void ProofRelay::ForgetUnseenNumber(base::TimePoint now) {
  const bool is_unseen = now - highest_stated_at_ > settings_.max_unseen;
  if (IsBehind() && is_unseen) highest_seen_ = in_force();
}

void ProofRelay::SendChanges(base::TimePoint now, RelayActions* actions) {
  for (auto it = subscribers_.begin(); it != subscribers_.end();) {
    Subscriber& subscriber = it->second;
    if (subscriber.expires <= now) {
      it = subscribers_.erase(it);
      continue;
    }
    const bool announce = subscriber.announced < in_force() ||
                          subscriber.told_watched != watched_;
    if (announce || subscriber.known < in_force()) {
      PeerAnswer answer = MakeAnswer(0, now);
      AddSnapshot(&subscriber, &answer);
      subscriber.announced = in_force();
      subscriber.told_watched = watched_;
      if (announce || answer.has_snapshot) {
        actions->answers.push_back({it->first, std::move(answer)});
      }
    }
    ++it;
  }
}

PeerAnswer ProofRelay::MakeAnswer(std::uint64_t sequence,
                                  base::TimePoint now) const {
  PeerAnswer answer;
  answer.sequence = sequence;
  answer.in_force = in_force();
  answer.watched = watched_;
  answer.store_era = era_.era();
  answer.settled = IsWitness(now);
  const auto confirmed_at = follower_.confirmed_at();
  if (confirmed_at && now >= *confirmed_at) {
    answer.confirmed_age = now - *confirmed_at;
    answer.fresh = *answer.confirmed_age < validity_;
  }
  return answer;
}

void ProofRelay::AddSnapshot(Subscriber* subscriber, PeerAnswer* answer) {
  if (!(subscriber->known < in_force())) return;
  if (snapshot_bytes_left_ == 0) return;
  snapshot_bytes_left_ -= std::min(snapshot_bytes_left_, snapshot_.body.size());
  answer->has_snapshot = true;
  answer->snapshot = snapshot_;
  subscriber->known = in_force();
}

StoreUse ProofRelay::ChooseStoreUse(const RelayView& view,
                                    base::TimePoint now) const {
  if (in_force() == base::TicketNumber() || view.is_reader) {
    return StoreUse::kWatch;
  }
  if (view.sources.empty() && sources_.empty()) return StoreUse::kWatch;
  if (now - sources_watched_at_ > jitter_) return StoreUse::kStandInWatch;
  return NeedsConfirmation(now) ? StoreUse::kConfirm : StoreUse::kNone;
}

bool ProofRelay::NeedsConfirmation(base::TimePoint now) const {
  const auto confirmed_at = follower_.confirmed_at();
  const bool silent = now - last_heard_ > settings_.max_silence + jitter_;
  const bool old =
      !confirmed_at || now - *confirmed_at > settings_.max_age + jitter_;
  const bool lags =
      IsBehind() && now - highest_seen_at_ > settings_.max_lag + jitter_;
  return silent || old || lags;
}

RelayActions ProofRelay::OnStoreResult(std::uint64_t call, FollowResult result,
                                       config::StorePosition position,
                                       std::optional<Snapshot> snapshot,
                                       base::TimePoint now) {
  RelayActions actions = OnStoreEra(position.era, now);
  if (snapshot && in_force() == base::TicketNumber()) started_at_ = now;
  if (snapshot) SetInForce(*snapshot);
  follower_.OnResult(call, result, position, now, !IsBehind());
  if (result != FollowResult::kFailed) {
    last_heard_ = now;
    jitter_ = DrawJitter();
  }
  SendChanges(now, &actions);
  return actions;
}

RelayActions ProofRelay::OnStoreEra(config::StoreEra era, base::TimePoint now) {
  RelayActions actions;
  actions.era_change = era_.OnEra(era);
  follower_.OnEra(era_.era(), now);
  return actions;
}

RelayActions ProofRelay::OnQuery(const base::NodeAddress& peer,
                                 const PeerQuery& query, base::TimePoint now) {
  Subscriber subscriber;
  subscriber.expires = now + settings_.subscription_time;
  subscriber.known = query.after;
  subscriber.announced = in_force();
  subscriber.told_watched = watched_;
  PeerAnswer answer = MakeAnswer(query.sequence, now);
  AddSnapshot(&subscriber, &answer);
  // A node that asks once, at its start, is not told of changes.
  if (query.sequence != 0) subscribers_[peer] = subscriber;
  RelayActions actions;
  actions.answers.push_back({peer, std::move(answer)});
  OnPeerNumber(query.after, now);
  const bool started = in_force() != base::TicketNumber();
  if (started && in_force() < query.after) {
    actions.queries.push_back({peer, {0, in_force(), false}});
  }
  return actions;
}

// A configuration is taken from any node, also one that is no longer a source;
// a confirmation only in answer to a query. The store confirmed `in_force` no
// earlier than the age before the query was sent, because the answer was
// created after that.
RelayActions ProofRelay::OnAnswer(const base::NodeAddress& peer,
                                  const PeerAnswer& answer,
                                  base::TimePoint now) {
  RelayActions actions = OnStoreEra(answer.store_era, now);
  LearnFrom(answer, now, &actions);
  CompareStart(peer, answer);
  const auto it = sources_.find(peer);
  if (it == sources_.end()) return actions;
  Source& source = it->second;
  source.watched = answer.watched;
  if (answer.sequence == 0 || answer.sequence != source.sequence) {
    return actions;
  }
  source.sequence = 0;
  last_heard_ = now;
  const bool confirms = answer.in_force == in_force() && !IsBehind();
  if (answer.confirmed_age && confirms) {
    follower_.ConfirmByPeer(source.sent_at - *answer.confirmed_age);
  }
  return actions;
}

void ProofRelay::LearnFrom(const PeerAnswer& answer, base::TimePoint now,
                           RelayActions* actions) {
  const bool started = in_force() != base::TicketNumber();
  if (answer.has_snapshot && started && in_force() < answer.snapshot.number &&
      apply_(answer.snapshot)) {
    SetInForce(answer.snapshot);
    SendChanges(now, actions);
  }
  OnPeerNumber(answer.in_force, now);
}

void ProofRelay::OnPeerNumber(base::TicketNumber number, base::TimePoint now) {
  if (number < highest_seen_) return;
  highest_stated_at_ = now;
  if (number == highest_seen_) return;
  highest_seen_ = number;
  highest_seen_at_ = now;
}

void ProofRelay::SetInForce(const Snapshot& snapshot) {
  if (!(in_force() < snapshot.number)) return;
  snapshot_ = snapshot;
}

void ProofRelay::OnSuspended(base::Duration time) {
  follower_.OnSuspended(time);
  for (auto& [address, source] : sources_) source.sent_at -= time;
}

base::Duration ProofRelay::DrawJitter() {
  const double bound = static_cast<double>(settings_.jitter.count());
  return base::Duration(
      static_cast<base::Duration::rep>(bound * base::RandomUnit(random_)));
}

}  // namespace dogwoodrail::core::spread
