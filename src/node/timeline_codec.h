#ifndef DOGWOODRAIL_NODE_TIMELINE_CODEC_H_
#define DOGWOODRAIL_NODE_TIMELINE_CODEC_H_

#include <string>
#include <vector>

#include "core/base/error_type.h"
#include "node/event_log.h"

namespace dogwoodrail::node {

// Events read from the timeline of one node.
struct Timeline {
  core::base::NodeAddress node;
  std::vector<LoggedEvent> events;
};

// Encode and decode the JSON body of the operator endpoint /v1/timeline.
std::string EncodeTimeline(const Timeline& timeline);
core::base::Result<Timeline> DecodeTimeline(const std::string& text);

// Parse and format the query string of that endpoint:
// after=SEQ&request=ID&account=NAME&event=NUMBER, each parameter at most once.
core::base::Result<EventQuery> ParseEventQuery(const std::string& query);
std::string FormatEventQuery(const EventQuery& query);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_TIMELINE_CODEC_H_
