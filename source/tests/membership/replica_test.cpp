#include "membership/replica/replica.hpp"

#include <gtest/gtest.h>

#include <random>

#include "common/constants.hpp"
#include "common/wire/frame.hpp"
#include "common/wire/pack.hpp"

namespace finchlink {
namespace {

namespace constants = common::constants;

schema::WorkerEntry worker(std::string const& id, std::uint64_t cold_ms = 0, bool draining = false) {
  schema::WorkerEntry entry;
  entry.id = id;
  entry.address = "10.0.0.1:80";
  entry.zone = "z";
  entry.cold_ms = cold_ms;
  entry.draining = draining;
  return entry;
}

schema::Member member(std::string const& name, std::uint64_t incarnation = 1, bool ready = true) {
  schema::Member entry;
  entry.name = name;
  entry.incarnation = incarnation;
  entry.hall = "h";
  entry.address = "10.0.0.2:" + std::to_string(incarnation);
  entry.ready = ready;
  return entry;
}

schema::TrellisEntry controller(std::string const& address) {
  return schema::TrellisEntry{address, 1, "h", address, "", false, false, 0};
}

/// The answer of a controller to a requester that holds these digests, encoded and decoded again.
schema::NewsAnswer answer_of(membership::Listing const& listing, membership::Sessions const& sessions,
                             std::uint64_t list, std::uint64_t members, common::Moment now) {
  schema::NewsAnswer answer;
  answer.confirmed = true;
  membership::ListUpdate const update = listing.since(list);
  answer.list_same = update.same;
  answer.list_from = update.from;
  answer.list = update.list;
  answer.list_gone = update.gone;
  answer.list_digest = update.digest;
  answer.list_age = listing.age(now);
  membership::MemberUpdate const known = sessions.since(members);
  answer.members_same = known.same;
  answer.members_from = known.from;
  answer.members = known.members;
  answer.members_gone = known.gone;
  answer.members_digest = known.digest;
  absl::StatusOr<schema::Message> const read = common::unpack<schema::Message>(common::pack(schema::Message(answer)));
  return std::get<schema::NewsAnswer>(*read);
}

bool take(membership::ListReplica& replica, membership::Listing const& sender, common::Moment now) {
  return replica.take(sender.since(replica.digest()), sender.age(now), now);
}

schema::PlatformList many(std::size_t count) {
  schema::PlatformList list;
  for (std::size_t index = 0; index < count; ++index) {
    list.workers.push_back(worker("worker-" + std::to_string(1000 + index)));
  }
  return list;
}

TEST(ListReplica, ReceivesOnlyChanges) {
  membership::Listing sender;
  schema::PlatformList list = many(600);
  ASSERT_TRUE(sender.store(list, common::seconds(1), common::seconds(1)));
  membership::ListReplica replica;
  ASSERT_TRUE(take(replica, sender, common::seconds(2)));
  EXPECT_EQ(replica.list(), sender.list());
  EXPECT_EQ(replica.as_of(), common::seconds(1));
  list.workers[7].draining = true;
  list.workers.erase(list.workers.begin() + 9);
  list.workers.push_back(worker("worker-0001"));
  ASSERT_TRUE(sender.store(list, common::seconds(3), common::seconds(3)));
  membership::ListUpdate const update = sender.since(replica.digest());
  EXPECT_EQ(update.from, replica.digest());
  EXPECT_EQ(update.list.workers.size(), 2u);
  EXPECT_EQ(update.gone, std::vector<std::string>{"worker-1009"});
  ASSERT_TRUE(replica.take(update, 0, common::seconds(3)));
  EXPECT_EQ(replica.list(), sender.list());
  EXPECT_TRUE(sender.since(replica.digest()).same);
}

TEST(ListReplica, ASenderThatDoesNotKnowTheListHeldSendsAll) {
  membership::Listing sender;
  membership::Listing other;
  schema::PlatformList list = many(5);
  ASSERT_TRUE(sender.store(list, common::seconds(1), common::seconds(1)));
  membership::ListReplica replica;
  ASSERT_TRUE(take(replica, sender, common::seconds(1)));
  list.workers[0].draining = true;
  ASSERT_TRUE(other.store(list, common::seconds(2), common::seconds(2)));  // it never had the first list
  EXPECT_EQ(other.since(replica.digest()).from, 0u);
  ASSERT_TRUE(take(replica, other, common::seconds(2)));
  EXPECT_EQ(replica.list(), other.list());
}

TEST(ListReplica, ASenderWithTheSameListFromAnotherSourceSendsChanges) {
  membership::Listing sender;
  membership::Listing other;
  schema::PlatformList list = many(5);
  std::reverse(list.workers.begin(), list.workers.end());
  ASSERT_TRUE(sender.store(many(5), common::seconds(1), common::seconds(1)));
  ASSERT_TRUE(other.store(many(9), common::milliseconds(500), common::seconds(1)));
  ASSERT_TRUE(other.store(list, common::seconds(1), common::seconds(1)));
  membership::ListReplica replica;
  ASSERT_TRUE(take(replica, sender, common::seconds(1)));
  EXPECT_TRUE(other.since(replica.digest()).same);
  list.workers[2].capacity = 9;
  ASSERT_TRUE(other.store(list, common::seconds(2), common::seconds(2)));
  EXPECT_NE(other.since(replica.digest()).from, 0u);
  ASSERT_TRUE(take(replica, other, common::seconds(2)));
  EXPECT_EQ(replica.list(), other.list());
}

TEST(ListReplica, AnOlderListIsNotApplied) {
  membership::Listing sender;
  membership::Listing behind;
  schema::PlatformList list = many(3);
  ASSERT_TRUE(behind.store(list, common::seconds(1), common::seconds(1)));
  ASSERT_TRUE(sender.store(list, common::seconds(1), common::seconds(1)));
  list.workers[0].draining = true;
  ASSERT_TRUE(sender.store(list, common::seconds(5), common::seconds(5)));
  membership::ListReplica replica;
  ASSERT_TRUE(take(replica, sender, common::seconds(6)));
  std::uint64_t const digest = replica.digest();
  EXPECT_FALSE(take(replica, behind, common::seconds(7)));  // its age counts from this request
  EXPECT_EQ(replica.digest(), digest);
  EXPECT_EQ(replica.as_of(), common::seconds(5));
  EXPECT_TRUE(replica.list().workers[0].draining);
}

TEST(ListReplica, ChangesWithAWrongDigestAreDroppedAndAllIsRequested) {
  membership::Listing sender;
  schema::PlatformList list = many(4);
  ASSERT_TRUE(sender.store(list, common::seconds(1), common::seconds(1)));
  membership::ListReplica replica;
  ASSERT_TRUE(take(replica, sender, common::seconds(1)));
  schema::PlatformList const held = replica.list();
  list.workers[1].draining = true;
  ASSERT_TRUE(sender.store(list, common::seconds(2), common::seconds(2)));
  membership::ListUpdate update = sender.since(replica.digest());
  update.list.workers[0].capacity = 77;
  EXPECT_FALSE(replica.take(update, 0, common::seconds(2)));
  EXPECT_EQ(replica.list(), held);  // stays in use meanwhile, and no fresher than before
  EXPECT_EQ(replica.as_of(), common::seconds(1));
  EXPECT_EQ(replica.digest(), 0u);
  EXPECT_EQ(sender.since(0).from, 0u);
  ASSERT_TRUE(take(replica, sender, common::seconds(2)));
  EXPECT_EQ(replica.list(), sender.list());
}

TEST(ListReplica, ChangesToAnotherListAreDropped) {
  membership::Listing sender;
  schema::PlatformList list = many(4);
  ASSERT_TRUE(sender.store(list, common::seconds(1), common::seconds(1)));
  membership::ListReplica replica;
  ASSERT_TRUE(take(replica, sender, common::seconds(1)));
  list.workers[1].draining = true;
  ASSERT_TRUE(sender.store(list, common::seconds(2), common::seconds(2)));
  membership::ListUpdate const late = sender.since(replica.digest());
  list.workers[2].draining = true;
  ASSERT_TRUE(sender.store(list, common::seconds(3), common::seconds(3)));
  ASSERT_TRUE(take(replica, sender, common::seconds(3)));
  std::uint64_t const digest = replica.digest();
  // Even if the answer is newer, it changes neither the list nor its age.
  EXPECT_FALSE(replica.take(late, 0, common::seconds(4)));
  EXPECT_EQ(replica.digest(), digest);
  EXPECT_EQ(replica.as_of(), common::seconds(3));
  EXPECT_EQ(replica.list(), sender.list());
  // Neither does the answer that another list is unchanged.
  membership::ListUpdate same;
  same.same = true;
  same.digest = digest + 1;
  EXPECT_FALSE(replica.take(same, 0, common::seconds(5)));
  EXPECT_EQ(replica.as_of(), common::seconds(3));
  same.digest = digest;
  EXPECT_FALSE(replica.take(same, 0, common::seconds(5)));
  EXPECT_EQ(replica.as_of(), common::seconds(5));
}

TEST(ListReplica, RemainingTimesAreSentWithEachChange) {
  membership::Listing sender;
  schema::PlatformList list{0, {worker("a", 3000), worker("b"), worker("c")}};
  ASSERT_TRUE(sender.store(list, common::seconds(1), common::seconds(1)));
  membership::ListReplica replica;
  ASSERT_TRUE(take(replica, sender, common::seconds(1)));
  list.workers[0].cold_ms = 2900;  // its cold period restarted between two lists
  ASSERT_TRUE(sender.store(list, common::seconds(3), common::seconds(3)));
  list.workers[1].draining = true;
  list.workers[0].cold_ms = 2400;
  ASSERT_TRUE(sender.store(list, common::milliseconds(3500), common::milliseconds(3500)));
  ASSERT_TRUE(take(replica, sender, common::milliseconds(3500)));
  EXPECT_EQ(replica.list(), sender.list());
  EXPECT_EQ(replica.list().workers[0].cold_ms, 2400u);
  EXPECT_EQ(sender.since(replica.digest()).same, true);
}

TEST(ListReplica, NoChangesAreAppliedToAListReadElsewhere) {
  membership::Listing sender;
  ASSERT_TRUE(sender.store(many(3), common::seconds(1), common::seconds(1)));
  membership::ListReplica replica;
  ASSERT_TRUE(take(replica, sender, common::seconds(1)));
  replica.put(many(2), common::seconds(2));
  EXPECT_EQ(replica.digest(), 0u);
  EXPECT_FALSE(take(replica, sender, common::seconds(3)));  // older than the one held
  EXPECT_EQ(replica.list().workers.size(), 2u);
  ASSERT_TRUE(sender.store(many(4), common::seconds(4), common::seconds(4)));
  ASSERT_TRUE(take(replica, sender, common::seconds(4)));
  EXPECT_EQ(replica.list(), sender.list());
}

TEST(ListReplica, RequestersOfSeveralSendersConverge) {
  std::mt19937_64 random(5);
  for (int round = 0; round < 40; ++round) {
    membership::Listing senders[3];
    membership::Sessions nobody(controller("t"));
    membership::ListReplica replicas[4];
    schema::PlatformList list;
    common::Moment now = common::seconds(10);
    std::size_t partial_updates = 0;
    for (int step = 0; step < 150; ++step) {
      now += common::milliseconds(50 + static_cast<std::int64_t>(random() % 400));
      membership::count_down(list, common::milliseconds(50));
      std::string const id = "w" + std::to_string(random() % 15);
      std::erase_if(list.workers, [&id](schema::WorkerEntry const& entry) { return entry.id == id; });
      if (random() % 3 != 0) {
        list.workers.push_back(worker(id, random() % 4 == 0 ? random() % 3000 : 0, random() % 3 == 0));
      }
      list.revision = round % 2 == 0 ? 0 : list.revision + 1;
      // One reads the list; the others are updated, or not, by a peer with a newer one.
      membership::Listing& reader = senders[random() % 3];
      (void)reader.store(list, now, now);
      for (membership::Listing& other : senders) {
        if (&other != &reader && random() % 3 != 0) {
          membership::ListUpdate const update = reader.since(other.base_digest());
          (void)other.take(update, now - reader.age(now), now);
          if (!update.same) {
            ASSERT_EQ(other.list(), reader.list());
          }
          ASSERT_EQ(other.digest(), reader.digest());
        }
      }
      for (membership::ListReplica& replica : replicas) {
        membership::Listing const& sender = senders[random() % 3];
        if (random() % 2 == 0 || sender.age(now) < 0) {
          continue;
        }
        common::Moment const before = replica.as_of();
        schema::NewsAnswer const answer = answer_of(sender, nobody, replica.digest(), 0, now);
        partial_updates += answer.list_from != 0 ? 1 : 0;
        bool const lost = random() % 5 == 0;
        if (!lost && replica.take(membership::list_update(answer), answer.list_age, now)) {
          ASSERT_EQ(replica.list(), sender.list());
        }
        ASSERT_GE(replica.as_of(), before);
        ASSERT_LE(replica.as_of(), now);
        if (!lost && sender.age(now) <= now - before) {
          ASSERT_EQ(replica.digest(), sender.digest());
        }
      }
    }
    EXPECT_GT(partial_updates, 50u);
  }
}

TEST(Listing, ChangesFromAPeerWithAWrongDigestAreDroppedAndAllIsRequested) {
  membership::Listing sender;
  membership::Listing other;
  ASSERT_TRUE(sender.store(many(4), common::seconds(1), common::seconds(1)));
  ASSERT_TRUE(other.take(sender.since(other.base_digest()), common::seconds(1), common::seconds(1)));
  schema::PlatformList list = many(5);
  ASSERT_TRUE(sender.store(list, common::seconds(2), common::seconds(2)));
  membership::ListUpdate update = sender.since(other.base_digest());
  ASSERT_NE(update.from, 0u);
  ASSERT_EQ(update.list.workers.size(), 1u);
  update.list.workers[0].address = "spoiled";
  EXPECT_FALSE(other.take(update, common::seconds(2), common::seconds(2)));
  EXPECT_EQ(other.list().workers.size(), 4u);
  EXPECT_EQ(other.age(common::seconds(2)), common::seconds(1));
  EXPECT_EQ(other.base_digest(), 0u);
  ASSERT_TRUE(other.take(sender.since(other.base_digest()), common::seconds(2), common::seconds(2)));
  EXPECT_EQ(other.list(), sender.list());
  EXPECT_EQ(other.base_digest(), sender.digest());
}

TEST(MemberReplica, FollowsOneControllerAndSwitchesToAnother) {
  membership::Listing nothing;
  membership::Sessions first(controller("a"));
  membership::Sessions second(controller("b"));
  for (int index = 0; index < 40; ++index) {
    (void)first.record_request(member("f" + std::to_string(100 + index)), 1000);
    (void)second.record_request(member("f" + std::to_string(139 - index)), 900);
  }
  membership::MemberReplica replica;
  ASSERT_TRUE(replica.take(answer_of(nothing, first, replica.digest(), replica.digest(), 1000)));
  EXPECT_EQ(replica.members(), first.members());
  EXPECT_TRUE(second.since(replica.digest()).same);  // however that state came about
  (void)second.record_request(member("f105", 1, false), 2000);
  (void)second.record_request(member("f500"), 2000);
  schema::NewsAnswer const answer = answer_of(nothing, second, 0, replica.digest(), 2000);
  EXPECT_EQ(answer.members_from, replica.digest());
  EXPECT_EQ(answer.members.size(), 2u);
  ASSERT_TRUE(replica.take(answer));
  EXPECT_EQ(replica.members(), second.members());
  // All but two end; the removed members are sent by name.
  (void)second.record_request(member("f500"), common::seconds(9));
  EXPECT_EQ(second.expire(common::seconds(9)).size(), 40u);
  schema::NewsAnswer const ended = answer_of(nothing, second, 0, replica.digest(), common::seconds(9));
  EXPECT_EQ(ended.members_gone.size(), 40u);
  ASSERT_TRUE(replica.take(ended));
  EXPECT_EQ(replica.members(), second.members());
}

TEST(MemberReplica, LoadsAndRevisionsAreNoUpdate) {
  membership::Sessions sessions(controller("a"));
  (void)sessions.record_request(member("f"), 1000);
  std::uint64_t const digest = sessions.digest();
  EXPECT_EQ(digest, membership::digest_of(sessions.members()));
  schema::Member busy = member("f");
  busy.load = 7;
  busy.held["charter"] = 3;
  (void)sessions.record_request(busy, 2000);
  EXPECT_EQ(sessions.digest(), digest);
  EXPECT_TRUE(sessions.since(digest).same);
  EXPECT_EQ(sessions.members()[0].load, 7);
}

TEST(MemberReplica, ChangesWithAWrongDigestAreDroppedAndAllIsRequested) {
  membership::Listing nothing;
  membership::Sessions sessions(controller("a"));
  (void)sessions.record_request(member("f"), 1000);
  membership::MemberReplica replica;
  ASSERT_TRUE(replica.take(answer_of(nothing, sessions, 0, 0, 1000)));
  (void)sessions.record_request(member("g"), 2000);
  schema::NewsAnswer answer = answer_of(nothing, sessions, 0, replica.digest(), 2000);
  answer.confirmed = false;
  EXPECT_FALSE(replica.take(answer));  // members of an unconfirmed answer are ignored
  answer.confirmed = true;
  answer.members[0].address = "elsewhere";
  EXPECT_FALSE(replica.take(answer));
  EXPECT_EQ(replica.members().size(), 1u);
  EXPECT_EQ(replica.digest(), 0u);
  ASSERT_TRUE(replica.take(answer_of(nothing, sessions, 0, replica.digest(), 2000)));
  EXPECT_EQ(replica.members(), sessions.members());
}

/// Sends one gossip message, encoded and decoded again, from `from` to `to`; returns the digest that `to` answers.
std::uint64_t send_gossip(membership::Sessions const& from, std::uint64_t known, membership::Sessions& to,
                          common::Moment now, std::size_t* bytes = nullptr) {
  schema::Tell message;
  message.from = from.self();
  from.fill_gossip(known, now, message);
  std::string const frame = common::frame(schema::Message(message));
  if (bytes != nullptr) {
    *bytes = frame.size();
  }
  absl::StatusOr<schema::Message> const read = common::unframe(std::string_view(frame).substr(0, common::frame_header),
                                                               std::string_view(frame).substr(common::frame_header));
  return to.receive_gossip(std::get<schema::Tell>(*read), now);
}

TEST(GossipSessions, CarryOnlyTimesWhereNothingChanged) {
  membership::Sessions one(controller("a"));
  membership::Sessions other(controller("b"));
  common::Moment now = common::seconds(1);
  for (int index = 0; index < 137; ++index) {
    (void)one.record_request(member("furrow-" + std::to_string(index), static_cast<std::uint64_t>(index) * 7919 + 1),
                             now);
  }
  std::size_t whole = 0;
  std::uint64_t known = send_gossip(one, 0, other, now, &whole);
  ASSERT_NE(known, 0u);
  EXPECT_EQ(other.digest(), one.digest());
  for (int turn = 0; turn < 30; ++turn) {  // far longer than the bound: gossip keeps the sessions alive
    now += common::milliseconds(300);
    for (int index = 0; index < 137; ++index) {
      (void)one.record_request(member("furrow-" + std::to_string(index), static_cast<std::uint64_t>(index) * 7919 + 1),
                               now - common::milliseconds(index));
    }
    std::size_t bytes = 0;
    known = send_gossip(one, known, other, now, &bytes);
    EXPECT_LT(bytes, whole / 5);
    EXPECT_TRUE(other.expire(now).empty());
  }
  EXPECT_EQ(other.members(), one.members());
  EXPECT_TRUE(other.direct_sessions(now).empty());  // reported sessions are not passed on
}

TEST(GossipSessions, CountFromTheLastRequestOfASession) {
  membership::Sessions one(controller("a"));
  membership::Sessions other(controller("b"));
  common::Moment const heard = common::seconds(1);
  (void)one.record_request(member("f"), heard);
  std::uint64_t const known = send_gossip(one, 0, other, heard);
  // Reported repeatedly without a new request: its expiry is not extended.
  for (common::Moment now = heard; now <= heard + constants::session_bound - 1000;
       now += common::milliseconds(100) + 1) {
    EXPECT_EQ(send_gossip(one, known, other, now), known);
    EXPECT_TRUE(other.expire(now).empty());
  }
  EXPECT_EQ(other.expire(heard + constants::session_bound + 1).size(), 1u);
}

TEST(GossipSessions, ARestartedPeerIsSentAll) {
  membership::Sessions one(controller("a"));
  membership::Sessions other(controller("b"));
  (void)one.record_request(member("f"), 1000);
  (void)one.record_request(member("g"), 1000);
  std::uint64_t known = send_gossip(one, 0, other, 1000);
  membership::Sessions restarted(controller("b"));
  (void)one.record_request(member("h"), 2000);
  known = send_gossip(one, known, restarted, 2000);
  EXPECT_EQ(known, 0u);
  EXPECT_EQ(restarted.members().size(), 1u);  // changed sessions are sent in full, and applied
  known = send_gossip(one, known, restarted, 3000);
  EXPECT_NE(known, 0u);
  EXPECT_EQ(restarted.members(), one.members());
}

TEST(GossipSessions, ChangesWithAWrongDigestAreDroppedAndAllIsSent) {
  membership::Sessions one(controller("a"));
  membership::Sessions other(controller("b"));
  (void)one.record_request(member("f"), 1000);
  (void)one.record_request(member("g"), 1000);
  std::uint64_t known = send_gossip(one, 0, other, 1000);
  (void)one.record_request(member("g", 2), 2000);
  schema::Tell message;
  message.from = one.self();
  one.fill_gossip(known, 2000, message);
  ASSERT_EQ(message.sessions.size(), 1u);
  schema::Tell spoiled = message;
  spoiled.sessions[0].member.load = 3;
  EXPECT_EQ(other.receive_gossip(spoiled, 2000), 0u);
  (void)one.record_request(member("g", 2), 2050);
  known = send_gossip(one, 0, other, 2100);
  EXPECT_NE(known, 0u);
  EXPECT_EQ(other.members(), one.members());
  // A number of times that differs from the number of sessions cannot be matched to names.
  one.fill_gossip(known, 2200, message = schema::Tell{});
  message.from = one.self();
  message.heard_ago_ms.push_back(0);
  EXPECT_EQ(other.receive_gossip(message, 2200), 0u);
  EXPECT_EQ(send_gossip(one, 0, other, 2300), known);
}

TEST(GossipSessions, OverlappingOrLateMessagesDoNoHarm) {
  std::mt19937_64 random(9);
  for (int round = 0; round < 40; ++round) {
    membership::Sessions one(controller("a"));
    membership::Sessions other(controller("b"));
    std::uint64_t known = 0;
    common::Moment now = common::seconds(1);
    std::vector<schema::Tell> in_flight;
    for (int step = 0; step < 120; ++step) {
      now += common::milliseconds(10);
      (void)one.record_request(member("f" + std::to_string(random() % 9), random() % 3 + 1, random() % 2 == 0), now);
      schema::Tell message;
      message.from = one.self();
      one.fill_gossip(known, now, message);
      in_flight.push_back(message);
      if (random() % 2 == 0) {
        std::size_t const which = random() % in_flight.size();
        std::uint64_t const answer = other.receive_gossip(in_flight[which], now);
        known = random() % 4 == 0 ? known : answer;  // some answers are lost
        in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(which));
      }
    }
    // Two messages that arrive in order restore a consistent state.
    known = send_gossip(one, known, other, now);
    known = send_gossip(one, known, other, now);
    EXPECT_NE(known, 0u);
    (void)send_gossip(one, known, other, now + 1000);
    std::map<std::string, std::uint64_t> incarnations;
    for (schema::Member const& held : one.members()) {
      incarnations[held.name] = held.incarnation;
    }
    for (schema::Member const& held : other.members()) {
      EXPECT_EQ(incarnations.count(held.name), 1u);
    }
    EXPECT_EQ(other.members().size(), one.members().size());
  }
}

TEST(GossipSessions, AProxyIsReportedOnlyByTheControllerThatItLastContacted) {
  membership::Sessions one(controller("a"));
  membership::Sessions other(controller("b"));
  (void)one.record_request(member("f"), 1000);
  (void)one.record_request(member("g"), 1000);
  std::uint64_t known = send_gossip(one, 0, other, 1000);
  (void)other.record_request(member("f"), 5000);  // it now sends its requests to the other one
  std::uint64_t back = send_gossip(other, 0, one, 6000);
  EXPECT_EQ(one.direct_sessions(6000).size(), 1u);
  known = send_gossip(one, known, other, 7000);
  EXPECT_EQ(other.direct_sessions(7000).size(), 1u);
  EXPECT_EQ(other.members().size(), 2u);
  (void)one.record_request(member("f"), 9000);
  known = send_gossip(one, known, other, 9500);
  EXPECT_TRUE(other.direct_sessions(9500).empty());
  back = send_gossip(other, back, one, 9800);
  EXPECT_EQ(one.direct_sessions(9800).size(), 2u);
  EXPECT_NE(known, 0u);
  EXPECT_NE(back, 0u);
}

}  // namespace
}  // namespace finchlink
