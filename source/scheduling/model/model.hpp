#pragma once

#include <cmath>
#include <vector>

#include "common/constants.hpp"
#include "schema/setup.hpp"

namespace finchlink::scheduling {

/// What the predicted cost of a query depends on (section 8.1), in tokens.
struct QueryCostInputs {
  double uncached = 0;  ///< prompt tokens that the worker must read
  double cached = 0;    ///< prompt tokens that the worker still has in its cache
  double outputs = 0;
};

/// Query-key pairs that the attention of a prefill computes: `uncached` new tokens behind `cached` old ones.
[[nodiscard]] inline double pairs(double uncached, double cached) {
  return uncached * cached + uncached * (uncached + 1) / 2;
}
/// Share (0 to 1) of the routed experts that one decode iteration reads when `running` queries share it.
[[nodiscard]] inline double spread(double experts_share, double tokens_forward, double running) {
  return 1.0 - std::pow(1.0 - experts_share, tokens_forward * running);
}

/// Performance model of one worker: predicts prefill and decode times in seconds from linear coefficients. Starts
/// with the built-in coefficients; fitted ones replace them.
struct WorkerModel {
  double prefill[4];
  double decode[3];

  WorkerModel() {
    std::copy(std::begin(common::constants::initial_prefill), std::end(common::constants::initial_prefill), prefill);
    std::copy(std::begin(common::constants::initial_decode), std::end(common::constants::initial_decode), decode);
  }
  /// Takes the fitted coefficients where their number is right (4 and 3), and the built-in ones otherwise.
  explicit WorkerModel(schema::Coefficients const& fitted) : WorkerModel() {
    if (fitted.prefill.size() == 4) {
      std::copy(fitted.prefill.begin(), fitted.prefill.end(), prefill);
    }
    if (fitted.decode.size() == 3) {
      std::copy(fitted.decode.begin(), fitted.decode.end(), decode);
    }
  }
  /// Time to read a prompt. The number of restored tokens is unknown to the proxy (section 8.2): their term is left
  /// out here, and the fit puts their cost into the other coefficients.
  [[nodiscard]] double prefill_seconds(double uncached, double cached) const {
    return prefill[0] + prefill[1] * uncached + prefill[2] * pairs(uncached, cached);
  }
  /// Time of one decode iteration with `running` queries in the batch.
  [[nodiscard]] double iteration_seconds(double experts_share, double tokens_forward, double running) const {
    return decode[0] + decode[1] * spread(experts_share, tokens_forward, running) + decode[2] * running;
  }
};

}  // namespace finchlink::scheduling
