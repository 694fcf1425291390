#include "config/setup/setup.hpp"

#include <map>

#include "common/json/tree.hpp"

namespace finchlink::config {

using common::Fault;

namespace {
void validate_selector(schema::Selector const& selector, std::string const& path, std::vector<Fault>& faults) {
  bool const needs_key = !selector.op.empty();
  if (needs_key && selector.key.empty()) {
    faults.push_back(Fault{path + "/key", "is missing"});
  }
  if (!needs_key && (!selector.key.empty() || !selector.values.empty())) {
    faults.push_back(Fault{path + "/op", "is missing"});
  }
  if (selector.op == "equals" && selector.values.size() != 1) {
    faults.push_back(Fault{path + "/values", "must have one entry for equals"});
  }
  if ((selector.op == "in" || selector.op == "notin") && selector.values.empty()) {
    faults.push_back(Fault{path + "/values", "must not be empty"});
  }
  if (selector.op == "exists" && !selector.values.empty()) {
    faults.push_back(Fault{path + "/values", "must be empty for exists"});
  }
  std::size_t index = 0;
  for (schema::Selector const& part : selector.all) {
    validate_selector(part, path + "/all/" + std::to_string(index++), faults);
  }
  index = 0;
  for (schema::Selector const& part : selector.any) {
    validate_selector(part, path + "/any/" + std::to_string(index++), faults);
  }
  index = 0;
  for (schema::Selector const& part : selector.none) {
    validate_selector(part, path + "/none/" + std::to_string(index++), faults);
  }
}

void validate_rule(schema::Setup const& setup, schema::Rule const& rule, std::string const& path,
                   std::vector<Fault>& faults) {
  validate_selector(rule.selector, path + "/selector", faults);
  if (rule.match.path.empty() == rule.match.path_prefix.empty()) {
    faults.push_back(Fault{path + "/match", "needs either path or path_prefix"});
  }
  std::string const& match_path = rule.match.path.empty() ? rule.match.path_prefix : rule.match.path;
  if (!match_path.empty() && match_path.front() != '/') {
    faults.push_back(Fault{path + "/match", "a path must begin with /"});
  }
  if (rule.home.has_value()) {
    int const home_sources = (rule.home->region.empty() ? 0 : 1) + (rule.home->header.empty() ? 0 : 1) +
                             (rule.home->path_segment == 0 ? 0 : 1);
    if (home_sources != 1) {
      faults.push_back(Fault{path + "/home", "needs one of region, header and path_segment"});
    }
    if (!rule.home->region.empty() && setup.regions.count(rule.home->region) == 0) {
      faults.push_back(Fault{path + "/home/region", "is not a region of this setup"});
    }
  }
  if (rule.kind == "plain" && rule.stream) {
    faults.push_back(Fault{path + "/stream", "a plain rule can't stream"});
  }
  if (rule.resumable && !rule.stream) {
    faults.push_back(Fault{path + "/resumable", "only a rule that streams can be resumable"});
  }
}
}  // namespace

ParsedSetup read_setup(std::string_view text) {
  ParsedSetup parsed;
  absl::StatusOr<common::Tree> const tree = common::read_tree(text);
  if (!tree.ok()) {
    parsed.reason = std::string(tree.status().message());
    return parsed;
  }
  parsed.json = true;
  schema::read(tree->get(), "", parsed.setup, parsed.faults);
  std::map<std::string, std::string> region_by_zone;
  for (std::pair<std::string const, schema::Region> const& region : parsed.setup.regions) {
    std::string const path = "/regions/" + common::pointer_part(region.first) + "/halls";
    if (region.second.halls.empty()) {
      parsed.faults.push_back(Fault{path, "must not be empty"});
    }
    for (std::size_t index = 0; index < region.second.halls.size(); ++index) {
      std::string const& zone = region.second.halls[index];
      if (!region_by_zone.emplace(zone, region.first).second) {
        parsed.faults.push_back(Fault{path + "/" + std::to_string(index), "this hall is in a region already"});
      }
    }
  }
  for (std::pair<std::string const, schema::Hall> const& zone : parsed.setup.halls) {
    if (region_by_zone.count(zone.first) == 0) {
      parsed.faults.push_back(Fault{"/halls/" + common::pointer_part(zone.first), "is in no region"});
    }
  }
  for (std::size_t index = 0; index < parsed.setup.labels.size(); ++index) {
    validate_selector(parsed.setup.labels[index].where, "/labels/" + std::to_string(index) + "/where", parsed.faults);
  }
  for (std::pair<std::string const, schema::Rule> const& rule : parsed.setup.rules) {
    validate_rule(parsed.setup, rule.second, "/rules/" + common::pointer_part(rule.first), parsed.faults);
  }
  return parsed;
}

absl::StatusOr<std::string> canonical_json(std::string_view text) {
  absl::StatusOr<common::Tree> const tree = common::read_tree(text);
  if (!tree.ok()) {
    return tree.status();
  }
  return common::print_sorted(tree->get());
}

absl::StatusOr<std::string> apply_merge_patch(std::string_view text, std::string_view patch) {
  absl::StatusOr<common::Tree> target = common::read_tree(text.empty() ? std::string_view("{}") : text);
  absl::StatusOr<common::Tree> const change = common::read_tree(patch);
  if (!target.ok()) {
    return target.status();
  }
  if (!change.ok()) {
    return change.status();
  }
  return common::print_sorted(common::merge_patch(std::move(*target), change->get()).get());
}

}  // namespace finchlink::config
