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

/// Mean work of one query of a phase, over a slice.
struct PhaseWork {
  double queries = 0;
  double uncached = 0;
  double pairs = 0;
  double prefill_seconds = 0;  ///< seen up to first answers, waits included
  double iterations = 0;
  double decodes = 0;
};
struct SliceWork {
  PhaseWork prefill;
  PhaseWork decode;
};

/// Queries a second that a split can carry: the lesser of its phases
/// (section 8.3). With a set point, in seconds, a worker counts for what it
/// carries while first answers keep within it (section 13.11).
[[nodiscard]] double throughput(std::map<std::string, std::string> const& phases,
                                std::map<std::string, WorkerModel> const& models, SliceWork const& work,
                                schema::ScalerAims const& aims, double batch, double set_point = 0);

struct WriteSplit {
  schema::Split split;
};
struct Rest {
  std::string reason;
};
using ScalerAction = std::variant<WriteSplit, Rest>;

/// The scaler of one region (section 8.3): plain state. Every trellis of the
/// region feeds one; only the one with the lease writes what it decides.
class Scaler {
 public:
  /// Seconds within which a first answer should come, 0: none told; and the
  /// shares of workers that may be fed long prompts: all splits by default.
  void aim_at(double set_point, double share_least, double share_most) {
    set_point_ = set_point;
    share_least_ = share_least;
    share_most_ = share_most;
  }
  void report(schema::FurrowReport const& report, schema::ScalerAims const& aims, common::Moment now);
  /// `fixed`: workers that can do one phase only; they never switch.
  [[nodiscard]] ScalerAction tick(schema::Split const& current, std::uint64_t revision,
                                  std::vector<std::string> const& workers, schema::ScalerAims const& aims,
                                  schema::WorkerBounds const& bounds, common::Moment now,
                                  std::map<std::string, std::string> const& fixed = {});
  [[nodiscard]] std::size_t slices() const { return slices_.size(); }

 private:
  struct Slice {
    common::Moment begins = 0;
    SliceWork work;
  };
  [[nodiscard]] schema::Split fitted(std::vector<std::string> const& workers) const;
  [[nodiscard]] std::optional<schema::Split> first_split(std::vector<std::string> const& workers,
                                                         schema::ScalerAims const& aims, double batch,
                                                         std::map<std::string, std::string> const& fixed) const;
  [[nodiscard]] std::map<std::string, WorkerModel> models_of(schema::Split const& split,
                                                             std::vector<std::string> const& workers) const;
  [[nodiscard]] std::vector<SliceWork> counted(schema::ScalerAims const& aims) const;

  [[nodiscard]] bool candidate(std::size_t prefills, std::size_t workers) const;
  double set_point_ = 0;
  double share_least_ = 0;
  double share_most_ = 1;
  common::Moment first_report_ = 0;
  std::deque<Slice> slices_;
  using Rows = std::map<std::string, std::vector<FitRow>>;
  Rows prefill_rows_;    ///< with the cached part known for sure
  Rows prefill_unsure_;  ///< others may have put more into the worker's cache than we know
  Rows decode_rows_;
  std::uint64_t seen_revision_ = 0;
  common::Moment seen_at_ = 0;
  bool seen_any_ = false;
};

}  // namespace finchlink::scheduling
