#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// The way of one query (section 9.1). Whether bytes may have reached a worker
/// is part of the state: Connecting has sent none, Exposed may have.
struct Waitlisted {};
struct Connecting {
  std::string worker;
};
struct Exposed {
  std::string worker;
};
struct Streaming {
  std::string worker;
};
struct Settled {
  std::string how;
};
using QueryState = std::variant<Waitlisted, Connecting, Exposed, Streaming, Settled>;

// What happens to a query.
struct Placed {
  std::string worker;
};
struct NoRoom {};          ///< no worker of this region can take it
struct Connected {};       ///< bytes go out from here on
struct Withdrawn {};       ///< the place may not be used after all; nothing was tried
struct ConnectFailure {};  ///< no byte has gone out
struct WorkerRefused {};   ///< 429 or 503: certain that nothing ran
struct WorkerFailure {     ///< reset, silence, wrong answer, cut
  std::string what;
};
struct WorkerAnswered {  ///< a final answer that is not a success
  int status = 502;
};
struct Event {  ///< the next event of a stream that is passed on
  std::uint64_t number = 0;
  bool last = false;
  bool resumable = true;  ///< its place can be told to a worker that is to go on behind it
};
struct Whole {};        ///< a whole answer, checked
struct StreamEnded {};  ///< a stream ended in order, maybe right behind what the caller had already
struct LegDone {};      ///< the prefill leg of a paired query
struct Returned {       ///< a worker given up for its silence goes on after all
  std::string worker;
};
struct CallerGone {};
struct DeadlinePassed {};
/// Decided anew by a later setup (section 9.7).
enum class Standing { serve, home, none };
struct Decided {
  bool repeatable = false;
  bool resumable = false;
  bool stream = false;
  Standing standing = Standing::serve;
};
using QueryMessage =
    std::variant<Decided, Placed, NoRoom, Connected, Withdrawn, ConnectFailure, WorkerRefused, WorkerFailure,
                 WorkerAnswered, Event, Whole, StreamEnded, LegDone, Returned, CallerGone, DeadlinePassed>;

// What is to be done.
struct Place {  ///< find a worker (again)
  bool again = false;
};
struct PassOn {};  ///< offer it to the other region
struct Forward {   ///< hand this event to the caller
  std::uint64_t number = 0;
  bool last = false;
};
struct Deliver {};  ///< hand the whole answer to the caller
struct Refuse {     ///< final no: nothing ran, Retry-After
  std::string reason;
};
struct Apologise {  ///< final 502 or 504
  int status = 502;
  std::string reason;
  bool may_have_run = false;
};
struct EndBroken {  ///< the caller has part of a stream: an error event ends it
  std::string reason;
};
struct Abandon {};   ///< end the dispatch; no one waits for it
struct SendHome {};  ///< nothing ran, and its home is another region by now
using QueryAction = std::variant<SendHome, Place, PassOn, Forward, Deliver, Refuse, Apologise, EndBroken, Abandon>;

struct QueryTerms {
  bool repeatable = false;
  bool resumable = false;
  bool stream = false;
  bool may_pass = false;
  int dispatches_most = 4;
};

class QueryStateMachine {
 public:
  /// `retry` spends from the budget; it is asked only when a retry is due.
  QueryStateMachine(QueryTerms terms, std::function<bool(common::Moment)> retry)
      : terms_(terms), retry_(std::move(retry)) {}
  [[nodiscard]] std::vector<QueryAction> begin() const { return {Place{}}; }
  [[nodiscard]] std::vector<QueryAction> advance(QueryMessage const& message, common::Moment now);

  [[nodiscard]] QueryState const& state() const { return state_; }
  [[nodiscard]] bool settled() const { return std::holds_alternative<Settled>(state_); }
  [[nodiscard]] bool may_have_run() const { return may_have_run_; }
  [[nodiscard]] std::uint64_t last_event() const { return last_event_; }
  [[nodiscard]] int dispatches() const { return dispatches_; }
  /// It may run once more, by every rule that it was sent under, and behind what the caller has.
  [[nodiscard]] bool may_repeat() const {
    return terms_.repeatable && (last_event_ == 0 || (terms_.resumable && position_known_));
  }

 private:
  [[nodiscard]] std::vector<QueryAction> on(Decided const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(Placed const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(NoRoom const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(Connected const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(Withdrawn const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(ConnectFailure const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(WorkerRefused const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(WorkerFailure const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(WorkerAnswered const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(Event const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(Whole const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(StreamEnded const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(LegDone const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(Returned const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(CallerGone const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> on(DeadlinePassed const& message, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> try_again(std::string const& reason, int status, common::Moment now);
  [[nodiscard]] std::vector<QueryAction> give_up(std::string const& reason, int status);
  [[nodiscard]] std::vector<QueryAction> place(bool again);
  void settle(std::string const& how) { state_ = Settled{how}; }

  QueryTerms terms_;
  std::function<bool(common::Moment)> retry_;
  QueryState state_ = Waitlisted{};
  Standing standing_ = Standing::serve;
  int dispatches_ = 0;
  int refusals_ = 0;  ///< by workers that promised not to have run it
  bool may_have_run_ = false;
  bool repeats_ = false;  ///< its next dispatch would run what may have run before
  bool passed_ = false;
  std::uint64_t last_event_ = 0;
  bool position_known_ = true;  ///< of the last event passed on
};

}  // namespace finchlink::scheduling
