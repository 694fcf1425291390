#pragma once

#include <functional>

#include "simulator/membership_model/world.hpp"

namespace finchlink::simulator::membership_model {

// What processes do in one step. Each function changes the world and records what the invariants need. All decisions
// are made by the production cores, none here.

/// Delivers one message to the machine at an address, which processes and syncs it. Returns its reply, if any.
[[nodiscard]] std::optional<schema::Message> send(World& world, Bounds const& bounds, std::string const& address,
                                                  schema::Message const& message);

/// Starts a compare-and-set write of the data register from the newest acknowledged revision.
void start_write(World& world, Bounds const& bounds, std::size_t machine);
/// Starts a read that settles the named register.
void start_settle(World& world, Bounds const& bounds, std::size_t machine, std::string const& name);
/// Probes the voters that the machine knows, of which `suspected` (an incarnation, or 0) seems lost, and proposes the
/// next voter set if the core plans one. Returns whether it did.
bool join(World& world, Bounds const& bounds, std::size_t machine, std::uint64_t suspected);
/// A proposal begins its next ballot.
void retry_ballot(World& world, Bounds const& bounds, std::size_t operation);
/// Delivers one request of a proposal to its voter, and the reply to the proposal.
void deliver(World& world, Bounds const& bounds, std::size_t operation, std::size_t request);
/// Delivers a late request; its reply is lost.
void deliver_late(World& world, Bounds const& bounds, std::size_t request);
/// The proposer gives up; its accept requests remain in flight.
void abandon(World& world, Bounds const& bounds, std::size_t operation);
/// Delivers requests and retries ballots until the proposal of this identity has ended or nobody answers.
void run_through(World& world, Bounds const& bounds, std::uint64_t identity);

/// Requests a snapshot from the machine at `source`; the machine votes once its core has enough of them.
void request_snapshot(World& world, Bounds const& bounds, std::size_t machine, std::string const& source);
/// Requests a founder's bootstrap answer and keeps it.
void request_bootstrap_answer(World& world, Bounds const& bounds, std::size_t machine, std::size_t founder);
/// Hands the kept bootstrap answers to the core, which bootstraps the first voter set if they
/// suffice.
void conclude_bootstrap(World& world, Bounds const& bounds, std::size_t machine);
/// Whether voter `from` accepted a newer ballot of a register than voter `to`.
[[nodiscard]] bool has_newer_ballot(World const& world, std::size_t from, std::size_t to, std::string const& name);
/// Voter `to` copies what `from` accepted, under the same ballot. A majority that accepted one ballot has chosen it, as
/// any reader concludes.
void take_over(World& world, Bounds const& bounds, std::size_t from, std::size_t to, std::string const& name);
/// The client of a machine learns of a voter set.
void learn(World& world, std::size_t machine, schema::VoterSet const& set);

/// The process ends; its memory and unsynced records are lost, its proposals are abandoned.
void crash(World& world, Bounds const& bounds, std::size_t machine);
/// The process restarts from its synced records.
void restart(World& world, Bounds const& bounds, std::size_t machine);
/// The machine gets a blank disk at the same address.
void lose_disk(World& world, Bounds const& bounds, std::size_t machine);
/// The machine is lost; a blank one takes its index at a new address.
void replace_machine(World& world, Bounds const& bounds, std::size_t machine);

}  // namespace finchlink::simulator::membership_model
