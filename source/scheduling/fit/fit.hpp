#pragma once

#include <Eigen/Dense>
#include <vector>

/// Regression used to estimate the cost coefficients of workers from measured query times.
namespace finchlink::scheduling {

/// Non-negative least squares by the active-set method of Lawson and Hanson: returns the x >= 0 that minimizes
/// |A x - b| (section 8.3).
[[nodiscard]] Eigen::VectorXd solve_nonnegative(Eigen::MatrixXd const& matrix, Eigen::VectorXd const& target);

/// Returns the median of the values, 0 if there are none. For gaps between the events of a stream the median is the
/// time of a plain decode iteration: gaps during which a prefill ran are longer and don't affect it.
[[nodiscard]] double median(std::vector<double> values);

/// One observation: the regressors of the cost model and the measured time.
struct FitRow {
  std::vector<double> terms;
  double seconds = 0;
};

/// Result of a regression.
struct Fit {
  bool valid = false;  ///< false: there were too few rows, and the other fields are unset
  std::vector<double> coefficients;
  double error = 0;  ///< mean relative error over the rows
};

/// Fits the rows, if there are at least `min_rows` of them. Columns are scaled to unit norm first; rows are weighted by
/// 1/seconds so that the relative error is minimized.
[[nodiscard]] Fit fit_rows(std::vector<FitRow> const& rows, std::size_t min_rows);

}  // namespace finchlink::scheduling
