#include "data_plane/relay/dialect.hpp"

#include <charconv>
#include <cstdlib>

#include "common/json/tree.hpp"
#include "scheduling/prefix/prefix_record.hpp"

namespace finchlink::data_plane {

std::vector<scheduling::PromptPart> read_parts(std::string_view text) {
  std::vector<scheduling::PromptPart> parts;
  while (!text.empty()) {
    std::string_view const entry = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), entry.size() + 1));
    std::size_t const colon = entry.rfind(':');
    if (colon == std::string_view::npos) {
      continue;
    }
    std::uint64_t tokens = 0;
    std::string_view const count = entry.substr(colon + 1);
    std::from_chars(count.data(), count.data() + count.size(), tokens);
    std::string_view name = entry.substr(0, colon);
    while (!name.empty() && name.front() == ' ') {
      name.remove_prefix(1);
    }
    parts.push_back(scheduling::PromptPart{scheduling::hash_text(name), static_cast<double>(tokens)});
  }
  return parts;
}

Dialect own_dialect() {
  Dialect dialect;
  dialect.query = "Finchlink-Query";
  dialect.seal = "Finchlink-Seal";
  dialect.left = "Finchlink-Left";
  dialect.target = "Finchlink-Worker";
  dialect.not_run = "Finchlink-Refused";
  dialect.load = "Finchlink-Load";
  dialect.tokens = "Finchlink-Tokens";
  dialect.parts = "Finchlink-Parts";
  dialect.model = "Finchlink-Model";
  dialect.weights = "Finchlink-Weights";
  dialect.expected = "Finchlink-Expect-Weights";
  dialect.reused = "Finchlink-Reused";
  dialect.last_event = "Last-Event-ID";
  dialect.ready_path = "/-/ready";
  dialect.directory_path = "/-/directory";
  dialect.read_parts = read_parts;
  dialect.print_directory = [](std::vector<std::string> const& addresses, double seconds) {
    common::Tree object(cJSON_CreateObject());
    cJSON* const list = cJSON_AddArrayToObject(object.get(), "furrows");
    for (std::string const& address : addresses) {
      cJSON_AddItemToArray(list, cJSON_CreateString(address.c_str()));
    }
    cJSON_AddNumberToObject(object.get(), "seconds", seconds);
    return common::print_tree(object.get());
  };
  return dialect;
}

}  // namespace finchlink::data_plane
