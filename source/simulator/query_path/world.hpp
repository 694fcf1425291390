#pragma once

/// The simulated query path: callers, furrows with the daemons' placement,
/// charts and budgets, scalers, and workers that take their time (section 10).
///
/// One class, by job in several files: construction and the run (world.cpp), callers
/// (arrivals.cpp), what a query's chart orders (queries.cpp), placement (placement.cpp),
/// dispatches to workers (dispatch.cpp), workers (workers.cpp) and their answers
/// (answers.cpp), furrows' loops (proxy_loops.cpp), the setup in force (setups.cpp), the
/// control plane beside it (control_plane.cpp), faults (faults.cpp) and the report (results.cpp).

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/setup/setup.hpp"
#include "simulator/kernel/kernel.hpp"
#include "simulator/query_path/nodes.hpp"
#include "simulator/query_path/query_path.hpp"

namespace finchlink::simulator::query_path {

class World {
 public:
  explicit World(QueryPathOptions const& options);
  QueryPathReport run();

 private:
  // --- construction ---
  void add_zone(QueryPathZone const& hall);
  void begin_loops();

  // --- callers ---
  void arrivals(std::size_t mix);
  [[nodiscard]] double rate_of(std::size_t mix) const;
  void arrive(std::size_t mix, std::string const& home, std::uint64_t tries, std::size_t hops,
              std::optional<std::string> const& region);
  QueryPointer make_query(std::size_t mix, std::size_t proxy, std::string const& home, config::Serve const& serve,
                          bool passed);
  void draw_prompt(Query& query);
  [[nodiscard]] std::unique_ptr<scheduling::QueryStateMachine> make_state_machine(Query const& query, bool passed);
  void pass_on(QueryPointer const& query);
  void arrive_passed(QueryPointer const& query, std::size_t target);
  /// A service, as its queries are at this time.
  [[nodiscard]] QueryPathMix mix_of(std::size_t index) const;

  // --- what a chart orders ---
  void feed(QueryPointer const& query, scheduling::QueryMessage const& message);
  void settle_parent(QueryPointer const& query, scheduling::QueryMessage const& message);
  void perform(QueryPointer const& query, std::vector<scheduling::QueryAction> const& actions);
  void perform_one(QueryPointer const& query, scheduling::QueryAction const& action);
  void forward(QueryPointer const& query, scheduling::SendEvent const& event);
  void deliver_whole(QueryPointer const& query);
  void end_good(Query const& query, common::Moment first);
  void send_home(QueryPointer const& query);
  void refuse(QueryPointer const& query);
  void apologise(QueryPointer const& query, scheduling::FailUncertain const& apology);
  void end_broken(QueryPointer const& query);
  /// Withdraws what a settled query still has at its worker and its placement.
  void withdraw(QueryPointer const& query);

  // --- placement ---
  void place(QueryPointer const& query);
  void obey(std::vector<scheduling::PlacementAction> const& actions);
  void deny(scheduling::Denied const& denied);
  void end_dispatch(QueryPointer const& query, scheduling::Ending ending, scheduling::QueryMessage const& message);

  // --- dispatch ---
  void send(QueryPointer const& query);
  void connect(QueryPointer const& query);
  void check_dispatch(Query const& query, Worker const& worker);
  [[nodiscard]] bool lawful(Query const& query, Worker const& worker, bool zone_only) const;
  void expose(QueryPointer const& query, Worker& worker);
  /// Whether the worker refuses for want of room; one that is cold must not be flooded.
  [[nodiscard]] bool is_full(Worker const& worker);
  void count_run(QueryPointer const& query);
  [[nodiscard]] bool may_repeat(std::string const& rule) const;
  void begin_job(QueryPointer const& query, Worker& worker);
  /// Ends the dispatch by a defect after a span, if it is still under way.
  void break_later(QueryPointer const& query, common::Span span, std::string const& reason);
  void cut_later(QueryPointer const& query);

  // --- workers ---
  Worker* worker_of(std::string const& id);
  void step(Worker& worker);
  void prefill(Worker& worker);
  void decode(Worker& worker);
  void finish_iteration(Worker& worker);
  [[nodiscard]] double prefill_seconds(Worker& worker, Job const& job);
  [[nodiscard]] double noisy(double seconds);
  void crash(Worker& worker);
  void revive(Worker& worker);
  static std::vector<JobPointer> take_jobs(Worker& worker);
  void lose_job(JobPointer const& job, std::string const& reason);

  // --- answers ---
  void deliver(JobPointer const& job, bool last);
  void take_event(JobPointer const& job, std::uint64_t number, bool last);
  void note_first(Query& query, schema::WorkerFigures& figures);
  void note_last(Query const& query, schema::WorkerFigures& figures);
  void stream_event(QueryPointer const& query, std::uint64_t number, bool last);

  // --- furrows ---
  [[nodiscard]] bool confirmed(Proxy const& proxy) const;
  void refresh(Proxy& proxy);
  void renew(Proxy& proxy);
  [[nodiscard]] std::shared_ptr<scheduling::Plan> make_plan(Proxy& proxy);
  void follow_waiting(Proxy& proxy);
  void look(Proxy& proxy);
  void report_loop(Proxy& proxy);
  void scale(std::size_t region);
  void tell_split(std::size_t region);

  // --- the setup in force ---
  bool follow(QueryPointer const& query);
  [[nodiscard]] config::Disposition disposition(schema::Setup const& setup, std::string const& region, std::size_t mix,
                                                std::string const& home) const;
  [[nodiscard]] schema::Setup changed_setup(schema::Setup setup);
  void move_home(schema::Rule& rule);
  void empty_or_refill(schema::Setup& setup);
  void apply_setup(schema::Setup const& setup);

  // --- the control plane beside it ---
  /// The register and the news of the control plane in place of apply_setup.
  void join_control();
  [[nodiscard]] std::string setup_patch(std::string const& id);
  void lose(std::size_t proxy);

  // --- faults ---
  void schedule_faults();
  void repeat(double mean, std::function<void()> const& fault);
  Worker& any_worker();
  void crash_any();
  void darken_any();
  void blink_any();
  void drain_any();
  void replace_any();
  void show_draining(Worker& worker, bool draining);

  // --- report ---
  void violate(std::string const& text);
  void ended(Query const& query, bool good);
  Second& second(std::size_t mix, common::Moment at);
  void weigh_crowd();
  void check_queries();
  void weigh_retries();
  void weigh_fit();
  void finish();

  [[nodiscard]] common::Span hop_within_region() { return kernel_.between(200, 600); }

  QueryPathOptions options_;
  Kernel kernel_;
  QueryPathReport report_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  std::vector<Region> regions_;
  ControlPart control_;
  std::map<std::uint64_t, schema::Setup> setups_;  ///< by revision
  std::uint64_t newest_ = 1;
  std::uint64_t acknowledged_ = 1;
  std::vector<std::string> names_;  ///< of all furrows
  std::map<std::uint64_t, QueryPointer> tickets_;
  std::uint64_t next_ticket_ = 1;
  std::uint64_t next_query_ = 1;
  std::vector<QueryPointer> queries_;
  std::map<std::pair<std::size_t, common::Moment>, Second> seconds_;  ///< per service and second
  std::vector<double> firsts_;                                        ///< seconds to the first event
  std::uint64_t good_late_ = 0;
  double prompt_tokens_ = 0;
  double cached_tokens_ = 0;
  std::map<std::string, std::vector<common::Moment>> first_dispatches_;
  std::map<std::string, std::vector<common::Moment>> retries_;
};

}  // namespace finchlink::simulator::query_path
