#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// States of a query (section 9.1). They show whether bytes may have reached a
/// worker: none were sent in Connecting, some may have been in RequestSent.
struct Waitlisted {};
struct Connecting {
  std::string worker;
};
struct RequestSent {
  std::string worker;
};
struct Streaming {
  std::string worker;
};
struct Settled {
  std::string how;
};
using QueryState = std::variant<Waitlisted, Connecting, RequestSent, Streaming, Settled>;

// Messages: what happened to a query.
struct Placed {
  std::string worker;
};
struct NoCapacity {};          ///< no worker of this region can take it
struct Connected {};           ///< bytes go out from here on
struct PlacementWithdrawn {};  ///< the assignment may not be used after all; nothing was tried
struct ConnectFailure {};      ///< no byte has gone out
struct WorkerRefused {};       ///< 429 or 503: certain that nothing ran
struct WorkerFailure {         ///< reset, stall, invalid response, truncated response
  std::string what;
};
struct WorkerErrorResponse {  ///< a final response that is not a success
  int status = 502;
};
struct Event {  ///< the next event of a relayed stream
  std::uint64_t number = 0;
  bool last = false;
  bool resumable = true;  ///< its position can be given to a worker that is to continue after it
};
struct WholeResponse {};  ///< a complete response, checked
struct StreamEnded {};    ///< a stream ended in order, maybe right after the last event that the caller has
struct PrefillDone {};    ///< the prefill phase of a query whose phases run on two workers
struct WorkerResumed {    ///< a worker given up for a stall continues after all
  std::string worker;
};
struct CallerGone {};
struct DeadlinePassed {};
/// What a later configuration decides for a query in progress (section 9.7):
/// served here, served by another region that is its home, or not served.
enum class ServingDecision { serve, home, none };
struct ConfigReevaluated {
  bool repeatable = false;
  bool resumable = false;
  bool stream = false;
  ServingDecision decision = ServingDecision::serve;
};
using QueryMessage = std::variant<ConfigReevaluated, Placed, NoCapacity, Connected, PlacementWithdrawn, ConnectFailure,
                                  WorkerRefused, WorkerFailure, WorkerErrorResponse, Event, WholeResponse, StreamEnded,
                                  PrefillDone, WorkerResumed, CallerGone, DeadlinePassed>;

// Actions: what the caller of the state machine must do.
struct Place {  ///< find a worker (again)
  bool again = false;
};
struct ForwardToRegion {};  ///< offer it to the other region
struct SendEvent {          ///< send this event to the caller
  std::uint64_t number = 0;
  bool last = false;
};
struct SendResponse {};  ///< send the complete response to the caller
struct RejectQuery {     ///< final rejection with Retry-After: nothing ran
  std::string reason;
};
struct FailUncertain {  ///< final 502 or 504
  int status = 502;
  std::string reason;
  bool may_have_run = false;
};
struct EndWithError {  ///< the caller has part of a stream: an error event ends it
  std::string reason;
};
struct CancelDispatch {};  ///< end the dispatch; no one waits for it
struct RedirectHome {};    ///< nothing ran, and its home is another region now
using QueryAction = std::variant<RedirectHome, Place, ForwardToRegion, SendEvent, SendResponse, RejectQuery,
                                 FailUncertain, EndWithError, CancelDispatch>;

/// What a query's rule or route permits.
struct QueryTerms {
  bool repeatable = false;
  bool resumable = false;
  bool stream = false;
  bool may_forward = false;  ///< may be forwarded to the other region
  int max_dispatches = 4;
};

/// Decides what happens to one query from its placement to its final response. Holds state only; the caller performs
/// the actions and passes the time with each message.
class QueryStateMachine {
 public:
  /// `retry` takes a token from the retry budget; it is called only when a retry is due.
  QueryStateMachine(QueryTerms terms, std::function<bool(common::Moment)> retry)
      : terms_(terms), retry_(std::move(retry)) {}
  [[nodiscard]] std::vector<QueryAction> begin() const { return {Place{}}; }
  /// Applies a message and returns the actions to perform, in order. Ignored once the query is settled.
  [[nodiscard]] std::vector<QueryAction> advance(QueryMessage const& message, common::Moment now);

  [[nodiscard]] QueryState const& state() const { return state_; }
  [[nodiscard]] bool settled() const { return std::holds_alternative<Settled>(state_); }
  [[nodiscard]] bool may_have_run() const { return may_have_run_; }
  [[nodiscard]] std::uint64_t last_event() const { return last_event_; }
  [[nodiscard]] int dispatches() const { return dispatches_; }
  /// Whether it may run once more under every rule that it was sent under, continuing after what the caller has.
  [[nodiscard]] bool may_repeat() const {
    return terms_.repeatable && (last_event_ == 0 || (terms_.resumable && position_known_));
  }

 private:
  [[nodiscard]] std::vector<QueryAction> on(ConfigReevaluated const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(Placed const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(NoCapacity const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(Connected const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(PlacementWithdrawn const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(ConnectFailure const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(WorkerRefused const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(WorkerFailure const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(WorkerErrorResponse const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(Event const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(WholeResponse const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(StreamEnded const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(PrefillDone const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(WorkerResumed const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(CallerGone const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(DeadlinePassed const& message, common::Moment now);
  /// Places the query again if a retry is allowed and the budget has a token; else gives up.
  [[nodiscard]] std::vector<QueryAction> try_again(std::string const& reason, int status, common::Moment now);
  /// Settles the query as failed in the way that fits what may have run and what the caller has.
  [[nodiscard]] std::vector<QueryAction> give_up(std::string const& reason, int status);
  [[nodiscard]] std::vector<QueryAction> place(bool again);
  void settle(std::string const& how) { state_ = Settled{how}; }

  QueryTerms terms_;
  std::function<bool(common::Moment)> retry_;
  QueryState state_ = Waitlisted{};
  ServingDecision decision_ = ServingDecision::serve;
  int dispatches_ = 0;
  int refusals_ = 0;  ///< by workers that guarantee not to have run it
  bool may_have_run_ = false;
  bool next_may_rerun_ = false;  ///< its next dispatch may run the query a second time
  bool forwarded_ = false;
  std::uint64_t last_event_ = 0;
  bool position_known_ = true;  ///< of the last event sent to the caller
};

}  // namespace finchlink::scheduling
