#include "scheduling/scaler/pools.hpp"

#include <algorithm>
#include <cmath>

#include "common/error/error.hpp"
#include "common/json/tree.hpp"
#include "common/relay_constants.hpp"
#include "scheduling/prefix/prefix_record.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

namespace {
/// Rounds to four significant digits, which is more than the accuracy of the fit.
double round_significant(double value) {
  if (value <= 0) {
    return 0;
  }
  double const unit = std::pow(10.0, std::floor(std::log10(value)) - 3);
  return std::round(value / unit) * unit;
}

void round_all(std::vector<double>& values) {
  for (double& value : values) {
    value = round_significant(value);
  }
}
}  // namespace

std::string pool_name(std::string const& region, std::string const& service) {
  return region + "/" + service;
}

std::map<std::string, Pool> build_pools(schema::PlatformList const& list, schema::Charter const& routing_config,
                                        std::map<std::string, std::string> const& regions,
                                        std::set<std::string> const& evacuated) {
  std::map<std::string, Pool> pools;
  std::map<std::string, schema::Service const*> services;
  for (schema::Service const& service : routing_config.services) {
    services[service.name] = &service;
  }
  std::map<std::string, double> set_points;
  for (schema::Lane const& route : routing_config.lanes) {
    for (schema::Share const& share : route.shares) {
      double& set_point = set_points[share.service];
      if (route.set_point_ms > 0 && share.weight > 0 && (set_point <= 0 || route.set_point_ms / 1000 < set_point)) {
        set_point = route.set_point_ms / 1000;
      }
    }
  }
  for (schema::WorkerEntry const& entry : list.workers) {
    std::map<std::string, schema::Service const*>::const_iterator const service = services.find(entry.service);
    std::map<std::string, std::string>::const_iterator const region = regions.find(entry.zone);
    if (service == services.end() || !service->second->model || region == regions.end()) {
      continue;
    }
    Pool& pool = pools[pool_name(region->second, entry.service)];
    pool.region = region->second;
    pool.service = entry.service;
    pool.capacity = std::max<std::uint64_t>(pool.capacity, std::max(service->second->capacity, entry.capacity));
    pool.set_point = set_points[entry.service];
    pool.listed.insert(entry.id);
    if (entry.draining || evacuated.count(entry.zone) > 0) {
      continue;
    }
    pool.workers.push_back(entry.id);
    if (!entry.phase.empty()) {
      pool.fixed[entry.id] = entry.phase;
    }
  }
  for (std::pair<std::string const, Pool>& pool : pools) {
    // The same order as the proxies' own ranking, so that a first split keeps long prompts on the workers that had them
    // before (section 13.6).
    std::sort(pool.second.workers.begin(), pool.second.workers.end(),
              [](std::string const& one, std::string const& other) {
                return mix(hash_text(one), 1) < mix(hash_text(other), 1);
              });
  }
  return pools;
}

schema::ScalerAims make_scaler_aims(schema::Settings const& settings, Pool const& pool) {
  schema::ScalerAims aims;
  aims.manner = "whole";
  aims.window_ms = settings.scaler_window_ms;
  aims.slices = settings.scaler_slices;
  aims.hold_ms = settings.scaler_hold_ms;
  aims.warm_up_ms = settings.scaler_warm_up_ms;
  aims.refit_ms = settings.scaler_refit_ms;
  aims.step = settings.scaler_step;
  aims.prefill_batch = std::max(1.0, static_cast<double>(pool.capacity) / 2);
  return aims;
}

std::uint64_t report_interval_ms(schema::Settings const& settings) {
  if (settings.scaler != "on") {
    return 0;
  }
  std::uint64_t const interval = settings.scaler_window_ms / std::max<std::uint64_t>(1, settings.scaler_slices);
  return std::clamp<std::uint64_t>(interval / 2, constants::min_relay_report_interval / 1000,
                                   constants::relay_report_interval / 1000);
}

std::map<std::string, schema::FurrowReport> split_report_by_pool(schema::FurrowReport const& report,
                                                                 std::map<std::string, Pool> const& pools) {
  std::map<std::string, schema::FurrowReport> parts;
  for (schema::WorkerFigures const& figures : report.figures) {
    if (pools.count(figures.worker) > 0) {
      schema::FurrowReport& part = parts[figures.worker];
      part.slice = report.slice;
      part.span = report.span;
      part.figures.push_back(figures);
    }
  }
  for (schema::Sample const& sample : report.samples) {
    for (std::pair<std::string const, Pool> const& pool : pools) {
      if (pool.second.listed.count(sample.worker) > 0) {
        parts[pool.first].samples.push_back(sample);
        break;
      }
    }
  }
  return parts;
}

absl::StatusOr<schema::Split> read_split(std::string const& content) {
  absl::StatusOr<common::Tree> const tree = common::read_tree(content);
  if (!tree.ok()) {
    return tree.status();
  }
  schema::Split split;
  std::vector<common::Fault> faults;
  schema::read(tree->get(), "", split, faults);
  if (!faults.empty()) {
    return common::make_error(absl::StatusCode::kDataLoss, "split", common::describe(faults));
  }
  return split;
}

std::string print_split(schema::Split const& split) {
  schema::Split compact = split;
  for (std::pair<std::string const, schema::Coefficients>& entry : compact.coefficients) {
    round_all(entry.second.prefill);
    round_all(entry.second.decode);
    entry.second.error = round_significant(entry.second.error);
  }
  common::Tree const content(schema::write(compact));
  return common::print_tree(content.get());
}

schema::Split prune_split(schema::Split split, std::set<std::string> const& listed) {
  std::erase_if(split.phases, [&listed](std::pair<std::string const, std::string> const& entry) {
    return listed.count(entry.first) == 0;
  });
  std::erase_if(split.coefficients, [&listed](std::pair<std::string const, schema::Coefficients> const& entry) {
    return listed.count(entry.first) == 0;
  });
  return split;
}

}  // namespace finchlink::scheduling
