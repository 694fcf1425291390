#include "platform/dialect.hpp"

#include "common/json/tree.hpp"

namespace finchlink::platform {

data_plane::Dialect dialect() {
  data_plane::Dialect dialect;
  dialect.query = "Attempt-Id";
  dialect.seal = "Answer-Seal";
  dialect.left = "Time-Left";
  dialect.target = "Target-Instance";
  dialect.not_run = "Not-Run";
  dialect.load = "Load-Level";
  dialect.tokens = "Token-Count";
  dialect.parts = "Prompt-Prefix";
  dialect.last_event = "Last-Event-Id";
  dialect.urgency = "Request-Urgency";
  dialect.ready_path = "/v1/readiness";
  dialect.directory_path = "/v1/resolve";
  dialect.read_parts = data_plane::read_parts;
  dialect.print_directory = [](std::vector<std::string> const& addresses, double seconds) {
    common::Tree document(cJSON_CreateObject());
    cJSON* const items = cJSON_AddArrayToObject(document.get(), "addresses");
    for (std::string const& address : addresses) {
      cJSON_AddItemToArray(items, cJSON_CreateString(address.c_str()));
    }
    cJSON_AddNumberToObject(document.get(), "ttl_s", seconds);
    return common::print_tree(document.get());
  };
  return dialect;
}

}  // namespace finchlink::platform
