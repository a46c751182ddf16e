#include "core/reload/reload_type.h"

namespace dogwoodrail::core::reload {

ReloadCount CountOf(const ReloadDecision& decision) {
  if (decision.outcome == ReloadOutcome::kRefused) return ReloadCount::kRefused;
  if (decision.outcome == ReloadOutcome::kUnchanged) {
    return ReloadCount::kUnchanged;
  }
  return decision.needs_restart.empty() ? ReloadCount::kApplied
                                        : ReloadCount::kNeedsRestart;
}

std::string_view ReloadCountText(ReloadCount count) {
  switch (count) {
    case ReloadCount::kApplied:
      return "applied";
    case ReloadCount::kNeedsRestart:
      return "needs_restart";
    case ReloadCount::kUnchanged:
      return "unchanged";
    case ReloadCount::kRefused:
      return "refused";
  }
  return "";
}

}  // namespace dogwoodrail::core::reload
