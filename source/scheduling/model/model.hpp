#pragma once

#include <cmath>
#include <vector>

#include "common/constants.hpp"
#include "schema/setup.hpp"

namespace finchlink::scheduling {

/// A query in the design's terms (section 8.1), in tokens.
struct Shape {
  double uncached = 0;
  double cached = 0;
  double outputs = 0;
};

/// Query-key pairs that a prefill computes.
[[nodiscard]] inline double pairs(double uncached, double cached) {
  return uncached * cached + uncached * (uncached + 1) / 2;
}
/// Share of the routed experts that an iteration of `running` queries reads.
[[nodiscard]] inline double spread(double experts_share, double tokens_forward, double running) {
  return 1.0 - std::pow(1.0 - experts_share, tokens_forward * running);
}

/// Predicted times of one worker, in seconds.
struct WorkerModel {
  double prefill[4];
  double decode[3];

  WorkerModel() {
    std::copy(std::begin(common::constants::prefill_start), std::end(common::constants::prefill_start), prefill);
    std::copy(std::begin(common::constants::decode_start), std::end(common::constants::decode_start), decode);
  }
  explicit WorkerModel(schema::Coefficients const& fitted) : WorkerModel() {
    if (fitted.prefill.size() == 4) {
      std::copy(fitted.prefill.begin(), fitted.prefill.end(), prefill);
    }
    if (fitted.decode.size() == 3) {
      std::copy(fitted.decode.begin(), fitted.decode.end(), decode);
    }
  }
  /// Restored tokens are not known to us (section 8.2): their term is left
  /// out here and its cost lands in the others when the fit is made.
  [[nodiscard]] double prefill_seconds(double uncached, double cached) const {
    return prefill[0] + prefill[1] * uncached + prefill[2] * pairs(uncached, cached);
  }
  [[nodiscard]] double iteration_seconds(double experts_share, double tokens_forward, double running) const {
    return decode[0] + decode[1] * spread(experts_share, tokens_forward, running) + decode[2] * running;
  }
};

}  // namespace finchlink::scheduling
