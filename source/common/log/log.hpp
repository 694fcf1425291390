#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace finchlink::common {

enum class Level { debug, info, warning, error };

#define FINCHLINK_EVENT(number, name, level, meaning) name = number,
enum class Event : int {
#include "common/log/events.def"
};
#undef FINCHLINK_EVENT

/// Name, level and description of a log event.
struct EventEntry {
  Event event;
  char const* name;
  Level level;
  char const* meaning;
};
/// All events, in the order of events.def.
[[nodiscard]] std::vector<EventEntry> const& event_catalogue();

/// Configures logging to stderr: events below `level` are dropped (an unknown level counts as info), and
/// each line names program/name.
void start_log(std::string_view program, std::string_view name, std::string_view level);
/// Logs a numbered event (section 3).
void log_event(Event event, std::string const& details);

}  // namespace finchlink::common
