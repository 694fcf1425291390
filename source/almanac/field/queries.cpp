// What a query's chart orders is done here.

#include <algorithm>

#include "almanac/field/world.hpp"

namespace finchlink::almanac::field {

using loam::Moment;

namespace {

double in_seconds(loam::Span span) {
  return static_cast<double>(span) / 1e6;
}

}  // namespace

void World::feed(QueryPointer const& query, tilth::QueryMessage const& message) {
  perform(query, query->chart->advance(message, kernel_.now()));
}

/// What became of a query that was passed on goes back to the furrow that passed it.
void World::settle_parent(QueryPointer const& query, tilth::QueryMessage const& message) {
  kernel_.after(hop_within_region() + options_.deployment.hop,
                [this, parent = query->parent, message] { feed(parent, message); });
}

void World::perform(QueryPointer const& query, std::vector<tilth::QueryAction> const& actions) {
  for (tilth::QueryAction const& action : actions) {
    perform_one(query, action);
  }
  if (query->chart->settled()) {
    withdraw(query);
  }
}

void World::perform_one(QueryPointer const& query, tilth::QueryAction const& action) {
  if (tilth::Place const* const wanted = std::get_if<tilth::Place>(&action)) {
    report_.retries += wanted->again ? 1 : 0;
    place(query);
  } else if (std::holds_alternative<tilth::PassOn>(action)) {
    pass_on(query);
  } else if (tilth::Forward const* const event = std::get_if<tilth::Forward>(&action)) {
    forward(query, *event);
  } else if (std::holds_alternative<tilth::Deliver>(action)) {
    deliver_whole(query);
  } else if (std::holds_alternative<tilth::SendHome>(action)) {
    send_home(query);
  } else if (std::holds_alternative<tilth::Refuse>(action)) {
    refuse(query);
  } else if (tilth::Apologise const* const apology = std::get_if<tilth::Apologise>(&action)) {
    apologise(query, *apology);
  } else if (std::holds_alternative<tilth::EndBroken>(action)) {
    end_broken(query);
  }
}

void World::forward(QueryPointer const& query, tilth::Forward const& event) {
  if (query->parent != nullptr) {
    settle_parent(query, tilth::Event{event.number, event.last});
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
    settle_parent(query, tilth::Whole{});
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
    settle_parent(query, tilth::NoRoom{});
  } else if (query->hops < most_hops) {
    kernel_.after(hop_within_region(), [this, query] {
      arrive(query->mix, query->home, query->tries, query->hops + 1, query->footing.home);
    });
  }
}

void World::refuse(QueryPointer const& query) {
  if (query->parent != nullptr) {
    settle_parent(query, tilth::NoRoom{});
    return;
  }
  ++report_.refused;
  query->told_refused = true;
  ended(*query, false);
  report_.worst_refusal = std::max(report_.worst_refusal, in_seconds(kernel_.now() - query->began));
  if (query->tries < options_.faults.comes_back) {
    kernel_.after(loam::seconds(tilth::come_back_after(query->wait, kernel_.uniform())), [this, query] {
      if (kernel_.now() < options_.length) {
        arrive(query->mix, query->home, query->tries + 1, 0, std::nullopt);
      }
    });
  }
}

void World::apologise(QueryPointer const& query, tilth::Apologise const& apology) {
  if (query->parent != nullptr) {
    settle_parent(query, tilth::WorkerAnswered{apology.status});
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
    settle_parent(query, tilth::WorkerDefect{"pass_cut"});
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
    obey(furrows_[query->furrow]->placement.cancel(ticket, kernel_.now()));
  }
}

}  // namespace finchlink::almanac::field
