#include "almanac/field/field.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fstream>
#include <list>
#include <memory>
#include <set>
#include <sstream>

#include "almanac/kernel/kernel.hpp"
#include "config/label/selector.hpp"
#include "config/setup/setup.hpp"
#include "loam/constants.hpp"
#include "loam/json/tree.hpp"
#include "schema/standin.hpp"
#include "tilth/budget/budget.hpp"
#include "tilth/budget/share.hpp"
#include "tilth/chart/chart.hpp"
#include "tilth/placement/placement.hpp"
#include "tilth/plan/plan.hpp"
#include "tilth/scaler/scaler.hpp"

namespace finchlink::almanac {

namespace constants = loam::constants;
using loam::Moment;
using loam::Span;

namespace {

constexpr double true_prefill[3] = {0.004, 0.000018, 0.000000002};
constexpr double true_decode[3] = {0.003, 0.006, 0.00025};
constexpr double noise = 0.05;
constexpr std::size_t worker_limit = 48;  // beyond it a worker says 429
constexpr std::size_t cold_bears = 4;     // queries at once on a worker that just came back
constexpr Span warming = loam::seconds(3);
constexpr std::size_t cache_blocks = 4096;
constexpr Span drain_allowed = loam::seconds(5);

class World {
 public:
  explicit World(FieldOptions const& options) : options_(options), kernel_(options.seed) {
    kernel_.print_trace(options.print);
  }
  FieldReport run();

 private:
  struct Query;
  using QueryPointer = std::shared_ptr<Query>;

  struct Job {
    QueryPointer query;
    std::uint64_t dispatch = 0;  ///< of which dispatch of the query this is
    bool prefill_leg = false;
    bool decode_leg = false;
    double tokens = 0;
    std::vector<std::uint64_t> chain;
    std::uint64_t outputs = 0;
    std::uint64_t produced = 0;
    std::uint64_t skip = 0;
    bool gone = false;
  };
  using JobPointer = std::shared_ptr<Job>;

  struct Worker {
    std::string id;
    std::string hall;
    std::size_t region = 0;
    double speed = 1;
    std::deque<JobPointer> waiting;
    std::list<JobPointer> running;
    bool busy = false;
    bool up = true;
    bool dark = false;
    bool listed = true;
    bool draining = false;
    std::uint64_t shown = 0;
    Moment draining_since = 0;
    Moment up_since = -loam::seconds(100);
    std::uint64_t life = 0;
    tilth::PrefixRecord cache{cache_blocks};
    [[nodiscard]] std::size_t open() const { return waiting.size() + running.size(); }
  };
  struct Furrow {
    std::string name;
    std::string hall;
    std::size_t region = 0;
    bool alive = true;
    std::uint64_t revision = 1;  ///< of the setup in force here; 0: none yet
    std::shared_ptr<tilth::Plan const> plan = std::make_shared<tilth::Plan const>();
    tilth::Placement placement;
    std::map<std::string, tilth::Budget> budgets;
    std::map<std::string, double> outputs;
    std::map<std::string, bool> drained;  ///< as the list told here
    std::map<std::string, bool> listed;
    std::map<std::string, std::uint64_t> list_seen;
    schema::Split split;
    std::map<std::string, schema::WorkerFigures> figures;
    std::vector<schema::Sample> samples;
    std::uint64_t slice = 0;
  };
  struct Query {
    std::uint64_t id = 0;
    std::size_t mix = 0;
    std::size_t furrow = 0;
    std::string home;  ///< as its caller names it
    tilth::Footing footing;
    std::unique_ptr<tilth::Chart> chart;
    std::uint64_t ticket = 0;
    std::uint64_t dispatch = 0;
    std::string worker;
    tilth::Go go;
    tilth::Phase phase = tilth::Phase::both;
    bool has_kv = false;
    bool decode_leg = false;
    double tokens = 0;
    std::uint64_t outputs = 0;
    std::vector<std::uint64_t> chain;
    Moment began = 0;
    Moment sent = 0;
    Moment first = 0;
    Moment leg_first = 0;
    double iterations = 0;
    std::vector<double> gaps;
    Moment last_event = 0;
    double running_at_start = 0;
    std::uint64_t seen = 0;      ///< events that the caller has
    std::uint64_t expected = 1;  ///< next event of a whole answer
    Moment deadline = 0;
    QueryPointer parent;  ///< it was passed on by this one
    JobPointer job;
    std::uint64_t runs = 0;  ///< how often its work was begun
    bool told_refused = false;
    std::uint64_t tries = 0;  ///< times that its caller was refused before
    std::size_t hops = 0;     ///< 307s that its caller has followed
    double wait = 0;          ///< the wait that it was denied for
  };
  struct Region {
    tilth::Scaler scaler;
    schema::Split split;
    std::uint64_t revision = 0;
  };

  Worker* worker_of(std::string const& id) {
    for (std::unique_ptr<Worker> const& worker : workers_) {
      if (worker->id == id) {
        return worker.get();
      }
    }
    return nullptr;
  }
  FieldMix mix_of(std::size_t index) const {
    FieldMix mix = options_.deployment.mixes[index];
    if (options_.faults.swing_at > 0 && kernel_.now() >= options_.faults.swing_at) {
      mix.own_tokens /= 4;
      mix.outputs *= 6;
    }
    return mix;
  }
  void violate(std::string const& text) {
    kernel_.trace("VIOLATION " + text);
    if (report_.violations.size() < 20) {
      report_.violations.push_back("at " + std::to_string(kernel_.now()) + " us: " + text);
    }
  }
  Span near() { return kernel_.between(200, 600); }

  void arrivals(std::size_t mix);
  void arrive(std::size_t mix, std::string const& home, std::uint64_t tries, std::size_t hops,
              std::optional<std::string> const& region);
  void renew(Furrow& furrow);
  bool follow(QueryPointer const& query);
  [[nodiscard]] schema::Setup changed_setup(schema::Setup setup);
  void apply_setup(schema::Setup const& setup);
  void join_control();
  void lose(std::size_t furrow);
  [[nodiscard]] bool vouched(Furrow const& furrow) const {
    return furrow.alive && furrow.revision > 0 &&
           (!control_.vouched || control_.vouched(static_cast<std::size_t>(
                                     std::find(names_.begin(), names_.end(), furrow.name) - names_.begin())));
  }
  [[nodiscard]] bool lawful(Query const& query, Worker const& worker, bool hall_only) const;
  [[nodiscard]] config::Course course(schema::Setup const& setup, std::string const& region, std::size_t mix,
                                      std::string const& home) const {
    FieldMix const& service = options_.deployment.mixes[mix];
    return config::decide(
        setup, region, service.method, service.path,
        [&home](std::string const& name) { return name == "Finchlink-Home" ? home : std::string(); }, 0);
  }
  void ended(Query const& query, bool good);
  struct Second {
    double arrived = 0;
    double good = 0;
    double bad = 0;
  };
  Second& second(std::size_t mix, Moment at = -1) { return seconds_[{mix, (at < 0 ? kernel_.now() : at) / 1000000}]; }
  QueryPointer make_query(std::size_t mix, std::size_t furrow, std::string const& home, config::Serve const& serve,
                          bool passed);
  void feed(QueryPointer const& query, tilth::QueryMessage const& message);
  void perform(QueryPointer const& query, std::vector<tilth::QueryAction> const& actions);
  void place(QueryPointer const& query);
  void obey(Furrow& furrow, std::vector<tilth::PlacementAction> const& actions);
  void send(QueryPointer const& query);
  void pass_on(QueryPointer const& query);
  void settle_parent(QueryPointer const& query, tilth::QueryMessage const& message);
  void end_dispatch(QueryPointer const& query, tilth::Ending ending, tilth::QueryMessage const& message);
  void step(Worker& worker);
  void deliver(JobPointer const& job, bool last);
  void refresh(Furrow& furrow);
  void look(Furrow& furrow);
  void report_loop(Furrow& furrow);
  void scale(std::size_t region);
  void crash(Worker& worker);
  void revive(Worker& worker);
  void faults();
  void repeat(double mean, std::function<void()> fault);
  void weigh_crowd();
  void finish();
  double noisy(double seconds) {
    return std::max(0.0,
                    seconds * (1.0 + noise * (kernel_.uniform() + kernel_.uniform() + kernel_.uniform() - 1.5) * 2));
  }

  FieldOptions options_;
  mutable Kernel kernel_;
  FieldReport report_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Furrow>> furrows_;
  std::vector<Region> regions_;
  ControlPart control_;
  std::map<std::uint64_t, schema::Setup> setups_;  ///< by revision
  std::uint64_t newest_ = 1;
  std::uint64_t acknowledged_ = 1;
  std::vector<std::string> names_;  ///< of all furrows
  std::map<std::uint64_t, QueryPointer> tickets_;
  std::uint64_t next_ = 1;
  std::uint64_t next_query_ = 1;
  std::vector<QueryPointer> all_;
  std::map<std::pair<std::size_t, Moment>, Second> seconds_;  ///< per service and second
  std::vector<double> firsts_;
  std::uint64_t good_late_ = 0;
  double prompt_tokens_ = 0;
  double cached_tokens_ = 0;
  std::map<std::string, std::vector<Moment>> first_dispatches_;
  std::map<std::string, std::vector<Moment>> retries_;
};

void World::arrivals(std::size_t index) {
  double rate = options_.deployment.mixes[index].rate * options_.scale;
  Moment const crowd = options_.faults.crowd_at;
  if (crowd > 0 && kernel_.now() >= crowd && kernel_.now() < crowd + options_.faults.crowd_span &&
      (index == 0 || !options_.faults.crowd_on_first)) {
    rate *= options_.faults.crowd;
  }
  kernel_.after(static_cast<Span>(kernel_.exponential(1.0 / rate) * 1e6), [this, index] {
    if (kernel_.now() < options_.length) {
      arrivals(index);
      std::vector<std::string> const& homes = options_.deployment.mixes[index].homes;
      ++report_.sent;
      arrive(index, homes.empty() ? "" : homes[kernel_.below(homes.size())], 0, 0, std::nullopt);
    }
  });
}

void World::arrive(std::size_t index, std::string const& home, std::uint64_t tries, std::size_t hops,
                   std::optional<std::string> const& region) {
  std::size_t furrow = kernel_.below(furrows_.size());
  while (region.has_value() && options_.deployment.regions[furrows_[furrow]->region] != *region) {  // sent there by 307
    furrow = kernel_.below(furrows_.size());
  }
  if (!vouched(*furrows_[furrow])) {  // refused at once, or nobody listens there
    ++report_.unvouched;
    return;
  }
  tilth::Plan const& plan = *furrows_[furrow]->plan;
  config::Course const decided = course(plan.setup, plan.region, index, home);
  if (config::GoHome const* const there = std::get_if<config::GoHome>(&decided)) {
    if (hops < 4) {
      kernel_.after(near(),
                    [this, index, home, tries, hops, to = there->region] { arrive(index, home, tries, hops + 1, to); });
    }
    return;
  }
  config::Serve const* const serve = std::get_if<config::Serve>(&decided);
  if (serve == nullptr) {
    return;
  }
  ++second(index).arrived;
  QueryPointer const query = make_query(index, furrow, home, *serve, false);
  query->tries = tries;
  query->hops = hops;
  furrows_[furrow]->budgets.try_emplace(serve->rule).first->second.arrived(kernel_.now());
  perform(query, query->chart->begin());
}

World::QueryPointer World::make_query(std::size_t index, std::size_t furrow, std::string const& home,
                                      config::Serve const& serve, bool passed) {
  FieldMix const mix = mix_of(index);
  QueryPointer const query = std::make_shared<Query>();
  query->id = next_query_++;
  query->mix = index;
  query->furrow = furrow;
  query->home = home;
  query->footing.plan = furrows_[furrow]->plan;
  query->footing.serve = serve;
  query->footing.rule = query->footing.plan->setup.rules.at(serve.rule);
  schema::Rule const& rule = query->footing.rule;
  query->began = kernel_.now();
  Span const deadline = loam::milliseconds(static_cast<std::int64_t>(rule.deadline_ms));
  query->deadline = kernel_.now() + deadline;
  query->tokens = mix.prefix_tokens + std::max(1.0, mix.own_tokens * (0.5 + kernel_.uniform()));
  query->outputs = static_cast<std::uint64_t>(std::max(2.0, mix.outputs * (0.5 + kernel_.uniform())));
  std::uint64_t const prefix = kernel_.below(std::max<std::uint64_t>(1, mix.prefixes));
  double const block = static_cast<double>(options_.bounds.block_tokens);
  std::uint64_t chain = 0;
  for (double place = block; place <= query->tokens; place += block) {
    bool const shared = place <= mix.prefix_tokens;
    chain = tilth::mix(chain, shared ? tilth::mix(index * 1000 + prefix, static_cast<std::uint64_t>(place))
                                     : tilth::mix(query->id, 77));
    query->chain.push_back(chain);
  }
  tilth::QueryTerms terms;
  terms.repeatable = rule.repeatable || !options_.dispatch_once;
  terms.resumable = rule.resumable;
  terms.stream = rule.stream;
  terms.may_pass = !passed;
  std::string const name = mix.name;
  query->chart = std::make_unique<tilth::Chart>(terms, [this, furrow, name](Moment now) {
    if (!options_.budget) {
      return true;
    }
    return furrows_[furrow]->budgets.try_emplace(name).first->second.take(
        now, tilth::keeps_right(name, furrows_[furrow]->name, names_));
  });
  all_.push_back(query);
  if (!passed) {
    kernel_.after(deadline, [this, query] {
      if (!query->chart->settled()) {
        feed(query, tilth::DeadlinePassed{});
      }
    });
  }
  return query;
}

void World::feed(QueryPointer const& query, tilth::QueryMessage const& message) {
  perform(query, query->chart->advance(message, kernel_.now()));
}

void World::settle_parent(QueryPointer const& query, tilth::QueryMessage const& message) {
  QueryPointer const parent = query->parent;
  kernel_.after(near() + options_.deployment.hop, [this, parent, message] { feed(parent, message); });
}

void World::perform(QueryPointer const& query, std::vector<tilth::QueryAction> const& actions) {
  for (tilth::QueryAction const& action : actions) {
    if (tilth::Place const* const found = std::get_if<tilth::Place>(&action)) {
      if (found->again) {
        ++report_.retries;
      }
      place(query);
    } else if (std::holds_alternative<tilth::PassOn>(action)) {
      pass_on(query);
    } else if (tilth::Forward const* const forward = std::get_if<tilth::Forward>(&action)) {
      if (query->parent != nullptr) {
        settle_parent(query, tilth::Event{forward->number, forward->last});
        continue;
      }
      if (query->first == 0) {
        query->first = kernel_.now();
      }
      if (forward->number != query->seen + 1) {
        violate("a caller got event " + std::to_string(forward->number) + " after " + std::to_string(query->seen));
      }
      query->seen = forward->number;
      if (forward->last) {
        ended(*query, true);
        ++report_.good;
        good_late_ += kernel_.now() > options_.length / 2 ? 1 : 0;
        firsts_.push_back(static_cast<double>(query->first - query->began) / 1e6);
      }
    } else if (std::holds_alternative<tilth::Deliver>(action)) {
      if (query->parent != nullptr) {
        settle_parent(query, tilth::Whole{});
        continue;
      }
      ended(*query, true);
      ++report_.good;
      good_late_ += kernel_.now() > options_.length / 2 ? 1 : 0;
      firsts_.push_back(static_cast<double>((query->first == 0 ? kernel_.now() : query->first) - query->began) / 1e6);
    } else if (std::holds_alternative<tilth::SendHome>(action)) {
      if (query->parent != nullptr) {
        settle_parent(query, tilth::NoRoom{});
      } else if (query->hops < 4) {
        kernel_.after(near(), [this, query] {
          arrive(query->mix, query->home, query->tries, query->hops + 1, query->footing.home);
        });
      }
    } else if (std::holds_alternative<tilth::Refuse>(action)) {
      if (query->parent != nullptr) {
        settle_parent(query, tilth::NoRoom{});
        continue;
      }
      ++report_.refused;
      query->told_refused = true;
      ended(*query, false);
      report_.worst_refusal = std::max(report_.worst_refusal, static_cast<double>(kernel_.now() - query->began) / 1e6);
      if (query->tries < options_.faults.comes_back) {
        kernel_.after(loam::seconds(tilth::come_back_after(query->wait, kernel_.uniform())), [this, query] {
          if (kernel_.now() < options_.length) {
            arrive(query->mix, query->home, query->tries + 1, 0, std::nullopt);
          }
        });
      }
    } else if (tilth::Apologise const* const apology = std::get_if<tilth::Apologise>(&action)) {
      if (query->parent != nullptr) {
        settle_parent(query, tilth::WorkerAnswered{apology->status});
        continue;
      }
      if (!options_.honest_refusal) {  // the guard off: said as "busy"
        query->told_refused = true;
      }
      ++report_.apologies;
      ended(*query, false);
    } else if (std::holds_alternative<tilth::EndBroken>(action)) {
      if (query->parent != nullptr) {
        settle_parent(query, tilth::WorkerDefect{"pass_cut"});
        continue;
      }
      ++report_.broken;
      ended(*query, false);
    }
  }
  if (query->chart->settled()) {
    if (query->job != nullptr) {
      query->job->gone = true;
      query->job = nullptr;
    }
    if (query->ticket != 0) {
      std::uint64_t const ticket = query->ticket;
      query->ticket = 0;
      tickets_.erase(ticket);
      obey(*furrows_[query->furrow], furrows_[query->furrow]->placement.cancel(ticket, kernel_.now()));
    }
  }
}

void World::place(QueryPointer const& query) {
  Furrow& furrow = *furrows_[query->furrow];
  (void)follow(query);
  if (query->chart->settled()) {
    return;
  }
  schema::Rule const& rule = query->footing.rule;
  tilth::Ticket ticket;
  ticket.id = next_++;
  ticket.rule = query->footing.serve.rule;
  ticket.allowed = tilth::allowed_for(*query->footing.plan, ticket.rule);
  ticket.chain = query->chain;
  ticket.tokens = query->tokens;
  ticket.outputs = furrow.outputs.try_emplace(ticket.rule, 32.0).first->second;
  bool const paired = query->has_kv || options_.aims.manner == "paired";
  query->decode_leg = paired && query->has_kv;
  ticket.phase =
      tilth::wanted_phase(*query->footing.plan, "model", paired, query->decode_leg, ticket.tokens, ticket.outputs);
  query->phase = ticket.phase;
  ticket.deadline = query->deadline;
  ticket.begun = query->has_kv;
  ticket.waitlist_bound = rule.waitlist;
  query->ticket = ticket.id;
  tickets_[ticket.id] = query;
  obey(furrow, furrow.placement.enqueue(ticket, kernel_.now()));
}

void World::obey(Furrow& furrow, std::vector<tilth::PlacementAction> const& actions) {
  for (tilth::PlacementAction const& action : actions) {
    if (tilth::Go const* const go = std::get_if<tilth::Go>(&action)) {
      std::map<std::uint64_t, QueryPointer>::const_iterator const found = tickets_.find(go->ticket);
      if (found == tickets_.end()) {
        continue;
      }
      found->second->go = *go;
      found->second->worker = go->worker;
      send(found->second);
    } else {
      tilth::Denied const& denied = std::get<tilth::Denied>(action);
      std::map<std::uint64_t, QueryPointer>::const_iterator const found = tickets_.find(denied.ticket);
      if (found == tickets_.end()) {
        continue;
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
  }
  (void)furrow;
}

void World::end_dispatch(QueryPointer const& query, tilth::Ending ending, tilth::QueryMessage const& message) {
  std::uint64_t const ticket = query->ticket;
  query->ticket = 0;
  query->job = nullptr;
  ++query->dispatch;
  tickets_.erase(ticket);
  obey(*furrows_[query->furrow], furrows_[query->furrow]->placement.finished(ticket, ending, kernel_.now()));
  feed(query, message);
}

void World::send(QueryPointer const& query) {
  feed(query, tilth::Placed{query->worker});
  std::uint64_t const dispatch = query->dispatch;
  kernel_.after(near(), [this, query, dispatch] {
    if (query->chart->settled() || query->dispatch != dispatch) {
      return;
    }
    Furrow& furrow = *furrows_[query->furrow];
    Worker* const worker = worker_of(query->worker);
    if (worker == nullptr || !worker->up) {
      end_dispatch(query, tilth::Ending::defect, tilth::ConnectDefect{});
      return;
    }
    if (!vouched(furrow)) {
      ++report_.unvouched;
      end_dispatch(query, tilth::Ending::abandoned, tilth::Withdrawn{});
      return;
    }
    if (options_.decide_anew &&
        (follow(query) || !tilth::may_go(*furrow.plan, query->footing.serve.rule, worker->id))) {
      end_dispatch(query, tilth::Ending::abandoned, tilth::Withdrawn{});
      return;
    }
    feed(query, tilth::Connected{});
    query->sent = kernel_.now();
    query->running_at_start = furrow.placement.running_on(worker->id);
    FieldMix const& mix = options_.deployment.mixes[query->mix];
    if (!query->decode_leg) {
      (query->chart->dispatches() <= 1 ? first_dispatches_ : retries_)[mix.name].push_back(kernel_.now());
    }
    if (worker->draining) {
      report_.worst_drain = std::max(report_.worst_drain, kernel_.now() - worker->draining_since);
      if (kernel_.now() - worker->draining_since > drain_allowed) {
        violate(worker->id + " got a query " + std::to_string((kernel_.now() - worker->draining_since) / 1000) +
                " ms after it was shown draining");
      }
    }
    if (!lawful(*query, *worker, true)) {
      violate("a query went to " + worker->id + " in an emptied hall after revision " + std::to_string(acknowledged_) +
              " was acknowledged");
    } else if (!lawful(*query, *worker, false)) {
      violate("a query of " + mix.name + " went by an old rule after revision " + std::to_string(acknowledged_) +
              " was acknowledged");
    }
    if (worker->dark) {
      kernel_.after(constants::stream_silence, [this, query, dispatch] {
        if (!query->chart->settled() && query->dispatch == dispatch) {
          end_dispatch(query, tilth::Ending::defect, tilth::WorkerDefect{"silence"});
        }
      });
      return;
    }
    Span const up = kernel_.now() - worker->up_since;
    double const bears = static_cast<double>(cold_bears) +
                         static_cast<double>(worker_limit) * static_cast<double>(up) / static_cast<double>(warming);
    bool const flooded = up < warming && static_cast<double>(worker->open()) >= bears;
    if (flooded) {
      violate(worker->id + " came back " + std::to_string(up / 1000) + " ms ago and was flooded with " +
              std::to_string(worker->open() + 1) + " queries");
    }
    if (flooded || worker->open() >= worker_limit) {
      end_dispatch(query, tilth::Ending::refused, tilth::WorkerRefused{});
      return;
    }
    QueryPointer root = query;
    while (root->parent != nullptr) {
      root = root->parent;
    }
    bool repeatable = false;
    for (std::map<std::uint64_t, schema::Setup>::const_iterator entry = setups_.lower_bound(acknowledged_);
         entry != setups_.end(); ++entry) {
      repeatable = repeatable || entry->second.rules.at(query->footing.serve.rule).repeatable;
    }
    if (!query->decode_leg && ++root->runs > 1 && !repeatable) {
      violate("query " + std::to_string(root->id) + " of " + mix.name + " ran twice");
    }
    JobPointer const job = std::make_shared<Job>();
    job->query = query;
    job->dispatch = dispatch;
    job->prefill_leg = options_.aims.manner == "paired" && !query->decode_leg;
    job->decode_leg = query->decode_leg;
    job->tokens = query->tokens;
    job->chain = query->chain;
    job->outputs = query->outputs;
    job->skip = query->footing.rule.stream ? query->chart->last_event() : 0;
    query->expected = 1;
    query->iterations = 0;
    query->gaps.clear();
    query->leg_first = 0;
    query->job = job;
    worker->waiting.push_back(job);
    step(*worker);
    if (options_.faults.cut > 0 && kernel_.chance(options_.faults.cut)) {
      kernel_.after(kernel_.between(1000, loam::milliseconds(60)), [this, query, dispatch] {
        if (!query->chart->settled() && query->dispatch == dispatch && query->job != nullptr) {
          query->job->gone = true;
          end_dispatch(query, tilth::Ending::defect, tilth::WorkerDefect{"cut"});
        }
      });
    }
  });
}

void World::step(Worker& worker) {
  if (worker.busy || !worker.up || worker.dark) {
    return;
  }
  std::uint64_t const life = worker.life;
  while (!worker.waiting.empty() && worker.waiting.front()->gone) {
    worker.waiting.pop_front();
  }
  worker.running.remove_if([](JobPointer const& job) { return job->gone; });
  if (!worker.waiting.empty()) {
    JobPointer const job = worker.waiting.front();
    worker.waiting.pop_front();
    double seconds = 0;
    if (!job->decode_leg) {
      double const cached = std::min(
          static_cast<double>(worker.cache.match(job->chain)) * static_cast<double>(options_.bounds.block_tokens),
          job->tokens - 1);
      double const uncached = job->tokens - cached;
      prompt_tokens_ += job->tokens;
      cached_tokens_ += cached;
      worker.cache.remember(job->chain);
      seconds = noisy(true_prefill[0] + true_prefill[1] * uncached + true_prefill[2] * tilth::pairs(uncached, cached)) /
                worker.speed;
    }
    worker.running.push_back(job);
    worker.busy = true;
    kernel_.after(static_cast<Span>(seconds * 1e6), [this, &worker, job, life] {
      if (worker.life != life) {
        return;
      }
      worker.busy = false;
      if (job->prefill_leg) {
        worker.running.remove(job);
      }
      deliver(job, false);
      step(worker);
    });
    return;
  }
  if (worker.running.empty()) {
    return;
  }
  double const batch = static_cast<double>(worker.running.size());
  double const seconds = noisy(true_decode[0] + true_decode[1] * tilth::spread(options_.aims.experts_share, 1, batch) +
                               true_decode[2] * batch) /
                         worker.speed;
  worker.busy = true;
  kernel_.after(static_cast<Span>(seconds * 1e6), [this, &worker, life] {
    if (worker.life != life) {
      return;
    }
    worker.busy = false;
    std::vector<JobPointer> const batch_jobs(worker.running.begin(), worker.running.end());
    for (JobPointer const& job : batch_jobs) {
      if (job->gone) {
        continue;
      }
      bool const last = job->produced + 1 >= job->outputs;
      if (last) {
        worker.running.remove(job);
      }
      deliver(job, last);
    }
    step(worker);
  });
}

void World::deliver(JobPointer const& job, bool last) {
  ++job->produced;
  if (!job->prefill_leg && job->produced <= job->skip) {
    return;
  }
  std::uint64_t const number = job->produced;
  QueryPointer const query = job->query;
  kernel_.after(300, [this, query, job, number, last] {
    if (job->gone || query->chart->settled() || query->dispatch != job->dispatch) {
      return;
    }
    Furrow& furrow = *furrows_[query->furrow];
    FieldMix const& mix = options_.deployment.mixes[query->mix];
    Moment const now = kernel_.now();
    schema::WorkerFigures& figures =
        furrow.figures[query->worker + (query->phase == tilth::Phase::decode ? " d" : " p")];
    figures.worker = query->worker;
    figures.phase = query->phase == tilth::Phase::decode ? "decode" : "prefill";
    if (query->leg_first == 0) {
      query->leg_first = now;
      furrow.placement.first_token(query->ticket, now);
      if (!query->decode_leg) {
        double const uncached = std::max(1.0, query->tokens - query->go.cached);
        figures.queries += 1;
        figures.uncached += uncached;
        figures.cached += query->go.cached;
        figures.pairs += tilth::pairs(uncached, query->go.cached);
        if (query->running_at_start <= 1 && furrow.samples.size() < constants::samples_most) {
          schema::Sample sample;
          sample.worker = query->worker;
          sample.seconds = static_cast<double>(now - query->sent) / 1e6;
          sample.sure = query->go.cached > 0;
          sample.uncached = uncached;
          sample.pairs = tilth::pairs(uncached, query->go.cached);
          furrow.samples.push_back(sample);
        }
      }
    } else {
      query->iterations += 1;
      query->gaps.push_back(static_cast<double>(now - query->last_event) / 1e6);
    }
    query->last_event = now;
    if (job->prefill_leg) {
      query->has_kv = true;
      end_dispatch(query, tilth::Ending::good, tilth::LegDone{});
      return;
    }
    if (query->first == 0) {
      query->first = now;
    }
    if (last) {
      double& outputs = furrow.outputs[mix.name];
      outputs += 0.05 * (static_cast<double>(query->outputs) - outputs);
      figures.iterations += query->iterations;
      figures.decodes += 1;
      figures.decode_seconds += static_cast<double>(now - query->leg_first) / 1e6;
      if (query->iterations >= 4 && furrow.samples.size() < constants::samples_most) {
        double const running =
            std::max(1.0, (query->running_at_start + furrow.placement.running_on(query->worker) + 1) / 2);
        schema::Sample sample;
        sample.worker = query->worker;
        sample.decode = true;
        sample.seconds = tilth::middle(query->gaps);
        sample.spread = tilth::spread(options_.aims.experts_share, 1, running);
        sample.running = running;
        furrow.samples.push_back(sample);
      }
    }
    if (query->footing.rule.stream) {
      if (last) {
        std::uint64_t const ticket = query->ticket;
        query->ticket = 0;
        tickets_.erase(ticket);
        query->job = nullptr;
        obey(furrow, furrow.placement.finished(ticket, tilth::Ending::good, now));
      }
      std::uint64_t shown = number;
      if (!options_.checked_numbers) {  // the guard off: whatever comes is handed on as the next
        shown = query->chart->last_event() + 1;
        if (shown != number) {
          violate("a stream went on with event " + std::to_string(number) + " as if it were " + std::to_string(shown));
        }
      }
      feed(query, tilth::Event{shown, last});
    } else if (last) {
      end_dispatch(query, tilth::Ending::good, tilth::Whole{});
    }
  });
}

void World::pass_on(QueryPointer const& query) {
  (void)follow(query);
  if (query->chart->settled()) {
    return;
  }
  std::vector<schema::Member> const targets =
      tilth::pass_targets(*query->footing.plan, furrows_[query->furrow]->name, "model", query->footing.serve.bound);
  if (targets.empty()) {
    feed(query, tilth::NoRoom{});
    return;
  }
  ++report_.passes;
  feed(query, tilth::Placed{"pass"});
  feed(query, tilth::Connected{});
  std::string const chosen = targets[kernel_.below(targets.size())].name;
  std::size_t const target = static_cast<std::size_t>(std::find(names_.begin(), names_.end(), chosen) - names_.begin());
  bool const far = furrows_[target]->region != furrows_[query->furrow]->region;
  kernel_.after(far ? options_.deployment.hop : near(), [this, query, target] {
    tilth::Plan const& plan = *furrows_[target]->plan;
    config::Course const decided = course(plan.setup, plan.region, query->mix, query->home);
    if (query->chart->settled()) {
      return;
    }
    if (!vouched(*furrows_[target]) || !std::holds_alternative<config::Serve>(decided)) {
      feed(query, tilth::NoRoom{});
      return;
    }
    QueryPointer const child = make_query(query->mix, target, query->home, std::get<config::Serve>(decided), true);
    child->parent = query;
    child->tokens = query->tokens;
    child->chain = query->chain;
    child->outputs = query->outputs;
    child->deadline = query->deadline;
    perform(child, child->chart->begin());
  });
}

/// The plan anew, by the same rules as a furrow's; whoever waits follows it.
void World::renew(Furrow& furrow) {
  if (!furrow.alive || furrow.revision == 0) {
    return;
  }
  std::shared_ptr<tilth::Plan> const plan = std::make_shared<tilth::Plan>();
  plan->has_setup = true;
  plan->decided = furrow.revision;
  plan->setup = setups_.at(furrow.revision);
  plan->setup.scaler = options_.aims;
  plan->setup.workers = options_.bounds;
  plan->splits[options_.deployment.regions[furrow.region]] = furrow.split;
  for (std::unique_ptr<Furrow> const& other : furrows_) {
    if (!other->alive) {
      continue;
    }
    schema::Member member;
    member.name = other->name;
    member.hall = other->hall;
    member.warm = other->placement.warm();
    if (other->placement.room(kernel_.now())) {
      member.rooms.push_back("model");
    }
    plan->members.push_back(member);
  }
  for (std::unique_ptr<Worker> const& worker : workers_) {
    if (furrow.listed[worker->id]) {
      plan->list.workers.push_back(schema::WorkerEntry{
          worker->id, worker->id, worker->hall, "model", options_.drop_drained && furrow.drained[worker->id], {}});
    }
  }
  tilth::derive(*plan, furrow.name, furrow.hall);
  if (!vouched(furrow)) {
    for (tilth::WorkerWish& wish : plan->wishes["model"]) {
      wish.usable = false;
    }
  }
  if (!options_.tend_cold) {
    for (tilth::WorkerWish& wish : plan->wishes["model"]) {
      wish.warm_boots.push_back("boot-" + std::to_string(worker_of(wish.id)->life));
    }
  }
  bool const turned = plan->decided != furrow.plan->decided || plan->allowed != furrow.plan->allowed;
  furrow.plan = plan;
  obey(furrow, furrow.placement.update(plan->wishes["model"], options_.bounds, options_.aims, plan->furrows_here,
                                       kernel_.now()));
  if (!turned || !options_.decide_anew) {
    return;
  }
  std::vector<QueryPointer> waiting;
  for (std::pair<std::uint64_t const, QueryPointer> const& entry : tickets_) {
    if (furrows_[entry.second->furrow].get() == &furrow &&
        std::holds_alternative<tilth::Waitlisted>(entry.second->chart->state())) {
      waiting.push_back(entry.second);
    }
  }
  for (QueryPointer const& query : waiting) {
    if (query->ticket != 0 && std::holds_alternative<tilth::Waitlisted>(query->chart->state()) && follow(query) &&
        !query->chart->settled()) {
      std::uint64_t const ticket = query->ticket;
      query->ticket = 0;
      tickets_.erase(ticket);
      obey(furrow, furrow.placement.cancel(ticket, kernel_.now()));
      place(query);
    }
  }
}

bool World::follow(QueryPointer const& query) {
  if (!options_.decide_anew) {
    return false;
  }
  FieldMix const& mix = options_.deployment.mixes[query->mix];
  tilth::Header const header{
      mix.method, mix.path,
      [query](std::string const& name) { return name == "Finchlink-Home" ? query->home : std::string(); }, 0};
  tilth::Followed followed = tilth::follow(query->footing, furrows_[query->furrow]->plan, header);
  report_.decided_anew += followed.changed ? 1 : 0;
  if (followed.decided.has_value()) {
    followed.decided->repeatable = followed.decided->repeatable || !options_.dispatch_once;
    feed(query, *followed.decided);
  }
  return followed.changed;
}

bool World::lawful(Query const& query, Worker const& worker, bool hall_only) const {
  for (std::map<std::uint64_t, schema::Setup>::const_iterator entry = setups_.lower_bound(acknowledged_);
       entry != setups_.end(); ++entry) {
    schema::Setup const& setup = entry->second;
    std::map<std::string, schema::Hall>::const_iterator const hall = setup.halls.find(worker.hall);
    bool const emptied = hall != setup.halls.end() && hall->second.evacuated;
    if (!emptied && (hall_only || std::holds_alternative<config::Serve>(course(
                                      setup, options_.deployment.regions[worker.region], query.mix, query.home)))) {
      return true;
    }
  }
  return false;
}

void World::apply_setup(schema::Setup const& setup) {
  std::uint64_t const revision = ++newest_;
  setups_[revision] = setup;
  ++report_.faults;
  kernel_.trace("setup " + std::to_string(revision));
  for (std::unique_ptr<Furrow> const& furrow : furrows_) {
    Furrow* const one = furrow.get();
    kernel_.after(kernel_.between(loam::milliseconds(20), constants::vouch_bound), [this, one, revision] {
      if (revision > one->revision) {
        one->revision = revision;
        renew(*one);
      }
    });
  }
  kernel_.after(constants::acknowledge_wait, [this, revision] { acknowledged_ = std::max(acknowledged_, revision); });
}

schema::Setup World::changed_setup(schema::Setup setup) {
  std::string const name = options_.deployment.mixes[kernel_.below(options_.deployment.mixes.size())].name;
  schema::Rule& rule = setup.rules.at(name);
  std::uint64_t const kind = kernel_.below(3);
  if (kind == 0) {
    rule.repeatable = !rule.repeatable;
  } else if (kind == 1) {
    rule.home = schema::Home{};
    if (kernel_.chance(0.6)) {
      rule.home->region = options_.deployment.regions[kernel_.below(2)];
    } else {
      rule.home->header = "Finchlink-Home";
    }
  } else {
    bool any = false;
    for (std::pair<std::string const, schema::Hall>& hall : setup.halls) {
      any = any || hall.second.evacuated;
      hall.second.evacuated = false;
    }
    if (!any) {
      setup.halls[options_.deployment.halls[kernel_.below(options_.deployment.halls.size())].name].evacuated = true;
    }
  }
  return setup;
}

/// The register and the news of the control plane in place of apply_setup.
void World::join_control() {
  ControlOptions control = *options_.control;
  control.seed = options_.seed;
  control.length = options_.length;
  control.furrows = furrows_.size();
  control.furrow_names = names_;
  control.first_setup = loam::print_tree(loam::Tree(schema::write(options_.deployment.setup)).get());
  control.patch = [this](std::string const& id) {
    // Most changes touch no query; some move homes or empty halls.
    schema::Setup const from = setups_.empty() ? options_.deployment.setup : setups_.rbegin()->second;
    schema::Setup to = kernel_.chance(0.15) ? changed_setup(from) : from;
    to.halls[options_.deployment.halls.front().name].labels["mark"] = id;
    loam::Tree const whole(schema::write(to));
    loam::Tree patch(cJSON_CreateObject());
    for (char const* const part : {"halls", "rules"}) {
      cJSON_AddItemToObject(patch.get(), part, cJSON_DetachItemFromObjectCaseSensitive(whole.get(), part));
    }
    return loam::print_tree(patch.get());
  };
  control.seen = [this](std::uint64_t revision, std::string const& content) {
    setups_[revision] = config::read_setup(content).setup;
    newest_ = std::max(newest_, revision);
  };
  control.adopted = [this](std::size_t furrow, std::uint64_t revision) {
    Furrow& one = *furrows_[furrow];
    ++report_.faults;
    one.revision = revision;
    renew(one);
  };
  control.acknowledged = [this](std::uint64_t revision) { acknowledged_ = std::max(acknowledged_, revision); };
  control.lives = [this](std::size_t furrow, bool alive) {
    if (!alive) {
      lose(furrow);
    } else {
      furrows_[furrow]->alive = true;
    }
  };
  control_ = control_part(control, kernel_);
}

/// A furrow is killed: its callers and the furrows that passed to it see their
/// connections cut, its workers end what it had there; it comes back with nothing.
void World::lose(std::size_t number) {
  Furrow& furrow = *furrows_[number];
  ++report_.furrows_lost;
  furrow.alive = false;
  std::vector<QueryPointer> open;
  for (QueryPointer const& query : all_) {
    if (query->furrow == number && !query->chart->settled()) {
      open.push_back(query);
    }
  }
  for (QueryPointer const& query : open) {
    if (query->parent != nullptr) {
      settle_parent(query, tilth::WorkerDefect{"pass_cut"});
    }
    ended(*query, false);
    feed(query, tilth::CallerGone{});
  }
  furrow.placement = tilth::Placement(options_.placement);
  furrow.budgets.clear();
  furrow.outputs.clear();
  furrow.revision = 0;
  furrow.plan = std::make_shared<tilth::Plan const>();
  furrow.split = schema::Split{};
}

void World::refresh(Furrow& furrow) {
  renew(furrow);
  obey(furrow, furrow.placement.tick(kernel_.now()));
  kernel_.after(loam::milliseconds(250), [this, &furrow] { refresh(furrow); });
}

void World::look(Furrow& furrow) {
  for (std::unique_ptr<Worker> const& worker : workers_) {
    if (worker->region == furrow.region && furrow.listed[worker->id]) {
      if (worker->up && !worker->dark) {
        obey(furrow, furrow.placement.load(worker->id, static_cast<double>(worker->running.size()),
                                           static_cast<double>(worker->waiting.size()),
                                           "boot-" + std::to_string(worker->life), kernel_.now()));
      } else {
        obey(furrow, furrow.placement.load_missed(worker->id, kernel_.now()));
      }
    }
  }
  kernel_.after(constants::load_pause + kernel_.between(0, loam::milliseconds(20)), [this, &furrow] { look(furrow); });
}

void World::report_loop(Furrow& furrow) {
  kernel_.after(constants::report_span, [this, &furrow] {
    schema::FurrowReport report;
    report.slice = ++furrow.slice;
    for (std::pair<std::string const, schema::WorkerFigures> const& figures : furrow.figures) {
      report.figures.push_back(figures.second);
    }
    report.samples = std::move(furrow.samples);
    furrow.samples.clear();
    furrow.figures.clear();
    regions_[furrow.region].scaler.report(report, options_.aims, kernel_.now());
    report_loop(furrow);
  });
}

void World::scale(std::size_t index) {
  kernel_.after(constants::duty_pause, [this, index] {
    scale(index);
    Region& region = regions_[index];
    std::vector<std::string> names;
    for (std::unique_ptr<Worker> const& worker : workers_) {
      if (worker->region == index && worker->listed && !worker->draining) {
        names.push_back(worker->id);
      }
    }
    tilth::ScalerAction const action =
        region.scaler.tick(region.split, region.revision, names, options_.aims, options_.bounds, kernel_.now());
    if (tilth::WriteSplit const* const write = std::get_if<tilth::WriteSplit>(&action)) {
      region.split = write->split;
      ++region.revision;
      ++report_.switches;
      kernel_.trace("split of region " + std::to_string(index) + ": " + write->split.reason);
      for (std::unique_ptr<Furrow> const& furrow : furrows_) {
        if (furrow->region == index) {
          Furrow* const one = furrow.get();
          kernel_.after(kernel_.between(loam::milliseconds(20), loam::milliseconds(300)),
                        [one, split = region.split] { one->split = split; });
        }
      }
    }
  });
}

void World::crash(Worker& worker) {
  kernel_.trace("crash " + worker.id);
  if (options_.hear_closing) {
    for (std::unique_ptr<Furrow> const& furrow : furrows_) {  // kept connections close
      Furrow* const one = furrow.get();
      kernel_.after(near(), [this, one, id = worker.id] { obey(*one, one->placement.lost(id, kernel_.now())); });
    }
  }
  worker.up = false;
  worker.busy = false;
  ++worker.life;
  std::vector<JobPointer> jobs(worker.waiting.begin(), worker.waiting.end());
  jobs.insert(jobs.end(), worker.running.begin(), worker.running.end());
  worker.waiting.clear();
  worker.running.clear();
  for (JobPointer const& job : jobs) {
    if (!job->gone && !job->query->chart->settled() && job->query->dispatch == job->dispatch) {
      job->gone = true;
      end_dispatch(job->query, tilth::Ending::defect, tilth::WorkerDefect{"crash"});
    }
  }
}

void World::revive(Worker& worker) {
  kernel_.trace("revive " + worker.id);
  worker.up = true;
  worker.up_since = kernel_.now();
  worker.cache.clear();
}

void World::repeat(double mean, std::function<void()> fault) {
  if (mean > 0) {
    kernel_.after(static_cast<Span>(kernel_.exponential(mean) * 1e6), [this, mean, fault] {
      if (kernel_.now() < options_.length) {
        fault();
        repeat(mean, fault);
      }
    });
  }
}

void World::faults() {
  FieldFaults const& mix = options_.faults;
  std::function<Worker&()> const any = [this]() -> Worker& { return *workers_[kernel_.below(workers_.size())]; };
  repeat(mix.crash, [this, any] {
    Worker& worker = any();
    if (worker.up) {
      crash(worker);
      kernel_.after(kernel_.between(loam::milliseconds(50), loam::seconds(6)), [this, &worker] { revive(worker); });
    }
  });
  repeat(mix.dark, [this, any] {
    Worker& worker = any();
    worker.dark = true;
    kernel_.after(kernel_.between(loam::seconds(1), loam::seconds(7)), [this, &worker] {
      worker.dark = false;
      step(worker);
    });
  });
  repeat(mix.setups, [this] { apply_setup(changed_setup(setups_.at(newest_))); });
  repeat(mix.blink, [this, any] {
    Worker& worker = any();
    if (!worker.up || worker.dark || kernel_.now() - worker.up_since < warming) {
      return;
    }
    ++report_.faults;
    worker.dark = true;
    kernel_.after(kernel_.between(loam::milliseconds(300), loam::milliseconds(900)), [this, &worker] {
      // What ran is gone; its furrows learn of it by silence only.
      std::vector<JobPointer> jobs(worker.waiting.begin(), worker.waiting.end());
      jobs.insert(jobs.end(), worker.running.begin(), worker.running.end());
      worker.waiting.clear();
      worker.running.clear();
      worker.busy = false;
      worker.dark = false;
      ++worker.life;
      revive(worker);
      for (JobPointer const& job : jobs) {
        kernel_.after(constants::stream_silence, [this, job] {
          if (!job->gone && !job->query->chart->settled() && job->query->dispatch == job->dispatch) {
            job->gone = true;
            end_dispatch(job->query, tilth::Ending::defect, tilth::WorkerDefect{"silence"});
          }
        });
      }
    });
  });
  std::function<void(Worker&, bool)> const show = [this](Worker& worker, bool on) {
    worker.draining = on;
    worker.draining_since = kernel_.now();
    std::uint64_t const shown = ++worker.shown;  // the list is counted: an older one never replaces a newer
    for (std::unique_ptr<Furrow> const& furrow : furrows_) {  // trellis reads the list, furrow hears
      Furrow* const one = furrow.get();
      kernel_.after(kernel_.between(loam::milliseconds(30), loam::milliseconds(1400)),
                    [this, one, id = worker.id, on, shown] {
                      if (shown > one->list_seen[id]) {
                        one->list_seen[id] = shown;
                        one->drained[id] = on;
                        renew(*one);
                      }
                    });
    }
  };
  repeat(mix.drain, [this, any, show] {
    Worker& worker = any();
    if (!worker.draining) {
      show(worker, true);
      kernel_.after(kernel_.between(loam::seconds(6), loam::seconds(12)), [&worker, show] { show(worker, false); });
    }
  });
  repeat(mix.replace, [this, any, show] {
    Worker& worker = any();
    if (!worker.draining && worker.up) {
      show(worker, true);
      kernel_.after(kernel_.between(loam::milliseconds(500), loam::seconds(6)),
                    [this, &worker, show] {  // at short notice or slowly
                      if (worker.up) {
                        crash(worker);
                      }
                      kernel_.after(kernel_.between(loam::seconds(1), loam::seconds(4)), [this, &worker, show] {
                        revive(worker);
                        show(worker, false);
                      });
                    });
    }
  });
}

void World::ended(Query const& query, bool good) {
  Second& one = second(query.mix, query.began);
  (good ? one.good : one.bad) += 1;
}

/// Near a crowd: what ended well before, in and behind it (section 10).
void World::weigh_crowd() {
  Moment const from = options_.faults.crowd_at / 1000000;
  Moment const until = (options_.faults.crowd_at + options_.faults.crowd_span) / 1000000;
  double others = 0;
  double others_good = 0;
  std::map<Moment, Second> sums;
  for (std::pair<std::pair<std::size_t, Moment> const, Second> const& entry : seconds_) {
    Moment const at = entry.first.second;
    sums[at].good += entry.second.good;
    sums[at].bad += entry.second.bad;
    if (entry.first.first > 0 && at >= from && at < until) {
      others += entry.second.good + entry.second.bad;
      others_good += entry.second.good;
    }
  }
  for (std::pair<Moment const, Second> const& entry : sums) {
    if (entry.first >= 5 && entry.first < from) {
      report_.calm_good += entry.second.good / static_cast<double>(from - 5);
    } else if (entry.first >= from + 3 && entry.first < until) {
      report_.crowd_good += entry.second.good / static_cast<double>(until - from - 3);
    } else if (entry.first >= until && entry.first < options_.length / 1000000 - 1 &&
               entry.second.bad > 0.02 * (entry.second.good + entry.second.bad)) {
      report_.after_crowd = static_cast<double>(entry.first + 1 - until);
    }
  }
  report_.others_good = others > 0 ? others_good / others : 1;
}

void World::finish() {
  if (options_.faults.crowd_at > 0) {
    weigh_crowd();
  }
  for (QueryPointer const& query : all_) {
    if (!query->chart->settled() && query->parent == nullptr) {
      violate("query " + std::to_string(query->id) + " was never settled");
    }
    if (query->told_refused && query->runs > 0) {
      violate("query " + std::to_string(query->id) + " was told refused though it ran");
    }
  }
  for (std::pair<std::string const, std::vector<Moment>> const& entry : retries_) {
    report_.worst_retry_share =
        std::max(report_.worst_retry_share, tilth::worst_retry_share(first_dispatches_[entry.first], entry.second));
  }
  if (report_.worst_retry_share > 0.2) {
    violate("retries were " + std::to_string(report_.worst_retry_share) + " of a service's traffic in ten seconds");
  }
  std::sort(firsts_.begin(), firsts_.end());
  if (!firsts_.empty()) {
    report_.first_p50 = firsts_[firsts_.size() / 2];
    report_.first_p99 = firsts_[firsts_.size() * 99 / 100];
  }
  report_.reuse = prompt_tokens_ > 0 ? cached_tokens_ / prompt_tokens_ : 0;
  report_.good_rate = static_cast<double>(good_late_) / (static_cast<double>(options_.length) / 2e6);
  double prefill_error = 0;
  double decode_error = 0;
  double count = 0;
  for (Region const& region : regions_) {
    std::size_t prefills = 0;
    for (std::pair<std::string const, std::string> const& phase : region.split.phases) {
      prefills += phase.second == "prefill" ? 1 : 0;
    }
    report_.prefill_workers.push_back(prefills);
    for (std::pair<std::string const, schema::Coefficients> const& fitted : region.split.coefficients) {
      tilth::WorkerModel const model(fitted.second);
      double const shown = model.prefill_seconds(600, 1200);
      double const truth = true_prefill[0] + true_prefill[1] * 600 + true_prefill[2] * tilth::pairs(600, 1200);
      prefill_error += std::abs(shown - truth) / truth;
      double const shown_decode = model.iteration_seconds(options_.aims.experts_share, 1, 8);
      double const truth_decode =
          true_decode[0] + true_decode[1] * tilth::spread(options_.aims.experts_share, 1, 8) + true_decode[2] * 8;
      decode_error += std::abs(shown_decode - truth_decode) / truth_decode;
      count += 1;
    }
  }
  if (count > 0) {
    report_.fit_error["prefill"] = prefill_error / count;
    report_.fit_error["decode"] = decode_error / count;
  }
  for (std::unique_ptr<Furrow> const& furrow : furrows_) {
    report_.moved += furrow->placement.moved();
  }
  report_.trace_hash = kernel_.trace_hash();
  report_.events = kernel_.events();
}

FieldReport World::run() {
  regions_.resize(options_.deployment.regions.size());
  if (!options_.control.has_value()) {
    setups_[1] = options_.deployment.setup;
  }
  for (FieldHall const& hall : options_.deployment.halls) {
    for (std::size_t number = 1; number <= hall.workers; ++number) {
      std::unique_ptr<Worker> worker = std::make_unique<Worker>();
      worker->id = "model-" + hall.name + "-" + std::to_string(number);
      worker->hall = hall.name;
      worker->region = hall.region;
      workers_.push_back(std::move(worker));
    }
    for (std::size_t number = 1; number <= hall.furrows; ++number) {
      std::unique_ptr<Furrow> furrow = std::make_unique<Furrow>();
      furrow->name = "furrow-" + hall.name + "-" + std::to_string(number);
      furrow->hall = hall.name;
      furrow->region = hall.region;
      furrow->placement = tilth::Placement(options_.placement);
      names_.push_back(furrow->name);
      furrows_.push_back(std::move(furrow));
    }
  }
  if (options_.control.has_value()) {
    newest_ = acknowledged_ = 0;
    for (std::unique_ptr<Furrow> const& furrow : furrows_) {
      furrow->revision = 0;
    }
    join_control();
    control_.begin();
    control_.end_day(options_.length + loam::seconds(2));
  }
  for (std::unique_ptr<Furrow> const& furrow : furrows_) {
    for (std::unique_ptr<Worker> const& worker : workers_) {
      furrow->listed[worker->id] = true;
    }
    refresh(*furrow);
    look(*furrow);
    report_loop(*furrow);
  }
  for (std::size_t region = 0; region < regions_.size(); ++region) {
    scale(region);
  }
  kernel_.after(loam::milliseconds(300), [this] {
    for (std::size_t mix = 0; mix < options_.deployment.mixes.size(); ++mix) {
      arrivals(mix);
    }
  });
  kernel_.after(loam::seconds(6), [this] { faults(); });
  kernel_.run(options_.length + loam::seconds(40), control_.each);
  if (control_.finish) {
    report_.control = control_.finish();
    report_.violations.insert(report_.violations.end(), report_.control.violations.begin(),
                              report_.control.violations.end());
  }
  finish();
  return report_;
}

}  // namespace

FieldReport run_field(FieldOptions const& options) {
  World world(options);
  return world.run();
}

std::size_t FieldDeployment::workers_of(std::size_t region) const {
  std::size_t count = 0;
  for (FieldHall const& hall : halls) {
    count += hall.region == region ? hall.workers : 0;
  }
  return count;
}

absl::StatusOr<FieldDeployment> field_deployment(std::string const& folder) {
  std::map<std::string, std::string> texts;
  for (std::string const name : {"fleet.json", "setup.json"}) {
    std::ifstream file(folder + "/" + name);
    if (!file) {
      return absl::NotFoundError(folder + "/" + name + " can't be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    texts[name] = text.str();
  }
  absl::StatusOr<loam::Tree> const tree = loam::read_tree(texts["fleet.json"]);
  if (!tree.ok()) {
    return absl::InvalidArgumentError(folder + "/fleet.json: " + std::string(tree.status().message()));
  }
  config::SetupReading const reading = config::read_setup(texts["setup.json"]);
  if (!reading.good()) {
    return absl::InvalidArgumentError(
        folder + "/setup.json: " + (reading.json ? loam::describe(reading.faults) : reading.reason));
  }
  schema::Fleet fleet;
  std::vector<loam::Fault> faults;
  schema::read(tree->get(), "", fleet, faults);
  FieldDeployment deployment;
  deployment.setup = reading.setup;
  deployment.hop = static_cast<Span>(fleet.hop_ms * 1000);
  for (std::pair<std::string const, schema::FleetHall> const& hall : fleet.halls) {
    std::vector<std::string>& regions = deployment.regions;
    std::size_t const region =
        static_cast<std::size_t>(std::find(regions.begin(), regions.end(), hall.second.region) - regions.begin());
    if (region == regions.size()) {
      regions.push_back(hall.second.region);
    }
    deployment.halls.push_back(FieldHall{hall.first, region, hall.second.machines, hall.second.model_workers});
    if (config::region_of(deployment.setup, hall.first) != hall.second.region) {
      faults.push_back(loam::Fault{"/halls/" + hall.first, "stands in another region of setup.json, or in none"});
    }
  }
  for (schema::Mix const& mix : fleet.mixes) {
    if (!mix.plain) {
      double const bytes = deployment.setup.workers.bytes_per_token;
      deployment.mixes.push_back(FieldMix{mix.name, mix.method, mix.path, mix.rate,
                                          static_cast<double>(mix.prefix_bytes) / bytes,
                                          static_cast<double>(mix.own_bytes) / bytes, mix.prefixes,
                                          std::ceil(static_cast<double>(mix.outputs) / 4), mix.homes});
      if (deployment.setup.rules.count(mix.name) == 0) {
        faults.push_back(loam::Fault{"/mixes", mix.name + " is no rule of setup.json"});
      }
    }
  }
  if (deployment.regions.size() != 2) {
    faults.push_back(loam::Fault{"/halls", "needs two regions"});
  }
  if (!faults.empty()) {
    return absl::InvalidArgumentError(folder + "/fleet.json: " + loam::describe(faults));
  }
  return deployment;
}

std::vector<std::string> field_scenarios() {
  return {"field-calm", "field-crashes", "field-dark",  "field-blinks", "field-drains",   "field-replace",
          "field-cuts", "field-setups",  "field-swing", "field-crowd",  "field-overload", "field-storm"};
}

std::optional<FieldFaults> field_scenario(std::string const& name) {
  FieldFaults faults;
  std::vector<std::string> const names = field_scenarios();
  if (std::find(names.begin(), names.end(), name) == names.end()) {
    return std::nullopt;
  }
  bool const all = name == "field-storm";
  if (name == "field-crashes" || all) {
    faults.crash = all ? 6 : 2;
  }
  if (name == "field-dark" || all) {
    faults.dark = all ? 12 : 4;
  }
  if (name == "field-blinks") {
    faults.blink = 2;
  }
  if (name == "field-drains" || all) {
    faults.drain = all ? 9 : 3;
  }
  if (name == "field-replace" || all) {
    faults.replace = all ? 10 : 4;
  }
  if (name == "field-cuts" || all) {
    faults.cut = all ? 0.01 : 0.05;
  }
  if (name == "field-setups" || all) {
    faults.setups = all ? 8 : 1.2;
  }
  if (name == "field-setups") {
    faults.crowd_at = loam::seconds(10);  // so that many wait at the changes
    faults.crowd = 7;
    faults.crowd_span = loam::seconds(30);
    faults.cut = 0.02;
  }
  if (name == "field-swing" || all) {
    faults.swing_at = loam::seconds(25);
  }
  if (name == "field-overload") {
    faults.crowd_at = loam::seconds(20);
    faults.crowd_span = loam::seconds(15);
    faults.comes_back = 4;
  }
  if (name == "field-crowd" || all) {
    faults.crowd_at = loam::seconds(15);
    faults.crowd = 3;
  }
  return faults;
}

bool is_whole(std::string const& name) {
  return name.rfind("whole-", 0) == 0;
}

bool apply_whole(std::string const& name, FieldOptions& options) {
  std::optional<ControlFaults> const faults = control_scenario(name.substr(6));
  if (!faults.has_value()) {
    return false;
  }
  options.control.emplace();
  options.control->faults = *faults;
  options.control->operators_pause = 2;
  options.faults = *field_scenario(name == "whole-storm" ? "field-storm" : "field-calm");
  options.faults.setups = 0;  // they come by the register
  if (name != "whole-calm") {
    options.faults.crash = 8;
    options.faults.drain = 8;
  }
  return true;
}

bool apply_variant(std::string const& name, FieldOptions& options) {
  if (name == "ours") {
    return true;
  }
  if (name == "static") {
    options.aims.fixed_prefill = static_cast<std::int64_t>(options.deployment.workers_of(0) / 2);
  } else if (name == "no-prefix") {
    options.bounds.prefix_placement = false;
  } else if (name == "no-spill") {
    options.bounds.spill = false;
  } else if (name == "no-overflow") {
    options.bounds.overflow = false;
  } else if (name == "no-hold") {
    options.aims.hold_ms = 0;
    options.aims.errors = 0;
  } else {
    return false;
  }
  return true;
}

}  // namespace finchlink::almanac
