// What a query's chart orders is done here.

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

/// What became of a query that was passed on goes back to the furrow that passed it.
void World::settle_parent(QueryPointer const& query, scheduling::QueryMessage const& message) {
  kernel_.after(hop_within_region() + options_.deployment.hop,
                [this, parent = query->parent, message] { feed(parent, message); });
}

void World::perform(QueryPointer const& query, std::vector<scheduling::QueryAction> const& actions) {
  for (scheduling::QueryAction const& action : actions) {
    perform_one(query, action);
  }
  if (query->state_machine->settled()) {
    withdraw(query);
  }
}

void World::perform_one(QueryPointer const& query, scheduling::QueryAction const& action) {
  if (scheduling::Place const* const wanted = std::get_if<scheduling::Place>(&action)) {
    report_.retries += wanted->again ? 1 : 0;
    place(query);
  } else if (std::holds_alternative<scheduling::ForwardToRegion>(action)) {
    pass_on(query);
  } else if (scheduling::SendEvent const* const event = std::get_if<scheduling::SendEvent>(&action)) {
    forward(query, *event);
  } else if (std::holds_alternative<scheduling::SendResponse>(action)) {
    deliver_whole(query);
  } else if (std::holds_alternative<scheduling::RedirectHome>(action)) {
    send_home(query);
  } else if (std::holds_alternative<scheduling::RejectQuery>(action)) {
    refuse(query);
  } else if (scheduling::FailUncertain const* const apology = std::get_if<scheduling::FailUncertain>(&action)) {
    apologise(query, *apology);
  } else if (std::holds_alternative<scheduling::EndWithError>(action)) {
    end_broken(query);
  }
}

void World::forward(QueryPointer const& query, scheduling::SendEvent const& event) {
  if (query->parent != nullptr) {
    settle_parent(query, scheduling::Event{event.number, event.last});
    return;
  }
  if (query->first == 0) {
    query->first = kernel_.now();
  }
  if (event.number != query->seen + 1) {
    violate("a caller got event " + std::to_string(event.number) + " after " + std::to_string(query->seen));
  }
  query->seen = event.number;
  if (event.last) {
    end_good(*query, query->first);
  }
}

void World::deliver_whole(QueryPointer const& query) {
  if (query->parent != nullptr) {
    settle_parent(query, scheduling::WholeResponse{});
    return;
  }
  end_good(*query, query->first == 0 ? kernel_.now() : query->first);
}

void World::end_good(Query const& query, Moment first) {
  ended(query, true);
  ++report_.good;
  good_late_ += kernel_.now() > options_.length / 2 ? 1 : 0;
  firsts_.push_back(in_seconds(first - query.began));
}

void World::send_home(QueryPointer const& query) {
  if (query->parent != nullptr) {
    settle_parent(query, scheduling::NoCapacity{});
  } else if (query->hops < most_hops) {
    kernel_.after(hop_within_region(), [this, query] {
      arrive(query->mix, query->home, query->tries, query->hops + 1, query->footing.home);
    });
  }
}

void World::refuse(QueryPointer const& query) {
  if (query->parent != nullptr) {
    settle_parent(query, scheduling::NoCapacity{});
    return;
  }
  ++report_.refused;
  query->told_refused = true;
  ended(*query, false);
  report_.worst_refusal = std::max(report_.worst_refusal, in_seconds(kernel_.now() - query->began));
  if (query->tries < options_.faults.comes_back) {
    kernel_.after(common::seconds(scheduling::retry_after_with_jitter(query->wait, kernel_.uniform())), [this, query] {
      if (kernel_.now() < options_.length) {
        arrive(query->mix, query->home, query->tries + 1, 0, std::nullopt);
      }
    });
  }
}

void World::apologise(QueryPointer const& query, scheduling::FailUncertain const& apology) {
  if (query->parent != nullptr) {
    settle_parent(query, scheduling::WorkerErrorResponse{apology.status});
    return;
  }
  if (!options_.honest_refusal) {  // the guard off: said as "busy"
    query->told_refused = true;
  }
  ++report_.apologies;
  ended(*query, false);
}

void World::end_broken(QueryPointer const& query) {
  if (query->parent != nullptr) {
    settle_parent(query, scheduling::WorkerFailure{"pass_cut"});
    return;
  }
  ++report_.broken;
  ended(*query, false);
}

void World::withdraw(QueryPointer const& query) {
  if (query->job != nullptr) {
    query->job->gone = true;
    query->job = nullptr;
  }
  if (query->ticket != 0) {
    std::uint64_t const ticket = query->ticket;
    query->ticket = 0;
    tickets_.erase(ticket);
    obey(proxies_[query->proxy]->placement.cancel(ticket, kernel_.now()));
  }
}

}  // namespace finchlink::simulator::query_path
