#include "scheduling/fit/fit.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace finchlink::scheduling {

namespace {
/// Solves the least-squares problem over the passive columns; the others are held at zero.
Eigen::VectorXd solve_passive(Eigen::MatrixXd const& matrix, Eigen::VectorXd const& target,
                              std::vector<bool> const& passive) {
  std::vector<Eigen::Index> columns;
  for (std::size_t column = 0; column < passive.size(); ++column) {
    if (passive[column]) {
      columns.push_back(static_cast<Eigen::Index>(column));
    }
  }
  Eigen::MatrixXd submatrix(matrix.rows(), static_cast<Eigen::Index>(columns.size()));
  for (std::size_t place = 0; place < columns.size(); ++place) {
    submatrix.col(static_cast<Eigen::Index>(place)) = matrix.col(columns[place]);
  }
  Eigen::VectorXd const solved = submatrix.colPivHouseholderQr().solve(target);
  Eigen::VectorXd full = Eigen::VectorXd::Zero(matrix.cols());
  for (std::size_t place = 0; place < columns.size(); ++place) {
    full(columns[place]) = solved(static_cast<Eigen::Index>(place));
  }
  return full;
}
}  // namespace

Eigen::VectorXd solve_nonnegative(Eigen::MatrixXd const& matrix, Eigen::VectorXd const& target) {
  Eigen::Index const count = matrix.cols();
  std::vector<bool> passive(static_cast<std::size_t>(count), false);
  Eigen::VectorXd result = Eigen::VectorXd::Zero(count);
  double const tolerance = 1e-10 * std::max(1.0, (matrix.transpose() * target).cwiseAbs().maxCoeff());
  for (Eigen::Index round = 0; round < 3 * count + 3; ++round) {
    Eigen::VectorXd const gradient = matrix.transpose() * (target - matrix * result);
    Eigen::Index chosen = -1;
    for (Eigen::Index column = 0; column < count; ++column) {
      if (!passive[static_cast<std::size_t>(column)] && gradient(column) > tolerance &&
          (chosen < 0 || gradient(column) > gradient(chosen))) {
        chosen = column;
      }
    }
    if (chosen < 0) {
      break;
    }
    passive[static_cast<std::size_t>(chosen)] = true;
    Eigen::VectorXd candidate = solve_passive(matrix, target, passive);
    for (Eigen::Index inner = 0; inner < count; ++inner) {
      double step = std::numeric_limits<double>::infinity();
      for (Eigen::Index column = 0; column < count; ++column) {
        if (passive[static_cast<std::size_t>(column)] && candidate(column) <= 0) {
          step = std::min(step, result(column) / (result(column) - candidate(column)));
        }
      }
      if (!std::isfinite(step)) {
        break;
      }
      result += step * (candidate - result);
      for (Eigen::Index column = 0; column < count; ++column) {
        if (passive[static_cast<std::size_t>(column)] && result(column) <= 1e-14) {
          passive[static_cast<std::size_t>(column)] = false;
          result(column) = 0;
        }
      }
      candidate = solve_passive(matrix, target, passive);
    }
    result = candidate.cwiseMax(0.0);
  }
  return result;
}

double median(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2), values.end());
  return values[values.size() / 2];
}

Fit fit_rows(std::vector<FitRow> const& rows, std::size_t min_rows) {
  Fit fit;
  if (rows.empty() || rows.size() < min_rows) {
    return fit;
  }
  Eigen::Index const count = static_cast<Eigen::Index>(rows.front().terms.size());
  Eigen::MatrixXd matrix(static_cast<Eigen::Index>(rows.size()), count);
  Eigen::VectorXd target(static_cast<Eigen::Index>(rows.size()));
  for (std::size_t row = 0; row < rows.size(); ++row) {
    double const weight = 1.0 / std::max(rows[row].seconds, 1e-6);
    for (Eigen::Index column = 0; column < count; ++column) {
      matrix(static_cast<Eigen::Index>(row), column) = rows[row].terms[static_cast<std::size_t>(column)] * weight;
    }
    target(static_cast<Eigen::Index>(row)) = rows[row].seconds * weight;
  }
  Eigen::VectorXd scale(count);
  for (Eigen::Index column = 0; column < count; ++column) {
    double const size = matrix.col(column).norm();
    scale(column) = size > 0 ? size : 1.0;
    matrix.col(column) /= scale(column);
  }
  Eigen::VectorXd const solved = solve_nonnegative(matrix, target);
  Eigen::VectorXd const residual = matrix * solved - target;
  fit.valid = true;
  fit.error = residual.cwiseAbs().mean();
  for (Eigen::Index column = 0; column < count; ++column) {
    fit.coefficients.push_back(solved(column) / scale(column));
  }
  return fit;
}

}  // namespace finchlink::scheduling
