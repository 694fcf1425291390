#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "schema/settings.hpp"
#include "schema/setup.hpp"
#include "schema/wire.hpp"

/// Inputs and outputs of the scaler under a routing configuration: pools of workers, scaler settings, reports by pool
/// and the stored form of a split.
namespace finchlink::scheduling {

/// Workers among which one split is made under a routing configuration: those of one text-generating service in one
/// region (section 13.11).
struct Pool {
  std::string region;
  std::string service;
  std::vector<std::string> workers;          ///< those that accept queries, in the proxies' rank order
  std::map<std::string, std::string> fixed;  ///< worker to phase, for workers whose phase the platform prescribes
  std::set<std::string> listed;              ///< all workers, including those that accept no queries now
  std::uint64_t capacity = 0;                ///< largest capacity of a worker, in concurrent queries
  double set_point = 0;  ///< seconds; the smallest set point among the service's routes; 0: none is configured
};

/// Returns the name of a pool, which is also its key in maps and reports.
[[nodiscard]] std::string pool_name(std::string const& region, std::string const& service);

/// Builds the pools from the platform's list, by pool name. `regions` maps zones to regions; workers in zones of
/// `evacuated` accept no queries.
[[nodiscard]] std::map<std::string, Pool> build_pools(schema::PlatformList const& list,
                                                      schema::Charter const& routing_config,
                                                      std::map<std::string, std::string> const& regions,
                                                      std::set<std::string> const& evacuated);

/// Builds the scaler's parameters for a pool from the settings of this process.
[[nodiscard]] schema::ScalerAims make_scaler_aims(schema::Settings const& settings, Pool const& pool);
/// Returns the interval at which proxies are asked for reports, in milliseconds; 0: never.
[[nodiscard]] std::uint64_t report_interval_ms(schema::Settings const& settings);

/// Splits a proxy's report by pool name; each sample goes to the pool of its worker.
[[nodiscard]] std::map<std::string, schema::FurrowReport> split_report_by_pool(
    schema::FurrowReport const& report, std::map<std::string, Pool> const& pools);

/// Parses a split as stored in the register. Fails with kDataLoss if the content doesn't match the schema.
[[nodiscard]] absl::StatusOr<schema::Split> read_split(std::string const& content);
/// Serializes a split for the register, with coefficients rounded.
[[nodiscard]] std::string print_split(schema::Split const& split);
/// Returns the split without workers that the platform no longer lists, so that its stored size stays bounded.
[[nodiscard]] schema::Split prune_split(schema::Split split, std::set<std::string> const& listed);

}  // namespace finchlink::scheduling
