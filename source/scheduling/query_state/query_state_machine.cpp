#include "scheduling/query_state/query_state_machine.hpp"

#include <vector>

#include "common/relay_constants.hpp"

namespace finchlink::scheduling {

std::vector<QueryAction> QueryStateMachine::advance(QueryMessage const& message, common::Moment now) {
  if (settled()) {
    return {};
  }
  return std::visit([this, now](auto const& entry) { return on(entry, now); }, message);
}

std::vector<QueryAction> QueryStateMachine::give_up(std::string const& reason, int status) {
  if (last_event_ > 0) {
    settle("broken");
    return {EndWithError{reason}};
  }
  // Once a dispatch may have run, the query must not be reported as rejected (section 9.3).
  if (may_have_run_) {
    settle("apology");
    return {FailUncertain{status, reason, true}};
  }
  settle("refused");
  return {RejectQuery{reason}};
}

std::vector<QueryAction> QueryStateMachine::place(bool again) {
  state_ = Waitlisted{};
  if (decision_ == ServingDecision::serve && (!next_may_rerun_ || may_repeat())) {
    return {Place{again}};
  }
  if (decision_ == ServingDecision::home && last_event_ == 0 && !may_have_run_) {
    settle("elsewhere");
    return {RedirectHome{}};
  }
  return give_up("rule_changed", 502);
}

std::vector<QueryAction> QueryStateMachine::on(ConfigReevaluated const& message, common::Moment) {
  // A query in progress keeps the form of its response; whether it may run again
  // is decided by the latest rule (section 9.7).
  bool const may_be_running =
      next_may_rerun_ || std::holds_alternative<RequestSent>(state_) || std::holds_alternative<Streaming>(state_);
  // A rule that allows more than the one the query was sent under doesn't apply to what runs already.
  terms_.repeatable = message.repeatable && (terms_.repeatable || !may_be_running);
  terms_.resumable = message.resumable && (terms_.resumable || !may_be_running);
  decision_ = message.decision;
  if (!std::holds_alternative<Waitlisted>(state_)) {
    return {};
  }
  if (last_event_ == 0) {
    terms_.stream = message.stream;
  }
  return decision_ == ServingDecision::serve && (!next_may_rerun_ || may_repeat()) ? std::vector<QueryAction>{}
                                                                                   : place(false);
}

std::vector<QueryAction> QueryStateMachine::try_again(std::string const& reason, int status, common::Moment now) {
  if (decision_ != ServingDecision::serve) {
    return place(true);  // settles the query and spends no retry token
  }
  if (dispatches_ < terms_.max_dispatches && retry_(now)) {
    return place(true);
  }
  return give_up(reason, status);
}

std::vector<QueryAction> QueryStateMachine::on(Placed const& message, common::Moment) {
  state_ = Connecting{message.worker};
  ++dispatches_;
  return {};
}

std::vector<QueryAction> QueryStateMachine::on(NoCapacity const&, common::Moment) {
  if (decision_ != ServingDecision::serve) {
    return place(false);
  }
  // After its prefill phase ran, forwarding the query would run it a second time.
  if (terms_.may_forward && !forwarded_ && dispatches_ == 0 && !may_have_run_) {
    forwarded_ = true;
    return {ForwardToRegion{}};
  }
  return give_up("no_room", 502);
}

std::vector<QueryAction> QueryStateMachine::on(Connected const&, common::Moment) {
  if (Connecting const* const connecting = std::get_if<Connecting>(&state_)) {
    state_ = RequestSent{connecting->worker};
  }
  return {};
}

std::vector<QueryAction> QueryStateMachine::on(PlacementWithdrawn const&, common::Moment) {
  if (!std::holds_alternative<Connecting>(state_)) {
    return {};
  }
  // No connection was tried: placing the query again is not a retry.
  --dispatches_;
  return place(false);
}

std::vector<QueryAction> QueryStateMachine::on(ConnectFailure const&, common::Moment now) {
  if (!std::holds_alternative<Connecting>(state_)) {
    return {};
  }
  return try_again("unreachable", 502, now);
}

std::vector<QueryAction> QueryStateMachine::on(WorkerRefused const&, common::Moment now) {
  if (!std::holds_alternative<RequestSent>(state_)) {
    return {};
  }
  // The worker guarantees that nothing ran, so this doesn't count as one of the dispatches that the route allows. It
  // still takes a retry token.
  if (refusals_ < common::constants::max_refusals) {
    ++refusals_;
    --dispatches_;
  }
  return try_again("busy", 502, now);
}

std::vector<QueryAction> QueryStateMachine::on(WorkerFailure const& message, common::Moment now) {
  if (std::holds_alternative<Connecting>(state_) || std::holds_alternative<Waitlisted>(state_)) {
    return {};
  }
  bool const streaming = std::holds_alternative<Streaming>(state_) && terms_.stream;
  may_have_run_ = true;
  next_may_rerun_ = true;
  if (streaming ? (terms_.resumable && may_repeat()) : terms_.repeatable) {
    return try_again(message.what, 502, now);
  }
  return give_up(message.what, 502);
}

std::vector<QueryAction> QueryStateMachine::on(WorkerErrorResponse const& message, common::Moment) {
  may_have_run_ = true;
  if (last_event_ > 0) {
    settle("broken");
    return {EndWithError{"worker_error"}};
  }
  settle("apology");
  return {FailUncertain{message.status, "worker_error", true}};
}

std::vector<QueryAction> QueryStateMachine::on(Event const& message, common::Moment now) {
  std::string worker;
  if (RequestSent const* const request_sent = std::get_if<RequestSent>(&state_)) {
    worker = request_sent->worker;
  } else if (Streaming const* const streaming = std::get_if<Streaming>(&state_)) {
    worker = streaming->worker;
  } else {
    return {};
  }
  state_ = Streaming{worker};
  if (message.number != last_event_ + 1) {
    return on(WorkerFailure{"numbering"}, now);
  }
  last_event_ = message.number;
  position_known_ = message.resumable;
  if (message.last) {
    settle("complete");
  }
  return {SendEvent{message.number, message.last}};
}

std::vector<QueryAction> QueryStateMachine::on(PrefillDone const&, common::Moment) {
  if (!std::holds_alternative<RequestSent>(state_)) {
    return {};
  }
  // The first of two planned phases is done (section 8.6). The second is not a
  // retry, but from here on it is no longer certain that nothing ran.
  may_have_run_ = true;
  next_may_rerun_ = false;
  --dispatches_;
  return place(false);
}

std::vector<QueryAction> QueryStateMachine::on(WholeResponse const&, common::Moment now) {
  if (std::holds_alternative<Streaming>(state_)) {
    settle("complete");  // a relayed stream ends where its worker ended it (section 13.8)
    return {};
  }
  if (!std::holds_alternative<RequestSent>(state_)) {
    return {};
  }
  if (last_event_ > 0) {
    // The caller has part of a stream: no other response may follow it.
    return on(WorkerFailure{"another_answer"}, now);
  }
  settle("complete");
  return {SendResponse{}};
}

std::vector<QueryAction> QueryStateMachine::on(StreamEnded const&, common::Moment) {
  // A worker that continues after the last event has only the end of the stream to send.
  if (last_event_ > 0 && (std::holds_alternative<RequestSent>(state_) || std::holds_alternative<Streaming>(state_))) {
    settle("complete");
  }
  return {};
}

std::vector<QueryAction> QueryStateMachine::on(WorkerResumed const& message, common::Moment) {
  state_ = Streaming{message.worker};  // what runs there finishes, whatever the rule says now (section 9.7)
  return {};
}

std::vector<QueryAction> QueryStateMachine::on(CallerGone const&, common::Moment) {
  settle("abandoned");
  return {CancelDispatch{}};
}

std::vector<QueryAction> QueryStateMachine::on(DeadlinePassed const&, common::Moment) {
  if (std::holds_alternative<RequestSent>(state_) || std::holds_alternative<Streaming>(state_)) {
    may_have_run_ = true;
  }
  return give_up("deadline", 504);
}

}  // namespace finchlink::scheduling
