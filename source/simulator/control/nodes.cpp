#include "simulator/control/nodes.hpp"

#include <algorithm>

namespace finchlink::simulator::control {

schema::TrellisEntry entry_of(Machine const& machine) {
  schema::TrellisEntry entry;
  entry.name = machine.address;
  entry.address = machine.address;
  entry.incarnation = machine.identity;
  entry.disk = machine.disk;
  entry.leaving = machine.departure.has_value();
  if (machine.acceptor.has_value() && !machine.disk_failed) {
    entry.holder = machine.acceptor->incarnation();
    entry.voting = machine.acceptor->voting();
    entry.epoch = machine.acceptor->set().epoch;
  }
  return entry;
}

std::vector<membership::Peer> peers_of(Machine const& machine) {
  std::vector<membership::Peer> peers;
  peers.reserve(machine.peers.size());
  for (std::pair<std::string const, membership::Peer> const& peer : machine.peers) {
    peers.push_back(peer.second);
  }
  return peers;
}

schema::Value newest_known(Machine const& machine, std::string const& name) {
  std::map<std::string, schema::Value>::const_iterator const found = machine.reader.values().find(name);
  return found == machine.reader.values().end() ? schema::Value{} : found->second;
}

std::vector<std::string> addresses_of(schema::VoterSet const& voters, std::vector<std::uint64_t> const& incarnations) {
  std::vector<std::string> addresses;
  for (schema::Voter const& voter : voters.holders) {
    if (std::find(incarnations.begin(), incarnations.end(), voter.incarnation) != incarnations.end()) {
      addresses.push_back(voter.address);
    }
  }
  return addresses;
}

}  // namespace finchlink::simulator::control
