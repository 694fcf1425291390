#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "common/net/net.hpp"
#include "common/settings/settings.hpp"
#include "data_plane/metrics/metrics.hpp"
#include "membership/freshness/freshness_lease.hpp"
#include "scheduling/placement/placement.hpp"
#include "scheduling/plan/plan.hpp"
#include "scheduling/retry_budget/retry_budget.hpp"

namespace finchlink::data_plane {

using scheduling::Plan;
using scheduling::pool_of;

/// Wait slot of a query that needs a worker; written on the query's own strand.
struct WaitSlot {
  explicit WaitSlot(boost::asio::any_io_executor const& executor) : timer(executor) {}
  boost::asio::steady_timer timer;  ///< cancelled to wake the query
  std::optional<scheduling::PlacementAction> action;
};

/// State of one proxy: the config snapshot, the freshness lease and the shards of placement, each under its own lock
/// (section 3.3).
class ProxyState {
 public:
  ProxyState(boost::asio::io_context& context, schema::Settings const& settings, std::uint64_t identity);

  /// The config snapshot in force.
  [[nodiscard]] std::shared_ptr<Plan const> plan();
  /// Applies a controller's response; `requested_at` is when the request was sent. If the setup or the allowed workers
  /// changed, waiting queries are woken to decide again (section 9.7).
  void apply_updates(schema::NewsAnswer const& response, common::Moment requested_at);
  /// Whether new queries may be accepted, and whether bytes may be sent to workers. Checked again right before each use
  /// (section 6.2, 6.3).
  [[nodiscard]] bool confirmed(common::Moment now);
  /// Whether the platform list is recent, or the setup allows a stale one.
  [[nodiscard]] bool list_fresh(common::Moment now);
  /// Whether bytes of a query of the rule may be sent to the worker now.
  [[nodiscard]] bool may_dispatch(std::string const& rule, std::string const& worker, common::Moment now);
  /// Passes the desired workers to placement; runs periodically and after updates.
  void reconcile();

  /// Runs `step` on the pool's placement under its lock and delivers its actions to the wait slots.
  void with_placement(std::string const& pool,
                      std::function<std::vector<scheduling::PlacementAction>(scheduling::Placement&)> const& step);
  /// Registers a wait slot; returns its ticket id.
  [[nodiscard]] std::uint64_t add_wait_slot(std::shared_ptr<WaitSlot> const& slot);
  void remove_wait_slot(std::uint64_t ticket);

  /// Takes a token from the rule's retry budget; false if there is none.
  [[nodiscard]] bool take_retry_token(std::string const& rule, common::Moment now);
  /// Counts a query for the rule's retry budget.
  void query_arrived(std::string const& rule, common::Moment now);
  /// Counts an open query; false if the rule has `bound` open queries already.
  [[nodiscard]] bool open_query(std::string const& rule, std::uint64_t bound);
  void close_query(std::string const& rule);

  /// Forwarding token: the sender's name and incarnation, which only members know. It distinguishes a forwarded query
  /// from a caller's (section 9.4).
  [[nodiscard]] std::string forwarding_token() const;
  /// Whether it is the forwarding token of another member.
  [[nodiscard]] bool is_forwarding_token(std::string const& token);
  /// This proxy's entry in the member list.
  [[nodiscard]] schema::Member self();
  [[nodiscard]] std::string const& name() const { return settings_.name; }
  [[nodiscard]] Metrics& metrics() { return metrics_; }
  [[nodiscard]] boost::asio::io_context& context() { return context_; }
  /// Whether queries are open.
  [[nodiscard]] bool busy() const { return open_ > 0; }
  /// New queries are rejected from now on.
  void drain() { draining_ = true; }
  [[nodiscard]] bool draining() const { return draining_; }
  /// Expected output tokens of a query of the rule: a moving average of those seen.
  [[nodiscard]] double expected_outputs(std::string const& rule);
  void record_outputs(std::string const& rule, double outputs);
  /// Adds a sample to the next report; dropped if the report has the maximum already.
  void add_sample(schema::Sample const& sample);
  /// Adds to the sums of the worker and phase in the next report.
  void add_figures(schema::WorkerFigures const& figures);
  /// Returns what was gathered in the reporting interval numbered `interval`, which lasted `seconds`, and resets it.
  [[nodiscard]] schema::FurrowReport take_report(std::uint64_t interval, double seconds);

 private:
  struct Shard {
    std::mutex lock;
    scheduling::Placement placement;
  };
  /// State of one rule.
  struct Service {
    scheduling::RetryBudget budget;
    std::uint64_t open = 0;
    double outputs = 64;  ///< expected output tokens
  };
  [[nodiscard]] Shard& shard(std::string const& pool);

  boost::asio::io_context& context_;
  schema::Settings settings_;
  std::uint64_t identity_;
  std::mutex plan_lock_;
  std::shared_ptr<Plan const> plan_;
  membership::FreshnessLease freshness_;
  bool was_confirmed_ = false;
  bool was_fresh_ = false;
  Shard model_;
  Shard plain_;
  std::mutex wait_slots_lock_;
  std::map<std::uint64_t, std::shared_ptr<WaitSlot>> wait_slots_;  ///< by ticket id
  std::uint64_t next_ticket_ = 1;
  std::mutex services_lock_;
  std::map<std::string, Service> services_;  ///< by rule
  std::mutex report_lock_;
  std::map<std::string, schema::WorkerFigures> figures_;  ///< by worker and phase
  std::vector<schema::Sample> samples_;
  std::atomic<int> open_ = 0;
  std::atomic<bool> draining_ = false;
  Metrics metrics_;
};

}  // namespace finchlink::data_plane
