#include "scheduling/scaler/scaler.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "common/relay_constants.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

namespace {
constexpr std::size_t rows_most = 2000;  // rows kept per worker and phase; a fit needs far fewer
constexpr std::size_t rows_least = 24;   // rows before a worker's own fit is trusted
constexpr std::size_t rows_each_size =
    4;  // rows of small and of large prompts without which one cost can't be told from the other
constexpr double size_part = 0.125;  // of the largest prompt seen: from here on a prompt is large
constexpr double outlier = 1.5;      // rows slower than this times the median row waited behind others; left out

void add(PhaseWork& sum, schema::WorkerFigures const& figures) {
  sum.queries += figures.queries;
  sum.uncached += figures.uncached;
  sum.pairs += figures.pairs;
  sum.prefill_seconds += figures.prefill_seconds;
  sum.iterations += figures.iterations;
  sum.decodes += figures.decodes;
}

/// A second fit without the rows that waited behind other furrows' queries:
/// those are slower than the work explains, never faster (section 8.2).
Fit robust_fit(std::vector<FitRow> const& rows, std::size_t least) {
  Fit const first = fit_rows(rows, least);
  if (!first.good) {
    return first;
  }
  std::vector<double> ratios;
  std::vector<double> predicted;
  for (FitRow const& row : rows) {
    double sum = 0;
    for (std::size_t column = 0; column < row.terms.size(); ++column) {
      sum += row.terms[column] * first.coefficients[column];
    }
    predicted.push_back(sum);
    ratios.push_back(sum > 0 ? row.seconds / sum : 1.0);
  }
  std::vector<double> sorted = ratios;
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2), sorted.end());
  double const middle = sorted[sorted.size() / 2];
  std::vector<FitRow> kept;
  for (std::size_t row = 0; row < rows.size(); ++row) {
    if (ratios[row] <= middle * outlier) {
      kept.push_back(rows[row]);
    }
  }
  Fit const second = fit_rows(kept, least);
  return second.good ? second : first;
}

/// Do rows tell the cost of a token from the fixed one? Those of a worker that
/// was sent prompts of one size only do not.
bool tells_sizes(std::vector<FitRow> const& rows, double largest) {
  std::size_t small = 0;
  std::size_t large = 0;
  for (FitRow const& row : rows) {
    (row.terms[1] >= largest * size_part ? large : small) += 1;
  }
  return std::min(small, large) >= rows_each_size;
}

/// What all workers show together, by how much slower or faster this one is.
std::vector<double> scaled(Fit const& common, std::vector<FitRow> const& rows) {
  std::vector<double> ratios;
  for (FitRow const& row : rows) {
    double sum = 0;
    for (std::size_t column = 0; column < row.terms.size(); ++column) {
      sum += row.terms[column] * common.coefficients[column];
    }
    if (sum > 0) {
      ratios.push_back(row.seconds / sum);
    }
  }
  std::vector<double> coefficients = common.coefficients;
  if (ratios.size() >= rows_each_size) {
    double const pace = std::clamp(middle(ratios), 0.5, 2.0);
    for (double& coefficient : coefficients) {
      coefficient *= pace;
    }
  }
  return coefficients;
}

double per_query(double sum, double count) {
  return count > 0 ? sum / count : 0;
}

/// Seconds that reading a prompt takes. Under a set point what was seen counts
/// where it was longer than the work explains: parts that a worker lost unseen,
/// and prompts of others that were read first (section 13.11).
double reading_seconds(WorkerModel const& model, PhaseWork const& work, double set_point) {
  double const explained = model.prefill[1] * per_query(work.uncached, work.queries) +
                           model.prefill[2] * per_query(work.pairs, work.queries);
  return set_point > 0 ? std::max(explained, per_query(work.prefill_seconds, work.queries) - model.prefill[0])
                       : explained;
}

/// Seconds that one query of this phase keeps a worker busy.
double busy_seconds(WorkerModel const& model, PhaseWork const& work, bool prefill, bool decode,
                    schema::ScalerAims const& aims, double batch, double set_point) {
  double seconds = 0;
  if (prefill && work.queries > 0) {
    seconds += model.prefill[0] / aims.prefill_batch + reading_seconds(model, work, set_point);
  }
  if (decode && work.decodes > 0) {
    seconds += per_query(work.iterations, work.decodes) *
               model.iteration_seconds(aims.experts_share, aims.tokens_forward, batch) / batch;
  }
  return seconds;
}

/// Share of its time that a worker may be busy for first answers to come within
/// part of the set point: prompts are read one after the other, so the wait is
/// that of one server, s * spread * load / (1 - load).
double bearable_load(WorkerModel const& model, PhaseWork const& work, double set_point) {
  if (set_point <= 0 || work.queries <= 0) {
    return 1;
  }
  double const reading = reading_seconds(model, work, 0);
  double const left = set_point * constants::set_point_fraction - model.prefill[0] - reading;
  if (left <= 0) {
    return 1;  // by this fit no load keeps it: then it tells nothing of who should read
  }
  return std::max(constants::min_worker_load, left / (left + std::max(1e-6, reading * constants::prefill_spread)));
}

/// Is a phase's part of all work enough for a worker of its own?
bool worth_apart(WorkerModel const& model, SliceWork const& work, schema::ScalerAims const& aims, double batch,
                 std::size_t workers) {
  double const prefill = work.prefill.queries * busy_seconds(model, work.prefill, true, true, aims, batch, 0);
  double const decode = work.decode.queries * busy_seconds(model, work.decode, true, true, aims, batch, 0);
  return std::min(prefill, decode) * static_cast<double>(workers) >= (prefill + decode) * constants::min_phase_work;
}
}  // namespace

double throughput(std::map<std::string, std::string> const& phases, std::map<std::string, WorkerModel> const& models,
                  SliceWork const& work, schema::ScalerAims const& aims, double batch, double set_point) {
  bool const paired = aims.manner == "paired";
  double const prefills = work.prefill.queries;
  double const decodes = paired ? work.decode.decodes : work.decode.queries;
  double const all = paired ? std::max(prefills, decodes) : prefills + decodes;
  if (all <= 0) {
    return 0;
  }
  double prefill_rate = 0;
  double decode_rate = 0;
  for (std::pair<std::string const, std::string> const& entry : phases) {
    std::map<std::string, WorkerModel>::const_iterator const model = models.find(entry.first);
    if (model == models.end()) {
      continue;
    }
    bool const prefill = entry.second == "prefill";
    double const seconds = prefill ? busy_seconds(model->second, work.prefill, true, !paired, aims, batch, set_point)
                                   : busy_seconds(model->second, work.decode, !paired, true, aims, batch, set_point);
    if (seconds > 0) {
      (prefill ? prefill_rate : decode_rate) +=
          bearable_load(model->second, prefill ? work.prefill : work.decode, set_point) / seconds;
    }
  }
  // Each phase must carry its share of the queries; in the paired manner that
  // is all of them in both.
  double const unbounded = std::numeric_limits<double>::infinity();
  double const of_prefill = prefills > 0 ? prefill_rate * all / prefills : unbounded;
  double const of_decode = decodes > 0 ? decode_rate * all / decodes : unbounded;
  double const least = std::min(of_prefill, of_decode);
  return std::isfinite(least) ? least : 0;
}

void Scaler::report(schema::FurrowReport const& report, schema::ScalerAims const& aims, common::Moment now) {
  if (first_report_ == 0) {
    first_report_ = now;
  }
  common::Span const span =
      std::max<common::Span>(common::milliseconds(static_cast<std::int64_t>(aims.window_ms / aims.slices)), 1);
  if (slices_.empty() || now - slices_.back().begins >= span) {
    slices_.push_back(Slice{now, {}});
  }
  while (slices_.size() > aims.slices + 1) {  // the newest is still filling
    slices_.pop_front();
  }
  for (schema::WorkerFigures const& figures : report.figures) {
    add(figures.phase == "decode" ? slices_.back().work.decode : slices_.back().work.prefill, figures);
  }
  for (schema::Sample const& sample : report.samples) {
    std::vector<FitRow>& rows =
        sample.decode ? decode_rows_[sample.worker] : (sample.sure ? prefill_rows_ : prefill_unsure_)[sample.worker];
    if (rows.size() < rows_most && sample.seconds > 0) {
      rows.push_back(sample.decode ? FitRow{{1.0, sample.spread, sample.running}, sample.seconds}
                                   : FitRow{{1.0, sample.uncached, sample.pairs, sample.restored}, sample.seconds});
    }
  }
}

schema::Split Scaler::fitted(std::vector<std::string> const& workers) const {
  schema::Split split;
  std::vector<FitRow> all_prefill;
  std::vector<FitRow> all_decode;
  // Without shared prefixes there are no sure rows; then all must do.
  std::size_t sure = 0;
  for (std::pair<std::string const, std::vector<FitRow>> const& rows : prefill_rows_) {
    sure += rows.second.size();
  }
  Rows const& prefills = sure >= rows_least * 2 ? prefill_rows_ : prefill_unsure_;
  for (std::pair<std::string const, std::vector<FitRow>> const& rows : prefills) {
    all_prefill.insert(all_prefill.end(), rows.second.begin(), rows.second.end());
  }
  for (std::pair<std::string const, std::vector<FitRow>> const& rows : decode_rows_) {
    all_decode.insert(all_decode.end(), rows.second.begin(), rows.second.end());
  }
  Fit const common_prefill = robust_fit(all_prefill, rows_least);
  Fit const common_decode = robust_fit(all_decode, rows_least);
  if (!common_prefill.good || !common_decode.good) {
    return split;
  }
  double largest = 0;
  for (FitRow const& row : all_prefill) {
    largest = std::max(largest, row.terms[1]);
  }
  for (std::string const& worker : workers) {
    std::map<std::string, std::vector<FitRow>>::const_iterator const prefill = prefills.find(worker);
    std::map<std::string, std::vector<FitRow>>::const_iterator const decode = decode_rows_.find(worker);
    // Few rows of its own: what all workers show together stands in.
    Fit const own_prefill = prefill == prefills.end() || (set_point_ > 0 && !tells_sizes(prefill->second, largest))
                                ? Fit{}
                                : robust_fit(prefill->second, rows_least);
    Fit const own_decode = decode == decode_rows_.end() ? Fit{} : robust_fit(decode->second, rows_least);
    schema::Coefficients coefficients;
    coefficients.prefill = own_prefill.good                              ? own_prefill.coefficients
                           : set_point_ > 0 && prefill != prefills.end() ? scaled(common_prefill, prefill->second)
                                                                         : common_prefill.coefficients;
    coefficients.decode = own_decode.good                                  ? own_decode.coefficients
                          : set_point_ > 0 && decode != decode_rows_.end() ? scaled(common_decode, decode->second)
                                                                           : common_decode.coefficients;
    coefficients.error = own_prefill.good ? own_prefill.error : common_prefill.error;
    split.coefficients[worker] = coefficients;
  }
  return split;
}

std::map<std::string, WorkerModel> Scaler::models_of(schema::Split const& split,
                                                     std::vector<std::string> const& workers) const {
  std::map<std::string, WorkerModel> models;
  for (std::string const& worker : workers) {
    std::map<std::string, schema::Coefficients>::const_iterator const found = split.coefficients.find(worker);
    if (found != split.coefficients.end()) {
      models.emplace(worker, WorkerModel(found->second));
    } else if (!split.coefficients.empty()) {
      models.emplace(worker, WorkerModel(split.coefficients.begin()->second));
    } else {
      models.emplace(worker, WorkerModel());
    }
  }
  return models;
}

std::vector<SliceWork> Scaler::counted(schema::ScalerAims const& aims) const {
  std::vector<SliceWork> works;
  for (std::size_t place = 0; place + 1 < slices_.size(); ++place) {
    SliceWork const& work = slices_[place].work;
    if (work.prefill.queries + work.decode.queries >= static_cast<double>(aims.slice_least)) {
      works.push_back(work);
    }
  }
  return works;
}

bool Scaler::candidate(std::size_t prefills, std::size_t workers) const {
  double const all = static_cast<double>(workers);
  double const least = std::clamp(std::round(share_least_ * all), 1.0, all - 1);
  double const most = std::clamp(std::round(share_most_ * all), least, all - 1);
  return static_cast<double>(prefills) >= least && static_cast<double>(prefills) <= most;
}

std::optional<schema::Split> Scaler::first_split(std::vector<std::string> const& workers,
                                                 schema::ScalerAims const& aims, double batch,
                                                 std::map<std::string, std::string> const& fixed) const {
  schema::Split split = fitted(workers);
  if (split.coefficients.empty()) {
    return std::nullopt;
  }
  SliceWork sum;
  for (Slice const& slice : slices_) {
    for (std::pair<PhaseWork*, PhaseWork const*> const& part :
         {std::pair<PhaseWork*, PhaseWork const*>{&sum.prefill, &slice.work.prefill},
          {&sum.decode, &slice.work.decode}}) {
      part.first->queries += part.second->queries;
      part.first->uncached += part.second->uncached;
      part.first->pairs += part.second->pairs;
      part.first->iterations += part.second->iterations;
      part.first->decodes += part.second->decodes;
    }
  }
  // What was seen to take longer is left out here: a warm-up's waits are those of
  // memories that are still empty.
  std::map<std::string, WorkerModel> const models = models_of(split, workers);
  if (aims.manner == "whole" && !worth_apart(models.begin()->second, sum, aims, batch, workers.size())) {
    return std::nullopt;
  }
  double best = -1;
  for (std::size_t count = 1; count < workers.size(); ++count) {
    if (!candidate(count, workers.size())) {
      continue;
    }
    std::map<std::string, std::string> phases;
    for (std::size_t place = 0; place < workers.size(); ++place) {
      std::map<std::string, std::string>::const_iterator const told = fixed.find(workers[place]);
      phases[workers[place]] = told != fixed.end() ? told->second : place < count ? "prefill" : "decode";
    }
    double const carried = throughput(phases, models, sum, aims, batch, set_point_);
    if (carried > best) {
      best = carried;
      split.phases = phases;
    }
  }
  split.frozen = true;
  split.manner = aims.manner;
  std::size_t feeding = 0;
  for (std::pair<std::string const, std::string> const& phase : split.phases) {
    feeding += phase.second == "prefill" ? 1 : 0;
  }
  split.reason = "first split after warm-up, prefill " + std::to_string(feeding) + " of " +
                 std::to_string(workers.size()) + ", predicted " + std::to_string(best) + " queries a second";
  return split;
}

ScalerAction Scaler::tick(schema::Split const& current, std::uint64_t revision, std::vector<std::string> const& workers,
                          schema::ScalerAims const& aims, schema::WorkerBounds const& bounds, common::Moment now,
                          std::map<std::string, std::string> const& fixed) {
  if (!seen_any_ || revision != seen_revision_) {
    seen_any_ = true;
    seen_revision_ = revision;
    seen_at_ = now;  // the hold counts from here, also for one that just took over
  }
  if (workers.size() < 2) {
    return Rest{"fewer than two workers: each does both phases"};
  }
  double const batch = std::max(1.0, static_cast<double>(bounds.limit) / 2);
  if (aims.fixed_prefill >= 0) {
    schema::Split split = current;
    split.phases.clear();
    for (std::size_t place = 0; place < workers.size(); ++place) {
      split.phases[workers[place]] = static_cast<std::int64_t>(place) < aims.fixed_prefill ? "prefill" : "decode";
    }
    split.frozen = true;
    split.manner = aims.manner;
    split.reason = "fixed by the setup";
    return split.phases == current.phases ? ScalerAction{Rest{split.reason}} : ScalerAction{WriteSplit{split}};
  }
  if (!current.frozen || current.manner != aims.manner) {
    if (first_report_ == 0 || now - first_report_ < common::milliseconds(static_cast<std::int64_t>(aims.warm_up_ms))) {
      return Rest{"warm-up: workers do both phases while times are fitted"};
    }
    std::optional<schema::Split> const first = first_split(workers, aims, batch, fixed);
    return first.has_value()
               ? ScalerAction{WriteSplit{*first}}
               : ScalerAction{
                     Rest{"too few observations for a fit, or too little work of one phase to set workers apart"}};
  }
  std::vector<SliceWork> const works = counted(aims);
  std::map<std::string, WorkerModel> const models = models_of(current, workers);
  std::map<std::string, std::string> phases;
  std::size_t prefills = 0;
  std::vector<std::string> unassigned;
  for (std::string const& worker : workers) {
    std::map<std::string, std::string>::const_iterator const told = fixed.find(worker);
    std::map<std::string, std::string>::const_iterator const found =
        told != fixed.end() ? told : current.phases.find(worker);
    if (found == current.phases.end() || found->second == "both") {
      unassigned.push_back(worker);
    } else {
      phases[worker] = found->second;
      prefills += found->second == "prefill" ? 1 : 0;
    }
  }
  std::size_t const decodes = phases.size() - prefills;
  // Came new, or a phase lost its last worker: nobody switches whose queries
  // count, so this waits for no hold.
  if (!unassigned.empty() || prefills == 0 || decodes == 0) {
    schema::Split split = current;
    if (unassigned.empty()) {
      std::vector<std::string>::const_iterator const free = std::find_if(
          workers.begin(), workers.end(), [&fixed](std::string const& worker) { return fixed.count(worker) == 0; });
      if (free == workers.end()) {
        return Rest{"all workers can do one phase only"};
      }
      split.phases[*free] = prefills == 0 ? "prefill" : "decode";
      split.reason = "a phase had no worker left";
    } else {
      // All in one write: workers that were replaced come by the half dozen.
      SliceWork const recent = works.empty() ? SliceWork{} : works.back();
      std::map<std::string, std::string> assigned = phases;
      std::size_t feeding = prefills;
      for (std::string const& newcomer : unassigned) {
        std::map<std::string, std::string> with_prefill = assigned;
        std::map<std::string, std::string> with_decode = assigned;
        with_prefill[newcomer] = "prefill";
        with_decode[newcomer] = "decode";
        bool const prefill = feeding == 0 || (assigned.size() > feeding &&
                                              throughput(with_prefill, models, recent, aims, batch, set_point_) >
                                                  throughput(with_decode, models, recent, aims, batch, set_point_));
        assigned[newcomer] = prefill ? "prefill" : "decode";
        feeding += prefill ? 1 : 0;
        split.phases[newcomer] = assigned[newcomer];
      }
      split.reason = unassigned.front() +
                     (unassigned.size() > 1 ? " and " + std::to_string(unassigned.size() - 1) + " more" : "") +
                     " came new";
    }
    if (split.coefficients.count(workers.front()) == 0 && !split.coefficients.empty()) {
      split.coefficients[workers.front()] = split.coefficients.begin()->second;
    }
    return WriteSplit{split};
  }
  if (aims.refit_ms > 0 && now - seen_at_ >= common::milliseconds(static_cast<std::int64_t>(aims.refit_ms))) {
    schema::Split const again = fitted(workers);
    if (!again.coefficients.empty()) {
      schema::Split split = current;
      split.coefficients = again.coefficients;
      split.reason = "refitted";
      return WriteSplit{split};
    }
  }
  if (now - seen_at_ < common::milliseconds(static_cast<std::int64_t>(aims.hold_ms))) {
    return Rest{"held after the last switch"};
  }
  if (works.size() < std::max<std::size_t>(3, aims.slices / 2)) {
    return Rest{"too few slices with observations"};
  }
  std::optional<schema::Split> best;
  double best_gain = 0;
  for (std::int64_t change = -static_cast<std::int64_t>(aims.step); change <= static_cast<std::int64_t>(aims.step);
       ++change) {
    std::int64_t const count = static_cast<std::int64_t>(prefills) + change;
    if (change == 0 || count < 1 || count >= static_cast<std::int64_t>(phases.size()) ||
        !candidate(static_cast<std::size_t>(count), phases.size())) {
      continue;
    }
    // Who is relatively best at the other phase goes first.
    std::vector<std::pair<double, std::string>> movable;
    for (std::pair<std::string const, std::string> const& entry : phases) {
      if ((entry.second == "prefill") == (change < 0) && fixed.count(entry.first) == 0) {
        WorkerModel const& model = models.at(entry.first);
        double const prefill =
            busy_seconds(model, works.back().prefill, true, aims.manner != "paired", aims, batch, set_point_);
        double const decode =
            busy_seconds(model, works.back().decode, aims.manner != "paired", true, aims, batch, set_point_);
        movable.emplace_back(change < 0 ? decode / std::max(prefill, 1e-9) : prefill / std::max(decode, 1e-9),
                             entry.first);
      }
    }
    std::sort(movable.begin(), movable.end());
    std::map<std::string, std::string> candidate = phases;
    for (std::size_t place = 0; place < movable.size() && place < static_cast<std::size_t>(std::abs(change)); ++place) {
      candidate[movable[place].second] = change < 0 ? "decode" : "prefill";
    }
    std::vector<double> gains;
    double mean = 0;
    for (SliceWork const& work : works) {
      gains.push_back(throughput(candidate, models, work, aims, batch, set_point_) -
                      throughput(phases, models, work, aims, batch, set_point_));
      mean += gains.back() / static_cast<double>(works.size());
    }
    double spread = 0;
    for (double const gain : gains) {
      spread += (gain - mean) * (gain - mean);
    }
    double const error = std::sqrt(spread / static_cast<double>(gains.size() - 1) / static_cast<double>(gains.size()));
    if (mean > 1e-9 && mean > aims.errors * error && mean > best_gain) {
      best_gain = mean;
      schema::Split split = current;
      split.phases = candidate;
      split.reason = "gain " + std::to_string(mean) + " queries a second, standard error " + std::to_string(error) +
                     ", prefill " + std::to_string(prefills) + " to " + std::to_string(count);
      best = split;
    }
  }
  return best.has_value() ? ScalerAction{WriteSplit{*best}}
                          : ScalerAction{Rest{"no candidate gains more than its error allows"}};
}

}  // namespace finchlink::scheduling
