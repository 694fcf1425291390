#include "data_plane/relay/relay.hpp"

#include <algorithm>
#include <limits>

#include "common/log/log.hpp"
#include "common/relay_constants.hpp"
#include "data_plane/relay/prompt_isolation.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;
using boost::system::error_code;

Relay::Relay(RelayServer& server, Query& query, schema::Lane const& route, RelayCaller const& caller,
             std::shared_ptr<scheduling::RouteTable const> route_table, common::Yield yield)
    : server_(server),
      query_(query),
      route_table_(std::move(route_table)),
      route_(route),
      caller_(caller.socket),
      read_ahead_(caller.ahead),
      admitted_(caller.admitted),
      unread_answer_timeout_(caller.unread_answer_timeout),
      response_memory_(caller.admitted),
      yield_(yield),
      head_request_(query.header.method() == http::verb::head),
      id_(view(query.header[server.dialect().query])),
      deadline_(query.arrived + common::milliseconds(static_cast<std::int64_t>(route.deadline_ms))),
      state_machine_(terms(route), [this](common::Moment) { return retry_allowed(true); }),
      stall_detector_(server.mechanisms().stall) {
  std::string_view const left = view(query.header[server.dialect().left]);
  if (!left.empty()) {
    deadline_ =
        std::min(deadline_,
                 query.arrived + common::milliseconds(static_cast<std::int64_t>(std::min<std::uint64_t>(
                                     leading_number(left, constants::max_time_left_ms), constants::max_time_left_ms))));
  }
  std::uint64_t const last_event = leading_number(view(query.header[server.dialect().last_event]), no_number);
  numbering_ = EventNumbering(last_event == no_number ? std::nullopt : std::optional<std::uint64_t>(last_event));
  std::string_view const tokens = view(query.header[server.dialect().tokens]);
  placement_request_.tokens = static_cast<double>(leading_number(tokens, 0));
  std::size_t const comma = tokens.find(',');
  placement_request_.outputs =
      comma == std::string_view::npos ? 0 : static_cast<double>(leading_number(tokens.substr(comma + 1), 0));
  resolve_tenant();
}

bool Relay::run() {
  if (!tenant_error_.empty()) {  // the routing configuration changed since the header was read
    respond("400 Bad Request", tenant_error_, false);
    return keep_caller_;
  }
  if (!fits_before_closing()) {
    ++server_.counters().outcomes["leaving"];
    respond("503 Service Unavailable", "leaving", true);
    return keep_caller_;
  }
  guard_->relay = this;
  alarm_ = std::make_shared<Alarm>(server_.context(), [guard = guard_] {
    if (guard->relay != nullptr) {
      guard->relay->on_alarm();
    }
  });
  if (read_from_caller()) {  // it may have disconnected before its request was served
    watch_caller();
  }
  perform(state_machine_.begin());
  while (!state_machine_.settled()) {
    if (caller_gone_) {
      feed(scheduling::CallerGone{});
    } else if (common::boot_now() >= deadline_) {
      feed(scheduling::DeadlinePassed{});
    } else if (resume_set_aside_) {
      resume_set_aside_ = false;
      resume_set_aside();
    } else if (dispatch_next_) {
      dispatch_next_ = false;
      dispatch();
    } else {
      feed(scheduling::WorkerFailure{"internal"});
      break;
    }
  }
  guard_->relay = nullptr;
  alarm_->stop();
  error_code ignored;
  drop_probe();
  caller_.cancel(ignored);
  scheduling::Settled const* const settled = std::get_if<scheduling::Settled>(&state_machine_.state());
  log_if_late(settled == nullptr ? "open" : settled->how);
  ++server_.counters().outcomes[settled == nullptr ? "open" : settled->how];
  return keep_caller_;
}

bool Relay::fits_before_closing() {
  std::optional<common::Moment> const last_answer_at = server_.last_answer_at();
  if (!last_answer_at.has_value() || deadline_ <= *last_answer_at) {
    return true;
  }
  if (route_.stream) {
    return false;  // once it has begun it could only be cut
  }
  deadline_ = *last_answer_at;
  return common::boot_now() < deadline_;
}

scheduling::QueryTerms Relay::terms(schema::Lane const& route) {
  scheduling::QueryTerms terms;
  terms.resumable = route.stream && route.resumable;
  terms.repeatable = route.repeatable || terms.resumable;
  terms.stream = route.stream;
  terms.max_dispatches = static_cast<int>(route.dispatches);
  return terms;
}

void Relay::log_if_late(std::string const& how) const {
  common::Span const first = (first_output_at_ == 0 ? common::boot_now() : first_output_at_) - query_.arrived;
  if (route_.set_point_ms <= 0 || static_cast<double>(first) / 1000 < route_.set_point_ms) {
    return;
  }
  common::log_event(common::Event::QueryLate,
                    id_ + " " + route_.name + " " + how + " first " + std::to_string(first / 1000) + " ms of " +
                        std::to_string((common::boot_now() - query_.arrived) / 1000) + " tokens " +
                        std::to_string(static_cast<std::uint64_t>(placement_request_.tokens)) + placement_log_);
}

void Relay::perform(std::vector<scheduling::QueryAction> const& actions) {
  for (scheduling::QueryAction const& action : actions) {
    std::visit([this](auto const& entry) { act(entry); }, action);
  }
}

void Relay::refresh_route() {
  if (server_.route_table() == route_table_ || server_.route_table() == nullptr) {
    return;
  }
  std::shared_ptr<scheduling::RouteTable const> const current = server_.route_table();
  std::string_view const target = view(query_.header.target());
  schema::Lane const* const found = current->find(view(query_.header[http::field::host]), target);
  route_table_ = current;
  scheduling::ConfigReevaluated decided;
  if (found == nullptr) {
    route_withdrawn_ = true;
    decided.decision = scheduling::ServingDecision::none;
  } else {
    route_ = *found;
    resolve_tenant();
    if (!tenant_error_.empty()) {
      decided.decision = scheduling::ServingDecision::none;
    }
    scheduling::QueryTerms const next = terms(route_);
    decided.repeatable = next.repeatable;
    decided.resumable = next.resumable;
    decided.stream = next.stream;
    deadline_ =
        std::min(deadline_, query_.arrived + common::milliseconds(static_cast<std::int64_t>(route_.deadline_ms)));
  }
  if (set_aside_ != nullptr &&
      (decided.decision != scheduling::ServingDecision::serve || !decided.repeatable || !decided.resumable)) {
    deferred_decision_ = decided;  // it may run nowhere else now, but may finish where it runs
    resume_set_aside_ = true;
    return;
  }
  feed(decided);
}

void Relay::feed_or_resume(scheduling::QueryMessage const& message) {
  if (set_aside_ != nullptr) {
    resume_set_aside_ = true;
  } else {
    feed(message);
  }
}

}  // namespace finchlink::data_plane
