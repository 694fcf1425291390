// Proxies: update requests, fetching withheld contents, and serving by the setup in force.

#include <algorithm>

#include "simulator/control/world.hpp"

namespace finchlink::simulator::control {

namespace constants = common::constants;
using common::Moment;

namespace {

constexpr common::Span min_query_pause = common::milliseconds(5);
constexpr common::Span max_query_pause = common::milliseconds(40);

/// Returns the update with withheld contents replaced by those fetched since.
schema::NewsAnswer completed(schema::NewsAnswer const& update,
                             std::map<std::string, schema::NamedValue> const& fetched) {
  schema::NewsAnswer whole = update;
  for (std::pair<std::string const, schema::NamedValue> const& entry : fetched) {
    std::erase_if(whole.updates, [&entry](schema::NamedValue const& value) {
      return value.name == entry.first && value.revision == entry.second.revision;
    });
    whole.updates.insert(whole.updates.begin(), entry.second);
  }
  return whole;
}

}  // namespace

void World::start_proxy(Proxy& proxy) {
  ++proxy.process.life;
  proxy.process.alive = true;
  proxy.process.frozen = false;
  proxy.process.deferred.clear();
  proxy.freshness = membership::FreshnessLease(options_.freshness_guards);
  proxy.fetching.clear();
  proxy.fetched.clear();
  if (options_.on_proxy_state) {
    options_.on_proxy_state(proxy.number, true);
  }
  update_loop(proxy);
  query_loop(proxy);
}

void World::update_loop(Proxy& proxy) {
  schema::NewsAsk ask;
  ask.member.name = proxy.name;
  ask.member.held = proxy.freshness.held();
  Moment const asked = network_.local_time(proxy.process);
  std::string const from = machines_[proxy.controller_index % machines_.size()]->address;
  Reply const on_answer = [this, &proxy, asked, from](std::optional<schema::Message> const& answer) {
    schema::NewsAnswer const* const update = answer.has_value() ? std::get_if<schema::NewsAnswer>(&*answer) : nullptr;
    if (update != nullptr) {
      apply_update(proxy, *update, asked, from);
    }
    bool const confirmed = update != nullptr && update->confirmed;
    if (!confirmed) {
      proxy.controller_index = kernel_.below(machines_.size());
    }
    if (!confirmed ||
        !proxy.fetching
             .empty()) {  // withheld contents count as an update and are answered at once: pause before the retry
      network_.later(proxy.process, constants::ask_retry, [this, &proxy] { update_loop(proxy); });
    } else {
      update_loop(proxy);
    }
  };
  network_.call(proxy.process, proxy.name, from, ask, constants::ask_deadline, on_answer);
}

void World::apply_update(Proxy& proxy, schema::NewsAnswer const& update, Moment asked, std::string const& from) {
  schema::NewsAnswer const whole = completed(update, proxy.fetched);
  proxy.fetched.clear();
  fetch_contents(proxy, whole, from);
  for (schema::NamedValue const& value : proxy.freshness.take(whole, asked, network_.local_time(proxy.process))) {
    report_.empty_applied += value.content.empty() && value.withheld > 0 ? 1 : 0;
    kernel_.trace(proxy.name + " adopts " + value.name + " " + std::to_string(value.revision));
    if (options_.on_applied && value.name == consensus::setup_register) {
      options_.on_applied(proxy.number, value.revision);
    }
  }
}

void World::fetch_contents(Proxy& proxy, schema::NewsAnswer const& answer, std::string const& from) {
  for (schema::NamedValue const& update : answer.updates) {
    if (update.withheld == 0 || !options_.freshness_guards.contents_whole ||
        !proxy.fetching.insert(update.name).second) {
      continue;
    }
    std::shared_ptr<consensus::ValueReceiver> const receiver = std::make_shared<consensus::ValueReceiver>(
        schema::TransferKey{update.name, {}, update.revision}, std::vector<std::string>{from});
    fetch(proxy.process, proxy.name, receiver,
          [&proxy, name = update.name, revision = update.revision](std::optional<std::string> const& bytes) {
            proxy.fetching.erase(name);
            if (bytes.has_value()) {
              proxy.fetched[name] = schema::NamedValue{name, revision, *bytes, 0};
            }
          });
  }
}

void World::query_loop(Proxy& proxy) {
  network_.later(proxy.process, kernel_.between(min_query_pause, max_query_pause), [this, &proxy] {
    query_loop(proxy);
    if (!proxy.freshness.confirmed(network_.local_time(proxy.process))) {
      ++report_.unconfirmed;
      return;
    }
    std::map<std::string, std::uint64_t>::const_iterator const held =
        proxy.freshness.held().find(consensus::setup_register);
    std::uint64_t const revision = held == proxy.freshness.held().end() ? 0 : held->second;
    if (revision == 0) {
      return;
    }
    ++report_.queries;
    checker_.observe_service(proxy.name, revision, proxy.shown);
    proxy.shown = std::max(proxy.shown, revision);
  });
}

}  // namespace finchlink::simulator::control
