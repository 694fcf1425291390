// Queue tickets of queries, and the decisions of the placement about them.

#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

namespace {

constexpr double initial_outputs_estimate = 32.0;

}  // namespace

void World::place(QueryPointer const& query) {
  Proxy& proxy = *proxies_[query->proxy];
  (void)reevaluate(query);
  if (query->state_machine->settled()) {
    return;
  }
  scheduling::Ticket ticket;
  ticket.id = next_ticket_++;
  ticket.rule = query->query_config.serve.rule;
  ticket.allowed = scheduling::allowed_workers(*query->query_config.plan, ticket.rule);
  ticket.chain = query->chain;
  ticket.tokens = query->tokens;
  ticket.outputs = proxy.outputs.try_emplace(ticket.rule, initial_outputs_estimate).first->second;
  bool const paired = query->has_kv || options_.aims.manner == "paired";
  query->decode_phase = paired && query->has_kv;
  ticket.phase = scheduling::preferred_phase(*query->query_config.plan, "model", paired, query->decode_phase,
                                             ticket.tokens, ticket.outputs);
  query->phase = ticket.phase;
  ticket.deadline = query->deadline;
  ticket.begun = query->has_kv;
  ticket.waitlist_bound = query->query_config.rule.waitlist;
  query->ticket = ticket.id;
  tickets_[ticket.id] = query;
  apply_placement(proxy.placement.enqueue(ticket, kernel_.now()));
}

void World::apply_placement(std::vector<scheduling::PlacementAction> const& actions) {
  for (scheduling::PlacementAction const& action : actions) {
    if (scheduling::Denied const* const denied = std::get_if<scheduling::Denied>(&action)) {
      handle_denied(*denied);
      continue;
    }
    scheduling::DispatchQuery const& assignment = std::get<scheduling::DispatchQuery>(action);
    std::map<std::uint64_t, QueryPointer>::const_iterator const found = tickets_.find(assignment.ticket);
    if (found != tickets_.end()) {
      found->second->assignment = assignment;
      found->second->worker = assignment.worker;
      start_dispatch(found->second);
    }
  }
}

void World::handle_denied(scheduling::Denied const& denied) {
  std::map<std::uint64_t, QueryPointer>::const_iterator const found = tickets_.find(denied.ticket);
  if (found == tickets_.end()) {
    return;
  }
  QueryPointer const query = found->second;
  tickets_.erase(denied.ticket);
  query->ticket = 0;
  query->expected_wait = denied.expected_seconds;
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
  apply_placement(proxies_[query->proxy]->placement.finished(ticket, ending, kernel_.now()));
  feed(query, message);
}

}  // namespace finchlink::simulator::query_path
