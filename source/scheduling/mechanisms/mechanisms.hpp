#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "scheduling/load_balancer/load_balancer.hpp"
#include "scheduling/stall_detection/stall_detector.hpp"

namespace finchlink::scheduling {

/// The mechanisms of a relay's decisions that a measurement can switch off, all on by default (section 13.16).
struct Mechanisms {
  LoadBalancerGuards balancer;
  StallGuards silence;
  bool set_aside = true;  ///< a silent stream goes on being read until another worker continues it (13.8)
};

/// All mechanisms but those named, or kInvalidArgument for a name that stands not in the table.
[[nodiscard]] absl::StatusOr<Mechanisms> mechanisms_without(std::vector<std::string> const& names);

/// The names that can be switched off, in the order of the table.
[[nodiscard]] std::vector<std::string> mechanism_names();

}  // namespace finchlink::scheduling
