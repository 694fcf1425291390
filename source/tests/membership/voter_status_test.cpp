#include "membership/status/voter_status.hpp"

#include <gtest/gtest.h>

#include "common/health_constants.hpp"

namespace finchlink {
namespace {

using membership::HealthProblem;
using membership::HealthView;
using membership::Peer;

constexpr common::Moment now = common::seconds(50);

Peer voter_process(std::uint64_t incarnation, std::string const& address, std::uint64_t epoch) {
  return Peer{schema::TrellisEntry{address, 1, "h", address, "", true, true, incarnation, epoch, false}, now};
}

schema::VoterSet three() {
  std::vector<schema::Voter> const voters{{1, "a"}, {2, "b"}, {3, "c"}};
  return schema::VoterSet{4, voters, voters};
}

std::vector<Peer> all_well() {
  return {voter_process(1, "a", 4), voter_process(2, "b", 4), voter_process(3, "c", 4)};
}

HealthView view_of(std::vector<Peer> const& peers) {
  HealthView view;
  view.set = three();
  view.voters = membership::voter_statuses(view.set, peers, now);
  view.own_disk_answers = true;
  return view;
}

std::vector<std::string> parts(HealthView const& view) {
  std::vector<std::string> parts;
  for (HealthProblem const& problem : membership::find_problems(view)) {
    parts.push_back(problem.part);
  }
  return parts;
}

TEST(VoterStatus, AllWellIsHealthy) {
  HealthView const view = view_of(all_well());
  EXPECT_TRUE(membership::find_problems(view).empty());
  EXPECT_EQ(membership::losses_to_spare(view.set, view.voters), 1u);
}

TEST(VoterStatus, ReportsVoteEpochContactAndLeaving) {
  std::vector<Peer> peers = all_well();
  peers[0].entry.leaving = true;
  peers[1].entry.voting = false;
  peers[1].last_heard = now - common::seconds(1);
  peers.pop_back();
  std::vector<membership::VoterStatus> const statuses = membership::voter_statuses(three(), peers, now);
  ASSERT_EQ(statuses.size(), 3u);
  EXPECT_TRUE(statuses[0].voting);
  EXPECT_TRUE(statuses[0].leaving);
  EXPECT_EQ(statuses[0].epoch, 4u);
  EXPECT_FALSE(statuses[1].voting);
  EXPECT_TRUE(statuses[1].catching_up);
  EXPECT_EQ(statuses[1].contact, common::seconds(1));
  EXPECT_FALSE(statuses[2].contact.has_value());
  EXPECT_FALSE(statuses[2].voting);
}

TEST(VoterStatus, AVoterOfAnOlderEpochDoesNotCount) {
  std::vector<Peer> peers = all_well();
  peers[2].entry.epoch = 3;
  HealthView const view = view_of(peers);
  EXPECT_FALSE(view.voters[2].voting);
  EXPECT_FALSE(view.voters[2].catching_up);
  EXPECT_EQ(parts(view), (std::vector<std::string>{"voter", "majority"}));
  EXPECT_EQ(membership::losses_to_spare(view.set, view.voters), 0u);
}

TEST(VoterStatus, EachProblemIsNamed) {
  std::vector<Peer> peers = all_well();
  peers[0].last_heard = now - common::constants::contact_bound - 1;
  EXPECT_EQ(parts(view_of(peers)), (std::vector<std::string>{"voter", "majority"}));
  peers = all_well();
  peers[0].entry.leaving = true;
  EXPECT_EQ(parts(view_of(peers)), std::vector<std::string>{"voter"});
  HealthView view = view_of(all_well());
  view.majority_age = common::constants::contact_bound + 1;
  EXPECT_EQ(parts(view), std::vector<std::string>{"majority"});
  view = view_of(all_well());
  view.own_disk_answers = false;
  EXPECT_EQ(parts(view), std::vector<std::string>{"disk"});
  view.own_disk_answers.reset();
  view.list_age = common::seconds(9);
  EXPECT_EQ(parts(view), std::vector<std::string>{"list"});
  EXPECT_EQ(parts(HealthView{}), std::vector<std::string>{"register"});
}

}  // namespace
}  // namespace finchlink
