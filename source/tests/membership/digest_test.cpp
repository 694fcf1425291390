#include <gtest/gtest.h>

#include "common/digest/digest.hpp"
#include "membership/listing/listing.hpp"
#include "membership/session/sessions.hpp"

/// Tests of the digests that identify a platform list or a set of members.
namespace finchlink {
namespace {

schema::WorkerEntry worker(std::string const& id) {
  schema::WorkerEntry entry;
  entry.id = id;
  entry.address = "10.0.0.1:80";
  entry.zone = "z";
  entry.cold_ms = 3000;
  return entry;
}

TEST(Digests, FieldBoundariesMatter) {
  EXPECT_NE(common::Digest().add("ab").add("c").text(), common::Digest().add("a").add("bc").text());
  EXPECT_EQ(common::Digest().add("ab").text().size(), 32u);
  EXPECT_NE(common::Digest().short_value(), 0u);
  EXPECT_LT(common::Digest().add("x").short_value(), 1ULL << 53u);
}

TEST(Digests, OfAListLeaveOutRemainingTimes) {
  schema::PlatformList const list{0, {worker("a"), worker("b")}};
  schema::PlatformList later = list;
  later.workers[0].cold_ms = 20;
  EXPECT_EQ(membership::digest_of(list), membership::digest_of(later));
  later.workers[0].cold_ms = 0;
  EXPECT_NE(membership::digest_of(list), membership::digest_of(later));
  later = list;
  later.workers[1].draining = true;
  EXPECT_NE(membership::digest_of(list), membership::digest_of(later));
  later = list;
  later.workers[1].left_ms = 900;
  EXPECT_NE(membership::digest_of(list), membership::digest_of(later));
  later = list;
  later.workers[1].address = "10.0.0.2:80";
  EXPECT_NE(membership::digest_of(list), membership::digest_of(later));
  EXPECT_NE(membership::digest_of(schema::PlatformList{}), 0u);
}

TEST(Digests, OfMembersLeaveOutLoadAndRevisions) {
  std::vector<schema::Member> const members{schema::Member{"f", 1, "h", "a:1", {}, {}, {}, true, 0}};
  std::vector<schema::Member> other = members;
  other[0].load = 7;
  other[0].held["setup"] = 3;
  EXPECT_EQ(membership::digest_of(members), membership::digest_of(other));
  other[0].ready = false;
  EXPECT_NE(membership::digest_of(members), membership::digest_of(other));
  other = members;
  other[0].incarnation = 2;
  EXPECT_NE(membership::digest_of(members), membership::digest_of(other));
  EXPECT_NE(membership::digest_of(std::vector<schema::Member>{}), 0u);
}

TEST(Listing, RenewalReducesRemainingTimesButNotToZero) {
  membership::Listing listing;
  schema::PlatformList list{0, {worker("a"), worker("b")}};
  list.workers[0].left_ms = 500;
  list.workers[1].cold_ms = 0;
  ASSERT_TRUE(listing.store(list, common::seconds(1), common::seconds(1)));
  std::uint64_t const digest = listing.digest();
  listing.renew(common::seconds(2));
  EXPECT_EQ(listing.list().workers[0].cold_ms, 2000u);
  EXPECT_EQ(listing.list().workers[0].left_ms, 1u);
  EXPECT_EQ(listing.list().workers[1].cold_ms, 0u);
  EXPECT_EQ(listing.digest(), digest);
  EXPECT_EQ(listing.age(common::seconds(2)), 0);
  listing.renew(common::seconds(1));  // an older read changes nothing
  EXPECT_EQ(listing.age(common::seconds(2)), 0);
}

}  // namespace
}  // namespace finchlink
