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
std::string const words_help =
    "trellis COMMAND --at IP:PORT[,IP:PORT …]\n"
    "  setup get                     the setup in force and its revision\n"
    "  setup put FILE                replace the setup   [--expect REVISION] [--id ID]\n"
    "  setup patch FILE              merge patch         [--expect REVISION] [--id ID]\n"
    "  change ID                     what became of a change\n"
    "  hall drain|restore NAME       empty a hall or take it back (setup)\n"
    "  charter get                   the charter in force, as it was sent, and its number\n"
    "  charter put FILE              replace the charter [--expect NUMBER]\n"
    "  charter patch FILE            change named items  [--expect NUMBER]\n"
    "  evacuate|retake NAME          empty a hall or take it back (charter)\n"
    "  evacuated                     halls that are emptied (charter)\n"
    "  tenants                       reuse of each tenant, summed over the relays at --at (their ready addresses)\n"
    "  check                         whether the control plane is healthy: 0 yes, 1 no\n"
    "  members | trellises | workers | split | duties | holders | ready\n"
    "FILE - reads standard input. Exit codes: 0 done, 1 degraded (check), 2 usage, 4 refused, 5 not reached or "
    "unknown.\n";

struct Plan {
  http::verb verb = http::verb::get;
  std::string target;
  std::string file;
  bool check = false;  ///< the answer tells whether all is well, whatever its status
  bool sum = false;    ///< all addresses are asked, and what they tell is added up
};

/// Adds what one relay tells of its tenants (section 14.4).
bool add_tenants(std::string const& body, std::map<std::string, std::map<std::string, double>>& sums,
                 double& crossings) {
  absl::StatusOr<common::Tree> const tree = common::read_tree(body);
  if (!tree.ok()) {
    return false;
  }
  for (char const* const list : {"tenants", "others"}) {
    cJSON const* entry = nullptr;
    cJSON_ArrayForEach(entry, cJSON_GetObjectItemCaseSensitive(tree->get(), list)) {
      cJSON const* const name = cJSON_GetObjectItemCaseSensitive(entry, "name");
      for (char const* const field : {"queries", "cold", "tokens", "reused"}) {
        cJSON const* const value = cJSON_GetObjectItemCaseSensitive(entry, field);
        if (cJSON_IsNumber(value) != 0 && cJSON_IsString(name) != 0) {
          sums[std::string(list) == "others" ? "(others)" : name->valuestring][field] += value->valuedouble;
        }
      }
    }
  }
  cJSON const* const crossed = cJSON_GetObjectItemCaseSensitive(tree->get(), "crossings");
  crossings += cJSON_IsNumber(crossed) != 0 ? crossed->valuedouble : 0;
  return cJSON_IsNumber(crossed) != 0;
}

void print_tenants(std::map<std::string, std::map<std::string, double>>& sums, double crossings) {
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
  std::cout << std::setprecision(0) << "crossings " << crossings << "\n";
}

bool plan_of(std::vector<std::string> const& words, Plan& plan) {
  static OperatorPaths const paths;
  std::string const first = words.empty() ? "" : words[0];
  if (first == "setup" && words.size() == 2 && words[1] == "get") {
    plan.target = "/setup";
    return true;
  }
  if (first == "setup" && words.size() == 3 && (words[1] == "put" || words[1] == "patch")) {
    plan = Plan{words[1] == "put" ? http::verb::put : http::verb::patch, "/setup", words[2]};
    return true;
  }
  if (first == "charter" && words.size() == 2 && words[1] == "get") {
    plan.target = paths.routing_config;
    return true;
  }
  if (first == "charter" && words.size() == 3 && (words[1] == "put" || words[1] == "patch")) {
    plan = Plan{words[1] == "put" ? http::verb::put : http::verb::patch, paths.routing_config, words[2]};
    return true;
  }
  if ((first == "evacuate" || first == "retake") && words.size() == 2) {
    plan = Plan{first == "evacuate" ? http::verb::post : http::verb::delete_, paths.hall + words[1] + paths.evacuation,
                ""};
    return true;
  }
  if (first == "change" && words.size() == 2) {
    plan.target = "/changes/" + words[1];
    return true;
  }
  if (first == "hall" && words.size() == 3 && (words[1] == "drain" || words[1] == "restore")) {
    plan = Plan{http::verb::post, "/halls/" + words[2] + "/" + words[1], ""};
    return true;
  }
  if (first == "tenants" && words.size() == 1) {
    plan = Plan{.target = "/-/tenants", .sum = true};
    return true;
  }
  if (first == "check" && words.size() == 1) {
    plan = Plan{.target = "/check", .check = true};
    return true;
  }
  if (words.size() == 1 && (first == "members" || first == "trellises" || first == "workers" || first == "split" ||
                            first == "duties" || first == "holders" || first == "ready" || first == "evacuated")) {
    plan.target = "/" + first;
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
                                             "HTTP addresses of trellises, tried in turn")(
      "expect", options::value<std::string>(), "revision that the change is meant for")(
      "id", options::value<std::string>(), "id of the change");
  options::options_description all;
  all.add(visible).add_options()("words", options::value<std::vector<std::string>>());
  options::positional_options_description positional;
  positional.add("words", -1);
  options::variables_map found;
  try {
    options::store(options::command_line_parser(count, values).options(all).positional(positional).run(), found);
  } catch (options::error const& error) {
    std::cerr << "trellis: " << error.what() << "\n";
    return common::exit_usage;
  }
  Plan plan;
  if (found.count("help") > 0 || !plan_of(found["words"].as<std::vector<std::string>>(), plan) ||
      found.count("at") == 0) {
    std::cerr << words_help;
    return found.count("help") > 0 ? 0 : common::exit_usage;
  }
  common::Ask ask{plan.verb, plan.target, 11};
  if (!plan.file.empty()) {
    std::stringstream content;
    if (plan.file == "-") {
      content << std::cin.rdbuf();
    } else {
      std::ifstream file(plan.file);
      if (!file) {
        std::cerr << "trellis: " << plan.file << " can't be read\n";
        return common::exit_usage;
      }
      content << file.rdbuf();
    }
    ask.body() = content.str();
    ask.set(http::field::content_type, "application/json");
  }
  if (found.count("expect") > 0) {
    ask.set(http::field::if_match, "\"" + found["expect"].as<std::string>() + "\"");
  }
  // With an id of our own the same change can safely be sent to the next
  // trellis when the first one does not answer.
  if (found.count("id") > 0) {
    ask.set("Change-Id", found["id"].as<std::string>());
  }
  bool const own_id = plan.target == "/setup" && found.count("id") == 0 &&
                      (plan.verb == http::verb::put || plan.verb == http::verb::patch);
  int code = common::exit_unreachable;
  boost::asio::io_context context;
  common::start(context, [&](common::Yield yield) {
    std::stringstream addresses(found["at"].as<std::string>());
    std::string address;
    std::string revision;
    std::map<std::string, std::map<std::string, double>> sums;
    double crossings = 0;
    bool all = true;
    while (plan.sum && std::getline(addresses, address, ',')) {
      absl::StatusOr<common::Answer> const answer = common::ask_once(
          context, address, ask, common::constants::change_deadline * 3, common::constants::list_limit, yield);
      if (!answer.ok() || !add_tenants(answer->body(), sums, crossings)) {
        std::cerr << "trellis: " << address << " tells of no tenants\n";
        all = false;
      }
    }
    if (plan.sum) {
      print_tenants(sums, crossings);
      code = !all ? common::exit_unreachable : crossings > 0 ? common::exit_refused : 0;
      return;
    }
    while (std::getline(addresses, address, ',')) {
      if (own_id && revision.empty()) {  // an id ends in the revision that its maker knew (section 5.7)
        absl::StatusOr<common::Answer> const now =
            common::ask_once(context, address, common::Ask{http::verb::get, "/setup", 11},
                             common::constants::change_deadline * 3, common::constants::list_limit, yield);
        if (!now.ok() || now->result_int() >= 500) {
          std::cerr << "trellis: " << address << " does not know the setup\n";
          continue;
        }
        std::string const tag((*now)[http::field::etag]);
        revision = tag.size() > 2 ? tag.substr(1, tag.size() - 2) : "0";
        ask.set("Change-Id",
                "command-" + std::to_string(common::boot_now()) + "-" + std::to_string(getpid()) + "." + revision);
      }
      absl::StatusOr<common::Answer> const answer = common::ask_once(
          context, address, ask, common::constants::change_deadline * 3, common::constants::list_limit, yield);
      if (!answer.ok()) {
        std::cerr << "trellis: " << answer.status().message() << "\n";
        continue;
      }
      std::cout << answer->body() << "\n";
      if (!(*answer)[http::field::etag].empty()) {
        std::cerr << "revision " << (*answer)[http::field::etag] << "\n";
      }
      int const status = static_cast<int>(answer->result_int());
      if (plan.check && (status == 200 || status == 503)) {
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
