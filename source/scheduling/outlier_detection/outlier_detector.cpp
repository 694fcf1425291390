#include "scheduling/outlier_detection/outlier_detector.hpp"

#include <algorithm>

#include "common/relay_constants.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

OutlierDetector::Handle OutlierDetector::admit(Subject const& subject) {
  std::map<std::string, Handle>::const_iterator const found = handles_.find(subject.worker);
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
  handles_[subject.worker] = handle;
  Subject& known = records_[handle].subject;
  if (known.pool != subject.pool || known.serving != subject.serving || known.worker != subject.worker) {
    enter(handle, false);
    known = subject;
    enter(handle, true);
  }
  known.hall = subject.hall;
  return handle;
}

void OutlierDetector::enter(Handle worker, bool in) {
  Subject const& subject = records_[worker].subject;
  std::vector<Handle>& pool = pools_[subject.pool];
  std::erase(pool, worker);
  if (in && subject.serving) {
    pool.push_back(worker);
  }
  if (pool.empty()) {
    pools_.erase(subject.pool);
  }
}

void OutlierDetector::dismiss(std::string const& worker) {
  std::map<std::string, Handle>::const_iterator const found = handles_.find(worker);
  if (found != handles_.end()) {
    enter(found->second, false);
    records_[found->second] = Record{};
    vacant_.push_back(found->second);
    handles_.erase(found);
  }
}

std::vector<OutlierAction> OutlierDetector::take(Handle worker, Evidence const& evidence, common::Moment now) {
  std::vector<OutlierAction> actions;
  std::visit([this, worker, now, &actions](auto const& entry) { act(records_[worker], entry, now, actions); },
             evidence);
  return actions;
}

void OutlierDetector::act(Record& record, Sent const& sent, common::Moment, std::vector<OutlierAction>&) {
  record.pending.push_back(Pending{sent.ticket, sent.due + constants::overdue_slack});
}

void OutlierDetector::act(Record& record, FirstToken const& first, common::Moment, std::vector<OutlierAction>&) {
  std::erase_if(record.pending, [&first](Pending const& pending) { return pending.ticket == first.ticket; });
}

void OutlierDetector::act(Record& record, Heard const&, common::Moment now, std::vector<OutlierAction>&) {
  record.heard_at = now;
  record.trial = false;
}

void OutlierDetector::act(Record& record, Ended const& ended, common::Moment now, std::vector<OutlierAction>& actions) {
  std::erase_if(record.pending, [&ended](Pending const& pending) { return pending.ticket == ended.ticket; });
  switch (ended.outcome) {
    case Outcome::success:
      record.rest = 0;
      record.trial = false;
      dark_.erase(record.subject.hall);
      break;
    case Outcome::abandoned:
      break;
    case Outcome::refused:
      record.rest_until = std::max(record.rest_until, now + constants::refused_rest);
      break;
    case Outcome::misdirected:
      // Another worker has its address: it won't come back under this id.
      record.rest_until = now + constants::worker_rest_most;
      actions.push_back(MayHaveForgotten{});
      break;
    case Outcome::unreachable:
    case Outcome::failure:
      actions.push_back(MayHaveForgotten{});  // it may come back without what it kept
      record.rest =
          std::clamp<common::Span>(record.rest * 2, constants::worker_rest_least, constants::worker_rest_most / 2);
      record.ill_until = std::max(record.ill_until, now + record.rest);
      record.trial = true;
      if (ended.outcome == Outcome::unreachable) {
        dark_[record.subject.hall][record.subject.worker] = now;
      }
      break;
  }
}

Verdict OutlierDetector::verdict(Handle worker, common::Moment now) const {
  Record const& record = records_[worker];
  if (!guards_.rest) {
    return Open{};
  }
  if (now < record.rest_until) {
    return Resting{record.rest_until};
  }
  if (ejected(worker, now)) {
    return Resting{record.ill_until};
  }
  return record.trial ? Verdict(OnTrial{}) : Verdict(Open{});
}

bool OutlierDetector::ejected(Handle worker, common::Moment now) const {
  Record const& record = records_[worker];
  if (!guards_.rest || now >= record.ill_until) {
    return false;
  }
  std::map<std::string, std::vector<Handle>>::const_iterator const pool = pools_.find(record.subject.pool);
  if (!guards_.ejection_bound || pool == pools_.end() || pool->second.size() < constants::ejection_pool_least) {
    return true;  // among so few nobody is an outlier: it rests for its own sake
  }
  // The worst rest, as many as the share allows; the others serve, on trial.
  std::size_t worse = 0;
  for (Handle const other : pool->second) {
    common::Moment const until = records_[other].ill_until;
    worse += until > record.ill_until || (until == record.ill_until && other < worker) ? 1 : 0;
  }
  return static_cast<double>(worse + 1) <= constants::ejection_share * static_cast<double>(pool->second.size());
}

bool OutlierDetector::awaits(Handle worker, std::uint64_t ticket) const {
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

bool OutlierDetector::zone_dark(Handle worker, common::Moment now) const {
  Record const& record = records_[worker];
  std::map<std::string, std::map<std::string, common::Moment>>::const_iterator const found =
      dark_.find(record.subject.hall);
  if (!guards_.zone_suspicion || found == dark_.end()) {
    return false;
  }
  std::size_t recent = 0;
  common::Moment last = 0;
  for (std::pair<std::string const, common::Moment> const& entry : found->second) {
    recent += now - entry.second < constants::dark_memory ? 1 : 0;
    last = std::max(last, entry.second);
  }
  return recent >= 2 && record.heard_at < last - constants::alive_span;
}

}  // namespace finchlink::scheduling
