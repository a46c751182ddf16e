#include "core/spread/spread_control.h"

#include <algorithm>

namespace dogwoodrail::core::spread {
namespace {

constexpr std::size_t kMaxHolders = 8;
constexpr std::uint64_t kTicketsPerRead = 32;
// Within this time after an answer, the platform is taken to hold the history
// that the answer was of.
constexpr base::Duration kMaxHistoryAge = std::chrono::seconds(10);

}  // namespace

SpreadControl::SpreadControl(SpreadSettings settings, ConfigurationHooks hooks,
                             std::uint64_t seed)
    : settings_(settings),
      hooks_(std::move(hooks)),
      random_(seed),
      log_(settings.log_tickets, settings.log_bytes),
      freshness_(settings_),
      next_sequence_(random_() >> 1),
      platform_backoff_(settings.platform_retry_min),
      answer_tokens_(settings.answer_burst) {
  first_valid_sequence_ = next_sequence_ + 1;
}

std::vector<SpreadAction> SpreadControl::Tick(const PeerView& view,
                                              base::TimePoint now) {
  std::vector<SpreadAction> actions;
  HandlePause(now);
  if (!freshness_.IsFresh(now)) QueryPeersToConfirm(view, now, &actions);
  Pull(view, now, &actions);
  QueryPlatform(view, now, &actions);
  TryConfirm(now, &actions);
  return actions;
}

std::vector<SpreadAction> SpreadControl::OnPeerNumber(
    const base::NodeAddress& peer, base::TicketNumber number,
    base::TimePoint now) {
  std::vector<SpreadAction> actions;
  HandlePause(now);
  freshness_.NoteContact(now);
  NoteAvailable(peer, number);
  Pull({}, now, &actions);
  return actions;
}

std::vector<SpreadAction> SpreadControl::OnQuery(const base::NodeAddress& peer,
                                                 const PeerQuery& query,
                                                 base::TimePoint now) {
  HandlePause(now);
  freshness_.NoteContact(now);
  NoteAvailable(peer, query.after);
  PeerAnswer answer;
  answer.sequence = query.sequence;
  answer.in_force = in_force_;
  answer.fresh = freshness_.IsFresh(now);
  const bool has_newer = query.after < in_force_ && !query.number_only;
  if (has_newer && TakeAnswerToken(now)) {
    answer.has_snapshot = !log_.Covers(query.after);
    if (answer.has_snapshot) {
      answer.snapshot = hooks_.make_snapshot();
    } else {
      answer.tickets = log_.After(query.after, settings_.answer_tickets);
    }
  }
  return {SendAnswer{peer, std::move(answer)}};
}

// An answer to a query that was sent before a pause may be outdated. It can
// deliver tickets, but doesn't confirm the number.
std::vector<SpreadAction> SpreadControl::OnAnswer(const base::NodeAddress& peer,
                                                  const PeerAnswer& answer,
                                                  base::TimePoint now) {
  std::vector<SpreadAction> actions;
  HandlePause(now);
  freshness_.NoteContact(now);
  if (answer.has_snapshot) ApplySnapshot(answer.snapshot, &actions);
  ApplyTickets(answer.tickets, &actions);
  NoteAvailable(peer, answer.in_force);
  if (answer.sequence >= first_valid_sequence_) {
    const bool accepts_unconfirmed = now - freshness_.unconfirmed_since() >=
                                     settings_.accept_unconfirmed_peers_after;
    if (answer.fresh || accepts_unconfirmed) ++confirmations_;
  }
  const bool progressed = in_force_ < highest_seen_ &&
                          (answer.has_snapshot || !answer.tickets.empty());
  next_pull_ = progressed ? now : now + Jitter(settings_.retry_jitter);
  TryConfirm(now, &actions);
  return actions;
}

std::vector<SpreadAction> SpreadControl::OnPlatformValue(
    std::uint64_t call, base::TicketNumber head, base::TimePoint now) {
  std::vector<SpreadAction> actions;
  HandlePause(now);
  freshness_.NoteContact(now);
  if (platform_head_ < head) platform_head_ = head;
  if (highest_seen_ < head) highest_seen_ = head;
  if (FinishCall(call)) {
    platform_head_ = head;  // may be lower than before
    platform_answered_at_ = now;
    platform_backoff_ = settings_.platform_retry_min;
    next_platform_ = now;
    ConfirmByPlatform(head, now);
  }
  TryConfirm(now, &actions);
  return actions;
}

// A lower head is a stale read, or the platform came back from an older copy:
// it cannot tell whether a higher number is in force elsewhere. A fleet of one
// has no other node to ask.
void SpreadControl::ConfirmByPlatform(base::TicketNumber head,
                                      base::TimePoint now) {
  if (settings_.has_peers && head < in_force_) {
    if (!freshness_.IsConfirmed()) {
      next_platform_ = now + settings_.platform_retry_min;
    }
    return;
  }
  confirmations_ += settings_.confirm_peers;
}

std::vector<SpreadAction> SpreadControl::OnPlatformHead(
    std::uint64_t call, const Snapshot& head, const std::optional<Ticket>& last,
    base::TimePoint now) {
  std::vector<SpreadAction> actions;
  HandlePause(now);
  if (last) ApplyTickets({*last}, &actions);
  const bool far_behind =
      head.number.value() >= kTicketsPerRead &&
      in_force_.value() < head.number.value() - kTicketsPerRead;
  if (!last || far_behind || in_force_ == base::TicketNumber()) {
    ApplySnapshot(head, &actions);
  }
  std::vector<SpreadAction> more = OnPlatformValue(call, head.number, now);
  actions.insert(actions.end(), more.begin(), more.end());
  return actions;
}

std::vector<SpreadAction> SpreadControl::OnPlatformTickets(
    std::uint64_t call, const std::vector<Ticket>& tickets,
    base::TimePoint now) {
  std::vector<SpreadAction> actions;
  HandlePause(now);
  freshness_.NoteContact(now);
  const base::TicketNumber before = in_force_;
  ApplyTickets(tickets, &actions);
  if (FinishCall(call)) {
    const bool progressed = before < in_force_;
    next_platform_ = progressed ? now : now + settings_.platform_retry_min;
  }
  TryConfirm(now, &actions);
  return actions;
}

std::vector<SpreadAction> SpreadControl::OnPlatformFailed(std::uint64_t call,
                                                          base::TimePoint now) {
  HandlePause(now);
  if (!FinishCall(call)) return {};
  platform_answered_at_.reset();
  next_platform_ = now + platform_backoff_ / 2 + Jitter(platform_backoff_);
  platform_backoff_ =
      std::min(platform_backoff_ * 2, settings_.platform_retry_max);
  return {};
}

// Returns false if the call was discarded after a pause.
bool SpreadControl::FinishCall(std::uint64_t call) {
  if (call != open_call_) return false;
  open_call_ = 0;
  return true;
}

// After a pause, discards the open platform call and all confirmations. Answers
// to earlier queries no longer confirm the number.
void SpreadControl::HandlePause(base::TimePoint now) {
  if (!freshness_.DetectPause(now)) return;
  first_valid_sequence_ = next_sequence_ + 1;
  confirmations_ = 0;
  next_confirm_ = now;
  open_call_ = 0;
  platform_answered_at_.reset();
}

// Confirms the number once enough sources have answered and the highest number
// that any of them has is in force here.
void SpreadControl::TryConfirm(base::TimePoint now,
                               std::vector<SpreadAction>* actions) {
  const bool timed_out =
      now - freshness_.unconfirmed_since() >= settings_.query_timeout;
  const bool enough = confirmations_ >= settings_.confirm_peers ||
                      (confirmations_ > 0 && timed_out);
  if (!freshness_.IsConfirmed() && enough && !(in_force_ < highest_seen_)) {
    freshness_.Confirm(now);
  }
  ReportFreshness(now, actions);
}

void SpreadControl::QueryPeersToConfirm(const PeerView& view,
                                        base::TimePoint now,
                                        std::vector<SpreadAction>* actions) {
  if (now < next_confirm_) return;
  next_confirm_ = now + settings_.confirm_interval;
  std::size_t queried = 0;
  for (const base::NodeAddress& it : view.peers) {
    if (queried++ >= settings_.confirm_peers) break;
    PeerQuery query;
    query.sequence = ++next_sequence_;
    query.after = in_force_;
    query.number_only = queried > 1;  // fetches tickets from the first only
    actions->push_back(SendQuery{it, query});
  }
}

// Queries one peer at a time, preferring those that announced a newer number. A
// node announces a number only after applying it, and the receivers query that
// node, so the load is distributed and no node is queried by many.
void SpreadControl::Pull(const PeerView& view, base::TimePoint now,
                         std::vector<SpreadAction>* actions) {
  if (!(in_force_ < highest_seen_) || now < next_pull_) return;
  base::NodeAddress peer;
  if (!holders_.empty()) {
    peer = holders_.back();
    holders_.pop_back();
  } else if (!view.peers.empty()) {
    peer = view.peers[base::RandomBelow(random_, view.peers.size())];
  } else {
    return;
  }
  next_pull_ = now + settings_.query_timeout;
  PeerQuery query;
  query.sequence = ++next_sequence_;
  query.after = in_force_;
  actions->push_back(SendQuery{peer, query});
}

// After a failure or a pause, or when it was not asked for a while, the
// platform may have come back from an older copy. Its object versions are given
// out again then, so that a watch from the one received before would miss the
// next head, and tickets that it has lost could be asked for forever. Only a
// read tells.
bool SpreadControl::MayWatch(base::TimePoint now) const {
  return platform_answered_at_ && now - *platform_answered_at_ < kMaxHistoryAge;
}

// Readers watch the platform. A node without a confirmed number reads it after
// its peers have had time to answer, so that the nodes of a zone that comes
// back online don't all read the platform at once.
void SpreadControl::QueryPlatform(const PeerView& view, base::TimePoint now,
                                  std::vector<SpreadAction>* actions) {
  if (open_call_ != 0 || now < next_platform_) return;
  const bool needs_read =
      !freshness_.IsFresh(now) &&
      now - freshness_.unconfirmed_since() >= settings_.query_platform_after;
  if (!view.is_reader && !needs_read) return;
  open_call_ = ++last_call_;
  const bool lags = MayWatch(now) && in_force_ < platform_head_;
  if (lags) {
    const std::uint64_t first = in_force_.value() + 1;
    const std::uint64_t last =
        std::min(platform_head_.value(), first + kTicketsPerRead - 1);
    actions->push_back(ReadPlatformTickets{
        open_call_, base::TicketNumber(first), base::TicketNumber(last)});
  } else if (needs_read || !MayWatch(now)) {
    actions->push_back(ReadPlatform{open_call_});
  } else {
    actions->push_back(WatchPlatform{open_call_, in_force_});
  }
}

void SpreadControl::NoteAvailable(const base::NodeAddress& peer,
                                  base::TicketNumber number) {
  if (!(in_force_ < number)) return;
  if (highest_seen_ < number) highest_seen_ = number;
  const auto found = std::find(holders_.begin(), holders_.end(), peer);
  if (found != holders_.end()) holders_.erase(found);
  if (holders_.size() >= kMaxHolders) holders_.erase(holders_.begin());
  holders_.push_back(peer);
}

void SpreadControl::ApplyTickets(const std::vector<Ticket>& tickets,
                                 std::vector<SpreadAction>* actions) {
  bool applied = false;
  for (const Ticket& it : tickets) {
    if (it.number.value() != in_force_.value() + 1) continue;
    if (!hooks_.apply_ticket(it)) break;
    in_force_ = it.number;
    log_.Add(it);
    applied = true;
  }
  if (applied) OnApplied(actions);
}

void SpreadControl::ApplySnapshot(const Snapshot& snapshot,
                                  std::vector<SpreadAction>* actions) {
  if (!(in_force_ < snapshot.number)) return;
  if (!hooks_.apply_snapshot(snapshot)) return;
  in_force_ = snapshot.number;
  log_.Clear();
  OnApplied(actions);
}

void SpreadControl::OnApplied(std::vector<SpreadAction>* actions) {
  if (highest_seen_ < in_force_) highest_seen_ = in_force_;
  if (in_force_ == highest_seen_) holders_.clear();
  actions->push_back(AnnounceNumber{in_force_});
}

bool SpreadControl::TakeAnswerToken(base::TimePoint now) {
  const std::chrono::duration<double> passed = now - tokens_at_;
  tokens_at_ = now;
  answer_tokens_ =
      std::min(settings_.answer_burst,
               answer_tokens_ + passed.count() * settings_.answers_per_s);
  if (answer_tokens_ < 1.0) return false;
  answer_tokens_ -= 1.0;
  return true;
}

void SpreadControl::ReportFreshness(base::TimePoint now,
                                    std::vector<SpreadAction>* actions) {
  const bool fresh = freshness_.IsFresh(now);
  if (fresh == reported_fresh_) return;
  reported_fresh_ = fresh;
  actions->push_back(FreshnessChanged{fresh});
}

base::Duration SpreadControl::Jitter(base::Duration bound) {
  return base::Duration(static_cast<base::Duration::rep>(
      base::RandomBelow(random_, bound.count() + 1)));
}

}  // namespace dogwoodrail::core::spread
