// Furrows: asks for news, contents that were left out, and serving by the setup they hold.

#include <algorithm>

#include "simulator/control/world.hpp"

namespace finchlink::simulator::control {

namespace constants = common::constants;
using common::Moment;

namespace {

constexpr common::Span least_query_pause = common::milliseconds(5);
constexpr common::Span most_query_pause = common::milliseconds(40);

/// News with the contents that were fetched since, in place of those left out.
schema::NewsAnswer completed(schema::NewsAnswer const& news, std::map<std::string, schema::NamedValue> const& fetched) {
  schema::NewsAnswer whole = news;
  for (std::pair<std::string const, schema::NamedValue> const& entry : fetched) {
    std::erase_if(whole.news, [&entry](schema::NamedValue const& value) {
      return value.name == entry.first && value.revision == entry.second.revision;
    });
    whole.news.insert(whole.news.begin(), entry.second);
  }
  return whole;
}

}  // namespace

void World::begin_furrow(Furrow& furrow) {
  ++furrow.process.life;
  furrow.process.alive = true;
  furrow.process.frozen = false;
  furrow.process.deferred.clear();
  furrow.freshness = membership::FreshnessLease(options_.vouch_guards);
  furrow.fetching.clear();
  furrow.fetched.clear();
  if (options_.lives) {
    options_.lives(furrow.number, true);
  }
  ask_loop(furrow);
  query_loop(furrow);
}

void World::ask_loop(Furrow& furrow) {
  schema::NewsAsk ask;
  ask.member.name = furrow.name;
  ask.member.held = furrow.freshness.held();
  Moment const asked = network_.local_time(furrow.process);
  std::string const from = machines_[furrow.turn % machines_.size()]->address;
  Reply const take = [this, &furrow, asked, from](std::optional<schema::Message> const& answer) {
    schema::NewsAnswer const* const news = answer.has_value() ? std::get_if<schema::NewsAnswer>(&*answer) : nullptr;
    if (news != nullptr) {
      take_news(furrow, *news, asked, from);
    }
    bool const vouched = news != nullptr && news->vouched;
    if (!vouched) {
      furrow.turn = kernel_.below(machines_.size());
    }
    if (!vouched || !furrow.fetching.empty()) {  // what is withheld is answered at once, as news
      network_.later(furrow.process, constants::ask_retry, [this, &furrow] { ask_loop(furrow); });
    } else {
      ask_loop(furrow);
    }
  };
  network_.call(furrow.process, furrow.name, from, ask, constants::ask_deadline, take);
}

void World::take_news(Furrow& furrow, schema::NewsAnswer const& news, Moment asked, std::string const& from) {
  schema::NewsAnswer const whole = completed(news, furrow.fetched);
  furrow.fetched.clear();
  fetch_contents(furrow, whole, from);
  for (schema::NamedValue const& value : furrow.freshness.take(whole, asked, network_.local_time(furrow.process))) {
    report_.empty_adopted += value.content.empty() && value.withheld > 0 ? 1 : 0;
    kernel_.trace(furrow.name + " adopts " + value.name + " " + std::to_string(value.revision));
    if (options_.adopted && value.name == consensus::setup_register) {
      options_.adopted(furrow.number, value.revision);
    }
  }
}

void World::fetch_contents(Furrow& furrow, schema::NewsAnswer const& answer, std::string const& from) {
  for (schema::NamedValue const& news : answer.news) {
    if (news.withheld == 0 || !options_.vouch_guards.contents_whole || !furrow.fetching.insert(news.name).second) {
      continue;
    }
    std::shared_ptr<consensus::ValueReceiver> const receiver = std::make_shared<consensus::ValueReceiver>(
        schema::TransferKey{news.name, {}, news.revision}, std::vector<std::string>{from});
    fetch(furrow.process, furrow.name, receiver,
          [&furrow, name = news.name, revision = news.revision](std::optional<std::string> const& bytes) {
            furrow.fetching.erase(name);
            if (bytes.has_value()) {
              furrow.fetched[name] = schema::NamedValue{name, revision, *bytes, 0};
            }
          });
  }
}

void World::query_loop(Furrow& furrow) {
  network_.later(furrow.process, kernel_.between(least_query_pause, most_query_pause), [this, &furrow] {
    query_loop(furrow);
    if (!furrow.freshness.vouched(network_.local_time(furrow.process))) {
      ++report_.unvouched;
      return;
    }
    std::map<std::string, std::uint64_t>::const_iterator const held =
        furrow.freshness.held().find(consensus::setup_register);
    std::uint64_t const revision = held == furrow.freshness.held().end() ? 0 : held->second;
    if (revision == 0) {
      return;
    }
    ++report_.queries;
    checker_.observe_service(furrow.name, revision, furrow.shown);
    furrow.shown = std::max(furrow.shown, revision);
  });
}

}  // namespace finchlink::simulator::control
