#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/net/growing_text.hpp"
#include "data_plane/relay/event_cutter.hpp"
#include "data_plane/relay/header_fields.hpp"
#include "data_plane/relay/relay_server.hpp"
#include "scheduling/prompt_isolation/tenant.hpp"
#include "scheduling/query_state/query_state_machine.hpp"
#include "scheduling/stall_detection/stall_detector.hpp"

namespace finchlink::data_plane {

namespace http = boost::beast::http;

/// A complete request as read from its caller.
struct Query {
  http::request_header<> header;
  std::shared_ptr<std::string const> body;  ///< shared with a write to a worker that may still be pending
  bool had_length = false;                  ///< the request had a Content-Length or was chunked
  bool keep_alive = true;                   ///< the caller allows the connection to be reused
  common::Moment arrived = 0;
  std::shared_ptr<common::MemoryReservation> memory;  ///< of its header and body
};

/// Bytes of a caller's connection that were read before their request is served.
struct ReadAhead {
  explicit ReadAhead(std::shared_ptr<common::AdmittedConnection> connection) : memory(std::move(connection)) {}
  boost::beast::flat_buffer buffer;
  common::MemoryReservation memory;  ///< of what was sent ahead
  common::Moment since = 0;          ///< when its first byte came; 0: none came while another request was served
};

/// The connection that a query came on.
struct RelayCaller {
  Socket& socket;
  ReadAhead& ahead;
  std::shared_ptr<common::AdmittedConnection> admitted;
  common::Span unread_answer_timeout = 0;  ///< it is closed if nothing of an answer can be written for this long
};

/// Forwards one query to workers and the response back to its caller (section 13.8). It runs on its caller's
/// coroutine, on the relay's one thread; callbacks that may outlive it (timers, the watch on the caller) reach it
/// through a `Guard`. Its members are defined by task:
/// - relay.cpp: start and end, actions of the query state machine
/// - caller_monitor.cpp: callers that disconnect, the deadline
/// - stall.cpp: stalled workers
/// - attempt.cpp: placement, connections, retries, and the return to a worker that was set aside
/// - request_head.cpp: the request head that is sent to a worker
/// - worker_answer.cpp: a worker's response: a refusal, a whole body, or none
/// - event_stream.cpp: a response that is a stream of events
/// - caller_answer.cpp: responses to the caller
/// - tenant_prompt.cpp: the prompt's tenant (section 14)
class Relay {
 public:
  Relay(RelayServer& server, Query& query, schema::Lane const& route, RelayCaller const& caller,
        std::shared_ptr<scheduling::RouteTable const> route_table, common::Yield yield);
  /// Serves the query to its end. False: the caller's connection can't be reused.
  bool run();

 private:
  /// Lets callbacks find out whether their relay still exists; `relay` is null once it has ended.
  struct Guard {
    Relay* relay = nullptr;
  };
  using Parser = http::response_parser<http::buffer_body>;
  /// A request that is being sent to a worker, which may respond before it has read all of it.
  struct Sending {
    std::string head;
    std::shared_ptr<std::string const> body;
    std::unique_ptr<Socket> socket;  ///< set and closed if the exchange ended first: the write may still be pending
    bool done = false;
    bool failed = false;
    [[nodiscard]] bool whole() const { return done && !failed; }
  };
  /// A worker's response as far as it was read; also its connection, if it was set aside.
  struct Reading {
    std::shared_ptr<Sending> sending;
    boost::beast::flat_buffer buffer{common::constants::answer_buffer_bytes};
    std::unique_ptr<Parser> parser;
    EventCutter cutter;
    scheduling::StreamObservation sighting;
    common::Moment sent = 0;
    bool first = true;     ///< no event was read yet
    bool resumed = false;  ///< the stream continues one that another worker began
    scheduling::Assignment assignment;
    scheduling::IsolatedPrompt isolated;
    std::unique_ptr<Socket> socket;
  };
  using WorkerHeader = Parser::value_type;

  static scheduling::QueryTerms terms(schema::Lane const& route);
  [[nodiscard]] bool repeatable() const { return state_machine_.may_repeat(); }
  /// Whether the query is answered before a draining process closes its connections. A whole answer that doesn't come
  /// until then is given up; a stream that may last longer is not begun.
  [[nodiscard]] bool fits_before_closing();
  /// Determines the prompt's tenant and home regions by the route in force (section 14.1).
  void resolve_tenant();
  /// Applies what the worker's response says of weights and cached tokens (section 14.3). `ran`: it ran the request.
  void apply_isolation_response(WorkerHeader const& got, bool ran);
  /// The parts that the worker caches from now on; none for ids that are used only once.
  [[nodiscard]] std::vector<scheduling::PromptPart> cached_parts() const;
  /// Whether the retry quota has a token; takes it if `consume`.
  bool retry_allowed(bool consume);
  /// Logs how long each stage took if the first output missed its set point (section 13.3).
  void log_if_late(std::string const& how) const;
  void watch_caller();
  /// Reads the caller's next requests ahead, since its disconnect is seen only behind them; false: no further watch,
  /// as it left or sent too much ahead.
  bool read_from_caller();
  /// Closes the worker's connection and cancels a wait for placement.
  void abort_attempt();
  /// The alarm expired: a deadline, a connect timeout or a stall.
  void on_alarm();
  void act(scheduling::WaitUntil const& wait);
  void act(scheduling::ProbeWorker const& probe);
  /// The worker has stalled: another one is tried if the request may be repeated, a retry token is left and another
  /// worker has a place; otherwise the stalled one may go on.
  void act(scheduling::GiveUp const&);
  void perform(scheduling::StallAction const& action);
  [[nodiscard]] bool may_try_another(common::Moment now);
  void drop_probe();
  void feed(scheduling::QueryMessage const& message) { perform(state_machine_.advance(message, common::boot_now())); }
  void perform(std::vector<scheduling::QueryAction> const& actions);
  void act(scheduling::Place const&) { dispatch_next_ = true; }
  void act(scheduling::ForwardToRegion const&) { feed(scheduling::NoCapacity{}); }
  void act(scheduling::RedirectHome const&) { refuse(); }
  void act(scheduling::SendEvent const&) {}
  void act(scheduling::SendResponse const&) { (void)write_response(); }
  void act(scheduling::RejectQuery const& reason);
  void act(scheduling::FailUncertain const& apologise);
  void act(scheduling::EndWithError const& broken);
  void act(scheduling::CancelDispatch const&) { keep_caller_ = false; }
  /// Final and immediate, with a Retry-After: nothing ran (section 9.8).
  void refuse() { respond("503 Service Unavailable", "no_place", true); }
  /// Writes a response of the relay's own; `retry_later` adds a Retry-After.
  void respond(std::string const& status, std::string const& reason, bool retry_later);
  /// Decides whether the caller's connection is kept; the header line that says otherwise, or nothing.
  [[nodiscard]] std::string connection_header();
  bool write(std::string const& text, std::string const& body = "");
  bool write_response();
  /// Applies the newest routing configuration to this query; it counts until bytes are sent (section 9.7).
  void refresh_route();
  /// Chooses a worker, and waits for a place up to a fraction of the route's set point; false: none was found.
  bool wait_for_placement();
  void dispatch();
  /// A dispatch has ended or was set aside: reports the result to the state machine.
  void finish_dispatch();
  /// While a worker is set aside, a message that would end the query resumes that worker instead.
  void feed_or_resume(scheduling::QueryMessage const& message);
  /// No other worker continues the stream: goes on with the stalled one.
  void resume_set_aside();
  /// Whether the route in force still leads to the assigned worker.
  [[nodiscard]] bool worker_still_routed() const;
  void keep_worker(common::Span longest);
  /// Closes the worker's connection; the socket lives on until a pending write has failed.
  void drop_worker();
  /// Takes an idle connection to the worker or opens one. An idle one may turn out closed just as bytes are sent, so
  /// a request that may not be repeated always gets a new one (section 13.8).
  bool connect_worker();
  /// The request head for the worker.
  [[nodiscard]] std::string head() const;
  /// Restarts the wait for the worker's next bytes.
  void arm_stall_detector(double set_point_ms, common::Moment now);
  /// The set point of gaps between events.
  [[nodiscard]] double event_gap_set_point_ms() const;
  /// Reads the next bytes of the response; false: cut, stalled or no response at all.
  bool read_some(boost::beast::flat_buffer& buffer, Parser& parser, std::string& bytes);
  /// Sends the request to the connected worker and handles its response.
  scheduling::Outcome exchange();
  /// Starts to write head and body; the response is read meanwhile.
  void begin_sending();
  /// Reads up to the head of the final response; false: there was none.
  bool read_head(Reading& reading);
  /// The response promises that the worker has not run this request; one that names another request doesn't count.
  [[nodiscard]] bool is_refusal(WorkerHeader const& got) const;
  /// A response without a length is complete only if its connection was closed in order.
  [[nodiscard]] bool ended_cleanly(Parser const& parser) const;
  void apply_reported_load(std::string_view text);
  /// Keeps the connection only if the response ended where it should and no bytes follow it.
  void keep_worker_if_reusable(boost::beast::flat_buffer const& buffer, Parser const& parser);
  /// Discards the rest of a response of known length, so that the connection can be kept.
  void read_to_end(boost::beast::flat_buffer& buffer, Parser& parser);
  /// The worker's response head for the caller, without the hop-by-hop headers.
  [[nodiscard]] std::string response_head(Parser const& parser) const;
  /// How far the body of a whole response grows.
  [[nodiscard]] static common::TextGrowth growth_of(std::size_t needed, Parser const& parser);
  scheduling::Outcome relay_whole_response(boost::beast::flat_buffer& buffer, Parser& parser, unsigned int status);
  scheduling::Outcome relay_event_stream(Reading& reading);
  scheduling::Outcome read_events(Reading& reading);
  /// Reserves memory for an event of a stream that is not complete yet. False: there is none.
  [[nodiscard]] bool hold_event(std::size_t bytes);
  RelayServer& server_;
  Query& query_;
  std::shared_ptr<scheduling::RouteTable const> route_table_;
  schema::Lane route_;
  Socket& caller_;
  ReadAhead& read_ahead_;
  std::shared_ptr<common::AdmittedConnection> admitted_;
  common::Span unread_answer_timeout_;
  common::MemoryReservation response_memory_;  ///< of a worker's whole response, or of an event without its end
  common::Yield yield_;
  bool const head_request_;  ///< it is a HEAD: no response to it has a body
  std::shared_ptr<Guard> const guard_ = std::make_shared<Guard>();
  std::string id_;
  common::Moment deadline_;
  scheduling::QueryStateMachine state_machine_;
  scheduling::PlacementRequest placement_request_;
  scheduling::Assignment assignment_;
  std::optional<scheduling::Prompt> prompt_;    ///< set if its route has tenants
  scheduling::IsolatedPrompt isolated_prompt_;  ///< as sent to the last worker
  std::string tenant_error_;                    ///< why the request is refused; empty: its tenant is valid
  std::vector<std::string> home_regions_;
  std::string service_;
  std::shared_ptr<Alarm> alarm_;
  std::unique_ptr<Socket> worker_;
  std::shared_ptr<Reading> reading_;    ///< of the current dispatch
  std::shared_ptr<Reading> set_aside_;  ///< of a stalled worker; resumed if no other one continues
  std::optional<scheduling::ConfigReevaluated>
      deferred_decision_;                                 ///< for the state machine, once that worker is resumed
  boost::asio::steady_timer* placement_timer_ = nullptr;  ///< while it waits for a place
  std::optional<scheduling::QueryMessage> next_message_;  ///< how the dispatch ended, for the state machine
  std::string response_head_;
  std::string response_body_;
  EventNumbering numbering_;  ///< of the events that the caller has
  scheduling::StallDetector stall_detector_;
  std::shared_ptr<Socket> probe_;  ///< connects to a stalled worker, to tell a busy one from an unreachable one
  int connects_ = 0;
  common::Moment first_output_at_ = 0;
  std::string placement_log_;  ///< workers it was placed on: when, predicted time
  bool setting_aside_ = false;
  bool resume_set_aside_ = false;  ///< the worker that was set aside is to be resumed
  bool gave_up_slow_ = false;      ///< the worker was given up although other queries hear from it
  bool retry_reserved_ = false;    ///< the retry token for the next dispatch is taken already
  bool connecting_ = false;
  bool first_output_seen_ = false;
  bool head_written_ = false;  ///< the response head was sent to the caller
  bool writing_ = false;
  common::Moment write_began_ = 0;
  bool caller_gone_ = false;
  bool keep_caller_ = false;
  bool dispatch_next_ = false;
  bool route_withdrawn_ = false;
};

}  // namespace finchlink::data_plane
