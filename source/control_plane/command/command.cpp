#include "control_plane/command/command.hpp"

#include <boost/program_options.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

#include "common/constants.hpp"
#include "common/http/http.hpp"
#include "common/json/tree.hpp"
#include "common/settings/settings.hpp"
#include "control_plane/operator/paths.hpp"

namespace finchlink::control_plane {

namespace options = boost::program_options;
namespace http = common::http;

namespace {
std::string const usage_text =
    "trellis COMMAND --at IP:PORT[,IP:PORT …]\n"
    "  setup get                     the setup in force and its revision\n"
    "  setup put FILE                replace the setup   [--expect REVISION] [--id ID]\n"
    "  setup patch FILE              merge patch         [--expect REVISION] [--id ID]\n"
    "  change ID                     status of a change\n"
    "  hall drain|restore NAME       drain a zone or restore it (setup)\n"
    "  charter get                   the charter (routing configuration) in force, as it was sent, and its number\n"
    "  charter put FILE              replace the charter [--expect NUMBER]\n"
    "  charter patch FILE            change named items  [--expect NUMBER]\n"
    "  evacuate|retake NAME          drain a zone or restore it (charter)\n"
    "  evacuated                     drained zones (charter)\n"
    "  tenants                       prompt cache use by tenant, summed over the relays at --at (their ready "
    "addresses)\n"
    "  check                         whether the control plane is healthy: 0 yes, 1 no\n"
    "  members | trellises | workers | split | duties | holders | ready\n"
    "FILE - reads standard input. Exit codes: 0 done, 1 degraded (check), 2 usage, 4 refused, 5 unreachable or "
    "unknown outcome.\n";

/// The HTTP request that a command stands for.
struct CommandRequest {
  http::verb verb = http::verb::get;
  std::string target;
  std::string file;    ///< holds the request body; "-": standard input; empty: no body
  bool check = false;  ///< status 503 also counts as an answer: the control plane is degraded
  bool sum = false;    ///< sends it to all addresses and sums up the answers
};

/// Adds one relay's statistics by tenant to `sums` and its count of prompt isolation violations to `violations`
/// (section 14.4). Returns false if the body isn't such a document.
bool add_tenants(std::string const& body, std::map<std::string, std::map<std::string, double>>& sums,
                 double& violations) {
  absl::StatusOr<common::Tree> const tree = common::read_tree(body);
  if (!tree.ok()) {
    return false;
  }
  for (char const* const list_name : {"tenants", "others"}) {
    cJSON const* entry = nullptr;
    cJSON_ArrayForEach(entry, cJSON_GetObjectItemCaseSensitive(tree->get(), list_name)) {
      cJSON const* const name = cJSON_GetObjectItemCaseSensitive(entry, "name");
      for (char const* const field : {"queries", "cold", "tokens", "reused"}) {
        cJSON const* const value = cJSON_GetObjectItemCaseSensitive(entry, field);
        if (cJSON_IsNumber(value) != 0 && cJSON_IsString(name) != 0) {
          sums[std::string(list_name) == "others" ? "(others)" : name->valuestring][field] += value->valuedouble;
        }
      }
    }
  }
  cJSON const* const violation_count = cJSON_GetObjectItemCaseSensitive(tree->get(), "crossings");
  violations += cJSON_IsNumber(violation_count) != 0 ? violation_count->valuedouble : 0;
  return cJSON_IsNumber(violation_count) != 0;
}

/// Prints the summed statistics as a table on standard output.
void print_tenants(std::map<std::string, std::map<std::string, double>>& sums, double violations) {
  std::cout << std::left << std::setw(32) << "tenant" << std::right << std::setw(10) << "queries" << std::setw(10)
            << "cold" << std::setw(14) << "tokens" << std::setw(14) << "reused" << std::setw(8) << "share"
            << "\n";
  for (std::pair<std::string const, std::map<std::string, double>>& entry : sums) {
    std::map<std::string, double>& sum = entry.second;
    if (sum["queries"] > 0) {
      std::cout << std::left << std::setw(32) << (entry.first.empty() ? "(none named)" : entry.first) << std::right
                << std::fixed << std::setprecision(0) << std::setw(10) << sum["queries"] << std::setw(10) << sum["cold"]
                << std::setw(14) << sum["tokens"] << std::setw(14) << sum["reused"] << std::setprecision(3)
                << std::setw(8) << (sum["tokens"] > 0 ? sum["reused"] / sum["tokens"] : 0) << "\n";
    }
  }
  std::cout << std::setprecision(0) << "crossings " << violations << "\n";
}

/// Parses the words of a command; returns false if they form none.
bool parse_command(std::vector<std::string> const& words, CommandRequest& command) {
  static OperatorPaths const paths;
  std::string const first = words.empty() ? "" : words[0];
  if (first == "setup" && words.size() == 2 && words[1] == "get") {
    command.target = "/setup";
    return true;
  }
  if (first == "setup" && words.size() == 3 && (words[1] == "put" || words[1] == "patch")) {
    command = CommandRequest{words[1] == "put" ? http::verb::put : http::verb::patch, "/setup", words[2]};
    return true;
  }
  if (first == "charter" && words.size() == 2 && words[1] == "get") {
    command.target = paths.routing_config;
    return true;
  }
  if (first == "charter" && words.size() == 3 && (words[1] == "put" || words[1] == "patch")) {
    command = CommandRequest{words[1] == "put" ? http::verb::put : http::verb::patch, paths.routing_config, words[2]};
    return true;
  }
  if ((first == "evacuate" || first == "retake") && words.size() == 2) {
    command = CommandRequest{first == "evacuate" ? http::verb::post : http::verb::delete_,
                             paths.zone_prefix + words[1] + paths.drain_suffix, ""};
    return true;
  }
  if (first == "change" && words.size() == 2) {
    command.target = "/changes/" + words[1];
    return true;
  }
  if (first == "hall" && words.size() == 3 && (words[1] == "drain" || words[1] == "restore")) {
    command = CommandRequest{http::verb::post, "/halls/" + words[2] + "/" + words[1], ""};
    return true;
  }
  if (first == "tenants" && words.size() == 1) {
    command = CommandRequest{.target = "/-/tenants", .sum = true};
    return true;
  }
  if (first == "check" && words.size() == 1) {
    command = CommandRequest{.target = "/check", .check = true};
    return true;
  }
  if (words.size() == 1 && (first == "members" || first == "trellises" || first == "workers" || first == "split" ||
                            first == "duties" || first == "holders" || first == "ready" || first == "evacuated")) {
    command.target = "/" + first;
    return true;
  }
  return false;
}
}  // namespace

bool is_command(int count, char const* const* values) {
  return count > 1 && values[1][0] != '-';
}

int run_command(int count, char const* const* values) {
  options::options_description visible("flags");
  visible.add_options()("help", "this text")("at", options::value<std::string>(),
                                             "HTTP addresses of controllers, tried in turn")(
      "expect", options::value<std::string>(), "revision (setup) or number (charter) that the change replaces")(
      "id", options::value<std::string>(), "id of the change, which makes it idempotent");
  options::options_description all;
  all.add(visible).add_options()("words", options::value<std::vector<std::string>>());
  options::positional_options_description positional;
  positional.add("words", -1);
  options::variables_map parsed_flags;
  try {
    options::store(options::command_line_parser(count, values).options(all).positional(positional).run(), parsed_flags);
  } catch (options::error const& error) {
    std::cerr << "trellis: " << error.what() << "\n";
    return common::exit_usage;
  }
  CommandRequest command;
  if (parsed_flags.count("help") > 0 || !parse_command(parsed_flags["words"].as<std::vector<std::string>>(), command) ||
      parsed_flags.count("at") == 0) {
    std::cerr << usage_text;
    return parsed_flags.count("help") > 0 ? 0 : common::exit_usage;
  }
  common::Request request{command.verb, command.target, 11};
  if (!command.file.empty()) {
    std::stringstream content;
    if (command.file == "-") {
      content << std::cin.rdbuf();
    } else {
      std::ifstream file(command.file);
      if (!file) {
        std::cerr << "trellis: " << command.file << " can't be read\n";
        return common::exit_usage;
      }
      content << file.rdbuf();
    }
    request.body() = content.str();
    request.set(http::field::content_type, "application/json");
  }
  if (parsed_flags.count("expect") > 0) {
    request.set(http::field::if_match, "\"" + parsed_flags["expect"].as<std::string>() + "\"");
  }
  // A change with an id is idempotent, so it can safely be sent to the next controller if the first one doesn't answer.
  if (parsed_flags.count("id") > 0) {
    request.set("Change-Id", parsed_flags["id"].as<std::string>());
  }
  bool const should_generate_id = command.target == "/setup" && parsed_flags.count("id") == 0 &&
                                  (command.verb == http::verb::put || command.verb == http::verb::patch);
  int code = common::exit_unreachable;
  boost::asio::io_context context;
  common::start(context, [&](common::Yield yield) {
    std::stringstream addresses(parsed_flags["at"].as<std::string>());
    std::string address;
    std::string revision;
    std::map<std::string, std::map<std::string, double>> sums;
    double violations = 0;
    bool is_complete = true;
    while (command.sum && std::getline(addresses, address, ',')) {
      absl::StatusOr<common::Response> const answer = common::send_request(
          context, address, request, common::constants::change_deadline * 3, common::constants::list_limit, yield);
      if (!answer.ok() || !add_tenants(answer->body(), sums, violations)) {
        std::cerr << "trellis: " << address << " returned no tenant statistics; is this a relay's ready address?\n";
        is_complete = false;
      }
    }
    if (command.sum) {
      print_tenants(sums, violations);
      code = !is_complete ? common::exit_unreachable : violations > 0 ? common::exit_refused : 0;
      return;
    }
    while (std::getline(addresses, address, ',')) {
      if (should_generate_id && revision.empty()) {  // an id ends in the revision that its creator knew (section 5.7)
        absl::StatusOr<common::Response> const setup =
            common::send_request(context, address, common::Request{http::verb::get, "/setup", 11},
                                 common::constants::change_deadline * 3, common::constants::list_limit, yield);
        if (!setup.ok() || setup->result_int() >= 500) {
          std::cerr << "trellis: " << address << " did not return the setup\n";
          continue;
        }
        std::string const tag((*setup)[http::field::etag]);
        revision = tag.size() > 2 ? tag.substr(1, tag.size() - 2) : "0";
        request.set("Change-Id",
                    "command-" + std::to_string(common::boot_now()) + "-" + std::to_string(getpid()) + "." + revision);
      }
      absl::StatusOr<common::Response> const answer = common::send_request(
          context, address, request, common::constants::change_deadline * 3, common::constants::list_limit, yield);
      if (!answer.ok()) {
        std::cerr << "trellis: " << answer.status().message() << "\n";
        continue;
      }
      std::cout << answer->body() << "\n";
      if (!(*answer)[http::field::etag].empty()) {
        std::cerr << "revision " << (*answer)[http::field::etag] << "\n";
      }
      int const status = static_cast<int>(answer->result_int());
      if (command.check && (status == 200 || status == 503)) {
        code = status == 200 ? 0 : exit_degraded;
        return;
      }
      code = status < 300 ? 0 : (status >= 500 ? common::exit_unreachable : common::exit_refused);
      return;
    }
  });
  context.run();
  return code;
}

}  // namespace finchlink::control_plane
