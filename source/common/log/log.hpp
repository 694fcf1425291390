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

struct EventEntry {
  Event event;
  char const* name;
  Level level;
  char const* meaning;
};
[[nodiscard]] std::vector<EventEntry> const& event_catalogue();

void start_log(std::string_view program, std::string_view name, std::string_view level);
/// Writes one numbered event (section 3).
void note(Event event, std::string const& details);

}  // namespace finchlink::common
