#include "scheduling/outlier_detection/outlier_detector.hpp"

#include <algorithm>

#include "common/relay_constants.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

OutlierDetector::Handle OutlierDetector::add_worker(WorkerInfo const& info) {
  std::map<std::string, Handle>::const_iterator const found = handles_.find(info.worker);
  Handle handle = 0;
  if (found != handles_.end()) {
    handle = found->second;
  } else if (!vacant_.empty()) {
    handle = vacant_.back();
    vacant_.pop_back();
  } else {
    handle = records_.size();
    records_.emplace_back();
  }
  handles_[info.worker] = handle;
  WorkerInfo& known = records_[handle].info;
  if (known.pool != info.pool || known.serving != info.serving || known.worker != info.worker) {
    update_pool(handle, false);
    known = info;
    update_pool(handle, true);
  }
  known.hall = info.hall;
  return handle;
}

void OutlierDetector::update_pool(Handle worker, bool in) {
  WorkerInfo const& info = records_[worker].info;
  std::vector<Handle>& pool = pools_[info.pool];
  std::erase(pool, worker);
  if (in && info.serving) {
    pool.push_back(worker);
  }
  if (pool.empty()) {
    pools_.erase(info.pool);
  }
}

void OutlierDetector::remove_worker(std::string const& worker) {
  std::map<std::string, Handle>::const_iterator const found = handles_.find(worker);
  if (found != handles_.end()) {
    update_pool(found->second, false);
    records_[found->second] = Record{};
    vacant_.push_back(found->second);
    handles_.erase(found);
  }
}

std::vector<OutlierAction> OutlierDetector::record_evidence(Handle worker, Evidence const& evidence,
                                                            common::Moment now) {
  std::vector<OutlierAction> actions;
  std::visit([this, worker, now, &actions](auto const& entry) { act(records_[worker], entry, now, actions); },
             evidence);
  return actions;
}

void OutlierDetector::act(Record& record, DispatchSent const& sent, common::Moment, std::vector<OutlierAction>&) {
  record.pending.push_back(Pending{sent.ticket, sent.due + constants::overdue_slack});
}

void OutlierDetector::act(Record& record, FirstTokenReceived const& first, common::Moment,
                          std::vector<OutlierAction>&) {
  std::erase_if(record.pending, [&first](Pending const& pending) { return pending.ticket == first.ticket; });
}

void OutlierDetector::act(Record& record, BytesReceived const&, common::Moment now, std::vector<OutlierAction>&) {
  record.heard_at = now;
  record.on_probation = false;
}

void OutlierDetector::act(Record& record, DispatchEnded const& ended, common::Moment now,
                          std::vector<OutlierAction>& actions) {
  std::erase_if(record.pending, [&ended](Pending const& pending) { return pending.ticket == ended.ticket; });
  switch (ended.outcome) {
    case Outcome::success:
      record.ejection_time = 0;
      record.on_probation = false;
      unreachable_.erase(record.info.hall);
      break;
    case Outcome::abandoned:
      break;
    case Outcome::refused:
      record.paused_until = std::max(record.paused_until, now + constants::refusal_cooldown);
      break;
    case Outcome::misdirected:
      // Another worker has its address now: this one won't return under its id.
      record.paused_until = now + constants::max_ejection_time;
      actions.push_back(CacheMayBeLost{});
      break;
    case Outcome::unreachable:
    case Outcome::failure:
      actions.push_back(CacheMayBeLost{});  // it may return without its prompt cache
      record.ejection_time = std::clamp<common::Span>(record.ejection_time * 2, constants::min_ejection_time,
                                                      constants::max_ejection_time / 2);
      record.ejected_until = std::max(record.ejected_until, now + record.ejection_time);
      record.on_probation = true;
      if (ended.outcome == Outcome::unreachable) {
        unreachable_[record.info.hall][record.info.worker] = now;
      }
      break;
  }
}

Eligibility OutlierDetector::eligibility(Handle worker, common::Moment now) const {
  Record const& record = records_[worker];
  if (!guards_.ejection) {
    return Available{};
  }
  if (now < record.paused_until) {
    return Unavailable{record.paused_until};
  }
  if (ejected(worker, now)) {
    return Unavailable{record.ejected_until};
  }
  return record.on_probation ? Eligibility(OnProbation{}) : Eligibility(Available{});
}

bool OutlierDetector::ejected(Handle worker, common::Moment now) const {
  Record const& record = records_[worker];
  if (!guards_.ejection || now >= record.ejected_until) {
    return false;
  }
  std::map<std::string, std::vector<Handle>>::const_iterator const pool = pools_.find(record.info.pool);
  if (!guards_.ejection_bound || pool == pools_.end() || pool->second.size() < constants::min_ejection_pool) {
    return true;  // in so small a pool there are no outliers: it is ejected by its own failures
  }
  // The worst workers are ejected, as many as the share allows; the others serve on probation.
  std::size_t worse = 0;
  for (Handle const other : pool->second) {
    common::Moment const until = records_[other].ejected_until;
    worse += until > record.ejected_until || (until == record.ejected_until && other < worker) ? 1 : 0;
  }
  return static_cast<double>(worse + 1) <= constants::ejection_share * static_cast<double>(pool->second.size());
}

bool OutlierDetector::awaits_first_token(Handle worker, std::uint64_t ticket) const {
  std::vector<Pending> const& pending = records_[worker].pending;
  return std::any_of(pending.begin(), pending.end(), [ticket](Pending const& entry) { return entry.ticket == ticket; });
}

double OutlierDetector::overdue(Handle worker, common::Moment now) const {
  double late = 0;
  for (Pending const& pending : records_[worker].pending) {
    late = std::max(late, static_cast<double>(now - pending.due) / 1e6);
  }
  return late;
}

bool OutlierDetector::zone_suspected(Handle worker, common::Moment now) const {
  Record const& record = records_[worker];
  std::map<std::string, std::map<std::string, common::Moment>>::const_iterator const found =
      unreachable_.find(record.info.hall);
  if (!guards_.zone_suspicion || found == unreachable_.end()) {
    return false;
  }
  std::size_t recent = 0;
  common::Moment last = 0;
  for (std::pair<std::string const, common::Moment> const& entry : found->second) {
    recent += now - entry.second < constants::unreachable_zone_memory ? 1 : 0;
    last = std::max(last, entry.second);
  }
  return recent >= 2 && record.heard_at < last - constants::worker_alive_span;
}

}  // namespace finchlink::scheduling
