#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "schema/settings.hpp"
#include "schema/setup.hpp"
#include "schema/wire.hpp"

namespace finchlink::scheduling {

/// Workers among which a split is made under a charter: those of one service
/// that generates text, in one region (section 13.11).
struct Pool {
  std::string region;
  std::string service;
  std::vector<std::string> workers;          ///< that take queries, in the order of their ranks
  std::map<std::string, std::string> fixed;  ///< whose phase the platform tells
  std::set<std::string> listed;              ///< all, also those that take none now
  std::uint64_t capacity = 0;
  double set_point = 0;  ///< seconds; the least of its lanes; 0: none told
};

[[nodiscard]] std::string pool_name(std::string const& region, std::string const& service);

/// By name.
[[nodiscard]] std::map<std::string, Pool> build_pools(schema::PlatformList const& list,
                                                      schema::Charter const& routing_config,
                                                      std::map<std::string, std::string> const& regions,
                                                      std::set<std::string> const& evacuated);

/// The scaler's aims for a pool, from the options of this process.
[[nodiscard]] schema::ScalerAims make_scaler_aims(schema::Settings const& settings, Pool const& pool);
/// How often furrows are asked for reports, in milliseconds; 0: never.
[[nodiscard]] std::uint64_t report_interval_ms(schema::Settings const& settings);

/// A report taken apart by pools; rows go to the pool of their worker.
[[nodiscard]] std::map<std::string, schema::FurrowReport> apart(schema::FurrowReport const& report,
                                                                std::map<std::string, Pool> const& pools);

/// A split as the register holds it.
[[nodiscard]] absl::StatusOr<schema::Split> read_split(std::string const& content);
[[nodiscard]] std::string print_split(schema::Split const& split);
/// Without workers that the platform no longer lists, so that it stays small.
[[nodiscard]] schema::Split pruned(schema::Split split, std::set<std::string> const& listed);

}  // namespace finchlink::scheduling
