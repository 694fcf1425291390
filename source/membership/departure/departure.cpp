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
    case DepartureStep::go_replaced:
      return "replaced";
    case DepartureStep::go_unreplaced:
      return "no successor waits";
    case DepartureStep::go_no_voter:
      return "no voter";
    case DepartureStep::go_grace_over:
      return "grace is over";
  }
  return "";
}

DepartureStep Departure::decide(schema::VoterSet const& set, std::vector<Peer> const& peers, common::Moment now) {
  if (last_ == 0 || now - last_ > constants::departure_gap) {
    running_from_ = now;
  }
  last_ = now;
  note_votes(set, peers);
  bool const voter = consensus::contains_voter(set.holders, incarnation_);
  bool const source = consensus::contains_voter(set.previous, incarnation_);
  if (incarnation_ == 0 || (!voter && !source)) {
    return DepartureStep::go_no_voter;
  }
  if (now >= until_) {
    return DepartureStep::go_grace_over;
  }
  if (guards_.wait_for_votes && vote_missing(set)) {
    return DepartureStep::await_votes;
  }
  if (!voter) {
    return DepartureStep::go_replaced;
  }
  if (guards_.wait_for_successor && spare_waits(set, peers, now)) {
    return DepartureStep::await_successor;
  }
  return DepartureStep::go_unreplaced;
}

bool Departure::in_contact(Peer const& peer, common::Moment now) const {
  // After a freeze of this machine all would seem silent by the clock.
  return now - std::max(peer.heard, running_from_) <= constants::departure_contact;
}

bool Departure::spare_waits(schema::VoterSet const& set, std::vector<Peer> const& peers, common::Moment now) const {
  for (Peer const& peer : peers) {
    bool const spare = peer.entry.disk && peer.entry.holder != 0 && !peer.entry.leaving &&
                       !consensus::contains_voter(set.holders, peer.entry.holder);
    if (spare && in_contact(peer, now)) {
      return true;
    }
  }
  return false;
}

void Departure::note_votes(schema::VoterSet const& set, std::vector<Peer> const& peers) {
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

bool Departure::vote_missing(schema::VoterSet const& set) const {
  for (schema::Voter const& voter : set.holders) {
    bool const newcomer = !consensus::contains_voter(set.previous, voter.incarnation);
    if (newcomer && voter.incarnation != incarnation_ && voted_.count(voter.incarnation) == 0) {
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
