#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <list>
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
#include "data_plane/relay/dialect.hpp"
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

using Socket = boost::asio::ip::tcp::socket;
using ListReader = std::function<absl::StatusOr<schema::PlatformList>(std::string const& address, common::Yield)>;

/// Starts a coroutine on the relay's one thread, with a small stack: machines
/// that relay have a fraction of a core and pay for memory (section 13.2).
void start_small(boost::asio::io_context& context, std::function<void(common::Yield)> body);

/// One timer for many waits that seldom run out: it is armed anew only when it
/// rings early (section 13.2).
class Alarm : public std::enable_shared_from_this<Alarm> {
 public:
  Alarm(boost::asio::io_context& context, std::function<void()> ring) : timer_(context), ring_(std::move(ring)) {}
  void set(common::Moment due);
  void stop();

 private:
  void arm();
  boost::asio::steady_timer timer_;
  std::function<void()> ring_;
  common::Moment due_ = 0;
  common::Moment armed_for_ = 0;
  bool over_ = false;
};

/// What a relay counts; printed in the text form that scrapers read.
struct Tally {
  std::map<std::string, std::uint64_t> outcomes;
  std::uint64_t retries = 0;
  std::uint64_t resumed = 0;
  std::uint64_t connects = 0;
  std::uint64_t probes = 0;  ///< connections opened to tell a busy worker from a lost one
  std::uint64_t dispatches = 0;
  [[nodiscard]] std::string print() const;
};

/// The state of one relaying furrow, on one thread: the newest charter that it
/// knows, its workers, colleagues and kept connections.
class RelayServer {
 public:
  RelayServer(boost::asio::io_context& context, schema::Settings const& settings, Dialect dialect,
              config::Notation notation, ListReader list_reader, std::uint64_t identity);

  [[nodiscard]] absl::Status begin();
  void drain();
  [[nodiscard]] bool busy() const;
  /// New bounds and seeds, taken while it runs.
  void renew(schema::Settings const& settings);

  [[nodiscard]] boost::asio::io_context& context() { return context_; }
  [[nodiscard]] schema::Settings const& settings() const { return settings_; }
  [[nodiscard]] Dialect const& dialect() const { return dialect_; }
  [[nodiscard]] std::shared_ptr<scheduling::RouteTable const> const& route_table() const { return route_table_; }
  [[nodiscard]] scheduling::LoadBalancer& balancer() { return balancer_; }
  [[nodiscard]] scheduling::Mechanisms const& mechanisms() const { return mechanisms_; }
  [[nodiscard]] scheduling::RetryQuota& retry_quota(std::string const& service);
  [[nodiscard]] Tally& tally() { return tally_; }
  [[nodiscard]] scheduling::PromptIsolation& isolation() { return isolation_; }
  [[nodiscard]] bool draining() const { return draining_; }
  [[nodiscard]] common::Moment begun_at() const { return begun_at_; }
  /// It has had a charter and a list of workers, even an empty one, since it started.
  [[nodiscard]] bool begun() const { return route_table_ != nullptr && list_.as_of() > 0; }
  /// A majority stood behind the charter of late, so a route that it lacks may be refused for good (section 13.15).
  [[nodiscard]] bool routing_config_confirmed() const {
    return freshness_.confirmed_within(common::constants::routing_config_confirmed_bound, common::boot_now());
  }
  [[nodiscard]] bool ready() const { return route_table_ != nullptr && heard_ && !draining_ && balancer_.size() > 0; }

  /// A kept connection to the worker that seems whole, or none.
  [[nodiscard]] std::unique_ptr<Socket> kept(std::string const& worker);
  void keep(std::string const& worker, std::unique_ptr<Socket> socket, common::Span longest);

  /// A stream ended whole; what it shows goes into the next report.
  void saw(scheduling::StreamObservation sighting, scheduling::Assignment const& assignment,
           scheduling::PlacementRequest const& wanted);

  /// How long a query waits for the first charter.
  common::Span routing_config_wait = common::constants::routing_config_wait;
  common::Span lost_contact_timeout = common::constants::lost_contact_timeout;
  void opened() { ++open_; }
  void closed() { --open_; }
  [[nodiscard]] std::string directory(std::string const& hall, std::string const& region);

 private:
  struct Kept {
    std::unique_ptr<Socket> socket;
    common::Moment until = 0;
  };
  struct Acceptor {
    boost::asio::ip::tcp::acceptor acceptor;
  };
  [[nodiscard]] absl::Status listen(std::string const& address,
                                    std::function<void(std::shared_ptr<Socket>, common::Yield)> session);
  void serve_small(std::shared_ptr<Socket> const& socket, common::Yield yield);
  void ask_for_updates(common::Yield yield);
  void heard_from(schema::NewsAnswer const& update);
  /// Trellises to ask, near ones first as told; seeds stay in for the day that
  /// all others are gone.
  void know_controllers(std::vector<std::string> const& told);
  /// Trellises that one without a majority names are asked as well, behind those known: all seeds may be cut off
  /// from the majority (section 13.15).
  void know_more_controllers(std::vector<std::string> const& told);
  void read_own_list(common::Yield yield);
  void follow_secrets(common::Yield yield);
  void take(schema::NewsAnswer const& answer, common::Moment asked);
  /// Another list is held.
  void take_list();
  [[nodiscard]] schema::NewsAsk ask(std::vector<schema::FurrowReport> reports) const;
  void settle();
  [[nodiscard]] schema::Member self() const;
  void take_routing_config(schema::NamedValue const& update);
  void take_split(schema::NamedValue const& update);
  [[nodiscard]] std::string phase_of(schema::WorkerEntry const& entry, std::string const& region) const;
  /// The reports that go with an ask now.
  [[nodiscard]] std::vector<schema::FurrowReport> reports(common::Moment now);
  void tell_leaving();

  boost::asio::io_context& context_;
  schema::Settings settings_;
  Dialect dialect_;
  config::Notation notation_;
  ListReader list_reader_;
  std::uint64_t identity_;
  common::Caller caller_;
  ContentFetcher contents_;
  membership::FreshnessLease freshness_;
  std::shared_ptr<scheduling::RouteTable const> route_table_;
  std::set<std::string> evacuated_;
  membership::ListReplica list_;
  membership::MemberReplica members_;
  common::Moment begun_at_ = 0;
  scheduling::ProxyCount proxy_count_;
  std::map<std::string, common::Moment> cold_until_;
  std::vector<std::string> controllers_;
  common::Moment heard_at_ = 0;
  bool heard_ = false;
  bool lost_ = true;  ///< no trellis answered the last ask
  scheduling::Mechanisms mechanisms_;
  scheduling::LoadBalancer balancer_;
  scheduling::Observer observer_;
  std::map<std::string, schema::Split> splits_;  ///< by pool
  std::deque<schema::FurrowReport> reports_;     ///< not taken by a trellis yet
  std::uint64_t report_ms_ = 0;                  ///< how often they are wanted; 0: not
  std::uint64_t report_slice_ = 0;
  common::Moment reported_at_ = 0;
  scheduling::PromptIsolation isolation_;
  std::map<std::string, scheduling::RetryQuota> retry_quota_;
  std::map<std::string, std::deque<Kept>> kept_;
  std::vector<std::shared_ptr<Acceptor>> acceptors_;
  std::uint64_t open_ = 0;
  bool draining_ = false;
  common::Moment leaving_since_ = 0;
  Tally tally_;
};

/// Serves one caller's connection (relay.cpp).
void serve_caller(RelayServer& station, std::shared_ptr<Socket> const& socket, common::Yield yield);

}  // namespace finchlink::data_plane
