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

/// Counts over all hollow proxies of this process.
struct SessionCounts {
  std::uint64_t requests = 0;        ///< requests for updates
  std::uint64_t unanswered = 0;      ///< requests that failed
  std::uint64_t unconfirmed = 0;     ///< responses of a controller that couldn't confirm its state
  std::uint64_t lease_expiries = 0;  ///< freshness leases that expired before they were renewed
  std::map<std::uint64_t, std::vector<common::Moment>> applied_at;  ///< by setup revision: when each proxy applied it
};

/// The controller session of one proxy (docs/design.md section 6.1) without queries: it requests updates, keeps its
/// freshness lease and holds setup, members and worker list as a proxy does. Used to load controllers in scale runs.
class HollowProxy {
 public:
  /// `config` and `counts` must outlive the proxy; `number` sets its name, zone, address and first controller.
  HollowProxy(boost::asio::io_context& context, schema::Gourd const& config, std::uint64_t number,
              SessionCounts& counts);
  /// Starts the session after `delay`.
  void start(common::Span delay);

 private:
  /// Requests updates without end, from the next controller whenever one fails or can't confirm its state.
  void run_session(common::Yield yield);
  /// Applies a response to a request that was sent at `request_sent`.
  void apply_response(schema::NewsAnswer const& response, common::Moment request_sent);
  /// Changes the reported load every `stir_ms`, so that the member entry changes.
  void update_load(common::Moment now);
  /// A report with as many figures and samples as configured.
  [[nodiscard]] schema::FurrowReport make_report(std::uint64_t interval) const;

  boost::asio::io_context& context_;
  schema::Gourd const& config_;
  SessionCounts& counts_;
  common::FrameClient caller_;  ///< not shared, as every proxy has its own connections
  data_plane::ContentFetcher content_fetcher_;
  std::uint64_t number_;
  std::string region_;
  schema::Member member_;
  membership::FreshnessLease freshness_;
  bool was_confirmed_ = false;
  std::string setup_;
  membership::MemberReplica members_;
  membership::ListReplica worker_list_;
  common::Moment load_updated_at_ = 0;
};

}  // namespace finchlink::hollow_nodes
