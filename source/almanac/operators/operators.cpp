#include "almanac/operators/operators.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "config/charter/proposal.hpp"
#include "loam/constants.hpp"

namespace finchlink::almanac {

using loam::Moment;
using loam::Span;
using Kind = HistoryEntry::Kind;

namespace {
/// A caller turns to another node after this long without an answer.
constexpr Span patience_least = loam::milliseconds(700);
constexpr Span patience_most = loam::milliseconds(1500);
constexpr Span retry_pause_most = loam::milliseconds(1000);
/// An order about a zone is sent again for this long.
constexpr Span evacuation_order_span = loam::seconds(5);
constexpr Span charter_order_span = loam::seconds(8);
/// A charter is sent once more up to this long after its end.
constexpr Span late_repeat_most = loam::seconds(15);
constexpr Span way_least = 200;
constexpr Span way_most = loam::milliseconds(30);
/// Owners of revisions are told by marks that the simulator adds to evacuations; so many are kept.
constexpr std::size_t owner_marks_kept = 64;
constexpr char owner_mark = '#';

enum class AttemptEnd { acknowledged, refused, unclear };

/// One order of one operator, until it has a clear answer or is given up.
struct Order {
  std::function<void(std::shared_ptr<Order> const&)> send_attempt;
  Moment until = 0;
  bool over = false;
  std::function<void(AttemptEnd end)> done;
};

/// One sending of an order to one node.
struct Attempt {
  std::shared_ptr<Order> order;
  std::uint64_t number = 0;
  std::size_t node = 0;
  Moment began = 0;
  bool open = true;         ///< its caller waits
  bool close_heard = true;  ///< the node hears when its caller goes
  std::optional<Moment> closed;
};

/// What became of a change of the charter, over all its attempts.
struct ChangeRecord {
  Moment began = 0;
  std::optional<Moment> ended;  ///< first acknowledged
  std::optional<Moment> closed;
  std::uint64_t expected = 0;
};
/// What became of one attempt about a zone.
struct ZoneRecord {
  std::string zone;
  bool evacuated = false;
  Moment began = 0;
  std::optional<Moment> ended;
  std::shared_ptr<Attempt> attempt;
};

std::string charter_text(std::uint64_t number, std::string const& tag) {
  return "{\"number\":" + std::to_string(number) + ",\"lanes\":[{\"name\":\"l\",\"prefix\":\"/" + tag +
         "/\",\"shares\":[{\"service\":\"s\"}],\"deadline_ms\":1000}],\"services\":[{\"name\":\"s\"}]}";
}
std::string charter_patch(std::uint64_t number, std::string const& tag) {
  return "{\"number\":" + std::to_string(number) + ",\"upsert\":{\"lanes\":[{\"name\":\"l\",\"prefix\":\"/" + tag +
         "/\",\"shares\":[{\"service\":\"s\"}],\"deadline_ms\":1000}]}}";
}

/// The value as the code under test knows it, without the simulator's marks.
schema::Value without_owners(schema::Value value, std::vector<schema::ChangeMark>* owners = nullptr) {
  std::vector<schema::ChangeMark> kept;
  for (schema::ChangeMark const& mark : value.marks) {
    if (!mark.id.empty() && mark.id.front() == owner_mark) {
      if (owners != nullptr) {
        owners->push_back(mark);
      }
    } else {
      kept.push_back(mark);
    }
  }
  value.marks = std::move(kept);
  return value;
}

/// Adds to whatever the proposal makes whose it is.
consensus::ProposalFunction with_owner(consensus::ProposalFunction propose, std::uint64_t attempt) {
  return [propose = std::move(propose), attempt](schema::Value const& found) -> consensus::Proposal {
    std::vector<schema::ChangeMark> owners;
    consensus::Proposal proposal = propose(without_owners(found, &owners));
    if (schema::Value* const next = std::get_if<schema::Value>(&proposal)) {
      owners.push_back(schema::ChangeMark{owner_mark + std::to_string(attempt), next->revision});
      if (owners.size() > owner_marks_kept) {
        owners.erase(owners.begin());
      }
      next->marks.insert(next->marks.end(), owners.begin(), owners.end());
    }
    return proposal;
  };
}
}  // namespace

class OperatorModel::State {
 public:
  State(OperatorLoad const& load, Kernel& kernel, ClusterAccess access)
      : load_(load), kernel_(kernel), access_(std::move(access)) {}
  void begin();
  void stop() { stopped_ = true; }
  void observe(std::string const& name, schema::Value const& value);
  void record(std::string const& name, HistoryEntry const& entry) { histories_[name].push_back(entry); }
  OperatorCounts finish();

 private:
  using Answer = std::function<void(AttemptEnd)>;

  void operate();
  void order_charter();
  void order_evacuation(std::string const& zone, bool evacuated);
  void read_all();
  // --- attempts ---
  void send(std::shared_ptr<Order> const& order, std::function<void(std::shared_ptr<Attempt> const&, Answer)> serve);
  void close(std::shared_ptr<Attempt> const& attempt);
  void end_attempt(std::shared_ptr<Attempt> const& attempt, AttemptEnd end);
  void serve_charter(std::shared_ptr<Attempt> const& attempt, config::WantedCharter const& wanted,
                     Answer const& answer);
  void serve_evacuation(std::shared_ptr<Attempt> const& attempt, std::string const& zone, bool evacuated,
                        Answer const& answer);
  void note_evacuated(std::shared_ptr<Attempt> const& attempt, std::uint64_t revision);
  void send_charter(config::WantedCharter const& wanted, bool again);
  void judge_charter(std::shared_ptr<Attempt> const& attempt, config::WantedCharter const& wanted,
                     config::CharterProposalReport const& report, ChangeEnd const& end, Answer const& answer);
  // --- checks ---
  void add_charter_history();
  void add_evacuation_history();
  void check_zones();

  OperatorLoad load_;
  Kernel& kernel_;
  ClusterAccess access_;
  bool stopped_ = false;
  OperatorCounts counts_;
  std::uint64_t next_attempt_ = 1;
  std::uint64_t next_tag_ = 1;
  Histories histories_;
  std::map<std::string, ChangeRecord> changes_;           ///< of the charter, by id
  std::map<std::uint64_t, ZoneRecord> zone_orders_;       ///< attempts about zones, by number
  std::map<std::uint64_t, std::string> charter_of_;       ///< revision to the change that made it
  std::map<std::uint64_t, std::uint64_t> number_at_;      ///< revision to the charter's number
  std::map<std::uint64_t, std::uint64_t> zone_order_of_;  ///< revision to the attempt that made it
  std::map<std::uint64_t, std::string> zones_at_;         ///< revision to the content
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
      order_charter();
    } else if (kind < 0.7) {
      order_evacuation("zone-" + std::to_string(kernel_.below(load_.zones)), kernel_.chance(0.5));
    } else {
      read_all();
    }
  });
}

// --- attempts ---

void OperatorModel::State::close(std::shared_ptr<Attempt> const& attempt) {
  attempt->open = false;
  attempt->closed = kernel_.now();
}

void OperatorModel::State::end_attempt(std::shared_ptr<Attempt> const& attempt, AttemptEnd end) {
  if (!attempt->open) {
    return;
  }
  close(attempt);
  std::shared_ptr<Order> const order = attempt->order;
  if (order->over) {
    return;
  }
  if (end != AttemptEnd::unclear || kernel_.now() >= order->until) {
    order->over = true;
    counts_.abandoned += end == AttemptEnd::unclear ? 1 : 0;
    order->done(end);
    return;
  }
  kernel_.after(kernel_.between(0, retry_pause_most), [order] {
    if (!order->over) {
      order->send_attempt(order);
    }
  });
}

void OperatorModel::State::send(std::shared_ptr<Order> const& order,
                                std::function<void(std::shared_ptr<Attempt> const&, Answer)> serve) {
  std::shared_ptr<Attempt> const attempt = std::make_shared<Attempt>();
  attempt->order = order;
  attempt->number = next_attempt_++;
  attempt->node = kernel_.below(access_.nodes());
  attempt->began = kernel_.now();
  attempt->close_heard = !kernel_.chance(load_.close_unheard);
  ++counts_.attempts;
  kernel_.after(kernel_.between(patience_least, patience_most),
                [this, attempt] { end_attempt(attempt, AttemptEnd::unclear); });
  Span const way =
      kernel_.chance(load_.request_late) ? kernel_.between(0, 2 * patience_most) : kernel_.between(way_least, way_most);
  kernel_.after(way, [this, attempt, serve = std::move(serve)] {
    if (!access_.alive(attempt->node)) {
      end_attempt(attempt, AttemptEnd::unclear);
      return;
    }
    access_.deliver(attempt->node, [this, attempt, serve] {
      // Read from the socket: the end of a caller that has gone lies right behind.
      attempt->close_heard = attempt->close_heard || !attempt->open;
      serve(attempt, [this, attempt](AttemptEnd end) {
        if (!kernel_.chance(load_.answer_lost)) {
          kernel_.after(kernel_.between(way_least, way_most), [this, attempt, end] { end_attempt(attempt, end); });
        }
      });
    });
  });
}

// --- charters ---

void OperatorModel::State::order_charter() {
  // Built on what some node says is in force; at times on an older one, or on none.
  std::size_t const node = kernel_.below(access_.nodes());
  if (!access_.alive(node)) {
    return;
  }
  schema::Value const known = access_.value(node, config::charter_register);
  std::uint64_t current = config::number_of(known);
  if (!known.marks.empty() && kernel_.chance(0.15)) {
    current = known.marks[kernel_.below(known.marks.size())].revision;
  } else if (kernel_.chance(0.05)) {
    current = kernel_.below(current + 1);
  }
  std::uint64_t const number = current + 1 + kernel_.below(3);
  std::string const tag = "t" + std::to_string(next_tag_++);
  bool const patch = current > 0 && kernel_.chance(0.5);
  config::WantedCharter const wanted{patch ? charter_patch(number, tag) : charter_text(number, tag), patch, current};
  ++counts_.orders;
  ChangeRecord& change = changes_[config::id_of(wanted)];
  change.began = kernel_.now();
  change.expected = current;
  send_charter(wanted, false);
}

void OperatorModel::State::send_charter(config::WantedCharter const& wanted, bool again) {
  std::shared_ptr<Order> const order = std::make_shared<Order>();
  order->until = kernel_.now() + charter_order_span;
  order->send_attempt = [this, wanted](std::shared_ptr<Order> const& own) {
    send(own, [this, wanted](std::shared_ptr<Attempt> const& attempt, Answer const& answer) {
      serve_charter(attempt, wanted, answer);
    });
  };
  order->done = [this, wanted, again](AttemptEnd) {
    changes_[config::id_of(wanted)].closed = kernel_.now();
    if (!again && kernel_.chance(load_.repeated_late)) {
      kernel_.after(kernel_.between(0, late_repeat_most), [this, wanted] {
        if (!stopped_) {
          changes_[config::id_of(wanted)].closed.reset();
          send_charter(wanted, true);
        }
      });
    }
  };
  order->send_attempt(order);
}

void OperatorModel::State::serve_charter(std::shared_ptr<Attempt> const& attempt, config::WantedCharter const& wanted,
                                         Answer const& answer) {
  std::shared_ptr<config::CharterProposalReport> const report = std::make_shared<config::CharterProposalReport>();
  access_.change(attempt->node, config::charter_register,
                 config::charter_proposal(wanted, config::own_notation(), report, load_.marks),
                 [this, attempt, wanted, report, answer](ChangeEnd const& end) {
                   judge_charter(attempt, wanted, *report, end, answer);
                 });
}

void OperatorModel::State::judge_charter(std::shared_ptr<Attempt> const& attempt, config::WantedCharter const& wanted,
                                         config::CharterProposalReport const& report, ChangeEnd const& end,
                                         Answer const& answer) {
  std::string const id = config::id_of(wanted);
  consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&end);
  consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&end);
  if (chosen != nullptr) {
    observe(config::charter_register, chosen->value);
  } else if (rejected != nullptr) {
    observe(config::charter_register, rejected->current);
  }
  AttemptEnd told = AttemptEnd::unclear;
  if (chosen != nullptr || (rejected != nullptr && report.end == config::CharterProposalOutcome::done)) {
    told = AttemptEnd::acknowledged;
    counts_.acknowledged_again += chosen == nullptr ? 1 : 0;
  } else if (rejected == nullptr) {
    ++counts_.unknown;
  } else if (report.end == config::CharterProposalOutcome::forgotten) {
    ++counts_.forgotten;
  } else {
    told = AttemptEnd::refused;
  }
  if (told == AttemptEnd::acknowledged) {
    ++counts_.acknowledged;
    ChangeRecord& change = changes_[id];
    if (attempt->open && !change.ended.has_value()) {  // somebody may hear it
      change.ended = kernel_.now();
    }
  } else if (told == AttemptEnd::refused) {
    ++counts_.refused;
    HistoryEntry refusal{Kind::refused, HistoryEntry::no_revision, attempt->began, kernel_.now()};
    refusal.change = id;
    if (report.end == config::CharterProposalOutcome::expectation) {
      refusal.expected = wanted.expected;
    }
    histories_[config::charter_register].push_back(refusal);
  }
  answer(told);
}

// --- evacuations ---

void OperatorModel::State::order_evacuation(std::string const& zone, bool evacuated) {
  ++counts_.orders;
  std::shared_ptr<Order> const order = std::make_shared<Order>();
  order->until = kernel_.now() + (kernel_.chance(load_.impatient) ? 0 : evacuation_order_span);
  order->send_attempt = [this, zone, evacuated](std::shared_ptr<Order> const& own) {
    send(own, [this, zone, evacuated](std::shared_ptr<Attempt> const& attempt, Answer const& answer) {
      serve_evacuation(attempt, zone, evacuated, answer);
    });
  };
  order->done = [this, zone, evacuated](AttemptEnd) {
    if (!stopped_ && kernel_.chance(0.6)) {  // taken back at once
      order_evacuation(zone, !evacuated);
    }
  };
  order->send_attempt(order);
}

void OperatorModel::State::serve_evacuation(std::shared_ptr<Attempt> const& attempt, std::string const& zone,
                                            bool evacuated, Answer const& answer) {
  zone_orders_[attempt->number] = ZoneRecord{zone, evacuated, attempt->began, std::nullopt, attempt};
  schema::Value const known = without_owners(access_.value(attempt->node, config::evacuated_register));
  config::EvacuationOrder const order{zone, evacuated, config::newest_order(known, zone, load_.evacuation.marks_kept)};
  std::shared_ptr<config::EvacuationReport> const report = std::make_shared<config::EvacuationReport>();
  std::function<bool()> const caller_gone = [attempt] { return !attempt->open && attempt->close_heard; };
  access_.change(attempt->node, config::evacuated_register,
                 with_owner(config::evacuation_proposal(order, caller_gone, report, load_.evacuation), attempt->number),
                 [this, attempt, report, answer](ChangeEnd const& end) {
                   if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&end)) {
                     observe(config::evacuated_register, chosen->value);
                     ++counts_.acknowledged;
                     if (attempt->open) {  // somebody may hear it
                       note_evacuated(attempt, chosen->value.revision);
                     }
                     answer(AttemptEnd::acknowledged);
                     return;
                   }
                   if (consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&end)) {
                     observe(config::evacuated_register, rejected->current);
                   }
                   counts_.superseded += report->end == config::EvacuationOutcome::superseded ? 1 : 0;
                   counts_.caller_gone += report->end == config::EvacuationOutcome::caller_gone ? 1 : 0;
                   counts_.unknown += std::holds_alternative<std::monostate>(end) ? 1 : 0;
                   answer(AttemptEnd::unclear);
                 });
}

void OperatorModel::State::note_evacuated(std::shared_ptr<Attempt> const& attempt, std::uint64_t revision) {
  ZoneRecord& record = zone_orders_[attempt->number];
  std::map<std::uint64_t, std::uint64_t>::const_iterator const owner = zone_order_of_.find(revision);
  if (owner != zone_order_of_.end() && owner->second == attempt->number) {
    record.ended = kernel_.now();
    return;
  }
  // It found the zone as wanted and wrote nothing: a read.
  HistoryEntry read{Kind::read, revision, attempt->began, kernel_.now()};
  read.subject = record.zone;
  histories_[config::evacuated_register].push_back(read);
}

// --- reads and checks ---

void OperatorModel::State::read_all() {
  std::size_t const node = kernel_.below(access_.nodes());
  if (!access_.alive(node)) {
    return;
  }
  Moment const began = kernel_.now();
  access_.confirmed(node, [this, node, began] {
    ++counts_.reads;
    for (std::string const& name : {std::string(config::charter_register), std::string(config::evacuated_register),
                                    std::string(consensus::holders_register)}) {
      schema::Value const value = access_.value(node, name);
      observe(name, value);
      histories_[name].push_back(HistoryEntry{Kind::read, value.revision, began, kernel_.now()});
    }
  });
}

void OperatorModel::State::observe(std::string const& name, schema::Value const& value) {
  if (value.revision == 0) {
    return;
  }
  if (name == config::charter_register) {
    std::uint64_t revision = config::dropped_marks(value);
    for (schema::ChangeMark const& mark : value.marks) {
      std::string& owner = charter_of_[++revision];
      if (!owner.empty() && owner != mark.id) {
        access_.violate("charter revision " + std::to_string(revision) + " is of two changes");
      }
      owner = mark.id;
      number_at_[revision] = mark.revision;
    }
  } else if (name == config::evacuated_register) {
    std::vector<schema::ChangeMark> owners;
    (void)without_owners(value, &owners);
    for (schema::ChangeMark const& mark : owners) {
      std::uint64_t const attempt = std::stoull(mark.id.substr(1));
      std::uint64_t& owner = zone_order_of_[mark.revision];
      if (owner != 0 && owner != attempt) {
        access_.violate("evacuations revision " + std::to_string(mark.revision) + " is of two orders");
      }
      owner = attempt;
    }
    zones_at_[value.revision] = value.content;
  }
}

void OperatorModel::State::add_charter_history() {
  History& history = histories_[config::charter_register];
  std::map<std::uint64_t, std::uint64_t> revision_of;
  for (std::pair<std::uint64_t const, std::uint64_t> const& number : number_at_) {
    revision_of[number.second] = number.first;
  }
  for (HistoryEntry& entry : history) {
    if (entry.kind == Kind::refused && entry.expected.has_value()) {
      std::map<std::uint64_t, std::uint64_t>::const_iterator const found = revision_of.find(*entry.expected);
      entry.revision = *entry.expected == 0         ? 0
                       : found != revision_of.end() ? found->second
                                                    : HistoryEntry::no_revision;
    }
  }
  for (std::pair<std::uint64_t const, std::string> const& owner : charter_of_) {
    ChangeRecord const& change = changes_[owner.second];
    HistoryEntry write{Kind::write, owner.first, change.began, change.ended};
    if (change.expected == 0 || revision_of.count(change.expected) > 0) {
      write.expected = change.expected == 0 ? 0 : revision_of[change.expected];
    }
    write.change = owner.second;
    write.subject = "the charter";
    write.abandoned = change.ended.has_value() ? std::nullopt : change.closed;
    history.push_back(write);
  }
  for (std::pair<std::string const, ChangeRecord> const& change : changes_) {
    if (change.second.ended.has_value() &&
        std::none_of(charter_of_.begin(), charter_of_.end(),
                     [&change](std::pair<std::uint64_t const, std::string> const& owner) {
                       return owner.second == change.first;
                     })) {
      access_.violate("an acknowledged change of the charter is in no revision");
    }
  }
}

void OperatorModel::State::add_evacuation_history() {
  History& history = histories_[config::evacuated_register];
  std::map<std::string, bool> evacuated;
  for (std::pair<std::uint64_t const, std::uint64_t> const& owner : zone_order_of_) {
    ZoneRecord const& record = zone_orders_[owner.second];
    HistoryEntry write{Kind::write, owner.first, record.began, record.ended};
    write.subject = record.zone;
    bool const changed = evacuated[record.zone] != record.evacuated;
    evacuated[record.zone] = record.evacuated;
    // One that found the zone as wanted harms nobody, however late it is.
    if (changed && !record.ended.has_value()) {
      write.abandoned = record.attempt->closed;
    }
    history.push_back(write);
  }
}

void OperatorModel::State::check_zones() {
  // Each content is what the orders up to its revision make of it.
  std::set<std::string> expected;
  std::uint64_t revision = 0;
  for (std::pair<std::uint64_t const, std::uint64_t> const& owner : zone_order_of_) {
    if (owner.first != ++revision) {
      access_.violate("nobody saw whose evacuations revision " + std::to_string(revision) + " is");
      return;
    }
    ZoneRecord const& record = zone_orders_[owner.second];
    if (record.evacuated) {
      expected.insert(record.zone);
    } else {
      expected.erase(record.zone);
    }
    std::map<std::uint64_t, std::string>::const_iterator const seen = zones_at_.find(revision);
    if (seen != zones_at_.end()) {
      std::vector<std::string> const zones = config::evacuated_zones(seen->second);
      if (std::set<std::string>(zones.begin(), zones.end()) != expected) {
        access_.violate("evacuations revision " + std::to_string(revision) + " is not what was ordered");
      }
    }
  }
}

OperatorCounts OperatorModel::State::finish() {
  add_charter_history();
  add_evacuation_history();
  check_zones();
  std::string const wrong = explain_histories(histories_);
  if (!wrong.empty()) {
    access_.violate("no order explains what operators were told: " + wrong);
  }
  for (std::pair<std::string const, History> const& history : histories_) {
    counts_.explained += history.second.size();
  }
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
  state_->observe(name, value);
}
void OperatorModel::record(std::string const& name, HistoryEntry const& entry) {
  state_->record(name, entry);
}
OperatorCounts OperatorModel::finish() {
  return state_->finish();
}

}  // namespace finchlink::almanac
