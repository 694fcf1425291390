// Furrows' loops: plan, load of the workers, reports; and the scaler of each region.

#include <algorithm>
#include <utility>

#include "common/constants.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

namespace constants = common::constants;

namespace {

constexpr common::Span refresh_pause = common::milliseconds(250);
constexpr common::Span load_jitter = common::milliseconds(20);
constexpr common::Span least_split_delay = common::milliseconds(20);
constexpr common::Span most_split_delay = common::milliseconds(300);

std::string boot_of(Worker const& worker) {
  return "boot-" + std::to_string(worker.life);
}

}  // namespace

bool World::vouched(Furrow const& furrow) const {
  if (!furrow.alive || furrow.revision == 0) {
    return false;
  }
  std::size_t const number =
      static_cast<std::size_t>(std::find(names_.begin(), names_.end(), furrow.name) - names_.begin());
  return !control_.vouched || control_.vouched(number);
}

void World::refresh(Furrow& furrow) {
  renew(furrow);
  obey(furrow.placement.tick(kernel_.now()));
  kernel_.after(refresh_pause, [this, &furrow] { refresh(furrow); });
}

/// The plan anew, by the same rules as a furrow's; whoever waits follows it.
void World::renew(Furrow& furrow) {
  if (!furrow.alive || furrow.revision == 0) {
    return;
  }
  std::shared_ptr<scheduling::Plan> const plan = make_plan(furrow);
  bool const turned = plan->decided != furrow.plan->decided || plan->allowed != furrow.plan->allowed;
  furrow.plan = plan;
  obey(furrow.placement.update(plan->wishes["model"], options_.bounds, options_.aims, plan->furrows_here,
                               kernel_.now()));
  if (turned && options_.decide_anew) {
    follow_waiting(furrow);
  }
}

std::shared_ptr<scheduling::Plan> World::make_plan(Furrow& furrow) {
  std::shared_ptr<scheduling::Plan> const plan = std::make_shared<scheduling::Plan>();
  plan->has_setup = true;
  plan->decided = furrow.revision;
  plan->setup = setups_.at(furrow.revision);
  plan->setup.scaler = options_.aims;
  plan->setup.workers = options_.bounds;
  plan->splits[options_.deployment.regions[furrow.region]] = furrow.split;
  for (std::unique_ptr<Furrow> const& other : furrows_) {
    if (other->alive) {
      schema::Member member;
      member.name = other->name;
      member.hall = other->hall;
      member.warm = other->placement.warm();
      if (other->placement.room(kernel_.now())) {
        member.rooms.push_back("model");
      }
      plan->members.push_back(member);
    }
  }
  for (std::unique_ptr<Worker> const& worker : workers_) {
    if (furrow.listed[worker->id]) {
      bool const draining = options_.drop_drained && furrow.drained[worker->id];
      plan->list.workers.push_back(schema::WorkerEntry{worker->id, worker->id, worker->hall, "model", draining, {}});
    }
  }
  scheduling::derive(*plan, furrow.name, furrow.hall);
  bool const usable = vouched(furrow);
  for (scheduling::WorkerWish& wish : plan->wishes["model"]) {
    wish.usable = wish.usable && usable;
    if (!options_.tend_cold) {
      wish.warm_boots.push_back(boot_of(*worker_of(wish.id)));
    }
  }
  return plan;
}

void World::follow_waiting(Furrow& furrow) {
  std::vector<QueryPointer> waiting;
  for (std::pair<std::uint64_t const, QueryPointer> const& entry : tickets_) {
    if (furrows_[entry.second->furrow].get() == &furrow &&
        std::holds_alternative<scheduling::Waitlisted>(entry.second->chart->state())) {
      waiting.push_back(entry.second);
    }
  }
  for (QueryPointer const& query : waiting) {
    if (query->ticket != 0 && std::holds_alternative<scheduling::Waitlisted>(query->chart->state()) && follow(query) &&
        !query->chart->settled()) {
      std::uint64_t const ticket = query->ticket;
      query->ticket = 0;
      tickets_.erase(ticket);
      obey(furrow.placement.cancel(ticket, kernel_.now()));
      place(query);
    }
  }
}

void World::look(Furrow& furrow) {
  for (std::unique_ptr<Worker> const& worker : workers_) {
    if (worker->region != furrow.region || !furrow.listed[worker->id]) {
      continue;
    }
    if (worker->up && !worker->dark) {
      obey(furrow.placement.load(worker->id, static_cast<double>(worker->running.size()),
                                 static_cast<double>(worker->waiting.size()), boot_of(*worker), kernel_.now()));
    } else {
      obey(furrow.placement.load_missed(worker->id, kernel_.now()));
    }
  }
  kernel_.after(constants::load_pause + kernel_.between(0, load_jitter), [this, &furrow] { look(furrow); });
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
      if (worker->region == index && !worker->draining) {
        names.push_back(worker->id);
      }
    }
    scheduling::ScalerAction const action =
        region.scaler.tick(region.split, region.revision, names, options_.aims, options_.bounds, kernel_.now());
    if (scheduling::WriteSplit const* const write = std::get_if<scheduling::WriteSplit>(&action)) {
      region.split = write->split;
      ++region.revision;
      ++report_.switches;
      kernel_.trace("split of region " + std::to_string(index) + ": " + write->split.reason);
      tell_split(index);
    }
  });
}

void World::tell_split(std::size_t region) {
  for (std::unique_ptr<Furrow> const& furrow : furrows_) {
    if (furrow->region == region) {
      Furrow* const one = furrow.get();
      kernel_.after(kernel_.between(least_split_delay, most_split_delay),
                    [one, split = regions_[region].split] { one->split = split; });
    }
  }
}

}  // namespace finchlink::simulator::query_path
