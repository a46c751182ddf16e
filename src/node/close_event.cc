#include "node/close_event.h"

#include <string>

#include "http/close_table.h"

namespace dogwoodrail::node {

using core::base::EventNumber;
using core::stop::StopEnd;
using http::CloseCause;

core::base::Event MakeCloseEvent(const http::ConnectionClose& close) {
  const EventNumber number = http::IsUnanswered(close)
                                 ? EventNumber::kRequestUnanswered
                                 : EventNumber::kCallerClosed;
  std::string detail =
      "cause=" + std::string(http::GetCloseCauseSpec(close.cause).name) +
      " requests=" + std::to_string(close.requests_read) +
      " unread=" + std::to_string(close.unread_bytes);
  if (http::IsAbandoned(close)) detail += " abandoned=1";
  return {number, close.request, {}, std::move(detail)};
}

http::CloseCause CloseCauseOf(StopEnd end) {
  switch (end) {
    case StopEnd::kDeadline:
      return CloseCause::kStopDeadline;
    case StopEnd::kLoopEnded:
    case StopEnd::kFinished:
      return CloseCause::kServerClosed;
  }
  return CloseCause::kServerClosed;
}

}  // namespace dogwoodrail::node
