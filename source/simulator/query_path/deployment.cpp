// Reads a deployment from its files.

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include "common/json/tree.hpp"
#include "config/label/selector.hpp"
#include "config/setup/setup.hpp"
#include "schema/standin.hpp"
#include "simulator/query_path/query_path.hpp"

namespace finchlink::simulator {

using common::Span;

std::size_t QueryPathDeployment::workers_of(std::size_t region) const {
  std::size_t count = 0;
  for (QueryPathZone const& hall : halls) {
    count += hall.region == region ? hall.workers : 0;
  }
  return count;
}

absl::StatusOr<QueryPathDeployment> query_path_deployment(std::string const& folder) {
  std::map<std::string, std::string> texts;
  for (std::string const name : {"fleet.json", "setup.json"}) {
    std::ifstream file(folder + "/" + name);
    if (!file) {
      return absl::NotFoundError(folder + "/" + name + " can't be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    texts[name] = text.str();
  }
  absl::StatusOr<common::Tree> const tree = common::read_tree(texts["fleet.json"]);
  if (!tree.ok()) {
    return absl::InvalidArgumentError(folder + "/fleet.json: " + std::string(tree.status().message()));
  }
  config::ParsedSetup const reading = config::read_setup(texts["setup.json"]);
  if (!reading.good()) {
    return absl::InvalidArgumentError(
        folder + "/setup.json: " + (reading.json ? common::describe(reading.faults) : reading.reason));
  }
  schema::Fleet fleet;
  std::vector<common::Fault> faults;
  schema::read(tree->get(), "", fleet, faults);
  QueryPathDeployment deployment;
  deployment.setup = reading.setup;
  deployment.hop = static_cast<Span>(fleet.hop_ms * 1000);
  for (std::pair<std::string const, schema::FleetHall> const& hall : fleet.halls) {
    std::vector<std::string>& regions = deployment.regions;
    std::size_t const region =
        static_cast<std::size_t>(std::find(regions.begin(), regions.end(), hall.second.region) - regions.begin());
    if (region == regions.size()) {
      regions.push_back(hall.second.region);
    }
    deployment.halls.push_back(QueryPathZone{hall.first, region, hall.second.machines, hall.second.model_workers});
    if (config::region_of(deployment.setup, hall.first) != hall.second.region) {
      faults.push_back(common::Fault{"/halls/" + hall.first, "stands in another region of setup.json, or in none"});
    }
  }
  for (schema::Mix const& mix : fleet.mixes) {
    if (!mix.plain) {
      double const bytes = deployment.setup.workers.bytes_per_token;
      deployment.mixes.push_back(QueryPathMix{mix.name, mix.method, mix.path, mix.rate,
                                              static_cast<double>(mix.prefix_bytes) / bytes,
                                              static_cast<double>(mix.own_bytes) / bytes, mix.prefixes,
                                              std::ceil(static_cast<double>(mix.outputs) / 4), mix.homes});
      if (deployment.setup.rules.count(mix.name) == 0) {
        faults.push_back(common::Fault{"/mixes", mix.name + " is no rule of setup.json"});
      }
    }
  }
  if (deployment.regions.size() != 2) {
    faults.push_back(common::Fault{"/halls", "needs two regions"});
  }
  if (!faults.empty()) {
    return absl::InvalidArgumentError(folder + "/fleet.json: " + common::describe(faults));
  }
  return deployment;
}

}  // namespace finchlink::simulator
