#include "simulator/operators/operators.hpp"

#include "common/constants.hpp"
#include "config/routing/proposal.hpp"
#include "simulator/operators/command_history.hpp"

namespace finchlink::simulator {

using common::Moment;
using common::Span;
using Kind = HistoryEntry::Kind;

namespace {
/// A caller retries at another node after this long without a response.
constexpr Span min_attempt_timeout = common::milliseconds(700);
constexpr Span max_attempt_timeout = common::milliseconds(1500);
constexpr Span max_retry_pause = common::milliseconds(1000);
/// A zone command is retried for this long.
constexpr Span evacuation_retry_span = common::seconds(5);
constexpr Span routing_config_retry_span = common::seconds(8);
/// A routing configuration is sent again up to this long after it ended.
constexpr Span max_late_repeat = common::seconds(15);
constexpr Span min_network_delay = 200;
constexpr Span max_network_delay = common::milliseconds(30);
enum class AttemptEnd { acknowledged, refused, unclear };

/// One command of one operator, until it has a definite response or is given up.
struct Command {
  std::function<void(std::shared_ptr<Command> const&)> send_attempt;
  Moment until = 0;
  bool over = false;
  std::function<void(AttemptEnd end)> done;
};

/// One attempt to execute a command at one node.
struct Attempt {
  std::shared_ptr<Command> command;
  std::uint64_t number = 0;
  std::size_t node = 0;
  Moment began = 0;
  bool open = true;           ///< its caller still waits
  bool close_noticed = true;  ///< the node notices when its caller disconnects
  std::optional<Moment> closed;
};

std::string routing_config_text(std::uint64_t number, std::string const& tag) {
  return "{\"number\":" + std::to_string(number) + ",\"lanes\":[{\"name\":\"l\",\"prefix\":\"/" + tag +
         "/\",\"shares\":[{\"service\":\"s\"}],\"deadline_ms\":1000}],\"services\":[{\"name\":\"s\"}]}";
}
std::string routing_config_patch(std::uint64_t number, std::string const& tag) {
  return "{\"number\":" + std::to_string(number) + ",\"upsert\":{\"lanes\":[{\"name\":\"l\",\"prefix\":\"/" + tag +
         "/\",\"shares\":[{\"service\":\"s\"}],\"deadline_ms\":1000}]}}";
}

}  // namespace

class OperatorModel::State {
 public:
  State(OperatorLoad const& load, Kernel& kernel, ClusterAccess access)
      : load_(load), kernel_(kernel), access_(std::move(access)), history_(access_.violate) {}
  void begin();
  void stop() { stopped_ = true; }
  CommandHistory& history() { return history_; }
  OperatorCounts finish();

 private:
  using OnAttemptEnd = std::function<void(AttemptEnd)>;

  void operate();
  void change_routing_config();
  void change_evacuation(std::string const& zone, bool evacuated);
  void read_all();
  // --- attempts ---
  void send(std::shared_ptr<Command> const& command,
            std::function<void(std::shared_ptr<Attempt> const&, OnAttemptEnd)> serve);
  void close(std::shared_ptr<Attempt> const& attempt);
  void end_attempt(std::shared_ptr<Attempt> const& attempt, AttemptEnd end);
  void serve_routing_config(std::shared_ptr<Attempt> const& attempt, config::RoutingChangeRequest const& wanted,
                            OnAttemptEnd const& answer);
  void serve_evacuation(std::shared_ptr<Attempt> const& attempt, std::string const& zone, bool evacuated,
                        OnAttemptEnd const& answer);
  void send_routing_config(config::RoutingChangeRequest const& wanted, bool again);
  void finish_routing_config(std::shared_ptr<Attempt> const& attempt, config::RoutingChangeRequest const& wanted,
                             config::RoutingProposalReport const& report, ChangeEnd const& end,
                             OnAttemptEnd const& answer);
  OperatorLoad load_;
  Kernel& kernel_;
  ClusterAccess access_;
  bool stopped_ = false;
  OperatorCounts counts_;
  std::uint64_t next_attempt_ = 1;
  std::uint64_t next_tag_ = 1;
  CommandHistory history_;
};

void OperatorModel::State::begin() {
  for (std::size_t number = 0; number < load_.operators; ++number) {
    operate();
  }
}

void OperatorModel::State::operate() {
  kernel_.after(static_cast<Span>(kernel_.exponential(load_.pause) * 1e6), [this] {
    if (stopped_) {
      return;
    }
    operate();
    double const kind = kernel_.uniform();
    if (kind < 0.4) {
      change_routing_config();
    } else if (kind < 0.7) {
      change_evacuation("zone-" + std::to_string(kernel_.below(load_.zones)), kernel_.chance(0.5));
    } else {
      read_all();
    }
  });
}

// --- attempts ---

void OperatorModel::State::close(std::shared_ptr<Attempt> const& attempt) {
  attempt->open = false;
  attempt->closed = kernel_.now();
  history_.close_zone_attempt(attempt->number, kernel_.now());
}

void OperatorModel::State::end_attempt(std::shared_ptr<Attempt> const& attempt, AttemptEnd end) {
  if (!attempt->open) {
    return;
  }
  close(attempt);
  std::shared_ptr<Command> const command = attempt->command;
  if (command->over) {
    return;
  }
  if (end != AttemptEnd::unclear || kernel_.now() >= command->until) {
    command->over = true;
    counts_.abandoned += end == AttemptEnd::unclear ? 1 : 0;
    command->done(end);
    return;
  }
  kernel_.after(kernel_.between(0, max_retry_pause), [command] {
    if (!command->over) {
      command->send_attempt(command);
    }
  });
}

void OperatorModel::State::send(std::shared_ptr<Command> const& command,
                                std::function<void(std::shared_ptr<Attempt> const&, OnAttemptEnd)> serve) {
  std::shared_ptr<Attempt> const attempt = std::make_shared<Attempt>();
  attempt->command = command;
  attempt->number = next_attempt_++;
  attempt->node = kernel_.below(access_.nodes());
  attempt->began = kernel_.now();
  attempt->close_noticed = !kernel_.chance(load_.close_unnoticed);
  ++counts_.attempts;
  kernel_.after(kernel_.between(min_attempt_timeout, max_attempt_timeout),
                [this, attempt] { end_attempt(attempt, AttemptEnd::unclear); });
  Span const network_delay = kernel_.chance(load_.request_late) ? kernel_.between(0, 2 * max_attempt_timeout)
                                                                : kernel_.between(min_network_delay, max_network_delay);
  kernel_.after(network_delay, [this, attempt, serve = std::move(serve)] {
    if (!access_.alive(attempt->node)) {
      end_attempt(attempt, AttemptEnd::unclear);
      return;
    }
    access_.deliver(attempt->node, [this, attempt, serve] {
      // The node reads the request from the socket; the close of a caller that has disconnected follows directly.
      attempt->close_noticed = attempt->close_noticed || !attempt->open;
      serve(attempt, [this, attempt](AttemptEnd end) {
        if (!kernel_.chance(load_.answer_lost)) {
          kernel_.after(kernel_.between(min_network_delay, max_network_delay),
                        [this, attempt, end] { end_attempt(attempt, end); });
        }
      });
    });
  });
}

// --- routing configurations ---

void OperatorModel::State::change_routing_config() {
  // Based on what some node reports to be in force; at times on an older one, or on none.
  std::size_t const node = kernel_.below(access_.nodes());
  if (!access_.alive(node)) {
    return;
  }
  schema::Value const known = access_.value(node, config::routing_config_register);
  std::uint64_t current = config::number_of(known);
  if (!known.marks.empty() && kernel_.chance(0.15)) {
    current = known.marks[kernel_.below(known.marks.size())].revision;
  } else if (kernel_.chance(0.05)) {
    current = kernel_.below(current + 1);
  }
  std::uint64_t const number = current + 1 + kernel_.below(3);
  std::string const tag = "t" + std::to_string(next_tag_++);
  bool const patch = current > 0 && kernel_.chance(0.5);
  config::RoutingChangeRequest const wanted{
      patch ? routing_config_patch(number, tag) : routing_config_text(number, tag), patch, current};
  ++counts_.orders;
  ChangeRecord& change = history_.change(config::change_id_of(wanted));
  change.began = kernel_.now();
  change.expected = current;
  send_routing_config(wanted, false);
}

void OperatorModel::State::send_routing_config(config::RoutingChangeRequest const& wanted, bool again) {
  std::shared_ptr<Command> const command = std::make_shared<Command>();
  command->until = kernel_.now() + routing_config_retry_span;
  command->send_attempt = [this, wanted](std::shared_ptr<Command> const& own) {
    send(own, [this, wanted](std::shared_ptr<Attempt> const& attempt, OnAttemptEnd const& answer) {
      serve_routing_config(attempt, wanted, answer);
    });
  };
  command->done = [this, wanted, again](AttemptEnd) {
    history_.change(config::change_id_of(wanted)).closed = kernel_.now();
    if (!again && kernel_.chance(load_.repeated_late)) {
      kernel_.after(kernel_.between(0, max_late_repeat), [this, wanted] {
        if (!stopped_) {
          history_.change(config::change_id_of(wanted)).closed.reset();
          send_routing_config(wanted, true);
        }
      });
    }
  };
  command->send_attempt(command);
}

void OperatorModel::State::serve_routing_config(std::shared_ptr<Attempt> const& attempt,
                                                config::RoutingChangeRequest const& wanted,
                                                OnAttemptEnd const& answer) {
  std::shared_ptr<config::RoutingProposalReport> const report = std::make_shared<config::RoutingProposalReport>();
  access_.change(attempt->node, config::routing_config_register,
                 config::routing_proposal(wanted, config::native_format(), report, load_.marks),
                 [this, attempt, wanted, report, answer](ChangeEnd const& end) {
                   finish_routing_config(attempt, wanted, *report, end, answer);
                 });
}

void OperatorModel::State::finish_routing_config(std::shared_ptr<Attempt> const& attempt,
                                                 config::RoutingChangeRequest const& wanted,
                                                 config::RoutingProposalReport const& report, ChangeEnd const& end,
                                                 OnAttemptEnd const& answer) {
  std::string const id = config::change_id_of(wanted);
  consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&end);
  consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&end);
  if (chosen != nullptr) {
    history_.observe(config::routing_config_register, chosen->value);
  } else if (rejected != nullptr) {
    history_.observe(config::routing_config_register, rejected->current);
  }
  AttemptEnd outcome = AttemptEnd::unclear;
  if (chosen != nullptr || (rejected != nullptr && report.end == config::RoutingProposalOutcome::done)) {
    outcome = AttemptEnd::acknowledged;
    counts_.acknowledged_again += chosen == nullptr ? 1 : 0;
  } else if (rejected == nullptr) {
    ++counts_.unknown;
  } else if (report.end == config::RoutingProposalOutcome::forgotten) {
    ++counts_.forgotten;
  } else {
    outcome = AttemptEnd::refused;
  }
  if (outcome == AttemptEnd::acknowledged) {
    ++counts_.acknowledged;
    ChangeRecord& change = history_.change(id);
    if (attempt->open && !change.ended.has_value()) {  // the caller may receive it
      change.ended = kernel_.now();
    }
  } else if (outcome == AttemptEnd::refused) {
    ++counts_.refused;
    HistoryEntry refusal{Kind::refused, HistoryEntry::no_revision, attempt->began, kernel_.now()};
    refusal.change = id;
    if (report.end == config::RoutingProposalOutcome::base_mismatch) {
      refusal.expected = wanted.expected;
    }
    history_.add(config::routing_config_register, refusal);
  }
  answer(outcome);
}

// --- evacuations ---

void OperatorModel::State::change_evacuation(std::string const& zone, bool evacuated) {
  ++counts_.orders;
  std::shared_ptr<Command> const command = std::make_shared<Command>();
  command->until = kernel_.now() + (kernel_.chance(load_.impatient) ? 0 : evacuation_retry_span);
  command->send_attempt = [this, zone, evacuated](std::shared_ptr<Command> const& own) {
    send(own, [this, zone, evacuated](std::shared_ptr<Attempt> const& attempt, OnAttemptEnd const& answer) {
      serve_evacuation(attempt, zone, evacuated, answer);
    });
  };
  command->done = [this, zone, evacuated](AttemptEnd) {
    if (!stopped_ && kernel_.chance(0.6)) {  // reverted at once
      change_evacuation(zone, !evacuated);
    }
  };
  command->send_attempt(command);
}

void OperatorModel::State::serve_evacuation(std::shared_ptr<Attempt> const& attempt, std::string const& zone,
                                            bool evacuated, OnAttemptEnd const& answer) {
  history_.zone_attempt(attempt->number) = ZoneRecord{zone, evacuated, attempt->began, std::nullopt, attempt->closed};
  schema::Value const known = remove_owner_marks(access_.value(attempt->node, config::drained_zones_register));
  config::ZoneDrainCommand const command{zone, evacuated,
                                         config::newest_command(known, zone, load_.evacuation.marks_kept)};
  std::shared_ptr<config::ZoneDrainReport> const report = std::make_shared<config::ZoneDrainReport>();
  std::function<bool()> const caller_gone = [attempt] { return !attempt->open && attempt->close_noticed; };
  access_.change(
      attempt->node, config::drained_zones_register,
      add_owner_mark(config::zone_drain_proposal(command, caller_gone, report, load_.evacuation), attempt->number),
      [this, attempt, report, answer](ChangeEnd const& end) {
        if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&end)) {
          history_.observe(config::drained_zones_register, chosen->value);
          ++counts_.acknowledged;
          if (attempt->open) {  // the caller may receive it
            history_.acknowledge_zone(attempt->number, chosen->value.revision, kernel_.now());
          }
          answer(AttemptEnd::acknowledged);
          return;
        }
        if (consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&end)) {
          history_.observe(config::drained_zones_register, rejected->current);
        }
        counts_.superseded += report->end == config::ZoneDrainOutcome::superseded ? 1 : 0;
        counts_.caller_gone += report->end == config::ZoneDrainOutcome::caller_gone ? 1 : 0;
        counts_.unknown += std::holds_alternative<std::monostate>(end) ? 1 : 0;
        answer(AttemptEnd::unclear);
      });
}

// --- reads ---

void OperatorModel::State::read_all() {
  std::size_t const node = kernel_.below(access_.nodes());
  if (!access_.alive(node)) {
    return;
  }
  Moment const began = kernel_.now();
  access_.confirmed(node, [this, node, began] {
    ++counts_.reads;
    for (std::string const& name :
         {std::string(config::routing_config_register), std::string(config::drained_zones_register),
          std::string(consensus::voter_set_register)}) {
      schema::Value const value = access_.value(node, name);
      history_.observe(name, value);
      history_.add(name, HistoryEntry{Kind::read, value.revision, began, kernel_.now()});
    }
  });
}

OperatorCounts OperatorModel::State::finish() {
  counts_.explained = history_.check();
  return counts_;
}

OperatorModel::OperatorModel(OperatorLoad const& load, Kernel& kernel, ClusterAccess access)
    : state_(std::make_unique<State>(load, kernel, std::move(access))) {}
OperatorModel::~OperatorModel() = default;
void OperatorModel::begin() {
  state_->begin();
}
void OperatorModel::stop() {
  state_->stop();
}
void OperatorModel::observe(std::string const& name, schema::Value const& value) {
  state_->history().observe(name, value);
}
void OperatorModel::record(std::string const& name, HistoryEntry const& entry) {
  state_->history().add(name, entry);
}
OperatorCounts OperatorModel::finish() {
  return state_->finish();
}

}  // namespace finchlink::simulator
