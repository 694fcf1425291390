#pragma once

#include <Eigen/Dense>
#include <vector>

namespace finchlink::scheduling {

/// Non-negative least squares by the active-set method of Lawson and Hanson:
/// the x >= 0 that makes |A x - b| least (section 8.3).
[[nodiscard]] Eigen::VectorXd solve_nonnegative(Eigen::MatrixXd const& matrix, Eigen::VectorXd const& target);

/// The middle one of some values, 0 for none. Gaps between events that a
/// prefill fell into are longer than an iteration; the middle one is none of them.
[[nodiscard]] double middle(std::vector<double> values);

struct FitRow {
  std::vector<double> terms;
  double seconds = 0;
};
struct Fit {
  bool good = false;
  std::vector<double> coefficients;
  double error = 0;  ///< mean relative error over the rows
};
/// Columns are scaled to like size first; rows are weighted by 1/seconds so
/// that the relative error is what is made small.
[[nodiscard]] Fit fit_rows(std::vector<FitRow> const& rows, std::size_t least_rows);

}  // namespace finchlink::scheduling
