#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "scheduling/prompt_cache/prompt_cache_estimate.hpp"

namespace finchlink::data_plane {

/// The names that callers and workers of a relay speak (section 13.2). It
/// decides nothing: what is done with them stands in relay.cpp.
struct Dialect {
  std::string query;       ///< header: the query's id, echoed by workers
  std::string seal;        ///< header: on every success of a worker
  std::string left;        ///< header: milliseconds that are left
  std::string target;      ///< header: the worker that is meant
  std::string not_run;     ///< header: the worker did not run it
  std::string load;        ///< header: running, waiting, slots
  std::string tokens;      ///< header: of the prompt, most out
  std::string parts;       ///< header: the prompt's parts
  std::string last_event;  ///< header: take a stream up behind this event
  std::string urgency;     ///< header: 0 first; empty: none
  std::string model;       ///< header: the model that is meant (section 14)
  std::string weights;     ///< header of answers: version of the model's weights; empty: none tell
  std::string expected;    ///< header: another version answers 421
  std::string reused;      ///< header of answers: tokens of the prompt that were not read again
  std::string ready_path;
  std::string directory_path;
  std::function<std::vector<scheduling::PromptPart>(std::string_view)> read_parts;
  std::function<std::string(std::vector<std::string> const& addresses, double seconds)> print_directory;
};
[[nodiscard]] Dialect own_dialect();
/// ID:TOKENS by commas, the id in hex (or any text, hashed).
[[nodiscard]] std::vector<scheduling::PromptPart> read_parts(std::string_view text);

}  // namespace finchlink::data_plane
