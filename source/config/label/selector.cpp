#include "config/label/selector.hpp"

#include <algorithm>

namespace finchlink::config {

namespace {
/// Whether the selector's own operator matches, without all, any and none.
bool matches_term(schema::Selector const& selector, Labels const& labels) {
  if (selector.op.empty()) {
    return true;
  }
  Labels::const_iterator const found = labels.find(selector.key);
  bool const present = found != labels.end();
  bool const listed =
      present && std::find(selector.values.begin(), selector.values.end(), found->second) != selector.values.end();
  if (selector.op == "exists") {
    return present;
  }
  if (selector.op == "notin") {
    return !listed;
  }
  return listed;  // equals: the list has one value; in: several
}
}  // namespace

bool selects(schema::Selector const& selector, Labels const& labels) {
  if (!matches_term(selector, labels)) {
    return false;
  }
  for (schema::Selector const& part : selector.all) {
    if (!selects(part, labels)) {
      return false;
    }
  }
  for (schema::Selector const& part : selector.none) {
    if (selects(part, labels)) {
      return false;
    }
  }
  if (selector.any.empty()) {
    return true;
  }
  return std::any_of(selector.any.begin(), selector.any.end(),
                     [&labels](schema::Selector const& part) { return selects(part, labels); });
}

std::string region_of(schema::Setup const& setup, std::string const& zone) {
  for (std::pair<std::string const, schema::Region> const& region : setup.regions) {
    if (std::find(region.second.halls.begin(), region.second.halls.end(), zone) != region.second.halls.end()) {
      return region.first;
    }
  }
  return "";
}

Labels worker_labels(schema::Setup const& setup, schema::WorkerEntry const& worker) {
  Labels labels = worker.labels;
  std::map<std::string, schema::Hall>::const_iterator const zone = setup.halls.find(worker.zone);
  if (zone != setup.halls.end()) {
    for (std::pair<std::string const, std::string> const& label : zone->second.labels) {
      labels[label.first] = label.second;
    }
  }
  labels["hall"] = worker.zone;
  labels["region"] = region_of(setup, worker.zone);
  labels["kind"] = worker.kind;
  for (schema::LabelAddition const& addition : setup.labels) {
    if (selects(addition.where, labels)) {
      for (std::pair<std::string const, std::string> const& label : addition.add) {
        labels[label.first] = label.second;
      }
    }
  }
  return labels;
}

}  // namespace finchlink::config
