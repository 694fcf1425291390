#include "lease/lease_holder.hpp"

#include "common/constants.hpp"

namespace finchlink::lease {

namespace constants = common::constants;

LeaseHolder::LeaseHolder(std::string name, std::uint64_t identity, consensus::Guards guards)
    : name_(std::move(name)), identity_(identity), guards_(guards) {}

std::vector<LeaseHolderAction> LeaseHolder::tick(consensus::VoterSet const& set, common::Moment now) {
  std::vector<LeaseHolderAction> actions;
  if (held_ && !holds(now)) {
    held_ = false;
    actions.emplace_back(Lost{});
  }
  if (released_ || set.epoch == 0 || (requested_ != 0 && now < requested_ + constants::lease_renew)) {
    return actions;
  }
  // A request that got no majority is released first. Otherwise two processes that each got grants from some of the
  // acceptors would block each other for a whole lease span.
  releasing_ = !releasing_ && !held_ && round_ > 0 && !granted_.empty() &&
               granted_.size() < consensus::majority(set_.holders.size());
  set_ = set;
  requested_ = now;
  ++round_;
  granted_.clear();
  for (schema::Voter const& voter : set_.holders) {
    actions.emplace_back(SendLeaseRequest{
        voter, schema::LeaseAsk{set_.epoch, name_, identity_, constants::lease_span, releasing_, round_}});
  }
  return actions;
}

std::vector<LeaseHolderAction> LeaseHolder::release() {
  std::vector<LeaseHolderAction> actions;
  if (held_) {
    actions.emplace_back(Lost{});
  }
  held_ = false;
  until_ = 0;
  released_ = true;
  releasing_ = true;  // answers to earlier requests no longer count
  ++round_;
  granted_.clear();
  for (schema::Voter const& voter : set_.holders) {
    actions.emplace_back(SendLeaseRequest{
        voter, schema::LeaseAsk{set_.epoch, name_, identity_, constants::lease_span, releasing_, round_}});
  }
  return actions;
}

std::vector<LeaseHolderAction> LeaseHolder::receive(schema::LeaseAnswer const& answer, common::Moment now) {
  std::vector<LeaseHolderAction> actions;
  if (answer.round != round_ || !answer.granted || releasing_ ||
      !consensus::contains_voter(set_.holders, answer.incarnation)) {
    return actions;
  }
  granted_.insert(answer.incarnation);
  if (granted_.size() < consensus::majority(set_.holders.size())) {
    return actions;
  }
  common::Moment const until = guards_.tenant_stops_early
                                   ? requested_ + constants::lease_span - constants::lease_safety_margin
                                   : now + constants::lease_span;
  if (until > until_ && now < until) {
    until_ = until;
    if (!held_) {
      held_ = true;
      actions.emplace_back(Gained{});
    }
  }
  return actions;
}

}  // namespace finchlink::lease
