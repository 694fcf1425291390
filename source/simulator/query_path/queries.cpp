// Performs the actions that query state machines return.

#include <algorithm>

#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

using common::Moment;

namespace {

double in_seconds(common::Span span) {
  return static_cast<double>(span) / 1e6;
}

}  // namespace

void World::feed(QueryPointer const& query, scheduling::QueryMessage const& message) {
  perform(query, query->state_machine->advance(message, kernel_.now()));
}

/// Sends the result of a forwarded query back to the proxy that forwarded it.
void World::report_to_parent(QueryPointer const& query, scheduling::QueryMessage const& message) {
  kernel_.after(hop_within_region() + options_.deployment.hop,
                [this, parent = query->parent, message] { feed(parent, message); });
}

void World::perform(QueryPointer const& query, std::vector<scheduling::QueryAction> const& actions) {
  for (scheduling::QueryAction const& action : actions) {
    perform_action(query, action);
  }
  if (query->state_machine->settled()) {
    release(query);
  }
}

void World::perform_action(QueryPointer const& query, scheduling::QueryAction const& action) {
  if (scheduling::Place const* const placement = std::get_if<scheduling::Place>(&action)) {
    report_.retries += placement->again ? 1 : 0;
    place(query);
  } else if (std::holds_alternative<scheduling::ForwardToRegion>(action)) {
    forward_to_peer(query);
  } else if (scheduling::SendEvent const* const event = std::get_if<scheduling::SendEvent>(&action)) {
    send_event(query, *event);
  } else if (std::holds_alternative<scheduling::SendResponse>(action)) {
    send_response(query);
  } else if (std::holds_alternative<scheduling::RedirectHome>(action)) {
    redirect_home(query);
  } else if (std::holds_alternative<scheduling::RejectQuery>(action)) {
    reject(query);
  } else if (scheduling::FailUncertain const* const failure = std::get_if<scheduling::FailUncertain>(&action)) {
    fail_uncertain(query, *failure);
  } else if (std::holds_alternative<scheduling::EndWithError>(action)) {
    end_with_error(query);
  }
}

void World::send_event(QueryPointer const& query, scheduling::SendEvent const& event) {
  if (query->parent != nullptr) {
    report_to_parent(query, scheduling::Event{event.number, event.last});
    return;
  }
  if (query->first == 0) {
    query->first = kernel_.now();
  }
  if (event.number != query->events_seen + 1) {
    add_violation("a caller got event " + std::to_string(event.number) + " after " +
                  std::to_string(query->events_seen));
  }
  query->events_seen = event.number;
  if (event.last) {
    record_success(*query, query->first);
  }
}

void World::send_response(QueryPointer const& query) {
  if (query->parent != nullptr) {
    report_to_parent(query, scheduling::WholeResponse{});
    return;
  }
  record_success(*query, query->first == 0 ? kernel_.now() : query->first);
}

void World::record_success(Query const& query, Moment first) {
  record_outcome(query, true);
  ++report_.good;
  late_successes_ += kernel_.now() > options_.length / 2 ? 1 : 0;
  first_event_seconds_.push_back(in_seconds(first - query.started));
}

void World::redirect_home(QueryPointer const& query) {
  if (query->parent != nullptr) {
    report_to_parent(query, scheduling::NoCapacity{});
  } else if (query->redirects < max_redirects) {
    kernel_.after(hop_within_region(), [this, query] {
      arrive(query->mix, query->home, query->attempts, query->redirects + 1, query->query_config.home);
    });
  }
}

void World::reject(QueryPointer const& query) {
  if (query->parent != nullptr) {
    report_to_parent(query, scheduling::NoCapacity{});
    return;
  }
  ++report_.refused;
  query->was_rejected = true;
  record_outcome(*query, false);
  report_.worst_rejection_seconds =
      std::max(report_.worst_rejection_seconds, in_seconds(kernel_.now() - query->started));
  if (query->attempts < options_.faults.caller_retries) {
    kernel_.after(common::seconds(scheduling::retry_after_with_jitter(query->expected_wait, kernel_.uniform())),
                  [this, query] {
                    if (kernel_.now() < options_.length) {
                      arrive(query->mix, query->home, query->attempts + 1, 0, std::nullopt);
                    }
                  });
  }
}

void World::fail_uncertain(QueryPointer const& query, scheduling::FailUncertain const& failure) {
  if (query->parent != nullptr) {
    report_to_parent(query, scheduling::WorkerErrorResponse{failure.status});
    return;
  }
  if (!options_.no_rejection_after_run) {  // guard disabled: reported as "busy"
    query->was_rejected = true;
  }
  ++report_.apologies;
  record_outcome(*query, false);
}

void World::end_with_error(QueryPointer const& query) {
  if (query->parent != nullptr) {
    report_to_parent(query, scheduling::WorkerFailure{"pass_cut"});
    return;
  }
  ++report_.broken;
  record_outcome(*query, false);
}

void World::release(QueryPointer const& query) {
  if (query->job != nullptr) {
    query->job->cancelled = true;
    query->job = nullptr;
  }
  if (query->ticket != 0) {
    std::uint64_t const ticket = query->ticket;
    query->ticket = 0;
    tickets_.erase(ticket);
    apply_placement(proxies_[query->proxy]->placement.cancel(ticket, kernel_.now()));
  }
}

}  // namespace finchlink::simulator::query_path
