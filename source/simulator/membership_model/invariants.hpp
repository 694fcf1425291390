#pragma once

#include "simulator/membership_model/world.hpp"

namespace finchlink::simulator::membership_model {

/// Records a value that a proposer learned as chosen and checks it against all recorded before: in the order of
/// ballots, revisions never decrease and no revision has two contents.
void record_chosen(World& world, std::string const& name, ChosenValue const& chosen);
/// Records that a write was rejected: its content must never be chosen.
void record_rejected(World& world, std::string const& content);
/// Records a voter set; there is one per epoch. A first set that only founders with lost disks installed was never in
/// force: another first set may be bootstrapped.
void record_set(World& world, schema::VoterSet const& set);
/// Checks that an acceptor that votes has its part of all that was chosen before the epoch (section 5.5).
void check_vote(World& world, consensus::Acceptor const& acceptor);
/// Checks that the sender of a snapshot has the data that it claims to have.
void check_snapshot(World& world, schema::Image const& snapshot);
/// The first of the consecutive epochs up to `last` whose voter sets name this incarnation.
[[nodiscard]] std::uint64_t first_epoch_naming(World const& world, std::uint64_t incarnation, std::uint64_t last);
/// Whether this incarnation has kept the data of all epochs up to this one.
[[nodiscard]] bool has_data(World const& world, std::uint64_t incarnation, std::uint64_t epoch);
/// Checks that every majority of the newest voter set that can choose holds all acknowledged values, and that none
/// would choose a rejected one.
void check_majorities(World& world);
/// Records that the disk of an incarnation is lost.
void record_lost_disk(World& world, std::uint64_t incarnation);
/// Records that an incarnation was bootstrapped or joined and has all data since this epoch: disks lost before in its
/// position no longer count.
void record_data(World& world, std::uint64_t incarnation, std::uint64_t epoch);
/// Whether the loss of this machine's disk is within the tolerated number of disks lost at once, no matter which other
/// machines are cut off, frozen or killed.
[[nodiscard]] bool disk_loss_tolerated(World const& world, std::size_t machine);

}  // namespace finchlink::simulator::membership_model
