#include "membership/status/voter_status.hpp"

#include <algorithm>

#include "common/constants.hpp"
#include "common/health_constants.hpp"
#include "consensus/ballot/ballot.hpp"

namespace finchlink::membership {

namespace constants = common::constants;

namespace {
std::string in_milliseconds(common::Span span) {
  return std::to_string(span / 1000) + " ms";
}

bool is_available(VoterStatus const& status) {
  return status.voting && status.contact.has_value() && *status.contact <= constants::contact_bound;
}

void find_voter_problems(VoterStatus const& status, std::vector<HealthProblem>& problems) {
  std::string const voter_address = status.voter.address;
  if (!status.contact.has_value()) {
    problems.push_back({"voter", voter_address + " was not heard of"});
  } else if (*status.contact > constants::contact_bound) {
    problems.push_back({"voter", voter_address + " was last heard of " + in_milliseconds(*status.contact) + " ago"});
  } else if (status.catching_up) {
    problems.push_back({"voter", voter_address + " is catching up and has no vote yet"});
  } else if (!status.voting) {
    problems.push_back({"voter", voter_address + " does not vote in this epoch"});
  }
  if (status.leaving) {
    problems.push_back({"voter", voter_address + " is leaving"});
  }
}
}  // namespace

std::vector<VoterStatus> voter_statuses(schema::VoterSet const& set, std::vector<Peer> const& peers,
                                        common::Moment now) {
  std::vector<VoterStatus> statuses;
  for (schema::Voter const& voter : set.holders) {
    VoterStatus status;
    status.voter = voter;
    for (Peer const& peer : peers) {
      if (peer.entry.holder != voter.incarnation) {
        continue;
      }
      status.name = peer.entry.name;
      status.epoch = peer.entry.epoch;
      status.voting = peer.entry.voting && peer.entry.epoch == set.epoch;
      status.catching_up = !peer.entry.voting;
      status.leaving = peer.entry.leaving;
      status.contact = std::max<common::Span>(now - peer.last_heard, 0);
    }
    statuses.push_back(status);
  }
  return statuses;
}

std::size_t losses_to_spare(schema::VoterSet const& set, std::vector<VoterStatus> const& voters) {
  std::size_t voting = 0;
  for (VoterStatus const& status : voters) {
    voting += is_available(status) ? 1 : 0;
  }
  std::size_t const needed = consensus::majority(set.holders.size());
  return voting > needed ? voting - needed : 0;
}

std::vector<HealthProblem> find_problems(HealthView const& view) {
  std::vector<HealthProblem> problems;
  if (view.set.epoch == 0) {
    problems.push_back({"register", "no voter set is known"});
  }
  if (view.majority_age > constants::contact_bound) {
    problems.push_back({"majority", "no majority of voters answered for " + in_milliseconds(view.majority_age)});
  }
  for (VoterStatus const& status : view.voters) {
    find_voter_problems(status, problems);
  }
  if (view.set.epoch > 0 && losses_to_spare(view.set, view.voters) == 0) {
    problems.push_back({"majority", "one more lost voter leaves no majority"});
  }
  if (view.own_disk_answers == false) {
    problems.push_back({"disk", "the disk of this process does not answer"});
  }
  if (view.list_age.has_value() && *view.list_age > constants::list_bound) {
    problems.push_back({"list", "the platform's list is " + in_milliseconds(*view.list_age) + " old"});
  }
  return problems;
}

}  // namespace finchlink::membership
