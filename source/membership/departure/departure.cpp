#include "membership/departure/departure.hpp"

#include <algorithm>

#include "common/constants.hpp"
#include "consensus/ballot/ballot.hpp"

namespace finchlink::membership {

namespace constants = common::constants;

bool stays(DepartureStep step) {
  return step == DepartureStep::await_successor || step == DepartureStep::await_votes;
}

char const* name_of(DepartureStep step) {
  switch (step) {
    case DepartureStep::await_successor:
      return "waits for a successor";
    case DepartureStep::await_votes:
      return "waits for the votes of new voters";
    case DepartureStep::leave_replaced:
      return "replaced";
    case DepartureStep::leave_no_successor:
      return "no successor waits";
    case DepartureStep::leave_not_voter:
      return "no voter";
    case DepartureStep::leave_grace_expired:
      return "grace is over";
  }
  return "";
}

DepartureStep Departure::decide(schema::VoterSet const& set, std::vector<Peer> const& peers, common::Moment now) {
  if (last_decision_ == 0 || now - last_decision_ > constants::departure_gap) {
    running_since_ = now;
  }
  last_decision_ = now;
  record_votes(set, peers);
  bool const voter = consensus::contains_voter(set.holders, incarnation_);
  bool const source = consensus::contains_voter(set.previous, incarnation_);
  if (incarnation_ == 0 || (!voter && !source)) {
    return DepartureStep::leave_not_voter;
  }
  if (now >= until_) {
    return DepartureStep::leave_grace_expired;
  }
  if (guards_.wait_for_votes && is_vote_missing(set)) {
    return DepartureStep::await_votes;
  }
  if (!voter) {
    return DepartureStep::leave_replaced;
  }
  if (guards_.wait_for_successor && has_spare(set, peers, now)) {
    return DepartureStep::await_successor;
  }
  return DepartureStep::leave_no_successor;
}

bool Departure::in_contact(Peer const& peer, common::Moment now) const {
  // Counted from running_since_ at the earliest: after a freeze of this machine all peers would seem out of contact.
  return now - std::max(peer.last_heard, running_since_) <= constants::departure_contact;
}

bool Departure::has_spare(schema::VoterSet const& set, std::vector<Peer> const& peers, common::Moment now) const {
  for (Peer const& peer : peers) {
    bool const spare = peer.entry.disk && peer.entry.holder != 0 && !peer.entry.leaving &&
                       !consensus::contains_voter(set.holders, peer.entry.holder);
    if (spare && in_contact(peer, now)) {
      return true;
    }
  }
  return false;
}

void Departure::record_votes(schema::VoterSet const& set, std::vector<Peer> const& peers) {
  if (set.epoch != epoch_) {
    epoch_ = set.epoch;
    voted_.clear();
  }
  for (Peer const& peer : peers) {
    if (peer.entry.voting && peer.entry.epoch == set.epoch) {
      voted_.insert(peer.entry.holder);
    }
  }
}

bool Departure::is_vote_missing(schema::VoterSet const& set) const {
  for (schema::Voter const& voter : set.holders) {
    bool const added = !consensus::contains_voter(set.previous, voter.incarnation);
    if (added && voter.incarnation != incarnation_ && voted_.count(voter.incarnation) == 0) {
      return true;
    }
  }
  return false;
}

std::set<std::uint64_t> leaving_voters(std::vector<Peer> const& peers) {
  std::set<std::uint64_t> leaving;
  for (Peer const& peer : peers) {
    if (peer.entry.leaving && peer.entry.holder != 0) {
      leaving.insert(peer.entry.holder);
    }
  }
  return leaving;
}

}  // namespace finchlink::membership
