#include "simulator/control/network.hpp"

#include <memory>
#include <utility>

namespace finchlink::simulator::control {

using common::Moment;
using common::Span;

namespace {

constexpr double slow_message_probability = 0.02;
constexpr Span slow_message_factor = 20;
constexpr Span min_delay = 200;  // microseconds

}  // namespace

Network::Network(Kernel& kernel, ControlFaults const& faults, FindMachine find_machine, Serve serve)
    : kernel_(kernel), faults_(faults), find_machine_(std::move(find_machine)), serve_(std::move(serve)) {}

Moment Network::local_time(Process const& process) const {
  return process.clock_offset + static_cast<Moment>(static_cast<double>(kernel_.now()) * process.clock_rate);
}

void Network::later(Process& process, Span span, std::function<void()> event) {
  std::uint64_t const life = process.life;
  kernel_.after(span, [this, &process, life, event = std::move(event)] { deliver(process, life, event); });
}

void Network::deliver(Process& process, std::uint64_t life, std::function<void()> const& event) {
  if (!process.alive || process.life != life) {
    return;
  }
  if (process.frozen) {
    process.deferred.push_back([this, &process, life, event] { deliver(process, life, event); });
    return;
  }
  event();
}

void Network::thaw(Process& process) {
  process.frozen = false;
  std::vector<std::function<void()>> events;
  events.swap(process.deferred);
  for (std::function<void()> const& event : events) {
    event();
  }
}

void Network::call(Process& from, std::string const& from_name, std::string const& to, schema::Message const& message,
                   Span deadline, Reply const& done) {
  std::uint64_t const life = from.life;
  std::shared_ptr<bool> const answered = std::make_shared<bool>(false);
  Reply const finish = [this, &from, life, answered, done](std::optional<schema::Message> const& answer) {
    deliver(from, life, [answered, done, answer] {
      if (!*answered) {
        *answered = true;
        done(answer);
      }
    });
  };
  kernel_.after(deadline, [finish] { finish(std::nullopt); });
  int const copies = kernel_.chance(faults_.duplicate) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    send(from_name, to, message, finish);
  }
}

void Network::send(std::string const& from, std::string const& to, schema::Message const& message,
                   Reply const& finish) {
  kernel_.after(delay(), [this, from, to, message, finish] { arrive(from, to, message, finish); });
}

void Network::arrive(std::string const& from, std::string const& to, schema::Message const& message,
                     Reply const& finish) {
  Machine* const target = find_machine_(to);
  if (target == nullptr || blocked(from, to)) {
    return;
  }
  deliver(target->process, target->process.life, [this, target, from, to, message, finish] {
    serve_(*target, message, [this, from, to, finish](std::optional<schema::Message> const& answer) {
      if (answer.has_value()) {
        send_back(to, from, *answer, finish);
      }
    });
  });
}

void Network::send_back(std::string const& from, std::string const& to, schema::Message const& answer,
                        Reply const& finish) {
  kernel_.after(delay(), [this, from, to, answer, finish] {
    if (!blocked(from, to)) {
      finish(answer);
    }
  });
}

void Network::cut(std::pair<std::string, std::string> const& link) {
  cuts_.insert(link);
}

void Network::mend(std::pair<std::string, std::string> const& link) {
  cuts_.erase(link);
}

void Network::split(std::set<std::string> group) {
  split_ = std::move(group);
}

void Network::heal() {
  cuts_.clear();
  split_.clear();
}

bool Network::blocked(std::string const& from, std::string const& to) const {
  return cuts_.count({from, to}) > 0 || split_.count(from) != split_.count(to);
}

Span Network::delay() {
  return kernel_.chance(slow_message_probability) ? kernel_.between(0, faults_.max_delay * slow_message_factor)
                                                  : kernel_.between(min_delay, faults_.max_delay);
}

}  // namespace finchlink::simulator::control
