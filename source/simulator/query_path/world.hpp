#pragma once

/// The simulated query path: callers, proxies that run the production placement, query state machines and
/// retry budgets, scalers, and workers that take simulated time (docs/design.md section 10).
///
/// One class, split over several files: construction and the run (world.cpp), callers (arrivals.cpp), actions of
/// the query state machine (queries.cpp), placement (placement.cpp), dispatches to workers (dispatch.cpp), workers
/// (workers.cpp) and their responses (answers.cpp), periodic work of proxies (proxy_loops.cpp), the setup in force
/// (setups.cpp), the simulated control plane (control_plane.cpp), faults (faults.cpp) and the report (results.cpp).

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

/// The state of one simulated run and its event handlers. It is single-threaded: all work runs as events of `kernel_`,
/// whose random draws decide the schedule, so the same options give the same trace.
class World {
 public:
  explicit World(QueryPathOptions const& options);
  /// Runs the simulation to its end; to be called once.
  QueryPathReport run();

 private:
  // --- construction ---
  /// Adds the workers and proxies of a zone.
  void add_zone(QueryPathZone const& hall);
  /// Starts the periodic work of proxies and scalers, the callers and the faults.
  void begin_loops();

  // --- callers ---
  /// Draws the time of the next query of a service, sends it then, and repeats until the run ends.
  void schedule_arrivals(std::size_t mix);
  /// Queries per second of a service now, with a burst if one is in progress.
  [[nodiscard]] double current_rate(std::size_t mix) const;
  void arrive(std::size_t mix, std::string const& home, std::uint64_t attempts, std::size_t redirects,
              std::optional<std::string> const& region);
  QueryPointer make_query(std::size_t mix, std::size_t proxy, std::string const& home, config::Serve const& serve,
                          bool forwarded);
  void draw_prompt(Query& query);
  [[nodiscard]] std::unique_ptr<scheduling::QueryStateMachine> make_state_machine(Query const& query, bool forwarded);
  /// Forwards the query to a proxy that has capacity for it.
  void forward_to_peer(QueryPointer const& query);
  /// Handles a forwarded query at the proxy that it was forwarded to.
  void arrive_forwarded(QueryPointer const& query, std::size_t target);
  /// The service at `index` with the query sizes that apply now (they change when the traffic shifts).
  [[nodiscard]] QueryPathMix current_mix(std::size_t index) const;

  // --- actions of the query state machine ---
  /// Hands a message to the state machine of the query and performs the actions that it returns.
  void feed(QueryPointer const& query, scheduling::QueryMessage const& message);
  void report_to_parent(QueryPointer const& query, scheduling::QueryMessage const& message);
  void perform(QueryPointer const& query, std::vector<scheduling::QueryAction> const& actions);
  void perform_action(QueryPointer const& query, scheduling::QueryAction const& action);
  void send_event(QueryPointer const& query, scheduling::SendEvent const& event);
  void send_response(QueryPointer const& query);
  void record_success(Query const& query, common::Moment first);
  void redirect_home(QueryPointer const& query);
  /// Tells the caller, or the forwarding proxy, that the query was not run.
  void reject(QueryPointer const& query);
  /// Fails a query that may have run: it can neither be repeated nor reported as rejected.
  void fail_uncertain(QueryPointer const& query, scheduling::FailUncertain const& failure);
  /// Ends a stream that has begun with an error.
  void end_with_error(QueryPointer const& query);
  /// Cancels the job and the queue ticket that a settled query still holds.
  void release(QueryPointer const& query);

  // --- placement ---
  /// Enqueues the query at the placement of its proxy.
  void place(QueryPointer const& query);
  /// Performs the actions of a placement: dispatches and denials.
  void apply_placement(std::vector<scheduling::PlacementAction> const& actions);
  void handle_denied(scheduling::Denied const& denied);
  /// Ends the current dispatch, reports its ending to the placement and `message` to the state machine.
  void end_dispatch(QueryPointer const& query, scheduling::Ending ending, scheduling::QueryMessage const& message);

  // --- dispatch ---
  void start_dispatch(QueryPointer const& query);
  void connect(QueryPointer const& query);
  /// Records a violation if the worker was shown draining too long ago or the setup forbids the dispatch.
  void check_dispatch(Query const& query, Worker const& worker);
  [[nodiscard]] bool is_allowed(Query const& query, Worker const& worker, bool zone_only) const;
  void send_to_worker(QueryPointer const& query, Worker& worker);
  /// Whether the worker rejects the query because it is full. A cold worker over its ramp limit is a violation.
  [[nodiscard]] bool is_full(Worker const& worker);
  /// Counts one execution of the query; a second one is a violation unless its rule allows repeating.
  void count_run(QueryPointer const& query);
  [[nodiscard]] bool may_repeat(std::string const& rule) const;
  void begin_job(QueryPointer const& query, Worker& worker);
  /// Fails the dispatch after `span` if it is still in progress.
  void fail_later(QueryPointer const& query, common::Span span, std::string const& reason);
  /// Cuts the connection to the worker after a random delay.
  void cut_later(QueryPointer const& query);

  // --- workers ---
  Worker* worker_of(std::string const& id);
  /// Starts the next prefill or decode iteration of an idle worker.
  void step(Worker& worker);
  void prefill(Worker& worker);
  void decode(Worker& worker);
  void finish_iteration(Worker& worker);
  [[nodiscard]] double prefill_seconds(Worker& worker, Job const& job);
  /// Adds measurement noise to a duration.
  [[nodiscard]] double noisy(double seconds);
  void crash(Worker& worker);
  void revive(Worker& worker);
  static std::vector<JobPointer> take_jobs(Worker& worker);
  void fail_job(JobPointer const& job, std::string const& reason);

  // --- responses of workers ---
  /// The worker has produced the next event of the response.
  void emit_event(JobPointer const& job, bool last);
  void receive_event(JobPointer const& job, std::uint64_t number, bool last);
  void record_first_event(Query& query, schema::WorkerFigures& figures);
  void record_last_event(Query const& query, schema::WorkerFigures& figures);
  void stream_event(QueryPointer const& query, std::uint64_t number, bool last);

  // --- proxies ---
  /// Whether the proxy is alive and its setup is confirmed by the control plane, if one is simulated.
  [[nodiscard]] bool confirmed(Proxy const& proxy) const;
  /// Updates the plan and ticks the placement of a proxy, periodically.
  void refresh_loop(Proxy& proxy);
  void update_plan(Proxy& proxy);
  [[nodiscard]] std::shared_ptr<scheduling::Plan> make_plan(Proxy& proxy);
  void reevaluate_waiting(Proxy& proxy);
  /// Reports the load of the region's workers to the placement of a proxy, periodically.
  void probe_loop(Proxy& proxy);
  /// Sends the figures of a reporting interval to the scaler of the region, periodically.
  void report_loop(Proxy& proxy);
  /// Runs the scaler of a region, periodically.
  void scale_loop(std::size_t region);
  /// Hands a new prefill/decode split to the proxies of the region after a delay each.
  void distribute_split(std::size_t region);

  // --- the setup in force ---
  bool reevaluate(QueryPointer const& query);
  [[nodiscard]] config::Disposition disposition(schema::Setup const& setup, std::string const& region, std::size_t mix,
                                                std::string const& home) const;
  /// The setup with one random change.
  [[nodiscard]] schema::Setup changed_setup(schema::Setup setup);
  void move_home(schema::Rule& rule);
  void toggle_drained_zone(schema::Setup& setup);
  /// Makes a setup the newest revision; each proxy applies it after a delay of its own.
  void apply_setup(schema::Setup const& setup);

  // --- simulated control plane ---
  /// Setups then come through the register and the updates of the control plane in place of apply_setup.
  void attach_control_plane();
  /// A random change as a JSON patch; `id` is written as a label, so that the change can be recognized.
  [[nodiscard]] std::string setup_patch(std::string const& id);
  /// Kills a proxy and the connections of its queries.
  void kill_proxy(std::size_t proxy);

  // --- faults ---
  void schedule_faults();
  /// Runs `fault` at exponentially distributed intervals with this mean in seconds; 0: never.
  void repeat(double mean, std::function<void()> const& fault);
  Worker& any_worker();
  void crash_any();
  void make_any_unreachable();
  void restart_any_silently();
  void drain_any();
  void replace_any();
  void show_draining(Worker& worker, bool draining);

  // --- report ---
  void add_violation(std::string const& text);
  void record_outcome(Query const& query, bool success);
  /// Outcome counts of a service for the second that `at` lies in.
  SecondOutcomes& outcomes_at(std::size_t mix, common::Moment at);
  void summarize_burst();
  void check_queries();
  void summarize_retries();
  void summarize_fit();
  /// Checks what must hold at the end of the run and fills in the report.
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
  std::uint64_t newest_revision_ = 1;
  std::uint64_t acknowledged_revision_ = 1;
  std::vector<std::string> proxy_names_;           ///< names of all proxies, by index in proxies_
  std::map<std::uint64_t, QueryPointer> tickets_;  ///< queries in placement or dispatched, by ticket
  std::uint64_t next_ticket_ = 1;
  std::uint64_t next_query_ = 1;
  std::vector<QueryPointer> queries_;  ///< all queries of the run
  /// Per service and second of arrival
  std::map<std::pair<std::size_t, common::Moment>, SecondOutcomes> outcomes_by_second_;
  std::vector<double> first_event_seconds_;  ///< seconds from arrival to the first event, of successful queries
  std::uint64_t late_successes_ = 0;         ///< successes in the second half of the run
  double prompt_tokens_ = 0;
  double cached_tokens_ = 0;  ///< prompt tokens found in the caches of workers
  std::map<std::string, std::vector<common::Moment>> first_dispatches_;  ///< times by service
  std::map<std::string, std::vector<common::Moment>> retries_;           ///< times by service
};

}  // namespace finchlink::simulator::query_path
