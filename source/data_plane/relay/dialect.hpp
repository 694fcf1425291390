#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "scheduling/prompt_cache/prompt_cache_estimate.hpp"

namespace finchlink::data_plane {

/// Header names, paths and formats that a relay uses with callers and workers (section 13.2). It holds no logic of
/// forwarding: that is in relay.cpp.
struct Dialect {
  std::string query;       ///< header: the query's id, returned by workers
  std::string seal;        ///< header: on every successful response of a worker
  std::string left;        ///< header: remaining time, in milliseconds
  std::string target;      ///< header: the worker that the request is for
  std::string not_run;     ///< header of responses: the worker did not run the request
  std::string load;        ///< header of responses: the worker's load: running, waiting, slots
  std::string tokens;      ///< header: tokens of the prompt, maximum output tokens
  std::string parts;       ///< header: the prompt's cacheable parts
  std::string last_event;  ///< header: resume a stream after this event
  std::string urgency;     ///< header: urgency, 0 first; empty: the header is not sent
  std::string model;       ///< header: the requested model (section 14)
  std::string weights;     ///< header of responses: version of the model's weights; empty: no worker sends it
  std::string expected;    ///< header: required version of the weights; a worker with another one responds 421
  std::string reused;      ///< header of responses: prompt tokens served from the cache
  std::string ready_path;
  std::string directory_path;
  std::function<std::vector<scheduling::PromptPart>(std::string_view)> read_parts;
  /// The directory document; `seconds`: how long a caller may use it.
  std::function<std::string(std::vector<std::string> const& addresses, double seconds)> print_directory;
};
/// The project's own header names and paths.
[[nodiscard]] Dialect own_dialect();
/// Reads a list ID:TOKENS separated by commas; ids (hex or any other text) are hashed. Entries without a colon are
/// skipped.
[[nodiscard]] std::vector<scheduling::PromptPart> read_parts(std::string_view text);

}  // namespace finchlink::data_plane
