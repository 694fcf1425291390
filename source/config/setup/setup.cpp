#include "config/setup/setup.hpp"

#include <map>

#include "common/json/tree.hpp"

namespace finchlink::config {

using common::Fault;

namespace {
void check_selector(schema::Selector const& selector, std::string const& path, std::vector<Fault>& faults) {
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
  std::size_t place = 0;
  for (schema::Selector const& part : selector.all) {
    check_selector(part, path + "/all/" + std::to_string(place++), faults);
  }
  place = 0;
  for (schema::Selector const& part : selector.any) {
    check_selector(part, path + "/any/" + std::to_string(place++), faults);
  }
  place = 0;
  for (schema::Selector const& part : selector.none) {
    check_selector(part, path + "/none/" + std::to_string(place++), faults);
  }
}

void check_rule(schema::Setup const& setup, schema::Rule const& rule, std::string const& path,
                std::vector<Fault>& faults) {
  check_selector(rule.selector, path + "/selector", faults);
  if (rule.match.path.empty() == rule.match.path_prefix.empty()) {
    faults.push_back(Fault{path + "/match", "needs either path or path_prefix"});
  }
  std::string const& place = rule.match.path.empty() ? rule.match.path_prefix : rule.match.path;
  if (!place.empty() && place.front() != '/') {
    faults.push_back(Fault{path + "/match", "a path must begin with /"});
  }
  if (rule.home.has_value()) {
    int const ways = (rule.home->region.empty() ? 0 : 1) + (rule.home->header.empty() ? 0 : 1) +
                     (rule.home->path_segment == 0 ? 0 : 1);
    if (ways != 1) {
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

SetupReading read_setup(std::string_view text) {
  SetupReading reading;
  absl::StatusOr<common::Tree> const tree = common::read_tree(text);
  if (!tree.ok()) {
    reading.reason = std::string(tree.status().message());
    return reading;
  }
  reading.json = true;
  schema::read(tree->get(), "", reading.setup, reading.faults);
  std::map<std::string, std::string> seen;
  for (std::pair<std::string const, schema::Region> const& region : reading.setup.regions) {
    std::string const path = "/regions/" + common::pointer_part(region.first) + "/halls";
    if (region.second.halls.empty()) {
      reading.faults.push_back(Fault{path, "must not be empty"});
    }
    for (std::size_t place = 0; place < region.second.halls.size(); ++place) {
      std::string const& hall = region.second.halls[place];
      if (!seen.emplace(hall, region.first).second) {
        reading.faults.push_back(Fault{path + "/" + std::to_string(place), "this hall is in a region already"});
      }
    }
  }
  for (std::pair<std::string const, schema::Hall> const& hall : reading.setup.halls) {
    if (seen.count(hall.first) == 0) {
      reading.faults.push_back(Fault{"/halls/" + common::pointer_part(hall.first), "is in no region"});
    }
  }
  for (std::size_t place = 0; place < reading.setup.labels.size(); ++place) {
    check_selector(reading.setup.labels[place].where, "/labels/" + std::to_string(place) + "/where", reading.faults);
  }
  for (std::pair<std::string const, schema::Rule> const& rule : reading.setup.rules) {
    check_rule(reading.setup, rule.second, "/rules/" + common::pointer_part(rule.first), reading.faults);
  }
  return reading;
}

absl::StatusOr<std::string> canonical(std::string_view text) {
  absl::StatusOr<common::Tree> const tree = common::read_tree(text);
  if (!tree.ok()) {
    return tree.status();
  }
  return common::print_sorted(tree->get());
}

absl::StatusOr<std::string> patched(std::string_view text, std::string_view patch) {
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
