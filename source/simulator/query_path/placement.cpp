// Tickets of placement, and what it decides about them.

#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

namespace {

constexpr double first_guess_of_outputs = 32.0;

}  // namespace

void World::place(QueryPointer const& query) {
  Proxy& proxy = *proxies_[query->proxy];
  (void)follow(query);
  if (query->state_machine->settled()) {
    return;
  }
  scheduling::Ticket ticket;
  ticket.id = next_ticket_++;
  ticket.rule = query->footing.serve.rule;
  ticket.allowed = scheduling::allowed_workers(*query->footing.plan, ticket.rule);
  ticket.chain = query->chain;
  ticket.tokens = query->tokens;
  ticket.outputs = proxy.outputs.try_emplace(ticket.rule, first_guess_of_outputs).first->second;
  bool const paired = query->has_kv || options_.aims.manner == "paired";
  query->decode_leg = paired && query->has_kv;
  ticket.phase = scheduling::preferred_phase(*query->footing.plan, "model", paired, query->decode_leg, ticket.tokens,
                                             ticket.outputs);
  query->phase = ticket.phase;
  ticket.deadline = query->deadline;
  ticket.begun = query->has_kv;
  ticket.waitlist_bound = query->footing.rule.waitlist;
  query->ticket = ticket.id;
  tickets_[ticket.id] = query;
  obey(proxy.placement.enqueue(ticket, kernel_.now()));
}

void World::obey(std::vector<scheduling::PlacementAction> const& actions) {
  for (scheduling::PlacementAction const& action : actions) {
    if (scheduling::Denied const* const denied = std::get_if<scheduling::Denied>(&action)) {
      deny(*denied);
      continue;
    }
    scheduling::DispatchQuery const& go = std::get<scheduling::DispatchQuery>(action);
    std::map<std::uint64_t, QueryPointer>::const_iterator const found = tickets_.find(go.ticket);
    if (found != tickets_.end()) {
      found->second->go = go;
      found->second->worker = go.worker;
      send(found->second);
    }
  }
}

void World::deny(scheduling::Denied const& denied) {
  std::map<std::uint64_t, QueryPointer>::const_iterator const found = tickets_.find(denied.ticket);
  if (found == tickets_.end()) {
    return;
  }
  QueryPointer const query = found->second;
  tickets_.erase(denied.ticket);
  query->ticket = 0;
  query->wait = denied.expected_seconds;
  kernel_.after(0, [this, query, deadline = denied.reason == "deadline"] {
    if (!query->state_machine->settled()) {
      feed(query, deadline ? scheduling::QueryMessage{scheduling::DeadlinePassed{}}
                           : scheduling::QueryMessage{scheduling::NoCapacity{}});
    }
  });
}

void World::end_dispatch(QueryPointer const& query, scheduling::Ending ending,
                         scheduling::QueryMessage const& message) {
  std::uint64_t const ticket = query->ticket;
  query->ticket = 0;
  query->job = nullptr;
  ++query->dispatch;
  tickets_.erase(ticket);
  obey(proxies_[query->proxy]->placement.finished(ticket, ending, kernel_.now()));
  feed(query, message);
}

}  // namespace finchlink::simulator::query_path
