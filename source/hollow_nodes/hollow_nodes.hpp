#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/net/net.hpp"
#include "data_plane/contents/content_fetcher.hpp"
#include "membership/freshness/freshness_lease.hpp"
#include "membership/replica/replica.hpp"
#include "schema/standin.hpp"
#include "schema/wire.hpp"

namespace finchlink::hollow_nodes {

/// What all hollow furrows of this process saw.
struct Tally {
  std::uint64_t asks = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t unconfirmed = 0;
  std::uint64_t lapses = 0;                                      ///< vouches that ended before the next one came
  std::map<std::uint64_t, std::vector<common::Moment>> adopted;  ///< setup revision to when each furrow held it
};

/// The session of one furrow (section 6.1) without its queries: it asks,
/// counts its vouch and keeps setup, members and list as a furrow does.
class Hollow {
 public:
  Hollow(boost::asio::io_context& context, schema::Gourd const& gourd, std::uint64_t number, Tally& tally);
  void begin(common::Span delay);

 private:
  void converse(common::Yield yield);
  void take(schema::NewsAnswer const& answer, common::Moment asked);
  void stir(common::Moment now);
  [[nodiscard]] schema::FurrowReport report(std::uint64_t slice) const;

  boost::asio::io_context& context_;
  schema::Gourd const& gourd_;
  Tally& tally_;
  common::Caller caller_;  ///< its own, as every furrow has its own connections
  data_plane::ContentFetcher contents_;
  std::uint64_t number_;
  std::string region_;
  schema::Member member_;
  membership::FreshnessLease freshness_;
  bool was_confirmed_ = false;
  std::string setup_;
  membership::MemberReplica members_;
  membership::ListReplica list_;
  common::Moment stirred_ = 0;
};

}  // namespace finchlink::hollow_nodes
