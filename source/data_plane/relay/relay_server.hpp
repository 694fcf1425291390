#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "common/net/net.hpp"
#include "common/relay_constants.hpp"
#include "config/routing/routing_config.hpp"
#include "data_plane/contents/content_fetcher.hpp"
#include "data_plane/relay/alarm.hpp"
#include "data_plane/relay/dialect.hpp"
#include "data_plane/relay/relay_counters.hpp"
#include "data_plane/relay/relay_listener.hpp"
#include "data_plane/relay/worker_connections.hpp"
#include "membership/freshness/freshness_lease.hpp"
#include "membership/replica/replica.hpp"
#include "scheduling/load_balancer/load_balancer.hpp"
#include "scheduling/mechanisms/mechanisms.hpp"
#include "scheduling/observer/observer.hpp"
#include "scheduling/prompt_isolation/prompt_isolation.hpp"
#include "scheduling/proxy_count/proxy_count.hpp"
#include "scheduling/retry_quota/retry_quota.hpp"
#include "scheduling/route_table/route_table.hpp"
#include "schema/settings.hpp"

namespace finchlink::data_plane {

/// Reads the platform's list of workers from its address.
using ListReader = std::function<absl::StatusOr<schema::PlatformList>(std::string const& address, common::Yield)>;

/// The state of a proxy that relays HTTP, on one thread: the newest routing configuration that it knows, its workers,
/// the other proxies and idle connections.
class RelayServer {
 public:
  RelayServer(boost::asio::io_context& context, schema::Settings const& settings, Dialect dialect,
              config::RoutingConfigFormat notation, ListReader list_reader, std::uint64_t identity);

  /// Listens and starts its coroutines; an error names the setting or address that failed.
  [[nodiscard]] absl::Status begin();
  /// Stops being ready and tells a controller so; queries are still served.
  void drain();
  /// Whether a draining relay still has to run: callers may still come, or queries are open.
  [[nodiscard]] bool busy() const;
  /// Applies new bounds and seeds while it runs.
  void update_settings(schema::Settings const& settings);

  [[nodiscard]] boost::asio::io_context& context() { return context_; }
  [[nodiscard]] schema::Settings const& settings() const { return settings_; }
  [[nodiscard]] Dialect const& dialect() const { return dialect_; }
  /// The routes in force; null: none yet.
  [[nodiscard]] std::shared_ptr<scheduling::RouteTable const> const& route_table() const { return route_table_; }
  [[nodiscard]] scheduling::LoadBalancer& balancer() { return balancer_; }
  [[nodiscard]] scheduling::Mechanisms const& mechanisms() const { return mechanisms_; }
  /// The service's retry quota, bounded by the settings and proxies of this moment.
  [[nodiscard]] scheduling::RetryQuota& retry_quota(std::string const& service);
  [[nodiscard]] RelayCounters& counters() { return counters_; }
  [[nodiscard]] scheduling::PromptIsolation& isolation() { return isolation_; }
  [[nodiscard]] bool draining() const { return draining_; }
  /// When a query must have been answered that comes now: this relay drains, and has done so for a while. Nothing: the
  /// query may take its time.
  [[nodiscard]] std::optional<common::Moment> last_answer_at() const;
  [[nodiscard]] common::Moment started_at() const { return started_at_; }
  /// It has received a routing configuration and a list of workers, even an empty one, since it started.
  [[nodiscard]] bool initialized() const { return route_table_ != nullptr && list_.as_of() > 0; }
  /// A majority confirmed the routing configuration recently, so a route that it lacks may be refused for good
  /// (section 13.15).
  [[nodiscard]] bool routing_config_confirmed() const {
    return freshness_.confirmed_within(common::constants::routing_config_confirmed_bound, common::boot_now());
  }
  [[nodiscard]] bool ready() const {
    return route_table_ != nullptr && contacted_ && !draining_ && balancer_.size() > 0;
  }

  /// Idle connections to workers.
  [[nodiscard]] WorkerConnections& worker_connections() { return worker_connections_; }

  /// A stream ended whole; what was observed goes into the next report to the scaler.
  void record_observation(scheduling::StreamObservation sighting, scheduling::Assignment const& assignment,
                          scheduling::PlacementRequest const& wanted);

  /// How long a query waits for the first routing configuration.
  common::Span routing_config_wait = common::constants::routing_config_wait;
  /// Deadline of an update request while contact is lost.
  common::Span lost_contact_timeout = common::constants::lost_contact_timeout;
  void query_opened() { ++open_queries_; }
  void query_closed() { --open_queries_; }
  /// The directory document for callers in a zone and region: addresses of ready proxies, near ones first.
  [[nodiscard]] std::string directory(std::string const& hall, std::string const& region);

 private:
  [[nodiscard]] absl::Status listen(std::string const& address, common::ListenerKind kind, ConnectionHandler handler);
  void poll_updates(common::Yield yield);
  void record_contact(schema::NewsAnswer const& update);
  /// The controllers to request updates from, in the order received, near ones first; seeds always stay in, in case
  /// all others are gone.
  void replace_controllers(std::vector<std::string> const& received);
  /// Appends the controllers that one without a majority names: all seeds may be cut off from the majority
  /// (section 13.15).
  void add_controllers(std::vector<std::string> const& received);
  void poll_platform_list(common::Yield yield);
  void watch_secrets(common::Yield yield);
  void apply_updates(schema::NewsAnswer const& answer, common::Moment asked);
  /// Notes until when workers are cold, after the list has changed.
  void refresh_cold_workers();
  [[nodiscard]] schema::NewsAsk make_update_request(std::vector<schema::FurrowReport> reports) const;
  /// Passes workers, routes and proxies in force to the load balancer.
  void update_balancer();
  [[nodiscard]] schema::Member self() const;
  void apply_routing_config(schema::NamedValue const& update);
  void apply_split(schema::NamedValue const& update);
  /// The phase that the worker serves by the list or the pool's split; empty: no split.
  [[nodiscard]] std::string phase_of(schema::WorkerEntry const& entry, std::string const& region) const;
  /// The reports that are sent with the next update request.
  [[nodiscard]] std::vector<schema::FurrowReport> reports_to_send(common::Moment now);

  boost::asio::io_context& context_;
  schema::Settings settings_;
  Dialect dialect_;
  config::RoutingConfigFormat notation_;
  ListReader list_reader_;
  std::uint64_t identity_;
  std::shared_ptr<common::Admission> admission_;
  WorkerConnections worker_connections_;
  common::FrameClient caller_;
  ContentFetcher contents_;
  membership::FreshnessLease freshness_;
  std::shared_ptr<scheduling::RouteTable const> route_table_;
  std::set<std::string> drained_zones_;
  membership::ListReplica list_;
  membership::MemberReplica members_;
  common::Moment started_at_ = 0;
  scheduling::ProxyCount proxy_count_;
  std::map<std::string, common::Moment> cold_until_;
  std::vector<std::string> controllers_;
  common::Moment last_contact_at_ = 0;  ///< when a controller last sent a confirmed update
  bool contacted_ = false;              ///< one did since the start
  bool lost_contact_ = true;            ///< no controller confirmed the last update request
  scheduling::Mechanisms mechanisms_;
  scheduling::LoadBalancer balancer_;
  scheduling::Observer observer_;
  std::map<std::string, schema::Split> splits_;  ///< by pool
  std::deque<schema::FurrowReport> reports_;     ///< not acknowledged by a controller yet
  std::uint64_t report_interval_ms_ = 0;         ///< how often reports are requested; 0: not at all
  std::uint64_t report_slice_ = 0;
  common::Moment reported_at_ = 0;
  scheduling::PromptIsolation isolation_;
  std::map<std::string, scheduling::RetryQuota> retry_quotas_;  ///< by service
  std::vector<std::shared_ptr<RelayListener>> listeners_;
  std::uint64_t open_queries_ = 0;
  bool draining_ = false;
  common::Moment draining_since_ = 0;
  RelayCounters counters_;
};

}  // namespace finchlink::data_plane
