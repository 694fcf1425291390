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
    return {EndBroken{reason}};
  }
  // Once a dispatch may have run, no refusal may be reported (section 9.3).
  if (may_have_run_) {
    settle("apology");
    return {Apologise{status, reason, true}};
  }
  settle("refused");
  return {Refuse{reason}};
}

std::vector<QueryAction> QueryStateMachine::place(bool again) {
  state_ = Waitlisted{};
  if (standing_ == Standing::serve && (!repeats_ || may_repeat())) {
    return {Place{again}};
  }
  if (standing_ == Standing::home && last_event_ == 0 && !may_have_run_) {
    settle("elsewhere");
    return {SendHome{}};
  }
  return give_up("rule_changed", 502);
}

std::vector<QueryAction> QueryStateMachine::on(Decided const& message, common::Moment) {
  // What is under way keeps the form of its answer; whether it may run again
  // is asked of the newest rule (section 9.7).
  bool const may_be_running =
      repeats_ || std::holds_alternative<Exposed>(state_) || std::holds_alternative<Streaming>(state_);
  // A rule that allows more than the one that it was sent under says nothing of what runs already.
  terms_.repeatable = message.repeatable && (terms_.repeatable || !may_be_running);
  terms_.resumable = message.resumable && (terms_.resumable || !may_be_running);
  standing_ = message.standing;
  if (!std::holds_alternative<Waitlisted>(state_)) {
    return {};
  }
  if (last_event_ == 0) {
    terms_.stream = message.stream;
  }
  return standing_ == Standing::serve && (!repeats_ || may_repeat()) ? std::vector<QueryAction>{} : place(false);
}

std::vector<QueryAction> QueryStateMachine::try_again(std::string const& reason, int status, common::Moment now) {
  if (standing_ != Standing::serve) {
    return place(true);  // ends it, and spends no right
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

std::vector<QueryAction> QueryStateMachine::on(NoRoom const&, common::Moment) {
  if (standing_ != Standing::serve) {
    return place(false);
  }
  // After a leg of it ran, passing it on would run it a second time.
  if (terms_.may_forward && !passed_ && dispatches_ == 0 && !may_have_run_) {
    passed_ = true;
    return {PassOn{}};
  }
  return give_up("no_room", 502);
}

std::vector<QueryAction> QueryStateMachine::on(Connected const&, common::Moment) {
  if (Connecting const* const connecting = std::get_if<Connecting>(&state_)) {
    state_ = Exposed{connecting->worker};
  }
  return {};
}

std::vector<QueryAction> QueryStateMachine::on(Withdrawn const&, common::Moment) {
  if (!std::holds_alternative<Connecting>(state_)) {
    return {};
  }
  // Not even a connection was tried: placing it anew is no retry.
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
  if (!std::holds_alternative<Exposed>(state_)) {
    return {};
  }
  // It promised that nothing ran, so this was none of the tries that the route allows; it still takes a right.
  if (refusals_ < common::constants::refusals_most) {
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
  repeats_ = true;
  if (streaming ? (terms_.resumable && may_repeat()) : terms_.repeatable) {
    return try_again(message.what, 502, now);
  }
  return give_up(message.what, 502);
}

std::vector<QueryAction> QueryStateMachine::on(WorkerAnswered const& message, common::Moment) {
  may_have_run_ = true;
  if (last_event_ > 0) {
    settle("broken");
    return {EndBroken{"worker_error"}};
  }
  settle("apology");
  return {Apologise{message.status, "worker_error", true}};
}

std::vector<QueryAction> QueryStateMachine::on(Event const& message, common::Moment now) {
  std::string worker;
  if (Exposed const* const exposed = std::get_if<Exposed>(&state_)) {
    worker = exposed->worker;
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
  return {Forward{message.number, message.last}};
}

std::vector<QueryAction> QueryStateMachine::on(LegDone const&, common::Moment) {
  if (!std::holds_alternative<Exposed>(state_)) {
    return {};
  }
  // The first of two planned legs is done (section 8.6); its successor is no
  // retry, but from here on nobody can say that nothing ran.
  may_have_run_ = true;
  repeats_ = false;
  --dispatches_;
  return place(false);
}

std::vector<QueryAction> QueryStateMachine::on(Whole const&, common::Moment now) {
  if (std::holds_alternative<Streaming>(state_)) {
    settle("complete");  // a relayed stream ends where its worker ended it (section 13.8)
    return {};
  }
  if (!std::holds_alternative<Exposed>(state_)) {
    return {};
  }
  if (last_event_ > 0) {
    // Part of a stream is with the caller: no other answer may follow it.
    return on(WorkerFailure{"another_answer"}, now);
  }
  settle("complete");
  return {Deliver{}};
}

std::vector<QueryAction> QueryStateMachine::on(StreamEnded const&, common::Moment) {
  // A worker that goes on behind the last event has no event to give, only the end.
  if (last_event_ > 0 && (std::holds_alternative<Exposed>(state_) || std::holds_alternative<Streaming>(state_))) {
    settle("complete");
  }
  return {};
}

std::vector<QueryAction> QueryStateMachine::on(Returned const& message, common::Moment) {
  state_ = Streaming{message.worker};  // what runs there finishes, whatever the rule says by now (section 9.7)
  return {};
}

std::vector<QueryAction> QueryStateMachine::on(CallerGone const&, common::Moment) {
  settle("abandoned");
  return {Abandon{}};
}

std::vector<QueryAction> QueryStateMachine::on(DeadlinePassed const&, common::Moment) {
  if (std::holds_alternative<Exposed>(state_) || std::holds_alternative<Streaming>(state_)) {
    may_have_run_ = true;
  }
  return give_up("deadline", 504);
}

}  // namespace finchlink::scheduling
