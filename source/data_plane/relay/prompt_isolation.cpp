#include "data_plane/relay/prompt_isolation.hpp"

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "common/error/error.hpp"
#include "common/json/tree.hpp"
#include "common/log/log.hpp"
#include "common/prompt_isolation_constants.hpp"
#include "data_plane/relay/relay_server.hpp"

namespace finchlink::data_plane {

namespace http = boost::beast::http;

scheduling::TenantReading tenant_of(schema::Tenancy const& tenancy, http::fields const& header,
                                    std::string_view target) {
  std::vector<std::string_view> values;
  if (!tenancy.header.empty()) {
    std::pair<http::fields::const_iterator, http::fields::const_iterator> const range =
        header.equal_range(tenancy.header);
    for (http::fields::const_iterator entry = range.first; entry != range.second; ++entry) {
      values.emplace_back(entry->value().data(), entry->value().size());
    }
  }
  return scheduling::read_tenant(tenancy, values, target);
}

std::string model_of(http::fields const& header, std::string const& name) {
  std::string model;
  std::pair<http::fields::const_iterator, http::fields::const_iterator> const range = header.equal_range(name);
  for (http::fields::const_iterator entry = range.first; entry != range.second; ++entry) {
    model.append(entry == range.first ? "" : "\n").append(entry->value().data(), entry->value().size());
  }
  return model;
}

std::array<std::uint64_t, 2> draw_nonce() {
  // From the system each time: the next numbers of a generator could be predicted.
  std::random_device device;
  std::array<std::uint64_t, 2> numbers{};
  for (std::uint64_t& number : numbers) {
    number = (static_cast<std::uint64_t>(device()) << 32u) | device();
  }
  return numbers;
}

absl::StatusOr<scheduling::Secrets> load_secrets(std::string const& path) {
  std::ifstream file(path);
  std::stringstream content;
  content << file.rdbuf();
  if (!file) {
    return common::make_error(absl::StatusCode::kInvalidArgument, "secrets", path + " can't be read");
  }
  return scheduling::read_secrets(content.str());
}

void RelayServer::watch_secrets(common::Yield yield) {
  std::pair<std::filesystem::file_time_type, std::uintmax_t> seen;
  bool first = true;
  while (true) {
    std::error_code error;
    std::pair<std::filesystem::file_time_type, std::uintmax_t> stamp;
    stamp.first = std::filesystem::last_write_time(settings_.secrets_file, error);
    stamp.second = error ? 0 : std::filesystem::file_size(settings_.secrets_file, error);
    if (first || stamp != seen) {
      first = false;
      seen = stamp;
      absl::StatusOr<scheduling::Secrets> secrets = load_secrets(settings_.secrets_file);
      if (secrets.ok()) {
        common::log_event(common::Event::SecretsRead, std::to_string(secrets->moved) + " of 100");
        isolation_.set_secrets(std::move(*secrets));
      } else {
        common::log_event(common::Event::SecretsBroken, std::string(secrets.status().message()));
      }
    }
    common::pause(context_, common::constants::secrets_pause, yield);
  }
}

namespace {
scheduling::TenantTally sum_of(scheduling::PromptIsolation const& isolation) {
  scheduling::TenantTally sum = isolation.others();
  for (std::pair<std::string, scheduling::TenantTally> const& entry : isolation.tallies()) {
    sum.queries += entry.second.queries;
    sum.cold += entry.second.cold;
    sum.tokens += entry.second.tokens;
    sum.reused += entry.second.reused;
  }
  return sum;
}

void add(cJSON* list, std::string const& name, scheduling::TenantTally const& tally) {
  cJSON* const entry = cJSON_CreateObject();
  cJSON_AddStringToObject(entry, "name", name.c_str());
  cJSON_AddNumberToObject(entry, "queries", static_cast<double>(tally.queries));
  cJSON_AddNumberToObject(entry, "cold", static_cast<double>(tally.cold));
  cJSON_AddNumberToObject(entry, "tokens", tally.tokens);
  cJSON_AddNumberToObject(entry, "reused", tally.reused);
  cJSON_AddItemToArray(list, entry);
}
}  // namespace

std::string print_isolation_metrics(scheduling::PromptIsolation const& isolation) {
  scheduling::TenantTally const sum = sum_of(isolation);
  std::stringstream text;
  text << "# TYPE relay_wall_crossings_total counter\nrelay_wall_crossings_total " << isolation.crossings()
       << "\nrelay_wall_queries_total " << sum.queries << "\nrelay_wall_cold_total " << sum.cold
       << "\nrelay_wall_tokens_total " << static_cast<std::uint64_t>(sum.tokens) << "\nrelay_wall_reused_tokens_total "
       << static_cast<std::uint64_t>(sum.reused) << "\nrelay_wall_other_weights_total " << isolation.other_weights()
       << "\nrelay_wall_keyed " << (isolation.has_secrets() ? 1 : 0) << "\n";
  return text.str();
}

std::string print_tenants(scheduling::PromptIsolation const& isolation) {
  common::Tree object(cJSON_CreateObject());
  cJSON* const list = cJSON_AddArrayToObject(object.get(), "tenants");
  for (std::pair<std::string, scheduling::TenantTally> const& entry : isolation.tallies()) {
    add(list, entry.first, entry.second);
  }
  cJSON* const others = cJSON_AddArrayToObject(object.get(), "others");
  add(others, "", isolation.others());
  cJSON_AddNumberToObject(object.get(), "crossings", static_cast<double>(isolation.crossings()));
  return common::print_tree(object.get());
}

}  // namespace finchlink::data_plane
