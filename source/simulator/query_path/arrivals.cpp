// Callers, their queries, and queries that one proxy forwards to another.

#include <algorithm>

#include "scheduling/retry_budget/retry_share.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

using common::Moment;
using common::Span;

namespace {

constexpr std::uint64_t mix_stride = 1000;
constexpr std::uint64_t own_blocks_salt = 77;

}  // namespace

QueryPathMix World::current_mix(std::size_t index) const {
  QueryPathMix mix = options_.deployment.mixes[index];
  if (options_.faults.shift_at > 0 && kernel_.now() >= options_.faults.shift_at) {
    mix.own_tokens /= 4;
    mix.outputs *= 6;
  }
  return mix;
}

double World::current_rate(std::size_t mix) const {
  double const rate = options_.deployment.mixes[mix].rate * options_.scale;
  Moment const burst_at = options_.faults.burst_at;
  bool const in_burst = burst_at > 0 && kernel_.now() >= burst_at &&
                        kernel_.now() < burst_at + options_.faults.burst_span &&
                        (mix == 0 || !options_.faults.burst_on_first);
  return in_burst ? rate * options_.faults.burst_factor : rate;
}

void World::schedule_arrivals(std::size_t mix) {
  kernel_.after(static_cast<Span>(kernel_.exponential(1.0 / current_rate(mix)) * 1e6), [this, mix] {
    if (kernel_.now() < options_.length) {
      schedule_arrivals(mix);
      std::vector<std::string> const& homes = options_.deployment.mixes[mix].homes;
      ++report_.sent;
      arrive(mix, homes.empty() ? "" : homes[kernel_.below(homes.size())], 0, 0, std::nullopt);
    }
  });
}

void World::arrive(std::size_t mix, std::string const& home, std::uint64_t attempts, std::size_t redirects,
                   std::optional<std::string> const& region) {
  std::size_t proxy = kernel_.below(proxies_.size());
  while (region.has_value() &&
         options_.deployment.regions[proxies_[proxy]->region] != *region) {  // redirected there by a 307
    proxy = kernel_.below(proxies_.size());
  }
  if (!confirmed(*proxies_[proxy])) {  // rejected at once, or no process listens there
    ++report_.unconfirmed;
    return;
  }
  scheduling::Plan const& plan = *proxies_[proxy]->plan;
  config::Disposition const decided = disposition(plan.setup, plan.region, mix, home);
  if (config::RedirectToHome const* const there = std::get_if<config::RedirectToHome>(&decided)) {
    if (redirects < max_redirects) {
      kernel_.after(hop_within_region(), [this, mix, home, attempts, redirects, to = there->region] {
        arrive(mix, home, attempts, redirects + 1, to);
      });
    }
    return;
  }
  config::Serve const* const serve = std::get_if<config::Serve>(&decided);
  if (serve == nullptr) {
    return;
  }
  ++outcomes_at(mix, kernel_.now()).arrived;
  QueryPointer const query = make_query(mix, proxy, home, *serve, false);
  query->attempts = attempts;
  query->redirects = redirects;
  proxies_[proxy]->retry_budgets.try_emplace(serve->rule).first->second.arrived(kernel_.now());
  perform(query, query->state_machine->begin());
}

QueryPointer World::make_query(std::size_t mix, std::size_t proxy, std::string const& home, config::Serve const& serve,
                               bool forwarded) {
  QueryPointer const query = std::make_shared<Query>();
  query->id = next_query_++;
  query->mix = mix;
  query->proxy = proxy;
  query->home = home;
  query->query_config.plan = proxies_[proxy]->plan;
  query->query_config.serve = serve;
  query->query_config.rule = query->query_config.plan->setup.rules.at(serve.rule);
  query->started = kernel_.now();
  Span const deadline = common::milliseconds(static_cast<std::int64_t>(query->query_config.rule.deadline_ms));
  query->deadline = kernel_.now() + deadline;
  draw_prompt(*query);
  query->state_machine = make_state_machine(*query, forwarded);
  queries_.push_back(query);
  if (!forwarded) {
    kernel_.after(deadline, [this, query] {
      if (!query->state_machine->settled()) {
        feed(query, scheduling::DeadlinePassed{});
      }
    });
  }
  return query;
}

void World::draw_prompt(Query& query) {
  QueryPathMix const mix = current_mix(query.mix);
  query.tokens = mix.prefix_tokens + std::max(1.0, mix.own_tokens * (0.5 + kernel_.uniform()));
  query.outputs = static_cast<std::uint64_t>(std::max(2.0, mix.outputs * (0.5 + kernel_.uniform())));
  std::uint64_t const prefix = kernel_.below(std::max<std::uint64_t>(1, mix.prefixes));
  std::uint64_t const block = options_.bounds.block_tokens;
  std::uint64_t chain = 0;
  for (std::uint64_t place = block; static_cast<double>(place) <= query.tokens; place += block) {
    bool const shared = static_cast<double>(place) <= mix.prefix_tokens;
    chain = scheduling::mix(chain, shared ? scheduling::mix(query.mix * mix_stride + prefix, place)
                                          : scheduling::mix(query.id, own_blocks_salt));
    query.chain.push_back(chain);
  }
}

std::unique_ptr<scheduling::QueryStateMachine> World::make_state_machine(Query const& query, bool forwarded) {
  schema::Rule const& rule = query.query_config.rule;
  scheduling::QueryTerms terms;
  terms.repeatable = rule.repeatable || !options_.dispatch_once;
  terms.resumable = rule.resumable;
  terms.stream = rule.stream;
  terms.may_forward = !forwarded;
  std::string const name = options_.deployment.mixes[query.mix].name;
  return std::make_unique<scheduling::QueryStateMachine>(terms, [this, proxy = query.proxy, name](Moment now) {
    if (!options_.retry_budget) {
      return true;
    }
    return proxies_[proxy]->retry_budgets.try_emplace(name).first->second.take(
        now, scheduling::holds_reserve_token(name, proxies_[proxy]->name, proxy_names_));
  });
}

void World::forward_to_peer(QueryPointer const& query) {
  (void)reevaluate(query);
  if (query->state_machine->settled()) {
    return;
  }
  Proxy const& from = *proxies_[query->proxy];
  std::vector<schema::Member> const targets =
      scheduling::forward_targets(*query->query_config.plan, from.name, "model", query->query_config.serve.has_home);
  if (targets.empty()) {
    feed(query, scheduling::NoCapacity{});
    return;
  }
  ++report_.forwards;
  feed(query, scheduling::Placed{"pass"});
  feed(query, scheduling::Connected{});
  std::string const chosen = targets[kernel_.below(targets.size())].name;
  std::size_t const target =
      static_cast<std::size_t>(std::find(proxy_names_.begin(), proxy_names_.end(), chosen) - proxy_names_.begin());
  bool const far = proxies_[target]->region != from.region;
  kernel_.after(far ? options_.deployment.hop : hop_within_region(),
                [this, query, target] { arrive_forwarded(query, target); });
}

void World::arrive_forwarded(QueryPointer const& query, std::size_t target) {
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
