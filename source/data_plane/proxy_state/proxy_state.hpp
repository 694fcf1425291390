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

/// Where a query waits for its worker; filled on the query's own strand.
struct Seat {
  explicit Seat(boost::asio::any_io_executor const& executor) : timer(executor) {}
  boost::asio::steady_timer timer;
  std::optional<scheduling::PlacementAction> action;
};

/// The state of one furrow: the plan, the vouch, and the shards of placement,
/// each under its own lock (section 3.3).
class ProxyState {
 public:
  ProxyState(boost::asio::io_context& context, schema::Settings const& settings, std::uint64_t identity);

  [[nodiscard]] std::shared_ptr<Plan const> plan();
  /// Takes what a trellis told; `asked` is when the ask was sent.
  void take(schema::NewsAnswer const& answer, common::Moment asked);
  /// May new queries be taken, and may bytes go to workers? Asked again right
  /// before each use (section 6.2, 6.3).
  [[nodiscard]] bool confirmed(common::Moment now);
  [[nodiscard]] bool list_fresh(common::Moment now);
  [[nodiscard]] bool may_dispatch(std::string const& rule, std::string const& worker, common::Moment now);
  /// Compares wishes with what is; runs now and then and after news.
  void reconcile();

  /// Runs `step` on the pool's placement and hands its actions to their seats.
  void with(std::string const& pool,
            std::function<std::vector<scheduling::PlacementAction>(scheduling::Placement&)> const& step);
  [[nodiscard]] std::uint64_t seat(std::shared_ptr<Seat> const& seat);
  void leave(std::uint64_t ticket);

  [[nodiscard]] bool retry(std::string const& rule, common::Moment now);
  void arrived(std::string const& rule, common::Moment now);
  /// Counts queries per rule against the rule's bound.
  [[nodiscard]] bool open_query(std::string const& rule, std::uint64_t bound);
  void close_query(std::string const& rule);

  /// What tells a passed query from a caller's: the sender's name and its
  /// incarnation, which only members know (section 9.4).
  [[nodiscard]] std::string pass_word() const;
  [[nodiscard]] bool knows_pass(std::string const& word);
  [[nodiscard]] schema::Member self();
  [[nodiscard]] std::string const& name() const { return settings_.name; }
  [[nodiscard]] Metrics& metrics() { return metrics_; }
  [[nodiscard]] boost::asio::io_context& context() { return context_; }
  [[nodiscard]] bool busy() const { return open_ > 0; }
  void drain() { draining_ = true; }
  [[nodiscard]] bool draining() const { return draining_; }
  /// Expected outputs of a rule, learnt from what was seen.
  [[nodiscard]] double outputs(std::string const& rule);
  void learn_outputs(std::string const& rule, double outputs);
  void add_sample(schema::Sample const& sample);
  void add_figures(schema::WorkerFigures const& figures);
  [[nodiscard]] schema::FurrowReport take_report(std::uint64_t slice, double span);

 private:
  struct Shard {
    std::mutex lock;
    scheduling::Placement placement;
  };
  struct Service {
    scheduling::RetryBudget budget;
    std::uint64_t open = 0;
    double outputs = 64;
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
  std::mutex seats_lock_;
  std::map<std::uint64_t, std::shared_ptr<Seat>> seats_;
  std::uint64_t next_ticket_ = 1;
  std::mutex services_lock_;
  std::map<std::string, Service> services_;
  std::mutex report_lock_;
  std::map<std::string, schema::WorkerFigures> figures_;
  std::vector<schema::Sample> samples_;
  std::atomic<int> open_ = 0;
  std::atomic<bool> draining_ = false;
  Metrics metrics_;
};

}  // namespace finchlink::data_plane
