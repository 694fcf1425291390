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

/// What a trellis tells an asker that holds this, sent and read back.
schema::NewsAnswer answer_of(membership::Listing const& listing, membership::Sessions const& sessions,
                             std::uint64_t list, std::uint64_t members, common::Moment now) {
  schema::NewsAnswer answer;
  answer.confirmed = true;
  membership::ListUpdate const told = listing.since(list);
  answer.list_same = told.same;
  answer.list_from = told.from;
  answer.list = told.list;
  answer.list_gone = told.gone;
  answer.list_digest = told.digest;
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

bool take(membership::ListReplica& copy, membership::Listing const& teller, common::Moment now) {
  return copy.take(teller.since(copy.digest()), teller.age(now), now);
}

schema::PlatformList many(std::size_t count) {
  schema::PlatformList list;
  for (std::size_t index = 0; index < count; ++index) {
    list.workers.push_back(worker("worker-" + std::to_string(1000 + index)));
  }
  return list;
}

TEST(ListReplica, IsToldOnlyWhatChanged) {
  membership::Listing teller;
  schema::PlatformList list = many(600);
  ASSERT_TRUE(teller.keep(list, common::seconds(1), common::seconds(1)));
  membership::ListReplica copy;
  ASSERT_TRUE(take(copy, teller, common::seconds(2)));
  EXPECT_EQ(copy.list(), teller.list());
  EXPECT_EQ(copy.as_of(), common::seconds(1));
  list.workers[7].draining = true;
  list.workers.erase(list.workers.begin() + 9);
  list.workers.push_back(worker("worker-0001"));
  ASSERT_TRUE(teller.keep(list, common::seconds(3), common::seconds(3)));
  membership::ListUpdate const update = teller.since(copy.digest());
  EXPECT_EQ(update.from, copy.digest());
  EXPECT_EQ(update.list.workers.size(), 2u);
  EXPECT_EQ(update.gone, std::vector<std::string>{"worker-1009"});
  ASSERT_TRUE(copy.take(update, 0, common::seconds(3)));
  EXPECT_EQ(copy.list(), teller.list());
  EXPECT_TRUE(teller.since(copy.digest()).same);
}

TEST(ListReplica, ATellerThatDoesNotKnowTheListHeldTellsAll) {
  membership::Listing teller;
  membership::Listing other;
  schema::PlatformList list = many(5);
  ASSERT_TRUE(teller.keep(list, common::seconds(1), common::seconds(1)));
  membership::ListReplica copy;
  ASSERT_TRUE(take(copy, teller, common::seconds(1)));
  list.workers[0].draining = true;
  ASSERT_TRUE(other.keep(list, common::seconds(2), common::seconds(2)));  // it never held the first one
  EXPECT_EQ(other.since(copy.digest()).from, 0u);
  ASSERT_TRUE(take(copy, other, common::seconds(2)));
  EXPECT_EQ(copy.list(), other.list());
}

TEST(ListReplica, ATellerThatHoldsTheSameListByAnotherWayLeadsOn) {
  membership::Listing teller;
  membership::Listing other;
  schema::PlatformList list = many(5);
  std::reverse(list.workers.begin(), list.workers.end());
  ASSERT_TRUE(teller.keep(many(5), common::seconds(1), common::seconds(1)));
  ASSERT_TRUE(other.keep(many(9), common::milliseconds(500), common::seconds(1)));
  ASSERT_TRUE(other.keep(list, common::seconds(1), common::seconds(1)));
  membership::ListReplica copy;
  ASSERT_TRUE(take(copy, teller, common::seconds(1)));
  EXPECT_TRUE(other.since(copy.digest()).same);
  list.workers[2].capacity = 9;
  ASSERT_TRUE(other.keep(list, common::seconds(2), common::seconds(2)));
  EXPECT_NE(other.since(copy.digest()).from, 0u);
  ASSERT_TRUE(take(copy, other, common::seconds(2)));
  EXPECT_EQ(copy.list(), other.list());
}

TEST(ListReplica, AnOlderListIsNotAdopted) {
  membership::Listing teller;
  membership::Listing behind;
  schema::PlatformList list = many(3);
  ASSERT_TRUE(behind.keep(list, common::seconds(1), common::seconds(1)));
  ASSERT_TRUE(teller.keep(list, common::seconds(1), common::seconds(1)));
  list.workers[0].draining = true;
  ASSERT_TRUE(teller.keep(list, common::seconds(5), common::seconds(5)));
  membership::ListReplica copy;
  ASSERT_TRUE(take(copy, teller, common::seconds(6)));
  std::uint64_t const digest = copy.digest();
  EXPECT_FALSE(take(copy, behind, common::seconds(7)));  // its age counts from this ask
  EXPECT_EQ(copy.digest(), digest);
  EXPECT_EQ(copy.as_of(), common::seconds(5));
  EXPECT_TRUE(copy.list().workers[0].draining);
}

TEST(ListReplica, WhatLeadsElsewhereIsLeftAndAllIsAskedFor) {
  membership::Listing teller;
  schema::PlatformList list = many(4);
  ASSERT_TRUE(teller.keep(list, common::seconds(1), common::seconds(1)));
  membership::ListReplica copy;
  ASSERT_TRUE(take(copy, teller, common::seconds(1)));
  schema::PlatformList const held = copy.list();
  list.workers[1].draining = true;
  ASSERT_TRUE(teller.keep(list, common::seconds(2), common::seconds(2)));
  membership::ListUpdate update = teller.since(copy.digest());
  update.list.workers[0].capacity = 77;
  EXPECT_FALSE(copy.take(update, 0, common::seconds(2)));
  EXPECT_EQ(copy.list(), held);  // in use meanwhile, and no fresher than it was
  EXPECT_EQ(copy.as_of(), common::seconds(1));
  EXPECT_EQ(copy.digest(), 0u);
  EXPECT_EQ(teller.since(0).from, 0u);
  ASSERT_TRUE(take(copy, teller, common::seconds(2)));
  EXPECT_EQ(copy.list(), teller.list());
}

TEST(ListReplica, WhatLeadsOnFromAnotherListIsLeft) {
  membership::Listing teller;
  schema::PlatformList list = many(4);
  ASSERT_TRUE(teller.keep(list, common::seconds(1), common::seconds(1)));
  membership::ListReplica copy;
  ASSERT_TRUE(take(copy, teller, common::seconds(1)));
  list.workers[1].draining = true;
  ASSERT_TRUE(teller.keep(list, common::seconds(2), common::seconds(2)));
  membership::ListUpdate const late = teller.since(copy.digest());
  list.workers[2].draining = true;
  ASSERT_TRUE(teller.keep(list, common::seconds(3), common::seconds(3)));
  ASSERT_TRUE(take(copy, teller, common::seconds(3)));
  std::uint64_t const digest = copy.digest();
  // Even where its word is the newer one: it changes neither list nor age.
  EXPECT_FALSE(copy.take(late, 0, common::seconds(4)));
  EXPECT_EQ(copy.digest(), digest);
  EXPECT_EQ(copy.as_of(), common::seconds(3));
  EXPECT_EQ(copy.list(), teller.list());
  // Neither does the word that another list is still the same.
  membership::ListUpdate same;
  same.same = true;
  same.digest = digest + 1;
  EXPECT_FALSE(copy.take(same, 0, common::seconds(5)));
  EXPECT_EQ(copy.as_of(), common::seconds(3));
  same.digest = digest;
  EXPECT_FALSE(copy.take(same, 0, common::seconds(5)));
  EXPECT_EQ(copy.as_of(), common::seconds(5));
}

TEST(ListReplica, WhatCountsDownIsToldWithEachChange) {
  membership::Listing teller;
  schema::PlatformList list{0, {worker("a", 3000), worker("b"), worker("c")}};
  ASSERT_TRUE(teller.keep(list, common::seconds(1), common::seconds(1)));
  membership::ListReplica copy;
  ASSERT_TRUE(take(copy, teller, common::seconds(1)));
  list.workers[0].cold_ms = 2900;  // it was cold anew between two lists
  ASSERT_TRUE(teller.keep(list, common::seconds(3), common::seconds(3)));
  list.workers[1].draining = true;
  list.workers[0].cold_ms = 2400;
  ASSERT_TRUE(teller.keep(list, common::milliseconds(3500), common::milliseconds(3500)));
  ASSERT_TRUE(take(copy, teller, common::milliseconds(3500)));
  EXPECT_EQ(copy.list(), teller.list());
  EXPECT_EQ(copy.list().workers[0].cold_ms, 2400u);
  EXPECT_EQ(teller.since(copy.digest()).same, true);
}

TEST(ListReplica, AListReadElsewhereIsNotLedOnFrom) {
  membership::Listing teller;
  ASSERT_TRUE(teller.keep(many(3), common::seconds(1), common::seconds(1)));
  membership::ListReplica copy;
  ASSERT_TRUE(take(copy, teller, common::seconds(1)));
  copy.put(many(2), common::seconds(2));
  EXPECT_EQ(copy.digest(), 0u);
  EXPECT_FALSE(take(copy, teller, common::seconds(3)));  // older than the own one
  EXPECT_EQ(copy.list().workers.size(), 2u);
  ASSERT_TRUE(teller.keep(many(4), common::seconds(4), common::seconds(4)));
  ASSERT_TRUE(take(copy, teller, common::seconds(4)));
  EXPECT_EQ(copy.list(), teller.list());
}

TEST(ListReplica, AskersOfSeveralTellersEndEqual) {
  std::mt19937_64 random(5);
  for (int round = 0; round < 40; ++round) {
    membership::Listing tellers[3];
    membership::Sessions nobody(controller("t"));
    membership::ListReplica copies[4];
    schema::PlatformList list;
    common::Moment now = common::seconds(10);
    std::size_t led = 0;
    for (int step = 0; step < 150; ++step) {
      now += common::milliseconds(50 + static_cast<std::int64_t>(random() % 400));
      membership::count_down(list, common::milliseconds(50));
      std::string const id = "w" + std::to_string(random() % 15);
      std::erase_if(list.workers, [&id](schema::WorkerEntry const& entry) { return entry.id == id; });
      if (random() % 3 != 0) {
        list.workers.push_back(worker(id, random() % 4 == 0 ? random() % 3000 : 0, random() % 3 == 0));
      }
      list.revision = round % 2 == 0 ? 0 : list.revision + 1;
      // One reads; the others are told, or not, by whoever holds something newer.
      membership::Listing& reader = tellers[random() % 3];
      (void)reader.keep(list, now, now);
      for (membership::Listing& other : tellers) {
        if (&other != &reader && random() % 3 != 0) {
          membership::ListUpdate const update = reader.since(other.wanted());
          (void)other.take(update, now - reader.age(now), now);
          if (!update.same) {
            ASSERT_EQ(other.list(), reader.list());
          }
          ASSERT_EQ(other.digest(), reader.digest());
        }
      }
      for (membership::ListReplica& copy : copies) {
        membership::Listing const& teller = tellers[random() % 3];
        if (random() % 2 == 0 || teller.age(now) < 0) {
          continue;
        }
        common::Moment const before = copy.as_of();
        schema::NewsAnswer const answer = answer_of(teller, nobody, copy.digest(), 0, now);
        led += answer.list_from != 0 ? 1 : 0;
        bool const lost = random() % 5 == 0;
        if (!lost && copy.take(membership::list_update(answer), answer.list_age, now)) {
          ASSERT_EQ(copy.list(), teller.list());
        }
        ASSERT_GE(copy.as_of(), before);
        ASSERT_LE(copy.as_of(), now);
        if (!lost && teller.age(now) <= now - before) {
          ASSERT_EQ(copy.digest(), teller.digest());
        }
      }
    }
    EXPECT_GT(led, 50u);
  }
}

TEST(Listing, AColleaguesNewsThatLeadElsewhereIsLeftAndAllIsWanted) {
  membership::Listing teller;
  membership::Listing other;
  ASSERT_TRUE(teller.keep(many(4), common::seconds(1), common::seconds(1)));
  ASSERT_TRUE(other.take(teller.since(other.wanted()), common::seconds(1), common::seconds(1)));
  schema::PlatformList list = many(5);
  ASSERT_TRUE(teller.keep(list, common::seconds(2), common::seconds(2)));
  membership::ListUpdate update = teller.since(other.wanted());
  ASSERT_NE(update.from, 0u);
  ASSERT_EQ(update.list.workers.size(), 1u);
  update.list.workers[0].address = "spoiled";
  EXPECT_FALSE(other.take(update, common::seconds(2), common::seconds(2)));
  EXPECT_EQ(other.list().workers.size(), 4u);
  EXPECT_EQ(other.age(common::seconds(2)), common::seconds(1));
  EXPECT_EQ(other.wanted(), 0u);
  ASSERT_TRUE(other.take(teller.since(other.wanted()), common::seconds(2), common::seconds(2)));
  EXPECT_EQ(other.list(), teller.list());
  EXPECT_EQ(other.wanted(), teller.digest());
}

TEST(MemberReplica, FollowsOneAndTurnsToAnother) {
  membership::Listing nothing;
  membership::Sessions first(controller("a"));
  membership::Sessions second(controller("b"));
  for (int index = 0; index < 40; ++index) {
    (void)first.heard(member("f" + std::to_string(100 + index)), 1000);
    (void)second.heard(member("f" + std::to_string(139 - index)), 900);
  }
  membership::MemberReplica copy;
  ASSERT_TRUE(copy.take(answer_of(nothing, first, copy.digest(), copy.digest(), 1000)));
  EXPECT_EQ(copy.members(), first.members());
  EXPECT_TRUE(second.since(copy.digest()).same);  // however it came about
  (void)second.heard(member("f105", 1, false), 2000);
  (void)second.heard(member("f500"), 2000);
  schema::NewsAnswer const answer = answer_of(nothing, second, 0, copy.digest(), 2000);
  EXPECT_EQ(answer.members_from, copy.digest());
  EXPECT_EQ(answer.members.size(), 2u);
  ASSERT_TRUE(copy.take(answer));
  EXPECT_EQ(copy.members(), second.members());
  // All but two end; what went is told by name.
  (void)second.heard(member("f500"), common::seconds(9));
  EXPECT_EQ(second.expire(common::seconds(9)).size(), 40u);
  schema::NewsAnswer const ended = answer_of(nothing, second, 0, copy.digest(), common::seconds(9));
  EXPECT_EQ(ended.members_gone.size(), 40u);
  ASSERT_TRUE(copy.take(ended));
  EXPECT_EQ(copy.members(), second.members());
}

TEST(MemberReplica, LoadsAndRevisionsAreNoNews) {
  membership::Sessions sessions(controller("a"));
  (void)sessions.heard(member("f"), 1000);
  std::uint64_t const digest = sessions.digest();
  EXPECT_EQ(digest, membership::digest_of(sessions.members()));
  schema::Member busy = member("f");
  busy.load = 7;
  busy.held["charter"] = 3;
  (void)sessions.heard(busy, 2000);
  EXPECT_EQ(sessions.digest(), digest);
  EXPECT_TRUE(sessions.since(digest).same);
  EXPECT_EQ(sessions.members()[0].load, 7);
}

TEST(MemberReplica, WhatLeadsElsewhereIsLeftAndAllIsAskedFor) {
  membership::Listing nothing;
  membership::Sessions sessions(controller("a"));
  (void)sessions.heard(member("f"), 1000);
  membership::MemberReplica copy;
  ASSERT_TRUE(copy.take(answer_of(nothing, sessions, 0, 0, 1000)));
  (void)sessions.heard(member("g"), 2000);
  schema::NewsAnswer answer = answer_of(nothing, sessions, 0, copy.digest(), 2000);
  answer.confirmed = false;
  EXPECT_FALSE(copy.take(answer));  // an unsure trellis tells nothing of members
  answer.confirmed = true;
  answer.members[0].address = "elsewhere";
  EXPECT_FALSE(copy.take(answer));
  EXPECT_EQ(copy.members().size(), 1u);
  EXPECT_EQ(copy.digest(), 0u);
  ASSERT_TRUE(copy.take(answer_of(nothing, sessions, 0, copy.digest(), 2000)));
  EXPECT_EQ(copy.members(), sessions.members());
}

/// One telling of `from` to `to`, as sent and read back; gives what `to` answers.
std::uint64_t telling(membership::Sessions const& from, std::uint64_t known, membership::Sessions& to,
                      common::Moment now, std::size_t* bytes = nullptr) {
  schema::Tell tell;
  tell.from = from.self();
  from.tell(known, now, tell);
  std::string const frame = common::frame(schema::Message(tell));
  if (bytes != nullptr) {
    *bytes = frame.size();
  }
  absl::StatusOr<schema::Message> const read = common::unframe(std::string_view(frame).substr(0, common::frame_header),
                                                               std::string_view(frame).substr(common::frame_header));
  return to.told(std::get<schema::Tell>(*read), now);
}

TEST(Tellings, CarryOnlyHowLongAgoWhereNothingChanged) {
  membership::Sessions one(controller("a"));
  membership::Sessions other(controller("b"));
  common::Moment now = common::seconds(1);
  for (int index = 0; index < 137; ++index) {
    (void)one.heard(member("furrow-" + std::to_string(index), static_cast<std::uint64_t>(index) * 7919 + 1), now);
  }
  std::size_t whole = 0;
  std::uint64_t known = telling(one, 0, other, now, &whole);
  ASSERT_NE(known, 0u);
  EXPECT_EQ(other.digest(), one.digest());
  for (int turn = 0; turn < 30; ++turn) {  // far beyond the bound: tellings keep the sessions standing
    now += common::milliseconds(300);
    for (int index = 0; index < 137; ++index) {
      (void)one.heard(member("furrow-" + std::to_string(index), static_cast<std::uint64_t>(index) * 7919 + 1),
                      now - common::milliseconds(index));
    }
    std::size_t bytes = 0;
    known = telling(one, known, other, now, &bytes);
    EXPECT_LT(bytes, whole / 5);
    EXPECT_TRUE(other.expire(now).empty());
  }
  EXPECT_EQ(other.members(), one.members());
  EXPECT_TRUE(other.direct_sessions(now).empty());  // second-hand word is not told on
}

TEST(Tellings, CountFromWhenASessionWasHeardOf) {
  membership::Sessions one(controller("a"));
  membership::Sessions other(controller("b"));
  common::Moment const heard = common::seconds(1);
  (void)one.heard(member("f"), heard);
  std::uint64_t const known = telling(one, 0, other, heard);
  // Told again and again, but never heard of again: its end does not move out.
  for (common::Moment now = heard; now <= heard + constants::session_bound - 1000;
       now += common::milliseconds(100) + 1) {
    EXPECT_EQ(telling(one, known, other, now), known);
    EXPECT_TRUE(other.expire(now).empty());
  }
  EXPECT_EQ(other.expire(heard + constants::session_bound + 1).size(), 1u);
}

TEST(Tellings, AColleagueThatLostThemIsToldAll) {
  membership::Sessions one(controller("a"));
  membership::Sessions other(controller("b"));
  (void)one.heard(member("f"), 1000);
  (void)one.heard(member("g"), 1000);
  std::uint64_t known = telling(one, 0, other, 1000);
  membership::Sessions restarted(controller("b"));
  (void)one.heard(member("h"), 2000);
  known = telling(one, known, restarted, 2000);
  EXPECT_EQ(known, 0u);
  EXPECT_EQ(restarted.members().size(), 1u);  // what changed is told whole, and taken
  known = telling(one, known, restarted, 3000);
  EXPECT_NE(known, 0u);
  EXPECT_EQ(restarted.members(), one.members());
}

TEST(Tellings, WhatLeadsElsewhereIsLeftAndAllIsTold) {
  membership::Sessions one(controller("a"));
  membership::Sessions other(controller("b"));
  (void)one.heard(member("f"), 1000);
  (void)one.heard(member("g"), 1000);
  std::uint64_t known = telling(one, 0, other, 1000);
  (void)one.heard(member("g", 2), 2000);
  schema::Tell tell;
  tell.from = one.self();
  one.tell(known, 2000, tell);
  ASSERT_EQ(tell.sessions.size(), 1u);
  schema::Tell spoiled = tell;
  spoiled.sessions[0].member.load = 3;
  EXPECT_EQ(other.told(spoiled, 2000), 0u);
  (void)one.heard(member("g", 2), 2050);
  known = telling(one, 0, other, 2100);
  EXPECT_NE(known, 0u);
  EXPECT_EQ(other.members(), one.members());
  // More or fewer moments than sessions can't be put to names.
  one.tell(known, 2200, tell = schema::Tell{});
  tell.from = one.self();
  tell.heard_ago_ms.push_back(0);
  EXPECT_EQ(other.told(tell, 2200), 0u);
  EXPECT_EQ(telling(one, 0, other, 2300), known);
}

TEST(Tellings, ThatOverlapOrComeLateDoNoHarm) {
  std::mt19937_64 random(9);
  for (int round = 0; round < 40; ++round) {
    membership::Sessions one(controller("a"));
    membership::Sessions other(controller("b"));
    std::uint64_t known = 0;
    common::Moment now = common::seconds(1);
    std::vector<schema::Tell> under_way;
    for (int step = 0; step < 120; ++step) {
      now += common::milliseconds(10);
      (void)one.heard(member("f" + std::to_string(random() % 9), random() % 3 + 1, random() % 2 == 0), now);
      schema::Tell tell;
      tell.from = one.self();
      one.tell(known, now, tell);
      under_way.push_back(tell);
      if (random() % 2 == 0) {
        std::size_t const which = random() % under_way.size();
        std::uint64_t const answer = other.told(under_way[which], now);
        known = random() % 4 == 0 ? known : answer;  // some answers are lost
        under_way.erase(under_way.begin() + static_cast<std::ptrdiff_t>(which));
      }
    }
    // Two that arrive in order set all right.
    known = telling(one, known, other, now);
    known = telling(one, known, other, now);
    EXPECT_NE(known, 0u);
    (void)telling(one, known, other, now + 1000);
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

TEST(Tellings, AFurrowThatTurnedAwayIsNotToldOnAndBackAgainItIs) {
  membership::Sessions one(controller("a"));
  membership::Sessions other(controller("b"));
  (void)one.heard(member("f"), 1000);
  (void)one.heard(member("g"), 1000);
  std::uint64_t known = telling(one, 0, other, 1000);
  (void)other.heard(member("f"), 5000);  // it asks the other one now
  std::uint64_t back = telling(other, 0, one, 6000);
  EXPECT_EQ(one.direct_sessions(6000).size(), 1u);
  known = telling(one, known, other, 7000);
  EXPECT_EQ(other.direct_sessions(7000).size(), 1u);
  EXPECT_EQ(other.members().size(), 2u);
  (void)one.heard(member("f"), 9000);
  known = telling(one, known, other, 9500);
  EXPECT_TRUE(other.direct_sessions(9500).empty());
  back = telling(other, back, one, 9800);
  EXPECT_EQ(one.direct_sessions(9800).size(), 2u);
  EXPECT_NE(known, 0u);
  EXPECT_NE(back, 0u);
}

}  // namespace
}  // namespace finchlink
