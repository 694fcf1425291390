// Callers, their queries, and queries that one furrow passes to another.

#include <algorithm>

#include "scheduling/retry_budget/retry_share.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

using common::Moment;
using common::Span;

namespace {

constexpr std::uint64_t mix_stride = 1000;
constexpr std::uint64_t own_part = 77;

}  // namespace

QueryPathMix World::mix_of(std::size_t index) const {
  QueryPathMix mix = options_.deployment.mixes[index];
  if (options_.faults.swing_at > 0 && kernel_.now() >= options_.faults.swing_at) {
    mix.own_tokens /= 4;
    mix.outputs *= 6;
  }
  return mix;
}

double World::rate_of(std::size_t mix) const {
  double const rate = options_.deployment.mixes[mix].rate * options_.scale;
  Moment const crowd = options_.faults.crowd_at;
  bool const crowded = crowd > 0 && kernel_.now() >= crowd && kernel_.now() < crowd + options_.faults.crowd_span &&
                       (mix == 0 || !options_.faults.crowd_on_first);
  return crowded ? rate * options_.faults.crowd : rate;
}

void World::arrivals(std::size_t mix) {
  kernel_.after(static_cast<Span>(kernel_.exponential(1.0 / rate_of(mix)) * 1e6), [this, mix] {
    if (kernel_.now() < options_.length) {
      arrivals(mix);
      std::vector<std::string> const& homes = options_.deployment.mixes[mix].homes;
      ++report_.sent;
      arrive(mix, homes.empty() ? "" : homes[kernel_.below(homes.size())], 0, 0, std::nullopt);
    }
  });
}

void World::arrive(std::size_t mix, std::string const& home, std::uint64_t tries, std::size_t hops,
                   std::optional<std::string> const& region) {
  std::size_t proxy = kernel_.below(proxies_.size());
  while (region.has_value() && options_.deployment.regions[proxies_[proxy]->region] != *region) {  // sent there by 307
    proxy = kernel_.below(proxies_.size());
  }
  if (!confirmed(*proxies_[proxy])) {  // refused at once, or nobody listens there
    ++report_.unconfirmed;
    return;
  }
  scheduling::Plan const& plan = *proxies_[proxy]->plan;
  config::Disposition const decided = disposition(plan.setup, plan.region, mix, home);
  if (config::RedirectToHome const* const there = std::get_if<config::RedirectToHome>(&decided)) {
    if (hops < most_hops) {
      kernel_.after(hop_within_region(),
                    [this, mix, home, tries, hops, to = there->region] { arrive(mix, home, tries, hops + 1, to); });
    }
    return;
  }
  config::Serve const* const serve = std::get_if<config::Serve>(&decided);
  if (serve == nullptr) {
    return;
  }
  ++second(mix, kernel_.now()).arrived;
  QueryPointer const query = make_query(mix, proxy, home, *serve, false);
  query->tries = tries;
  query->hops = hops;
  proxies_[proxy]->budgets.try_emplace(serve->rule).first->second.arrived(kernel_.now());
  perform(query, query->state_machine->begin());
}

QueryPointer World::make_query(std::size_t mix, std::size_t proxy, std::string const& home, config::Serve const& serve,
                               bool passed) {
  QueryPointer const query = std::make_shared<Query>();
  query->id = next_query_++;
  query->mix = mix;
  query->proxy = proxy;
  query->home = home;
  query->footing.plan = proxies_[proxy]->plan;
  query->footing.serve = serve;
  query->footing.rule = query->footing.plan->setup.rules.at(serve.rule);
  query->began = kernel_.now();
  Span const deadline = common::milliseconds(static_cast<std::int64_t>(query->footing.rule.deadline_ms));
  query->deadline = kernel_.now() + deadline;
  draw_prompt(*query);
  query->state_machine = make_state_machine(*query, passed);
  queries_.push_back(query);
  if (!passed) {
    kernel_.after(deadline, [this, query] {
      if (!query->state_machine->settled()) {
        feed(query, scheduling::DeadlinePassed{});
      }
    });
  }
  return query;
}

void World::draw_prompt(Query& query) {
  QueryPathMix const mix = mix_of(query.mix);
  query.tokens = mix.prefix_tokens + std::max(1.0, mix.own_tokens * (0.5 + kernel_.uniform()));
  query.outputs = static_cast<std::uint64_t>(std::max(2.0, mix.outputs * (0.5 + kernel_.uniform())));
  std::uint64_t const prefix = kernel_.below(std::max<std::uint64_t>(1, mix.prefixes));
  std::uint64_t const block = options_.bounds.block_tokens;
  std::uint64_t chain = 0;
  for (std::uint64_t place = block; static_cast<double>(place) <= query.tokens; place += block) {
    bool const shared = static_cast<double>(place) <= mix.prefix_tokens;
    chain = scheduling::mix(
        chain, shared ? scheduling::mix(query.mix * mix_stride + prefix, place) : scheduling::mix(query.id, own_part));
    query.chain.push_back(chain);
  }
}

std::unique_ptr<scheduling::QueryStateMachine> World::make_state_machine(Query const& query, bool passed) {
  schema::Rule const& rule = query.footing.rule;
  scheduling::QueryTerms terms;
  terms.repeatable = rule.repeatable || !options_.dispatch_once;
  terms.resumable = rule.resumable;
  terms.stream = rule.stream;
  terms.may_forward = !passed;
  std::string const name = options_.deployment.mixes[query.mix].name;
  return std::make_unique<scheduling::QueryStateMachine>(terms, [this, proxy = query.proxy, name](Moment now) {
    if (!options_.budget) {
      return true;
    }
    return proxies_[proxy]->budgets.try_emplace(name).first->second.take(
        now, scheduling::holds_reserve_token(name, proxies_[proxy]->name, names_));
  });
}

void World::pass_on(QueryPointer const& query) {
  (void)follow(query);
  if (query->state_machine->settled()) {
    return;
  }
  Proxy const& from = *proxies_[query->proxy];
  std::vector<schema::Member> const targets =
      scheduling::forward_targets(*query->footing.plan, from.name, "model", query->footing.serve.has_home);
  if (targets.empty()) {
    feed(query, scheduling::NoCapacity{});
    return;
  }
  ++report_.passes;
  feed(query, scheduling::Placed{"pass"});
  feed(query, scheduling::Connected{});
  std::string const chosen = targets[kernel_.below(targets.size())].name;
  std::size_t const target = static_cast<std::size_t>(std::find(names_.begin(), names_.end(), chosen) - names_.begin());
  bool const far = proxies_[target]->region != from.region;
  kernel_.after(far ? options_.deployment.hop : hop_within_region(),
                [this, query, target] { arrive_passed(query, target); });
}

void World::arrive_passed(QueryPointer const& query, std::size_t target) {
  scheduling::Plan const& plan = *proxies_[target]->plan;
  config::Disposition const decided = disposition(plan.setup, plan.region, query->mix, query->home);
  if (query->state_machine->settled()) {
    return;
  }
  if (!confirmed(*proxies_[target]) || !std::holds_alternative<config::Serve>(decided)) {
    feed(query, scheduling::NoCapacity{});
    return;
  }
  QueryPointer const child = make_query(query->mix, target, query->home, std::get<config::Serve>(decided), true);
  child->parent = query;
  child->tokens = query->tokens;
  child->chain = query->chain;
  child->outputs = query->outputs;
  child->deadline = query->deadline;
  perform(child, child->state_machine->begin());
}

}  // namespace finchlink::simulator::query_path
