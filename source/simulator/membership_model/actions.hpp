#pragma once

#include <functional>

#include "simulator/membership_model/world.hpp"

namespace finchlink::simulator::membership_model {

/// What processes do in one step. Each changes the world and notes what the
/// invariants need; the cores decide, and nothing here does.

/// One message to the machine at an address, processed and synced; its answer.
[[nodiscard]] std::optional<schema::Message> send(World& world, Bounds const& bounds, std::string const& address,
                                                  schema::Message const& message);

void start_write(World& world, Bounds const& bounds, std::size_t machine);
void start_settle(World& world, Bounds const& bounds, std::size_t machine, std::string const& name);
/// Looks at the voters it knows, of which one may seem lost, and proposes the
/// next set if the core plans one; whether it did.
bool join(World& world, Bounds const& bounds, std::size_t machine, std::uint64_t seems_lost);
/// A proposal begins its next ballot.
void begin_again(World& world, Bounds const& bounds, std::size_t operation);
/// One request of a proposal reaches its voter, and the answer comes back.
void deliver(World& world, Bounds const& bounds, std::size_t operation, std::size_t request);
void deliver_late(World& world, Bounds const& bounds, std::size_t request);
/// The proposer gives up; its requests are still on their way.
void abandon(World& world, Bounds const& bounds, std::size_t operation);
/// Delivers and begins again until the proposal of this identity has ended or
/// nobody answers.
void run_through(World& world, Bounds const& bounds, std::uint64_t identity);

void ask_image(World& world, Bounds const& bounds, std::size_t machine, std::string const& source);
void ask_founding(World& world, Bounds const& bounds, std::size_t machine, std::size_t founder);
void conclude_founding(World& world, Bounds const& bounds, std::size_t machine);
/// Whether one accepted a newer ballot of a register than another voter.
[[nodiscard]] bool offers(World const& world, std::size_t from, std::size_t to, std::string const& name);
/// A voter takes what another one accepted, under the same ballot; a majority
/// that has accepted one ballot has chosen it, as any reader concludes.
void take_over(World& world, Bounds const& bounds, std::size_t from, std::size_t to, std::string const& name);
/// The client of a machine hears of a set.
void learn(World& world, std::size_t machine, schema::VoterSet const& set);

void crash(World& world, Bounds const& bounds, std::size_t machine);
void restart(World& world, Bounds const& bounds, std::size_t machine);
void lose_disk(World& world, Bounds const& bounds, std::size_t machine);
void replace_machine(World& world, Bounds const& bounds, std::size_t machine);

}  // namespace finchlink::simulator::membership_model
