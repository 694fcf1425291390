// Tickets of placement, and what it decides about them.

#include "almanac/field/world.hpp"

namespace finchlink::almanac::field {

namespace {

constexpr double first_guess_of_outputs = 32.0;

}  // namespace

void World::place(QueryPointer const& query) {
  Furrow& furrow = *furrows_[query->furrow];
  (void)follow(query);
  if (query->chart->settled()) {
    return;
  }
  tilth::Ticket ticket;
  ticket.id = next_ticket_++;
  ticket.rule = query->footing.serve.rule;
  ticket.allowed = tilth::allowed_for(*query->footing.plan, ticket.rule);
  ticket.chain = query->chain;
  ticket.tokens = query->tokens;
  ticket.outputs = furrow.outputs.try_emplace(ticket.rule, first_guess_of_outputs).first->second;
  bool const paired = query->has_kv || options_.aims.manner == "paired";
  query->decode_leg = paired && query->has_kv;
  ticket.phase =
      tilth::wanted_phase(*query->footing.plan, "model", paired, query->decode_leg, ticket.tokens, ticket.outputs);
  query->phase = ticket.phase;
  ticket.deadline = query->deadline;
  ticket.begun = query->has_kv;
  ticket.waitlist_bound = query->footing.rule.waitlist;
  query->ticket = ticket.id;
  tickets_[ticket.id] = query;
  obey(furrow.placement.enqueue(ticket, kernel_.now()));
}

void World::obey(std::vector<tilth::PlacementAction> const& actions) {
  for (tilth::PlacementAction const& action : actions) {
    if (tilth::Denied const* const denied = std::get_if<tilth::Denied>(&action)) {
      deny(*denied);
      continue;
    }
    tilth::Go const& go = std::get<tilth::Go>(action);
    std::map<std::uint64_t, QueryPointer>::const_iterator const found = tickets_.find(go.ticket);
    if (found != tickets_.end()) {
      found->second->go = go;
      found->second->worker = go.worker;
      send(found->second);
    }
  }
}

void World::deny(tilth::Denied const& denied) {
  std::map<std::uint64_t, QueryPointer>::const_iterator const found = tickets_.find(denied.ticket);
  if (found == tickets_.end()) {
    return;
  }
  QueryPointer const query = found->second;
  tickets_.erase(denied.ticket);
  query->ticket = 0;
  query->wait = denied.expected_seconds;
  kernel_.after(0, [this, query, deadline = denied.reason == "deadline"] {
    if (!query->chart->settled()) {
      feed(query, deadline ? tilth::QueryMessage{tilth::DeadlinePassed{}} : tilth::QueryMessage{tilth::NoRoom{}});
    }
  });
}

void World::end_dispatch(QueryPointer const& query, tilth::Ending ending, tilth::QueryMessage const& message) {
  std::uint64_t const ticket = query->ticket;
  query->ticket = 0;
  query->job = nullptr;
  ++query->dispatch;
  tickets_.erase(ticket);
  obey(furrows_[query->furrow]->placement.finished(ticket, ending, kernel_.now()));
  feed(query, message);
}

}  // namespace finchlink::almanac::field
