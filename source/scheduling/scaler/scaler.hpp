#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/time/moment.hpp"
#include "scheduling/fit/fit.hpp"
#include "scheduling/model/model.hpp"
#include "schema/setup.hpp"
#include "schema/wire.hpp"

namespace finchlink::scheduling {

/// Work of the queries of one phase over a reporting interval, as sums.
struct PhaseWork {
  double queries = 0;
  double uncached = 0;         ///< prompt tokens that had to be computed
  double pairs = 0;            ///< query-key pairs of attention
  double prefill_seconds = 0;  ///< measured up to the first answers, including waits
  double iterations = 0;       ///< decode iterations
  double decodes = 0;          ///< queries that were decoded
};
/// Work of both phases over a reporting interval.
struct IntervalWork {
  PhaseWork prefill;
  PhaseWork decode;
};

/// Predicted queries per second that a split can carry: the minimum of its two phases (section 8.3). With a set point
/// (in seconds, 0: none) a worker is rated by the load at which first answers still meet it (section 13.11).
[[nodiscard]] double throughput(std::map<std::string, std::string> const& phases,
                                std::map<std::string, WorkerModel> const& models, IntervalWork const& work,
                                schema::ScalerAims const& aims, double batch, double set_point = 0);

/// Action: write this split to the register.
struct WriteSplit {
  schema::Split split;
};
/// Action: keep the current split.
struct NoChange {
  std::string reason;  ///< shown to operators
};
using ScalerAction = std::variant<WriteSplit, NoChange>;

/// Assigns the workers of one region or pool to prefill and decode (section 8.3). Holds state only and does no I/O.
/// Every controller of the region feeds its own; only the one that holds the lease writes the resulting splits.
class Scaler {
 public:
  /// Sets the time within which a first answer should arrive, in seconds (0: none), and the minimum and maximum share
  /// of workers that may be assigned to prefill. By default there is no set point, and all splits are candidates.
  void set_targets(double set_point, double min_prefill_share, double max_prefill_share) {
    set_point_ = set_point;
    min_prefill_share_ = min_prefill_share;
    max_prefill_share_ = max_prefill_share;
  }
  /// Adds a proxy's report to the current interval and to the rows for the fit.
  void report(schema::FurrowReport const& report, schema::ScalerAims const& aims, common::Moment now);
  /// Decides whether to replace the split `current`, stored as `revision`. `fixed` lists workers that support a single
  /// phase; they are never switched.
  [[nodiscard]] ScalerAction tick(schema::Split const& current, std::uint64_t revision,
                                  std::vector<std::string> const& workers, schema::ScalerAims const& aims,
                                  schema::WorkerBounds const& bounds, common::Moment now,
                                  std::map<std::string, std::string> const& fixed = {});
  /// Number of reporting intervals kept, including the one being filled.
  [[nodiscard]] std::size_t intervals() const { return intervals_.size(); }

 private:
  struct Interval {
    common::Moment begins = 0;
    IntervalWork work;
  };
  /// Fits coefficients for the workers; without enough rows the result has none.
  [[nodiscard]] schema::Split fit_coefficients(std::vector<std::string> const& workers) const;
  /// Returns the best split after the warm-up; nothing if there is no fit, or one phase has too little work.
  [[nodiscard]] std::optional<schema::Split> make_first_split(std::vector<std::string> const& workers,
                                                              schema::ScalerAims const& aims, double batch,
                                                              std::map<std::string, std::string> const& fixed) const;
  /// Returns a cost model for each worker; one without coefficients in the split gets another worker's or the default.
  [[nodiscard]] std::map<std::string, WorkerModel> worker_models(schema::Split const& split,
                                                                 std::vector<std::string> const& workers) const;
  /// Returns the work of complete intervals that hold enough queries.
  [[nodiscard]] std::vector<IntervalWork> usable_intervals(schema::ScalerAims const& aims) const;
  /// True if the number of prefill workers is within the configured shares and leaves each phase a worker.
  [[nodiscard]] bool is_candidate(std::size_t prefills, std::size_t workers) const;

  double set_point_ = 0;
  double min_prefill_share_ = 0;
  double max_prefill_share_ = 1;
  common::Moment first_report_ = 0;
  std::deque<Interval> intervals_;
  using Rows = std::map<std::string, std::vector<FitRow>>;
  Rows prefill_rows_;            ///< by worker; the number of cached tokens is known for certain
  Rows uncertain_prefill_rows_;  ///< by worker; other proxies may have cached more on the worker than this one knows
  Rows decode_rows_;             ///< by worker
  std::uint64_t seen_revision_ = 0;
  common::Moment seen_at_ = 0;  ///< when `seen_revision_` was first seen
  bool seen_any_ = false;
};

}  // namespace finchlink::scheduling
