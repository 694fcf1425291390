#include "scheduling/scaler/scaler.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "common/relay_constants.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

namespace {
constexpr std::size_t max_rows = 2000;  // rows kept per worker and phase; far more than a fit needs
constexpr std::size_t min_rows = 24;    // rows required to use a worker's own fit
/// Rows of small and of large prompts required to separate the cost per token from the fixed cost.
constexpr std::size_t min_rows_per_size = 4;
constexpr double large_prompt_fraction = 0.125;  // a prompt is large from this fraction of the largest prompt seen
/// Rows slower than this times the median waited behind other queries and are left out of the second fit.
constexpr double max_outlier_ratio = 1.5;

void add(PhaseWork& sum, schema::WorkerFigures const& figures) {
  sum.queries += figures.queries;
  sum.uncached += figures.uncached;
  sum.pairs += figures.pairs;
  sum.prefill_seconds += figures.prefill_seconds;
  sum.iterations += figures.iterations;
  sum.decodes += figures.decodes;
}

/// Fits the rows twice, the second time without outliers. Rows that waited behind other proxies' queries are slower
/// than their work explains, never faster (section 8.2).
Fit robust_fit(std::vector<FitRow> const& rows, std::size_t least) {
  Fit const first = fit_rows(rows, least);
  if (!first.valid) {
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
  double const median_ratio = sorted[sorted.size() / 2];
  std::vector<FitRow> kept;
  for (std::size_t row = 0; row < rows.size(); ++row) {
    if (ratios[row] <= median_ratio * max_outlier_ratio) {
      kept.push_back(rows[row]);
    }
  }
  Fit const second = fit_rows(kept, least);
  return second.valid ? second : first;
}

/// True if the rows can separate the cost per token from the fixed cost. Those of a worker that got prompts of a single
/// size can't.
bool has_both_sizes(std::vector<FitRow> const& rows, double largest) {
  std::size_t small = 0;
  std::size_t large = 0;
  for (FitRow const& row : rows) {
    (row.terms[1] >= largest * large_prompt_fraction ? large : small) += 1;
  }
  return std::min(small, large) >= min_rows_per_size;
}

/// Scales the coefficients fitted over all workers by the relative speed of one worker, measured by its own rows.
std::vector<double> scale_common_fit(Fit const& common, std::vector<FitRow> const& rows) {
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
  if (ratios.size() >= min_rows_per_size) {
    double const speed_ratio = std::clamp(median(ratios), 0.5, 2.0);
    for (double& coefficient : coefficients) {
      coefficient *= speed_ratio;
    }
  }
  return coefficients;
}

double per_query(double sum, double count) {
  return count > 0 ? sum / count : 0;
}

/// Seconds of prefill for the mean prompt, without the fixed cost. With a set point, the measured time is used if it is
/// longer than the work explains: because of prompt parts that a worker evicted unnoticed, and other queries' prompts
/// that were computed first (section 13.11).
double prompt_seconds(WorkerModel const& model, PhaseWork const& work, double set_point) {
  double const explained = model.prefill[1] * per_query(work.uncached, work.queries) +
                           model.prefill[2] * per_query(work.pairs, work.queries);
  return set_point > 0 ? std::max(explained, per_query(work.prefill_seconds, work.queries) - model.prefill[0])
                       : explained;
}

/// Returns the seconds for which one query of this phase occupies a worker. `prefill` and `decode` select the costs to
/// include.
double busy_seconds(WorkerModel const& model, PhaseWork const& work, bool prefill, bool decode,
                    schema::ScalerAims const& aims, double batch, double set_point) {
  double seconds = 0;
  if (prefill && work.queries > 0) {
    seconds += model.prefill[0] / aims.prefill_batch + prompt_seconds(model, work, set_point);
  }
  if (decode && work.decodes > 0) {
    seconds += per_query(work.iterations, work.decodes) *
               model.iteration_seconds(aims.experts_share, aims.tokens_forward, batch) / batch;
  }
  return seconds;
}

/// Returns the maximum utilization of a worker at which first answers arrive within the part of the set point that is
/// available to it. Prompts are computed one after the other, so the wait is that of a single-server queue:
/// s * spread * load / (1 - load).
double max_load(WorkerModel const& model, PhaseWork const& work, double set_point) {
  if (set_point <= 0 || work.queries <= 0) {
    return 1;
  }
  double const prompt = prompt_seconds(model, work, 0);
  double const left = set_point * constants::set_point_fraction - model.prefill[0] - prompt;
  if (left <= 0) {
    return 1;  // no load meets it by this fit, so that it can't guide the split
  }
  return std::max(constants::min_worker_load, left / (left + std::max(1e-6, prompt * constants::prefill_spread)));
}

/// True if each phase has enough of the total work for a worker of its own.
bool justifies_split(WorkerModel const& model, IntervalWork const& work, schema::ScalerAims const& aims, double batch,
                     std::size_t workers) {
  double const prefill = work.prefill.queries * busy_seconds(model, work.prefill, true, true, aims, batch, 0);
  double const decode = work.decode.queries * busy_seconds(model, work.decode, true, true, aims, batch, 0);
  return std::min(prefill, decode) * static_cast<double>(workers) >= (prefill + decode) * constants::min_phase_work;
}
}  // namespace

double throughput(std::map<std::string, std::string> const& phases, std::map<std::string, WorkerModel> const& models,
                  IntervalWork const& work, schema::ScalerAims const& aims, double batch, double set_point) {
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
          max_load(model->second, prefill ? work.prefill : work.decode, set_point) / seconds;
    }
  }
  // Each phase must carry its share of the queries; with paired queries that is all of them in both phases.
  double const unbounded = std::numeric_limits<double>::infinity();
  double const prefill_limit = prefills > 0 ? prefill_rate * all / prefills : unbounded;
  double const decode_limit = decodes > 0 ? decode_rate * all / decodes : unbounded;
  double const least = std::min(prefill_limit, decode_limit);
  return std::isfinite(least) ? least : 0;
}

void Scaler::report(schema::FurrowReport const& report, schema::ScalerAims const& aims, common::Moment now) {
  if (first_report_ == 0) {
    first_report_ = now;
  }
  common::Span const span =
      std::max<common::Span>(common::milliseconds(static_cast<std::int64_t>(aims.window_ms / aims.slices)), 1);
  if (intervals_.empty() || now - intervals_.back().begins >= span) {
    intervals_.push_back(Interval{now, {}});
  }
  while (intervals_.size() > aims.slices + 1) {  // the newest is still being filled
    intervals_.pop_front();
  }
  for (schema::WorkerFigures const& figures : report.figures) {
    add(figures.phase == "decode" ? intervals_.back().work.decode : intervals_.back().work.prefill, figures);
  }
  for (schema::Sample const& sample : report.samples) {
    std::vector<FitRow>& rows = sample.decode ? decode_rows_[sample.worker]
                                              : (sample.sure ? prefill_rows_ : uncertain_prefill_rows_)[sample.worker];
    if (rows.size() < max_rows && sample.seconds > 0) {
      rows.push_back(sample.decode ? FitRow{{1.0, sample.spread, sample.running}, sample.seconds}
                                   : FitRow{{1.0, sample.uncached, sample.pairs, sample.restored}, sample.seconds});
    }
  }
}

schema::Split Scaler::fit_coefficients(std::vector<std::string> const& workers) const {
  schema::Split split;
  std::vector<FitRow> all_prefill;
  std::vector<FitRow> all_decode;
  // Without shared prefixes there are no certain rows; then the uncertain ones are used.
  std::size_t certain = 0;
  for (std::pair<std::string const, std::vector<FitRow>> const& rows : prefill_rows_) {
    certain += rows.second.size();
  }
  Rows const& prefills = certain >= min_rows * 2 ? prefill_rows_ : uncertain_prefill_rows_;
  for (std::pair<std::string const, std::vector<FitRow>> const& rows : prefills) {
    all_prefill.insert(all_prefill.end(), rows.second.begin(), rows.second.end());
  }
  for (std::pair<std::string const, std::vector<FitRow>> const& rows : decode_rows_) {
    all_decode.insert(all_decode.end(), rows.second.begin(), rows.second.end());
  }
  Fit const common_prefill = robust_fit(all_prefill, min_rows);
  Fit const common_decode = robust_fit(all_decode, min_rows);
  if (!common_prefill.valid || !common_decode.valid) {
    return split;
  }
  double largest = 0;
  for (FitRow const& row : all_prefill) {
    largest = std::max(largest, row.terms[1]);
  }
  for (std::string const& worker : workers) {
    std::map<std::string, std::vector<FitRow>>::const_iterator const prefill = prefills.find(worker);
    std::map<std::string, std::vector<FitRow>>::const_iterator const decode = decode_rows_.find(worker);
    // A worker with too few rows of its own gets the fit over all workers.
    Fit const own_prefill = prefill == prefills.end() || (set_point_ > 0 && !has_both_sizes(prefill->second, largest))
                                ? Fit{}
                                : robust_fit(prefill->second, min_rows);
    Fit const own_decode = decode == decode_rows_.end() ? Fit{} : robust_fit(decode->second, min_rows);
    schema::Coefficients coefficients;
    coefficients.prefill = own_prefill.valid ? own_prefill.coefficients
                           : set_point_ > 0 && prefill != prefills.end()
                               ? scale_common_fit(common_prefill, prefill->second)
                               : common_prefill.coefficients;
    coefficients.decode = own_decode.valid ? own_decode.coefficients
                          : set_point_ > 0 && decode != decode_rows_.end()
                              ? scale_common_fit(common_decode, decode->second)
                              : common_decode.coefficients;
    coefficients.error = own_prefill.valid ? own_prefill.error : common_prefill.error;
    split.coefficients[worker] = coefficients;
  }
  return split;
}

std::map<std::string, WorkerModel> Scaler::worker_models(schema::Split const& split,
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

std::vector<IntervalWork> Scaler::usable_intervals(schema::ScalerAims const& aims) const {
  std::vector<IntervalWork> works;
  for (std::size_t place = 0; place + 1 < intervals_.size(); ++place) {
    IntervalWork const& work = intervals_[place].work;
    if (work.prefill.queries + work.decode.queries >= static_cast<double>(aims.slice_least)) {
      works.push_back(work);
    }
  }
  return works;
}

bool Scaler::is_candidate(std::size_t prefills, std::size_t workers) const {
  double const all = static_cast<double>(workers);
  double const least = std::clamp(std::round(min_prefill_share_ * all), 1.0, all - 1);
  double const most = std::clamp(std::round(max_prefill_share_ * all), least, all - 1);
  return static_cast<double>(prefills) >= least && static_cast<double>(prefills) <= most;
}

std::optional<schema::Split> Scaler::make_first_split(std::vector<std::string> const& workers,
                                                      schema::ScalerAims const& aims, double batch,
                                                      std::map<std::string, std::string> const& fixed) const {
  schema::Split split = fit_coefficients(workers);
  if (split.coefficients.empty()) {
    return std::nullopt;
  }
  IntervalWork sum;
  for (Interval const& interval : intervals_) {
    for (std::pair<PhaseWork*, PhaseWork const*> const& part :
         {std::pair<PhaseWork*, PhaseWork const*>{&sum.prefill, &interval.work.prefill},
          {&sum.decode, &interval.work.decode}}) {
      part.first->queries += part.second->queries;
      part.first->uncached += part.second->uncached;
      part.first->pairs += part.second->pairs;
      part.first->iterations += part.second->iterations;
      part.first->decodes += part.second->decodes;
    }
  }
  // Measured prefill times are left out here: waits during the warm-up come from prompt caches that are still empty.
  std::map<std::string, WorkerModel> const models = worker_models(split, workers);
  if (aims.manner == "whole" && !justifies_split(models.begin()->second, sum, aims, batch, workers.size())) {
    return std::nullopt;
  }
  double best = -1;
  for (std::size_t count = 1; count < workers.size(); ++count) {
    if (!is_candidate(count, workers.size())) {
      continue;
    }
    std::map<std::string, std::string> phases;
    for (std::size_t place = 0; place < workers.size(); ++place) {
      std::map<std::string, std::string>::const_iterator const prescribed = fixed.find(workers[place]);
      phases[workers[place]] = prescribed != fixed.end() ? prescribed->second : place < count ? "prefill" : "decode";
    }
    double const predicted_rate = throughput(phases, models, sum, aims, batch, set_point_);
    if (predicted_rate > best) {
      best = predicted_rate;
      split.phases = phases;
    }
  }
  split.frozen = true;
  split.manner = aims.manner;
  std::size_t prefill_count = 0;
  for (std::pair<std::string const, std::string> const& phase : split.phases) {
    prefill_count += phase.second == "prefill" ? 1 : 0;
  }
  split.reason = "first split after warm-up, prefill " + std::to_string(prefill_count) + " of " +
                 std::to_string(workers.size()) + ", predicted " + std::to_string(best) + " queries a second";
  return split;
}

ScalerAction Scaler::tick(schema::Split const& current, std::uint64_t revision, std::vector<std::string> const& workers,
                          schema::ScalerAims const& aims, schema::WorkerBounds const& bounds, common::Moment now,
                          std::map<std::string, std::string> const& fixed) {
  if (!seen_any_ || revision != seen_revision_) {
    seen_any_ = true;
    seen_revision_ = revision;
    seen_at_ = now;  // the hold time starts here, also for a scaler that just took over
  }
  if (workers.size() < 2) {
    return NoChange{"fewer than two workers: each does both phases"};
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
    return split.phases == current.phases ? ScalerAction{NoChange{split.reason}} : ScalerAction{WriteSplit{split}};
  }
  if (!current.frozen || current.manner != aims.manner) {
    if (first_report_ == 0 || now - first_report_ < common::milliseconds(static_cast<std::int64_t>(aims.warm_up_ms))) {
      return NoChange{"warm-up: workers do both phases while times are fitted"};
    }
    std::optional<schema::Split> const first = make_first_split(workers, aims, batch, fixed);
    return first.has_value()
               ? ScalerAction{WriteSplit{*first}}
               : ScalerAction{
                     NoChange{"too few observations for a fit, or too little work of one phase to set workers apart"}};
  }
  std::vector<IntervalWork> const works = usable_intervals(aims);
  std::map<std::string, WorkerModel> const models = worker_models(current, workers);
  std::map<std::string, std::string> phases;
  std::size_t prefills = 0;
  std::vector<std::string> unassigned;
  for (std::string const& worker : workers) {
    std::map<std::string, std::string>::const_iterator const prescribed = fixed.find(worker);
    std::map<std::string, std::string>::const_iterator const found =
        prescribed != fixed.end() ? prescribed : current.phases.find(worker);
    if (found == current.phases.end() || found->second == "both") {
      unassigned.push_back(worker);
    } else {
      phases[worker] = found->second;
      prefills += found->second == "prefill" ? 1 : 0;
    }
  }
  std::size_t const decodes = phases.size() - prefills;
  // New workers appeared, or a phase lost its last worker: this doesn't disturb a working split, so it doesn't wait for
  // the hold time.
  if (!unassigned.empty() || prefills == 0 || decodes == 0) {
    schema::Split split = current;
    if (unassigned.empty()) {
      std::vector<std::string>::const_iterator const free = std::find_if(
          workers.begin(), workers.end(), [&fixed](std::string const& worker) { return fixed.count(worker) == 0; });
      if (free == workers.end()) {
        return NoChange{"all workers can do one phase only"};
      }
      split.phases[*free] = prefills == 0 ? "prefill" : "decode";
      split.reason = "a phase had no worker left";
    } else {
      // All in one write: replaced workers arrive by the half dozen.
      IntervalWork const recent = works.empty() ? IntervalWork{} : works.back();
      std::map<std::string, std::string> assigned = phases;
      std::size_t prefill_count = prefills;
      for (std::string const& new_worker : unassigned) {
        std::map<std::string, std::string> with_prefill = assigned;
        std::map<std::string, std::string> with_decode = assigned;
        with_prefill[new_worker] = "prefill";
        with_decode[new_worker] = "decode";
        bool const prefill =
            prefill_count == 0 ||
            (assigned.size() > prefill_count && throughput(with_prefill, models, recent, aims, batch, set_point_) >
                                                    throughput(with_decode, models, recent, aims, batch, set_point_));
        assigned[new_worker] = prefill ? "prefill" : "decode";
        prefill_count += prefill ? 1 : 0;
        split.phases[new_worker] = assigned[new_worker];
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
    schema::Split const refit = fit_coefficients(workers);
    if (!refit.coefficients.empty()) {
      schema::Split split = current;
      split.coefficients = refit.coefficients;
      split.reason = "refitted";
      return WriteSplit{split};
    }
  }
  if (now - seen_at_ < common::milliseconds(static_cast<std::int64_t>(aims.hold_ms))) {
    return NoChange{"held after the last switch"};
  }
  if (works.size() < std::max<std::size_t>(3, aims.slices / 2)) {
    return NoChange{"too few slices with observations"};
  }
  std::optional<schema::Split> best;
  double best_gain = 0;
  for (std::int64_t change = -static_cast<std::int64_t>(aims.step); change <= static_cast<std::int64_t>(aims.step);
       ++change) {
    std::int64_t const count = static_cast<std::int64_t>(prefills) + change;
    if (change == 0 || count < 1 || count >= static_cast<std::int64_t>(phases.size()) ||
        !is_candidate(static_cast<std::size_t>(count), phases.size())) {
      continue;
    }
    // Workers that are relatively best at the other phase switch first.
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
    for (IntervalWork const& work : works) {
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
                          : ScalerAction{NoChange{"no candidate gains more than its error allows"}};
}

}  // namespace finchlink::scheduling
