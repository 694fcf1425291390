#pragma once

#include "simulator/membership_model/world.hpp"

namespace finchlink::simulator::membership_model {

/// Notes what a proposer was told and checks it against all before: in the order
/// of ballots, revisions never go back and no revision has two contents.
void note_chosen(World& world, std::string const& name, ChosenValue const& chosen);
/// A writer was told no: its content must never be chosen.
void note_rejected(World& world, std::string const& content);
/// There is one set of voters per epoch. A first set that only founders took up
/// whose disks are lost was never in force: another may be founded.
void note_set(World& world, schema::VoterSet const& set);
/// A vote of this acceptor: only from one that has, for its part, all that was
/// chosen before the epoch (section 5.5).
void check_entitled(World& world, consensus::Acceptor const& acceptor);
/// An image: its giver has what it says that it has.
void check_image(World& world, schema::Image const& image);
/// The first epoch of the unbroken row that names this incarnation up to `last`.
[[nodiscard]] std::uint64_t first_named(World const& world, std::uint64_t incarnation, std::uint64_t last);
/// Whether this incarnation has kept the data of all epochs up to this one.
[[nodiscard]] bool has_data(World const& world, std::uint64_t incarnation, std::uint64_t epoch);
/// Any majority of the newest set that can choose holds what was acknowledged,
/// and none of them would bring back what was rejected.
void check_majorities(World& world);
/// Notes that the disk of an incarnation is gone.
void note_lost_disk(World& world, std::uint64_t incarnation);
/// Notes that an incarnation was founded or admitted and has all data since
/// this epoch: what was lost at its place before counts no more.
void note_data(World& world, std::uint64_t incarnation, std::uint64_t epoch);
/// Whether the loss of this machine's disk is within what is tolerated: at most
/// so many disks are lost at once, whoever else is cut off, frozen or killed.
[[nodiscard]] bool bears_loss(World const& world, std::size_t machine);

}  // namespace finchlink::simulator::membership_model
