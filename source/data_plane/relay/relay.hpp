#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "data_plane/relay/event_cutter.hpp"
#include "data_plane/relay/header_fields.hpp"
#include "data_plane/relay/relay_server.hpp"
#include "scheduling/prompt_isolation/tenant.hpp"
#include "scheduling/query_state/query_state_machine.hpp"
#include "scheduling/stall_detection/stall_detector.hpp"

namespace finchlink::data_plane {

namespace http = boost::beast::http;

/// A request as it was read from its caller, whole.
struct Query {
  http::request_header<> header;
  std::shared_ptr<std::string const> body;  ///< shared with a write that may still be under way
  bool had_length = false;
  bool keep = true;
  common::Moment arrived = 0;
};

/// Bytes of a caller's connection that were read before their request's turn.
struct ReadAhead {
  boost::beast::flat_buffer buffer;
  common::Moment since = 0;  ///< when its first byte came; 0: not while another request was served
};

/// One query on its way to workers and back (section 13.8). It lives on its caller's coroutine, which is on the
/// relay's one thread; whatever outlives it (timers, the watch on the caller) reaches it through a guard.
/// Its members are defined by job:
/// - relay.cpp: begin to end, and what the chart decides
/// - caller_monitor.cpp: a caller that leaves, the deadline
/// - stall.cpp: a worker that says nothing
/// - attempt.cpp: a place, a connection, retries, and the return to a worker that was set aside
/// - request_head.cpp: the head that goes to a worker
/// - worker_answer.cpp: a worker's answer, refused, whole or no answer at all
/// - event_stream.cpp: an answer that is a stream of events
/// - caller_answer.cpp: what is written to the caller
/// - tenant_prompt.cpp: whose prompt it is (section 14)
class Relay {
 public:
  Relay(RelayServer& station, Query& query, schema::Lane const& route, Socket& caller, ReadAhead& ahead,
        std::shared_ptr<scheduling::RouteTable const> route_table, common::Yield yield);
  /// False: the caller's connection is of no more use.
  bool run();

 private:
  struct Guard {
    Relay* relay = nullptr;
  };
  using Parser = http::response_parser<http::buffer_body>;
  /// A request on its way to a worker, which may answer before it has read all of it.
  struct Sending {
    std::string head;
    std::shared_ptr<std::string const> body;
    std::unique_ptr<Socket> socket;  ///< closed, where the exchange ended first: the write may still go on to it
    bool done = false;
    bool failed = false;
    [[nodiscard]] bool whole() const { return done && !failed; }
  };
  /// A worker's answer as far as it was read; of one set aside, its connection, too.
  struct Reading {
    std::shared_ptr<Sending> sending;
    boost::beast::flat_buffer buffer;
    std::unique_ptr<Parser> parser;
    EventCutter cutter;
    scheduling::StreamObservation sighting;
    common::Moment sent = 0;
    bool first = true;
    bool resumed = false;
    scheduling::Assignment assignment;
    scheduling::IsolatedPrompt isolated;
    std::unique_ptr<Socket> socket;
  };
  using WorkerHeader = Parser::value_type;

  static scheduling::QueryTerms terms(schema::Lane const& route);
  [[nodiscard]] bool repeatable() const { return state_machine_.may_repeat(); }
  /// Whose prompt it is, by the newest word on its lane (section 14.1).
  void enter_isolation();
  /// What the worker tells of versions and reuse (section 14.3).
  void hear_isolation(WorkerHeader const& got, bool ran);
  /// What the worker keeps of the prompt from now on; ids used once it won't need.
  [[nodiscard]] std::vector<scheduling::PromptPart> kept_parts() const;
  bool may_spend(bool spend);
  /// Section 13.3: which stage took how long, where an answer missed its set point.
  void tell_late(std::string const& how) const;
  void watch_caller();
  /// Reads ahead what the caller sent of its next requests, since its end shows behind that; false: nothing more to
  /// watch for, as it left or sent too much ahead.
  bool look_at_caller();
  void cut();
  void rang();
  void act(scheduling::WaitUntil const& wait);
  void act(scheduling::ProbeWorker const& probe);
  /// Silence: another worker is asked if the request may be repeated, a right is there, and another has a place; else
  /// this one may take its time.
  void act(scheduling::GiveUp const&);
  void perform(scheduling::StallAction const& action);
  [[nodiscard]] bool may_ask_another(common::Moment now);
  void drop_probe();
  void feed(scheduling::QueryMessage const& message) { perform(state_machine_.advance(message, common::boot_now())); }
  void perform(std::vector<scheduling::QueryAction> const& actions);
  void act(scheduling::Place const&) { place_next_ = true; }
  void act(scheduling::ForwardToRegion const&) { feed(scheduling::NoCapacity{}); }
  void act(scheduling::RedirectHome const&) { refuse(); }
  void act(scheduling::SendEvent const&) {}
  void act(scheduling::SendResponse const&) { (void)write_whole(); }
  void act(scheduling::RejectQuery const& reason);
  void act(scheduling::FailUncertain const& apologise);
  void act(scheduling::EndWithError const& broken);
  void act(scheduling::CancelDispatch const&) { keep_ = false; }
  /// Final, at once, with the time to come back at: nothing ran (section 9.8).
  void refuse() { answer("503 Service Unavailable", "no_place", true); }
  void answer(std::string const& status, std::string const& reason, bool come_back);
  [[nodiscard]] std::string closing_line();
  bool write(std::string const& text);
  bool write_whole();
  /// Section 9.7: the newest charter decides, up to when bytes go out.
  void follow();
  /// A place, waited for as long as a lane's set point bears.
  bool find_place();
  void dispatch();
  /// A dispatch is over, or was set aside: the chart hears how.
  void after_talk();
  /// While a worker is set aside, what would end the query leads back to it.
  void feed_or_return(scheduling::QueryMessage const& message);
  /// No other one goes on with the stream: the silent one may take its time.
  void go_back();
  [[nodiscard]] bool still_named() const;
  void keep_worker(common::Span longest);
  /// Closes the worker's connection; it lives on until a write under way has heard of that.
  void drop_worker();
  /// A connection. A kept one may turn out stale just as bytes go out, so what
  /// may not be repeated always has a fresh one (section 13.8).
  bool reach();
  [[nodiscard]] std::string head() const;
  /// The wait for the worker's next bytes begins anew.
  void expect_bytes(double set_point_ms, common::Moment now);
  /// The set point of pauses between events.
  [[nodiscard]] double pause_set_point_ms() const;
  /// The next bytes of the answer; false: cut, silent or no answer at all.
  bool read_some(boost::beast::flat_buffer& buffer, Parser& parser, std::string& bytes);
  scheduling::Outcome talk();
  /// Writes head and body while the answer is read already.
  void begin_sending();
  /// Reads up to the head of the final answer; false: there was none.
  bool read_head(Reading& reading);
  /// The worker promises that it has not run this request, and no other one.
  [[nodiscard]] bool is_refusal(WorkerHeader const& got) const;
  /// An answer without a length is whole where its connection ended in order.
  [[nodiscard]] bool ended_whole(Parser const& parser) const;
  void hear_load(std::string_view text);
  /// Kept only when the answer ended where it said and nothing came behind it.
  void after_answer(boost::beast::flat_buffer const& buffer, Parser const& parser);
  void finish_reading(boost::beast::flat_buffer& buffer, Parser& parser);
  /// The worker's head for the caller, without what concerns its connection.
  [[nodiscard]] std::string answer_head(Parser const& parser) const;
  scheduling::Outcome talk_whole(boost::beast::flat_buffer& buffer, Parser& parser, unsigned int status);
  scheduling::Outcome talk_events(Reading& reading);
  scheduling::Outcome read_events(Reading& reading);
  RelayServer& station_;
  Query& query_;
  std::shared_ptr<scheduling::RouteTable const> route_table_;
  schema::Lane route_;
  Socket& caller_;
  ReadAhead& ahead_;
  common::Yield yield_;
  bool const bare_;  ///< it is a HEAD: no answer to it has a body
  std::shared_ptr<Guard> const guard_ = std::make_shared<Guard>();
  std::string id_;
  common::Moment deadline_;
  scheduling::QueryStateMachine state_machine_;
  scheduling::PlacementRequest wanted_;
  scheduling::Assignment assignment_;
  std::optional<scheduling::Prompt> prompt_;  ///< where its lane has tenants
  scheduling::IsolatedPrompt isolated_;       ///< as it went to the last worker
  std::string tenant_fault_;
  std::vector<std::string> homes_;
  std::string service_;
  std::shared_ptr<Alarm> alarm_;
  std::unique_ptr<Socket> worker_;
  std::shared_ptr<Reading> reading_;                    ///< of the dispatch under way
  std::shared_ptr<Reading> aside_;                      ///< given up for its silence; goes on if no other does
  std::optional<scheduling::ConfigReevaluated> later_;  ///< told to the chart once it is back there
  boost::asio::steady_timer* seat_ = nullptr;
  std::optional<scheduling::QueryMessage> after_;
  std::string whole_;
  std::string whole_body_;
  EventNumbering numbering_;  ///< of the events that the caller has
  scheduling::StallDetector silence_;
  std::shared_ptr<Socket> probe_;  ///< connects to a worker that says nothing, to tell a busy one from a lost one
  int connects_ = 0;
  common::Moment first_at_ = 0;
  std::string trail_;  ///< workers it was placed on: when, predicted
  bool setting_aside_ = false;
  bool back_ = false;      ///< to the one set aside
  bool slow_ = false;      ///< given up for its slowness
  bool reserved_ = false;  ///< the right to its next dispatch is taken already
  bool connecting_ = false;
  bool first_seen_ = false;
  bool began_ = false;  ///< the head went to the caller
  bool writing_ = false;
  bool gone_ = false;
  bool keep_ = false;
  bool place_next_ = false;
  bool withdrawn_route_ = false;
};

}  // namespace finchlink::data_plane
