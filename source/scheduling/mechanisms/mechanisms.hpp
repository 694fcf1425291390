#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "scheduling/load_balancer/load_balancer.hpp"
#include "scheduling/stall_detection/stall_detector.hpp"

namespace finchlink::scheduling {

/// The relay's decision mechanisms that can be disabled for a measurement; all are on by default (section 13.16).
struct Mechanisms {
  LoadBalancerGuards balancer;
  StallGuards stall;
  bool set_aside = true;  ///< a stalled stream is still read until another worker continues it (13.8)
};

/// Returns all mechanisms but the named ones, or kInvalidArgument for an unknown name.
[[nodiscard]] absl::StatusOr<Mechanisms> mechanisms_without(std::vector<std::string> const& names);

/// Names of the mechanisms that can be disabled, in the order of the table.
[[nodiscard]] std::vector<std::string> mechanism_names();

}  // namespace finchlink::scheduling
