#ifndef DOGWOODRAIL_CORE_BASE_EVENT_TABLE_H_
#define DOGWOODRAIL_CORE_BASE_EVENT_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/event_type.h"

namespace dogwoodrail::core::base {

// Category of an event; equal to its number divided by 100.
enum class EventCategory : std::uint8_t {
  kRequest = 1,
  kAdmission = 2,
  kRate = 3,
  kShard = 4,
  kMember = 5,
  kConfig = 6,
  kPoison = 7,
  kLink = 8,
  kProcess = 9,
};

// Log level of an event. The timeline contains events of all levels.
enum class EventLevel : std::uint8_t {
  kDebug,  // logged only for the categories in `[log] debug`
  kInfo,
  kWarning,
  kError,
};

// Static properties of one event.
struct EventSpec {
  EventNumber number;
  std::string_view name;
  EventLevel level;
  std::string_view text;
};

// Returns all events in ascending order of number.
const std::vector<EventSpec>& EventTable();

// Returns the event with a number, or nullptr.
const EventSpec* FindEvent(std::uint16_t number);

// Returns the category of an event.
EventCategory GetEventCategory(EventNumber number);

// Returns the name of a category as used in settings.
std::string_view EventCategoryText(EventCategory category);

// Returns all categories.
const std::vector<EventCategory>& EventCategories();

// Returns "debug", "info", "warning" or "error".
std::string_view EventLevelText(EventLevel level);

// Returns the content of docs/EVENTS.md.
std::string EventsMarkdown();

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_EVENT_TABLE_H_
