#include "almanac/control/control.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "almanac/control/world.hpp"
#include "loam/json/tree.hpp"
#include "loam/wire/pack.hpp"
#include "membership/reconfiguration/reconfiguration.hpp"

namespace finchlink::almanac::control {

namespace constants = loam::constants;
using loam::Moment;
using loam::Span;

namespace {

constexpr std::size_t most_founders = 3;
constexpr std::size_t disks_without_spare = 3;
constexpr Span first_fault_at = loam::seconds(3);
constexpr Span least_clock_offset = loam::seconds(10);
constexpr Span most_clock_offset = loam::seconds(100000);
constexpr double killed_at_the_end = 0.6;
constexpr Span down_at_the_end = loam::milliseconds(700);
constexpr Span recovery_time = loam::seconds(32);
constexpr Span last_change_time = loam::seconds(9);
constexpr Span last_read_time = loam::seconds(6);
// In a larger world, from the last fault on.
constexpr Span last_change_after = loam::seconds(13);
constexpr Span last_read_after = loam::seconds(23);
constexpr std::size_t last_operator = 99;

}  // namespace

World::World(ControlOptions const& options, Kernel& kernel)
    : options_(options),
      kernel_(kernel),
      network_(
          kernel, options.faults, [this](std::string const& address) { return machine_at(address); },
          [this](Machine& machine, schema::Message const& message, Reply const& reply) {
            receive(machine, message, reply);
          }),
      checker_(kernel, report_, options, [this](std::uint64_t revision) { strike_at_revision(revision); }) {}

void World::begin() {
  if (options_.faults.replace > 0 && kernel_.chance(0.5)) {
    options_.disk_machines = std::min(options_.disk_machines, disks_without_spare);
  }
  std::size_t const count = options_.disk_machines + options_.plain_machines;
  for (std::size_t number = 0; number < std::min(most_founders, options_.disk_machines); ++number) {
    founders_.push_back("core-" + std::to_string(number));
  }
  for (std::size_t number = 0; number < count; ++number) {
    machines_.push_back(new_machine("core-" + std::to_string(number), number < options_.disk_machines));
  }
  for (std::unique_ptr<Machine> const& machine : machines_) {
    boot(*machine);
  }
  for (std::size_t number = 0; number < options_.furrows; ++number) {
    add_furrow(number);
  }
  for (std::size_t number = 0; number < options_.operators; ++number) {
    operator_loop(number);
  }
  if (options_.orders.operators > 0) {
    begin_orders();
  }
  kernel_.after(first_fault_at, [this] { schedule_faults(); });
}

std::unique_ptr<Machine> World::new_machine(std::string const& address, bool disk) {
  std::unique_ptr<Machine> machine = std::make_unique<Machine>();
  machine->address = address;
  machine->disk = disk;
  machine->process.clock_offset = kernel_.between(least_clock_offset, most_clock_offset);
  machine->process.clock_rate = 1.0 + options_.faults.clock_rate * (2 * kernel_.uniform() - 1);
  if (disk) {
    machine->memory = std::make_unique<MemoryDisk>(log_files, log_bytes);
  }
  return machine;
}

Machine& World::add_machine() {
  machines_.push_back(new_machine("core-" + std::to_string(next_address_++), true));
  Machine& machine = *machines_.back();
  kernel_.trace("new " + machine.address);
  boot(machine);
  return machine;
}

void World::add_furrow(std::size_t number) {
  std::unique_ptr<Furrow> furrow = std::make_unique<Furrow>();
  furrow->name =
      number < options_.furrow_names.size() ? options_.furrow_names[number] : "furrow-" + std::to_string(number);
  furrow->number = number;
  furrow->process.clock_offset = kernel_.between(least_clock_offset, most_clock_offset);
  furrow->process.clock_rate = 1.0 + options_.faults.clock_rate * (2 * kernel_.uniform() - 1);
  furrow->turn = number;
  furrows_.push_back(std::move(furrow));
  begin_furrow(*furrows_.back());
}

Machine& World::any_machine() {
  std::vector<Machine*> there;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (!machine->gone) {
      there.push_back(machine.get());
    }
  }
  return *there[kernel_.below(there.size())];
}

Machine* World::machine_at(std::string const& address) {
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (machine->address == address) {
      return machine.get();
    }
  }
  return nullptr;
}

ControlReport World::run() {
  begin();
  std::function<void()> const each = [this] { check_leases(); };
  kernel_.run(options_.length, each);
  begin_calm();
  if (options_.faults.last_fault) {
    kernel_.run(kernel_.now() + down_at_the_end, each);
  }
  kernel_.trace("heal");
  heal();
  Moment const healed = kernel_.now();
  check_recovery(healed, [this](Span took) {
    kernel_.trace("recovered");
    note_recovery(took);
  });
  kernel_.run(healed + recovery_time, each);
  put_last_change();
  kernel_.run(kernel_.now() + last_change_time, each);
  read_last_change();
  kernel_.run(kernel_.now() + last_read_time, each);
  return finish();
}

void World::end_day(Moment at) {
  kernel_.at(at, [this] { begin_calm(); });
  kernel_.at(at + down_at_the_end, [this] {
    heal();
    check_recovery(kernel_.now(), [this](Span took) { note_recovery(took); });
  });
  kernel_.at(at + last_change_after, [this] { put_last_change(); });
  kernel_.at(at + last_read_after, [this] { read_last_change(); });
}

void World::begin_calm() {
  calm_ = true;
  if (orders_ != nullptr) {
    orders_->stop();
  }
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (options_.faults.last_fault && kernel_.chance(killed_at_the_end)) {
      kill(*machine);
    }
  }
}

void World::put_last_change() {
  change_setup(last_operator, std::nullopt, [this](bool acknowledged) { final_change_done_ = acknowledged; });
}

void World::read_last_change() {
  read_setup([this](std::uint64_t revision) { final_revision_ = revision; });
}

ControlReport World::finish() {
  if (!final_change_done_ || final_revision_ == 0) {
    checker_.violate("the register does not take a change after all machines came back");
  }
  checker_.finish();
  if (orders_ != nullptr) {
    report_.orders = orders_->finish();
  }
  report_.trace_hash = kernel_.trace_hash();
  report_.events = kernel_.events();
  return report_;
}

namespace {

constexpr Span least_disk_delay = 200;  // microseconds
char const* const repair_duty = "duty/repair";

/// Identities are drawn as the daemons draw them: never 0, and they fit into a double.
std::uint64_t draw_identity(Kernel& kernel) {
  return (kernel.draw() >> 12u) + 1;
}

}  // namespace

void World::boot(Machine& machine) {
  ++machine.process.life;
  machine.process.alive = true;
  machine.process.frozen = false;
  clear_memory(machine);
  if (machine.disk) {
    boot_acceptor(machine);
    bootstrap_loop(machine);
  }
  read_loop(machine);
  spread_loop(machine);
  lease_loop(machine);
  join_loop(machine);
  if (options_.faults.replace > 0) {
    gossip_loop(machine);
  }
}

void World::clear_memory(Machine& machine) {
  machine.process.deferred.clear();
  machine.disk_jobs.clear();
  machine.disk_busy = false;
  machine.silent = false;
  machine.identity = draw_identity(kernel_);
  machine.voters = schema::VoterSet{};
  machine.reader = consensus::MajorityReader(options_.guards);
  machine.fetching.clear();
  machine.fetching_image = false;
  machine.news_sender = consensus::ValueSender(options_.inline_bytes == 0 ? constants::transfer_piece_bytes
                                                                          : options_.inline_bytes / news_part);
  machine.voter_looks.clear();
  machine.peers.clear();
  machine.departure.reset();
  machine.lease = std::make_unique<lease::LeaseHolder>(repair_duty, machine.identity, options_.guards);
}

void World::boot_acceptor(Machine& machine) {
  loam::Moment const now = network_.local_time(machine.process);
  machine.log = std::make_unique<consensus::WriteAheadLog>(machine.memory->device(), log_files, log_bytes);
  absl::StatusOr<std::vector<schema::Record>> records = machine.log->recover();
  if (!records.ok()) {
    checker_.violate("a torn disk was taken for a broken one: " + std::string(records.status().message()));
    machine.silent = true;
  } else if (records->empty() && !options_.guards.blank_has_no_vote && machine.last_voters.epoch > 0) {
    // The guard off: it takes up its old name and vote with nothing on disk.
    std::vector<schema::Record> const claimed{schema::FoundingRecord{machine.last_incarnation, {}, {}},
                                              schema::SetRecord{machine.last_voters, true, true}};
    machine.acceptor.emplace(claimed, machine.address, founders_, now, options_.guards);
  } else if (records->empty()) {
    machine.acceptor.emplace(draw_identity(kernel_), machine.address, founders_, now, options_.guards);
    std::vector<schema::Record> const image = machine.acceptor->image();
    machine.silent = !machine.log->append(image, [&image] { return image; }).ok();
  } else {
    machine.acceptor.emplace(*records, machine.address, founders_, now, options_.guards);
  }
  if (machine.acceptor.has_value() && options_.inline_bytes > 0) {
    machine.acceptor->limit_inline(options_.inline_bytes, piece_bytes());
  }
  if (machine.acceptor.has_value() && options_.learn_beyond_seeds) {
    learn_voters(machine, machine.acceptor->set());
  }
}

void World::receive(Machine& machine, schema::Message const& message, Reply const& reply) {
  if (schema::NewsAsk const* const ask = std::get_if<schema::NewsAsk>(&message)) {
    answer_ask(machine, *ask, network_.local_time(machine.process), reply);
    return;
  }
  if (schema::Tell const* const tell = std::get_if<schema::Tell>(&message)) {
    note_peer(machine, tell->from);
    schema::Told told;
    told.from = entry_of(machine);
    reply(schema::Message(told));
    return;
  }
  schema::PieceRequest const* const piece = std::get_if<schema::PieceRequest>(&message);
  if (piece != nullptr && piece->key.revision != 0) {
    answer_piece(machine, *piece, reply);
    return;
  }
  if (machine.acceptor.has_value() && !machine.silent) {
    submit(machine, machine.acceptor->receive(message, network_.local_time(machine.process)), reply);
  }
}

void World::answer_piece(Machine& machine, schema::PieceRequest const& request, Reply const& reply) {
  consensus::TransferSource const source = [&machine](schema::TransferKey const& key) -> std::optional<std::string> {
    std::map<std::string, schema::Value>::const_iterator const value = machine.reader.values().find(key.name);
    return value != machine.reader.values().end() && value->second.revision == key.revision
               ? std::optional<std::string>(value->second.content)
               : std::nullopt;
  };
  reply(schema::Message(machine.news_sender.answer(request, source, network_.local_time(machine.process))));
}

void World::submit(Machine& machine, consensus::Outcome outcome, Reply const& reply) {
  if (!outcome.reply.has_value()) {
    outcome.reply = schema::Unknown{};
  }
  if (outcome.records.empty() && machine.disk_jobs.empty()) {
    reply(outcome.reply);
    return;
  }
  if (machine.disk_jobs.size() >= constants::disk_waitlist) {
    return;
  }
  if (!options_.guards.sync_before_reply) {
    reply(outcome.reply);
    machine.disk_jobs.push_back(DiskJob{outcome.records, *outcome.reply, nullptr});
  } else {
    machine.disk_jobs.push_back(DiskJob{outcome.records, *outcome.reply, reply});
  }
  write_next(machine);
}

void World::write_next(Machine& machine) {
  if (machine.disk_busy || machine.disk_jobs.empty() || machine.silent || machine.disk_stalled) {
    return;
  }
  machine.disk_busy = true;
  Span const delay = kernel_.between(least_disk_delay, machine.disk_delay * 2);
  network_.later(machine.process, delay, [this, &machine] { finish_write(machine); });
}

void World::finish_write(Machine& machine) {
  machine.disk_busy = false;
  if (machine.disk_jobs.empty() || machine.disk_stalled) {
    return;
  }
  DiskJob const job = machine.disk_jobs.front();
  machine.disk_jobs.pop_front();
  absl::Status status = absl::OkStatus();
  if (!job.records.empty()) {
    status = machine.log->append(job.records, [&machine] { return machine.acceptor->image(); });
  }
  if (!status.ok()) {
    machine.silent = true;
    return;
  }
  if (job.send) {
    job.send(job.reply);
  }
  write_next(machine);
}

void World::bootstrap_loop(Machine& machine) {
  network_.later(machine.process, constants::founding_pause, [this, &machine] {
    bootstrap_loop(machine);
    if (machine.silent || !machine.acceptor.has_value()) {
      return;
    }
    if (machine.acceptor->wants_founding()) {
      ask_founders(machine);
    } else if (machine.acceptor->wants_image()) {
      ask_images(machine);
    }
  });
}

void World::ask_founders(Machine& machine) {
  std::shared_ptr<std::vector<schema::FoundingAnswer>> const answers =
      std::make_shared<std::vector<schema::FoundingAnswer>>();
  Reply const take = [this, &machine, answers](std::optional<schema::Message> const& answer) {
    if (answer.has_value() && std::holds_alternative<schema::FoundingAnswer>(*answer)) {
      answers->push_back(std::get<schema::FoundingAnswer>(*answer));
      submit(machine, machine.acceptor->founding(*answers, network_.local_time(machine.process)), ignore_reply);
    }
  };
  for (std::string const& founder : founders_) {
    if (founder != machine.address) {
      network_.call(machine.process, machine.address, founder, machine.acceptor->founding_ask(),
                    constants::holder_deadline, take);
    }
  }
}

void World::ask_images(Machine& machine) {
  std::shared_ptr<std::vector<schema::Image>> const images = std::make_shared<std::vector<schema::Image>>();
  Reply const take = [this, &machine, images](std::optional<schema::Message> const& answer) {
    if (answer.has_value() && std::holds_alternative<schema::Image>(*answer)) {
      images->push_back(std::get<schema::Image>(*answer));
      enrol(machine, images);
    }
  };
  for (schema::Voter const& source : machine.acceptor->image_sources()) {
    network_.call(machine.process, machine.address, source.address, machine.acceptor->image_ask(),
                  constants::holder_deadline, take);
  }
}

void World::enrol(Machine& machine, std::shared_ptr<std::vector<schema::Image>> const& images) {
  if (machine.silent || !machine.acceptor.has_value()) {
    return;
  }
  std::vector<consensus::MissingValue> const missing = machine.acceptor->missing(*images);
  if (missing.empty() || !options_.guards.values_whole) {
    submit(machine, machine.acceptor->enrol(*images, network_.local_time(machine.process)), ignore_reply);
    return;
  }
  if (machine.fetching_image || images->size() < consensus::majority(machine.acceptor->image_sources().size())) {
    return;
  }
  fetch_image_value(machine, missing.front(), images);
}

void World::fetch_image_value(Machine& machine, consensus::MissingValue const& missing,
                              std::shared_ptr<std::vector<schema::Image>> const& images) {
  machine.fetching_image = true;
  std::vector<std::string> sources;
  for (schema::Voter const& source : machine.acceptor->image_sources()) {
    for (std::uint64_t const incarnation : missing.sources) {
      if (source.incarnation == incarnation) {
        sources.push_back(source.address);
      }
    }
  }
  std::shared_ptr<consensus::ValueReceiver> const receiver =
      std::make_shared<consensus::ValueReceiver>(schema::TransferKey{missing.name, missing.digest, 0}, sources);
  fetch(machine.process, machine.address, receiver,
        [this, &machine, images, missing](std::optional<std::string> const& bytes) {
          machine.fetching_image = false;
          if (bytes.has_value()) {
            consensus::supply(*images, missing.name, missing.digest, *loam::unpack<schema::Value>(*bytes));
            enrol(machine, images);
          }
        });
}

void World::fetch(Process& process, std::string const& name, std::shared_ptr<consensus::ValueReceiver> const& receiver,
                  Whole const& done) {
  if (receiver->source().empty()) {
    done(std::nullopt);
    return;
  }
  std::size_t const before = receiver->received();
  Reply const take = [this, &process, name, receiver, done, before](std::optional<schema::Message> const& answer) {
    consensus::TransferState const state = answer.has_value() ? receiver->receive(*answer) : receiver->no_answer();
    if (state != consensus::TransferState::under_way) {
      bool const whole = state == consensus::TransferState::whole;
      report_.transfers += whole ? 1 : 0;
      done(whole ? std::optional<std::string>(receiver->take()) : std::nullopt);
      return;
    }
    network_.later(process, receiver->received() > before ? 0 : constants::piece_pause,
                   [this, &process, name, receiver, done] { fetch(process, name, receiver, done); });
  };
  network_.call(process, name, receiver->source(), receiver->request(), constants::piece_deadline, take);
}

std::size_t World::piece_bytes() const {
  return options_.inline_bytes == 0 ? constants::transfer_piece_bytes : 2 * options_.inline_bytes;
}

void World::fetch_chosen(Machine& machine, consensus::MissingChosen const& missing) {
  if (!machine.fetching.insert(missing.name).second) {
    return;
  }
  std::shared_ptr<consensus::ValueReceiver> const receiver = std::make_shared<consensus::ValueReceiver>(
      schema::TransferKey{missing.name, missing.digest, 0}, addresses_of(machine.voters, missing.sources));
  fetch(machine.process, machine.address, receiver, [this, &machine, missing](std::optional<std::string> const& bytes) {
    machine.fetching.erase(missing.name);
    if (bytes.has_value()) {
      schema::Value const value = *loam::unpack<schema::Value>(*bytes);
      machine.reader.learn(missing.name, missing.accepted, value);
      if (missing.name == consensus::setup_register) {
        checker_.observe(value, machine.address);
      }
    }
  });
}

void World::start_change(Machine& machine, std::string const& name, consensus::ProposalFunction propose, Span deadline,
                         OnChangeEnd done) {
  std::shared_ptr<ChangeRun> const run = std::make_shared<ChangeRun>();
  run->machine = &machine;
  run->proposer =
      std::make_unique<consensus::Proposer>(name, (kernel_.draw() >> 12u) + 1, std::move(propose), options_.guards);
  run->until = network_.local_time(machine.process) + deadline;
  run->done = std::move(done);
  network_.later(machine.process, deadline, [run] { run->end(std::monostate{}); });
  try_change(run);
}

void World::try_change(std::shared_ptr<ChangeRun> const& run) {
  if (run->over || network_.local_time(run->machine->process) >= run->until) {
    return;
  }
  std::optional<consensus::NeededValue> const needed = run->proposer->needed();
  if (needed.has_value()) {
    fetch_needed(run, *needed);
  } else {
    begin_ballot(run, false);
  }
}

void World::fetch_needed(std::shared_ptr<ChangeRun> const& run, consensus::NeededValue const& needed) {
  Machine& machine = *run->machine;
  std::uint64_t const number = ++run->tries;
  std::shared_ptr<consensus::ValueReceiver> const receiver = std::make_shared<consensus::ValueReceiver>(
      schema::TransferKey{run->proposer->name(), needed.digest, 0}, addresses_of(machine.voters, needed.sources));
  fetch(machine.process, machine.address, receiver,
        [this, run, number, needed](std::optional<std::string> const& bytes) {
          if (!run->at_try(number)) {
            return;
          }
          if (bytes.has_value()) {
            run->proposer->know(needed.accepted, *loam::unpack<schema::Value>(*bytes));
          }
          begin_ballot(run, bytes.has_value());
        });
}

void World::begin_ballot(std::shared_ptr<ChangeRun> const& run, bool fetched) {
  Machine& machine = *run->machine;
  std::uint64_t const number = ++run->tries;
  std::string const& name = run->proposer->name();
  run->proposer->start_above(machine.reader.known(name));
  std::map<std::string, schema::Value>::const_iterator const value = machine.reader.values().find(name);
  if (value != machine.reader.values().end() && !fetched) {
    run->proposer->know(machine.reader.known(name), value->second);
  }
  if (machine.voters.epoch == 0) {
    retry_ballot(run, number);
    return;
  }
  network_.later(machine.process, constants::holder_deadline, [this, run, number] { retry_ballot(run, number); });
  perform(run, number, run->proposer->begin(machine.voters));
}

void World::retry_ballot(std::shared_ptr<ChangeRun> const& run, std::uint64_t number) {
  if (!run->at_try(number)) {
    return;
  }
  Span const most = run->pause_most;
  if (options_.inline_bytes > 0) {  // rounds that fetch are long: pauses grow, as RegisterClient's do
    run->pause_most = std::min(most * 2, constants::ballot_pause_longest);
  }
  network_.later(run->machine->process, kernel_.between(constants::ballot_pause_least, most), [this, run, number] {
    if (run->tries == number) {
      try_change(run);
    }
  });
}

void World::perform(std::shared_ptr<ChangeRun> const& run, std::uint64_t number,
                    std::vector<consensus::ProposerAction> const& actions) {
  for (consensus::ProposerAction const& action : actions) {
    if (!run->at_try(number)) {
      return;
    }
    if (consensus::Send const* const send = std::get_if<consensus::Send>(&action)) {
      send_proposal(run, number, *send);
    } else if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&action)) {
      end_chosen(*run, *chosen);
    } else if (consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&action)) {
      run->end(*rejected);
    } else {
      if (consensus::NewerVoterSet const* const newer = std::get_if<consensus::NewerVoterSet>(&action)) {
        learn_voters(*run->machine, newer->set);
      }
      retry_ballot(run, number);
    }
  }
}

void World::send_proposal(std::shared_ptr<ChangeRun> const& run, std::uint64_t number, consensus::Send const& send) {
  Machine& machine = *run->machine;
  std::uint64_t const voter = send.to.incarnation;
  Reply const take = [this, run, number, voter](std::optional<schema::Message> const& answer) {
    if (!answer.has_value() || !run->at_try(number)) {
      return;
    }
    perform(run, number, run->proposer->receive(voter, *answer));
    if (run->at_try(number) && run->proposer->blocked()) {
      try_change(run);
    }
  };
  network_.call(machine.process, machine.address, send.to.address, send.message, constants::holder_deadline, take);
}

void World::end_chosen(ChangeRun& run, consensus::Chosen const& chosen) {
  Machine& machine = *run.machine;
  run.over = true;
  machine.reader.learn(run.proposer->name(), chosen.ballot, chosen.value);
  if (run.proposer->name() == consensus::setup_register) {
    checker_.observe(chosen.value, machine.address);
  }
  if (run.done) {
    run.done(chosen);
  }
}

namespace {

constexpr Span confirmed_look_pause = loam::milliseconds(20);
constexpr int confirmed_looks = 200;
constexpr Span longest_answer_wait = loam::milliseconds(20);

}  // namespace

void World::learn_voters(Machine& machine, schema::VoterSet const& voters) {
  if (voters.epoch > machine.voters.epoch) {
    machine.voters = voters;
    checker_.observe_voters(voters, machine.address);
  }
}

void World::read_loop(Machine& machine) {
  network_.later(machine.process, constants::confirm_pause, [this, &machine] {
    read_loop(machine);
    if (machine.voters.epoch == 0) {
      look_for_voters(machine);
      return;
    }
    Moment const now = network_.local_time(machine.process);
    for (consensus::MajorityReaderAction const& action : machine.reader.begin(machine.voters, now)) {
      consensus::SendRead const& send = std::get<consensus::SendRead>(action);
      network_.call(machine.process, machine.address, send.to.address, send.read, constants::holder_deadline,
                    [this, &machine](std::optional<schema::Message> const& answer) {
                      if (answer.has_value()) {
                        take_read(machine, *answer);
                      }
                    });
    }
  });
}

/// Asks the seeds, and one that told us of itself since we are up.
void World::look_for_voters(Machine& machine) {
  std::vector<std::string> asked = founders_;
  if (options_.learn_beyond_seeds) {
    asked.push_back(machines_[kernel_.below(machines_.size())]->address);
  }
  for (std::string const& address : asked) {
    network_.call(machine.process, machine.address, address, schema::Read{0, {}, 0}, constants::holder_deadline,
                  [this, &machine](std::optional<schema::Message> const& answer) {
                    if (answer.has_value() && std::holds_alternative<schema::Refused>(*answer)) {
                      learn_voters(machine, std::get<schema::Refused>(*answer).set);
                    }
                  });
  }
}

void World::take_read(Machine& machine, schema::Message const& answer) {
  for (consensus::MajorityReaderAction const& result : machine.reader.receive(answer)) {
    if (consensus::NewerVoters const* const newer = std::get_if<consensus::NewerVoters>(&result)) {
      learn_voters(machine, newer->set);
    } else if (consensus::MissingChosen const* const missing = std::get_if<consensus::MissingChosen>(&result)) {
      fetch_chosen(machine, *missing);
    } else if (consensus::Unsettled const* const open = std::get_if<consensus::Unsettled>(&result)) {
      settle(machine, *open);
    } else if (std::holds_alternative<consensus::Confirmed>(result)) {
      observe_confirmed(machine);
    }
  }
}

void World::settle(Machine& machine, consensus::Unsettled const& open) {
  bool const own_lot = options_.inline_bytes == 0 || kernel_.below(constants::settle_lots) == 0;
  if (!own_lot) {
    return;
  }
  for (std::string const& name : open.names) {
    start_change(
        machine, name, [](schema::Value const&) -> consensus::Proposal { return consensus::Keep{}; },
        constants::holder_deadline, nullptr);
  }
}

void World::observe_confirmed(Machine& machine) {
  checker_.observe(newest_known(machine, consensus::setup_register), machine.address);
  if (orders_ != nullptr) {
    for (std::pair<std::string const, schema::Value> const& value : machine.reader.values()) {
      orders_->observe(value.first, value.second);
    }
  }
}

void World::spread_loop(Machine& machine) {
  network_.later(machine.process, constants::founding_pause, [this, &machine] {
    spread_loop(machine);
    adopt_own(machine);
    spread_chosen_voters(machine);
  });
}

/// The own acceptor adopts the newest set that its trellis knows.
void World::adopt_own(Machine& machine) {
  if (machine.acceptor.has_value() && !machine.silent && machine.voters.epoch > machine.acceptor->set().epoch &&
      (machine.acceptor->set().epoch > 0 || machine.voters.epoch > 1)) {
    submit(machine, machine.acceptor->receive(schema::Adopt{machine.voters}, network_.local_time(machine.process)),
           ignore_reply);
  }
}

/// Tells the voters of a set that was chosen, and those before, that it stands.
void World::spread_chosen_voters(Machine& machine) {
  // A refused change settles what it found, and that is nothing before the first one.
  schema::Value const value = newest_known(machine, consensus::holders_register);
  if (value.revision == 0) {
    return;
  }
  schema::VoterSet next;
  std::vector<loam::Fault> faults;
  schema::read(loam::read_tree(value.content)->get(), "", next, faults);
  if (next.epoch <= machine.voters.epoch) {
    return;
  }
  std::vector<schema::Voter> all = next.previous;
  all.insert(all.end(), next.holders.begin(), next.holders.end());
  Reply const take = [this, &machine, next](std::optional<schema::Message> const& answer) {
    if (answer.has_value() && std::holds_alternative<schema::Adopted>(*answer) &&
        std::get<schema::Adopted>(*answer).epoch >= next.epoch) {
      learn_voters(machine, next);
    }
  };
  for (schema::Voter const& voter : all) {
    network_.call(machine.process, machine.address, voter.address, schema::Adopt{next}, constants::holder_deadline,
                  take);
  }
}

void World::lease_loop(Machine& machine) {
  network_.later(machine.process, constants::tell_pause, [this, &machine] {
    lease_loop(machine);
    Moment const now = network_.local_time(machine.process);
    for (lease::LeaseHolderAction const& action : machine.lease->tick(machine.voters, now)) {
      if (lease::SendAsk const* const send = std::get_if<lease::SendAsk>(&action)) {
        ask_lease(machine, *send);
      }
    }
  });
}

void World::ask_lease(Machine& machine, lease::SendAsk const& send) {
  network_.call(machine.process, machine.address, send.to.address, send.ask, constants::holder_deadline,
                [this, &machine](std::optional<schema::Message> const& answer) {
                  if (answer.has_value() && std::holds_alternative<schema::LeaseAnswer>(*answer)) {
                    (void)machine.lease->receive(std::get<schema::LeaseAnswer>(*answer),
                                                 network_.local_time(machine.process));
                  }
                });
}

void World::answer_ask(Machine& machine, schema::NewsAsk const& ask, Moment arrival, Reply const& reply) {
  membership::NewsBounds bounds;
  if (options_.inline_bytes > 0) {
    bounds.inline_bytes = options_.inline_bytes / news_part;
  }
  membership::NewsDecision const decision =
      membership::decide_answer(ask, arrival, machine.reader.confirmed_from(), machine.reader.values(), false,
                                network_.local_time(machine.process), options_.desk_guards, bounds);
  if (decision.answer.has_value()) {
    reply(schema::Message(*decision.answer));
    return;
  }
  network_.later(machine.process, std::min<Span>(decision.wait + 1, longest_answer_wait),
                 [this, &machine, ask, arrival, reply] { answer_ask(machine, ask, arrival, reply); });
}

void World::when_confirmed(Machine& machine, std::function<void()> const& done) {
  wait_confirmed(machine, network_.local_time(machine.process), confirmed_looks, done);
}

void World::wait_confirmed(Machine& machine, Moment since, int looks_left, std::function<void()> const& done) {
  if (machine.reader.confirmed_from() >= since) {
    done();
  } else if (looks_left > 0) {
    network_.later(machine.process, confirmed_look_pause,
                   [this, &machine, since, looks_left, done] { wait_confirmed(machine, since, looks_left - 1, done); });
  }
}

namespace {

constexpr Span departure_grace = loam::milliseconds(7700);
constexpr Span hurried_look = loam::milliseconds(150);

}  // namespace

void World::join_loop(Machine& machine) {
  network_.later(machine.process, constants::join_pause, [this, &machine] {
    look_at_voters(machine, constants::join_look, [this, &machine] { join_loop(machine); });
  });
}

void World::look_at_voters(Machine& machine, Span look, std::function<void()> const& again) {
  if (machine.voters.epoch == 0 || machine.silent || !machine.acceptor.has_value() || machine.departure.has_value() ||
      consensus::names(machine.voters.holders, machine.acceptor->incarnation())) {
    machine.voter_looks.clear();
    again();
    return;
  }
  // One that was left out knows it before it asks for a place again.
  network_.call(machine.process, machine.address, machine.address, schema::Adopt{machine.voters}, look, ignore_reply);
  machine.voter_looks.begin(machine.voters);
  for (schema::Voter const& voter : machine.voters.holders) {
    Reply const take = [&machine, asked = voter.incarnation](std::optional<schema::Message> const& answer) {
      schema::Adopted const* const adopted = answer.has_value() ? std::get_if<schema::Adopted>(&*answer) : nullptr;
      if (adopted != nullptr) {
        machine.voter_looks.answered(asked, *adopted);
      }
    };
    network_.call(machine.process, machine.address, voter.address, schema::Adopt{machine.voters}, look, take);
  }
  network_.later(machine.process, look, [this, &machine, again] {
    again();
    take_place(machine);
  });
}

void World::take_place(Machine& machine) {
  if (machine.silent || !machine.acceptor.has_value() ||
      (machine.voters.epoch > 1 && machine.acceptor->set().epoch < machine.voters.epoch)) {
    return;
  }
  membership::JoiningView view{machine.voter_looks.misses(), membership::leaving_voters(peers_of(machine))};
  if (machine.departure.has_value()) {
    view.leaving.insert(machine.acceptor->incarnation());
  }
  std::optional<schema::VoterSet> const plan =
      membership::plan_joining(machine.voters, view, schema::Voter{machine.acceptor->incarnation(), machine.address},
                               options_.wanted_holders, options_.joining_guards);
  if (plan.has_value()) {
    propose_voters(machine, *plan);
  }
}

void World::propose_voters(Machine& machine, schema::VoterSet const& plan) {
  std::uint64_t const newest = newest_known(machine, consensus::holders_register).revision;
  // The guard off: it expects what the register holds, not what it replaces.
  consensus::ProposalFunction const propose =
      options_.repair_fenced ? membership::reconfiguration_proposal(machine.voters, plan)
                             : consensus::replace_at(newest, loam::print_tree(loam::Tree(schema::write(plan)).get()));
  Moment const began = kernel_.now();
  start_change(machine, consensus::holders_register, propose, constants::change_deadline,
               [this, began](ChangeEnd const& result) {
                 if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&result)) {
                   note_reconfiguration(*chosen, began);
                 }
               });
}

void World::note_reconfiguration(consensus::Chosen const& chosen, Moment began) {
  ++report_.repairs;
  kernel_.trace("repair chosen");
  if (orders_ != nullptr) {
    orders_->record(consensus::holders_register,
                    HistoryEntry{HistoryEntry::Kind::write, chosen.value.revision, began, kernel_.now()});
  }
}

void World::note_peer(Machine& machine, schema::TrellisEntry const& entry) {
  membership::Peer& peer = machine.peers[entry.address];
  bool const begins_to_leave = entry.leaving && !peer.entry.leaving;
  peer = membership::Peer{entry, network_.local_time(machine.process)};
  if (begins_to_leave) {
    look_at_voters(machine, hurried_look, [] {});
  }
}

void World::gossip(Machine& machine) {
  schema::Tell tell;
  tell.from = entry_of(machine);
  Reply const take = [this, &machine](std::optional<schema::Message> const& answer) {
    if (answer.has_value() && std::holds_alternative<schema::Told>(*answer)) {
      note_peer(machine, std::get<schema::Told>(*answer).from);
    }
  };
  for (std::unique_ptr<Machine> const& other : machines_) {
    if (other->address != machine.address && !other->gone) {
      network_.call(machine.process, machine.address, other->address, tell, constants::tell_pause * 2, take);
    }
  }
}

void World::gossip_loop(Machine& machine) {
  network_.later(machine.process, constants::tell_pause, [this, &machine] {
    gossip_loop(machine);
    gossip(machine);
  });
}

void World::leave(Machine& machine, bool for_good) {
  if (!machine.process.alive || machine.departure.has_value()) {
    return;
  }
  kernel_.trace("leave " + machine.address);
  machine.for_good = for_good;
  machine.departing_from = kernel_.now();
  bool const votes = machine.acceptor.has_value() && !machine.silent;
  machine.departure.emplace(votes ? machine.acceptor->incarnation() : 0,
                            network_.local_time(machine.process) + departure_grace, options_.departure_guards);
  for (lease::LeaseHolderAction const& action : machine.lease->release()) {
    if (lease::SendAsk const* const send = std::get_if<lease::SendAsk>(&action)) {
      network_.call(machine.process, machine.address, send->to.address, send->ask, constants::holder_deadline,
                    ignore_reply);
    }
  }
  std::uint64_t const life = machine.process.life;
  kernel_.after(departure_grace + constants::drain_reserve, [this, &machine, life] {
    if (machine.process.alive && machine.process.life == life) {
      ++report_.grace_ends;
      kill(machine);
      machine.gone = machine.for_good;
    }
  });
  depart_loop(machine);
}

void World::depart_loop(Machine& machine) {
  gossip(machine);
  schema::VoterSet const own = machine.acceptor.has_value() ? machine.acceptor->set() : schema::VoterSet{};
  schema::VoterSet const& newest = own.epoch > machine.voters.epoch ? own : machine.voters;
  membership::DepartureStep const step =
      machine.departure->decide(newest, peers_of(machine), network_.local_time(machine.process));
  if (membership::stays(step)) {
    network_.later(machine.process, constants::departure_pause, [this, &machine] { depart_loop(machine); });
    return;
  }
  kernel_.trace(machine.address + " goes: " + membership::name_of(step));
  report_.worst_departure = std::max(report_.worst_departure, kernel_.now() - machine.departing_from);
  kill(machine);
  machine.gone = machine.for_good;
}

namespace {

constexpr loam::Span least_query_pause = loam::milliseconds(5);
constexpr loam::Span most_query_pause = loam::milliseconds(40);

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

namespace {

char const* const small_setup = R"({"regions":{"r":{"halls":["h"]}},"rules":{}})";
constexpr Span answer_reserve = loam::seconds(2);
/// Shares of what an operator does, added up: a compare-and-set after a read, a blind change, a read.
constexpr double compare_and_set_up_to = 0.4;
constexpr double blind_change_up_to = 0.8;

/// A small change that its id marks.
std::string small_patch(std::string const& id) {
  return R"({"halls":{"h":{"labels":{"mark":")" + id + "\"}}}}";
}

}  // namespace

void World::operator_loop(std::size_t number) {
  kernel_.after(static_cast<Span>(kernel_.exponential(options_.operators_pause) * 1e6), [this, number] {
    operator_loop(number);
    double const kind = kernel_.uniform();
    if (kind < compare_and_set_up_to) {
      read_setup([this, number](std::uint64_t revision) {
        if (revision > 0) {  // a race: others may do the same from the same revision
          change_setup(number, revision, [](bool) {});
        }
      });
    } else if (kind < blind_change_up_to) {
      change_setup(number, std::nullopt, [](bool) {});
    } else {
      read_setup([](std::uint64_t) {});
    }
  });
}

config::WantedChange World::next_change(Machine const& machine, std::optional<std::uint64_t> expected) {
  config::WantedChange wanted;
  wanted.id = "c" + std::to_string(next_change_id_++) + "." +
              std::to_string(newest_known(machine, consensus::setup_register).revision);
  wanted.expected = expected;
  wanted.patch = checker_.has_setup();
  if (!wanted.patch) {
    wanted.content = options_.first_setup.empty() ? small_setup : options_.first_setup;
  } else {
    wanted.content = options_.patch ? options_.patch(wanted.id) : small_patch(wanted.id);
  }
  return wanted;
}

void World::change_setup(std::size_t number, std::optional<std::uint64_t> expected, std::function<void(bool)> done) {
  Machine& machine = any_machine();
  if (!machine.process.alive || machine.process.frozen) {
    done(false);
    return;
  }
  std::shared_ptr<SetupChange> const change = std::make_shared<SetupChange>();
  change->machine = &machine;
  change->wanted = next_change(machine, expected);
  change->report = std::make_shared<config::SetupProposalReport>();
  change->floor = checker_.floor();
  change->began = kernel_.now();
  change->done = std::move(done);
  kernel_.after(constants::change_deadline + constants::acknowledge_wait + answer_reserve, [this, change] {
    if (!change->told) {  // the trellis died with it; what became of it is asked for
      give_up(*change);
    }
  });
  checker_.begin_change(change->wanted.id, change->began, expected);
  kernel_.trace("operator " + std::to_string(number) + " puts " + change->wanted.id);
  start_change(machine, consensus::setup_register, config::setup_proposal(change->wanted, change->report),
               constants::change_deadline, [this, change](ChangeEnd const& end) {
                 if (!change->told) {
                   end_setup_change(change, end);
                 }
               });
}

void World::end_setup_change(std::shared_ptr<SetupChange> const& change, ChangeEnd const& end) {
  kernel_.trace("result of " + change->wanted.id + " is " + std::to_string(end.index()));
  if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&end)) {
    acknowledge_later(change, chosen->value.revision);
  } else if (consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&end)) {
    end_rejected(change, *rejected);
  } else {
    give_up(*change);
  }
}

void World::end_rejected(std::shared_ptr<SetupChange> const& change, consensus::Rejected const& rejected) {
  config::IdStanding const known = config::standing_of(rejected.current, change->wanted.id);
  if (known.standing == config::Standing::accepted) {
    acknowledge_later(change, known.revision);
    return;
  }
  if (change->report->end == config::SetupProposalOutcome::forgotten) {
    ++report_.forgotten;
    give_up(*change);
    return;
  }
  change->told = true;
  ++report_.rejected;
  if (change->report->end == config::SetupProposalOutcome::expectation) {
    checker_.refuse_expected(*change->wanted.expected, change->began);
  }
  checker_.reject(change->wanted.id);
  change->done(false);
}

void World::acknowledge_later(std::shared_ptr<SetupChange> const& change, std::uint64_t revision) {
  if (revision == 0) {
    give_up(*change);
    return;
  }
  Span const wait = options_.acknowledge_waits ? constants::acknowledge_wait : 0;
  network_.later(change->machine->process, wait, [this, change, revision] {
    if (!change->told) {
      change->told = true;
      checker_.acknowledge(change->wanted.id, revision, change->floor, change->began);
      change->done(true);
    }
  });
}

void World::give_up(SetupChange& change) {
  change.told = true;
  ++report_.unknown;
  settle_outcome(change.wanted.id);
  change.done(false);
}

void World::settle_outcome(std::string const& id) {
  Machine& machine = any_machine();
  if (!machine.process.alive || machine.process.frozen) {
    return;
  }
  network_.later(machine.process, constants::change_deadline, [this, &machine, id] {
    start_change(machine, consensus::setup_register, config::veto_of(id), constants::change_deadline,
                 [this, id](ChangeEnd const& end) {
                   if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&end)) {
                     checker_.settle(id, config::standing_of(chosen->value, id));
                   }
                 });
  });
}

void World::read_setup(std::function<void(std::uint64_t)> const& done) {
  Machine& machine = any_machine();
  if (!machine.process.alive || machine.process.frozen) {
    return;
  }
  std::uint64_t const floor = checker_.floor();
  Moment const began = kernel_.now();
  when_confirmed(machine, [this, &machine, floor, began, done] {
    std::uint64_t const revision = newest_known(machine, consensus::setup_register).revision;
    checker_.read(revision, floor, began);
    done(revision);
  });
}

void World::begin_orders() {
  ClusterAccess access;
  access.nodes = [this] { return machines_.size(); };
  access.alive = [this](std::size_t node) { return machines_[node]->process.alive; };
  access.deliver = [this](std::size_t node, std::function<void()> const& event) {
    Process& process = machines_[node]->process;
    network_.deliver(process, process.life, event);
  };
  access.change = [this](std::size_t node, std::string const& name, consensus::ProposalFunction propose,
                         std::function<void(ChangeEnd const&)> const& done) {
    start_change(*machines_[node], name, std::move(propose), constants::change_deadline, done);
  };
  access.value = [this](std::size_t node, std::string const& name) { return newest_known(*machines_[node], name); };
  access.confirmed = [this](std::size_t node, std::function<void()> const& done) {
    when_confirmed(*machines_[node], done);
  };
  access.violate = [this](std::string const& text) { checker_.violate(text); };
  orders_ = std::make_unique<OperatorModel>(options_.orders, kernel_, std::move(access));
  orders_->begin();
}

namespace {

constexpr double furrow_kills = 0.4;
constexpr double whole_herds = 0.3;
constexpr double furrow_freezes = 0.5;
constexpr double furrow_cuts = 0.3;
constexpr double even = 0.5;
constexpr Span longest_freeze = loam::seconds(9);
constexpr Span longest_cut = loam::seconds(6);
constexpr Span restart_time = loam::milliseconds(300);
constexpr Span power_loss_time = loam::milliseconds(500);

}  // namespace

void World::schedule_faults() {
  ControlFaults const& mix = options_.faults;
  repeat(mix.kill, [this] { kill_any(); });
  repeat(mix.herd, [this] { kill_herd(); });
  repeat(mix.freeze, [this] { freeze_any(); });
  repeat(mix.cut, [this] { cut_any_link(); });
  repeat(mix.split, [this] { split_processes(); });
  repeat(mix.replace, [this] { replace_planned(); });
  repeat(mix.wipe, [this] {
    Machine& machine = any_disk_machine();
    if (machine.disk && machine.acceptor.has_value() && may_lose_disk()) {
      lose_disk(machine);
    }
  });
  repeat(mix.slow_disk, [this] { slow_disk(); });
  repeat(mix.stall_disk, [this] { stall_disk(); });
  repeat(mix.full_disk, [this] { fill_disk(); });
}

void World::repeat(double mean, std::function<void()> const& fault) {
  if (mean <= 0) {
    return;
  }
  kernel_.after(static_cast<Span>(kernel_.exponential(mean) * 1e6), [this, mean, fault] {
    if (!calm_) {
      fault();
    }
    repeat(mean, fault);
  });
}

Machine& World::any_of_all() {
  return *machines_[kernel_.below(machines_.size())];
}

Machine& World::any_disk_machine() {
  return *machines_[kernel_.below(options_.disk_machines)];
}

Furrow& World::any_furrow() {
  return *furrows_[kernel_.below(furrows_.size())];
}

void World::kill_any() {
  if (kernel_.chance(furrow_kills)) {
    kill_furrow(any_furrow());
    return;
  }
  Machine& machine = any_of_all();
  kill(machine);
  revive_later(machine, loam::milliseconds(50), loam::seconds(6));
}

void World::kill_furrow(Furrow& furrow) {
  furrow.process.alive = false;
  ++furrow.process.life;
  if (options_.lives) {
    options_.lives(furrow.number, false);
  }
  kernel_.after(kernel_.between(loam::milliseconds(10), loam::seconds(3)), [this, &furrow] {
    if (!furrow.process.alive) {
      begin_furrow(furrow);
    }
  });
}

void World::kill_herd() {
  double const part = kernel_.chance(whole_herds) ? 1.0 : kernel_.uniform();
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (kernel_.chance(part)) {
      kill(*machine);
      revive_later(*machine, loam::milliseconds(200), loam::seconds(4));
    }
  }
}

void World::freeze_any() {
  Span const span = kernel_.between(loam::milliseconds(100), longest_freeze);
  Process& process = kernel_.chance(furrow_freezes) ? any_furrow().process : any_of_all().process;
  process.frozen = true;
  kernel_.after(span, [this, &process] { network_.thaw(process); });
}

void World::cut_any_link() {
  std::string const from = kernel_.chance(furrow_cuts) ? any_furrow().name : any_of_all().address;
  std::string const to = any_of_all().address;
  std::pair<std::string, std::string> const link =
      kernel_.chance(even) ? std::make_pair(from, to) : std::make_pair(to, from);
  network_.cut(link);
  kernel_.after(kernel_.between(loam::milliseconds(200), longest_cut), [this, link] { network_.mend(link); });
}

void World::split_processes() {
  std::set<std::string> part;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (kernel_.chance(even)) {
      part.insert(machine->address);
    }
  }
  for (std::unique_ptr<Furrow> const& furrow : furrows_) {
    if (kernel_.chance(even)) {
      part.insert(furrow->name);
    }
  }
  network_.split(part);
  kernel_.after(kernel_.between(loam::milliseconds(500), longest_cut), [this] { network_.split({}); });
}

void World::strike_at_revision(std::uint64_t revision) {
  ControlFaults const& mix = options_.faults;
  if (calm_) {
    return;
  }
  if (mix.restart_each > 0 && revision % mix.restart_each == 0) {
    Machine& machine = *machines_[(revision / mix.restart_each) % options_.disk_machines];
    kernel_.after(0, [this, &machine] { kill(machine); });
    kernel_.after(restart_time, [this, &machine] { bring_back(machine); });
  }
  if (mix.away_from > 0 && (revision == mix.away_from || revision == mix.away_to)) {
    Machine& machine = *machines_[founders_.size() - 1];
    bool const leaves = revision == mix.away_from;
    kernel_.after(0, [this, &machine, leaves] { leaves ? kill(machine) : bring_back(machine); });
  }
  if (mix.all_lost_at > 0 && revision == mix.all_lost_at) {
    kernel_.after(0, [this] { lose_power_everywhere(); });
  }
}

void World::lose_power_everywhere() {
  for (std::unique_ptr<Machine> const& machine : machines_) {
    Machine& one = *machine;
    kill(one);
    kernel_.after(power_loss_time, [this, &one] { bring_back(one); });
  }
}

namespace {

constexpr double torn_writes = 0.7;
constexpr std::uint64_t power_loss_choices = 400;
constexpr double new_addresses = 0.4;

}  // namespace

void World::kill(Machine& machine) {
  if (!machine.process.alive) {
    return;
  }
  kernel_.trace("kill " + machine.address);
  if (machine.disk && !machine.silent) {
    if (!machine.disk_jobs.empty() && kernel_.chance(torn_writes)) {
      tear_write(machine);
    }
    machine.memory->lose_power(kernel_.below(power_loss_choices));
  }
  machine.process.alive = false;
  ++machine.process.life;
  machine.process.deferred.clear();
  machine.disk_jobs.clear();
  machine.acceptor.reset();
}

/// What was on its way to the disk is torn anywhere: written, and not synced.
void World::tear_write(Machine& machine) {
  consensus::Device torn = machine.memory->device();
  torn.sync = [](std::size_t) { return absl::OkStatus(); };
  consensus::WriteAheadLog log(torn, log_files, log_bytes);
  if (log.recover().ok()) {
    (void)log.append(machine.disk_jobs.front().records, [&machine] { return machine.acceptor->image(); });
  }
}

void World::revive(Machine& machine) {
  if (!machine.process.alive && !machine.gone) {
    kernel_.trace("start " + machine.address);
    boot(machine);
  }
}

void World::revive_later(Machine& machine, Span least, Span most) {
  kernel_.after(kernel_.between(least, most), [this, &machine] { revive(machine); });
}

void World::bring_back(Machine& machine) {
  if (machine.process.alive) {
    return;
  }
  revive(machine);
  ++report_.returns;
  watch_catch_up(machine, checker_.newest_revision(), kernel_.now());
}

bool World::may_lose_disk() const {
  schema::VoterSet newest;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (machine->process.alive && machine->acceptor.has_value() && machine->acceptor->set().epoch > newest.epoch) {
      newest = machine->acceptor->set();
    }
    std::map<std::string, schema::Value>::const_iterator const chosen =
        machine->reader.values().find(consensus::holders_register);
    if (chosen != machine->reader.values().end() && chosen->second.revision + 1 > newest.epoch) {
      newest.epoch = chosen->second.revision + 1;  // adopted by none of those so far
      newest.holders.clear();
    }
  }
  std::size_t voting = 0;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    voting += machine->process.alive && !machine->silent && machine->acceptor.has_value() &&
                      machine->acceptor->voting() && machine->acceptor->set().epoch == newest.epoch &&
                      consensus::names(newest.holders, machine->acceptor->incarnation())
                  ? 1
                  : 0;
  }
  return !newest.holders.empty() && voting == newest.holders.size();
}

void World::lose_disk(Machine& machine) {
  if (!machine.disk || !machine.acceptor.has_value()) {
    return;
  }
  kernel_.trace("wipe " + machine.address);
  machine.last_incarnation = machine.acceptor->incarnation();
  machine.last_voters = machine.acceptor->set();
  machine.process.alive = false;
  ++machine.process.life;
  machine.disk_jobs.clear();
  machine.acceptor.reset();
  machine.memory = std::make_unique<MemoryDisk>(log_files, log_bytes);
  machine.disk_stalled = false;
  kernel_.after(kernel_.between(loam::milliseconds(100), loam::seconds(8)), [this, &machine] {
    if (!machine.process.alive) {
      if (options_.guards.blank_has_no_vote && kernel_.chance(new_addresses)) {
        machine.address = "core-" + std::to_string(next_address_++);
      }
      revive(machine);
    }
  });
}

void World::slow_disk() {
  Machine& machine = any_disk_machine();
  machine.disk_delay = kernel_.between(loam::milliseconds(50), loam::milliseconds(900));
  kernel_.after(kernel_.between(loam::seconds(1), loam::seconds(6)),
                [&machine] { machine.disk_delay = usual_disk_delay; });
}

void World::stall_disk() {
  Machine& machine = any_disk_machine();
  machine.disk_stalled = true;
  kernel_.after(kernel_.between(loam::seconds(1), loam::seconds(8)), [this, &machine] {
    machine.disk_stalled = false;
    write_next(machine);
  });
}

void World::fill_disk() {
  Machine& machine = any_disk_machine();
  if (machine.memory == nullptr) {
    return;
  }
  MemoryDisk* const memory = machine.memory.get();
  memory->full = true;
  kernel_.after(kernel_.between(loam::seconds(1), loam::seconds(4)), [this, &machine, memory] {
    if (machine.memory.get() == memory) {
      memory->full = false;
      kill(machine);  // an operator makes room and starts it anew
      revive(machine);
    }
  });
}

void World::heal() {
  network_.heal();
  for (std::unique_ptr<Machine> const& machine : machines_) {
    machine->disk_delay = usual_disk_delay;
    machine->disk_stalled = false;
    if (machine->process.frozen) {
      network_.thaw(machine->process);
    }
    if (machine->silent) {
      kill(*machine);
    }
    revive(*machine);
    write_next(*machine);
  }
  for (std::unique_ptr<Furrow> const& furrow : furrows_) {
    if (furrow->process.frozen) {
      network_.thaw(furrow->process);
    }
    if (!furrow->process.alive) {
      begin_furrow(*furrow);
    }
  }
}

namespace {

constexpr std::size_t least_voters = 3;
constexpr Span newcomer_lead = loam::seconds(1);
constexpr Span replacement_time = loam::seconds(22);

/// What goes wrong behind a planned replacement.
enum class Strike { second_loss, newcomer_fails, leaver_freezes, leaver_killed, two_leave, cancelled, count };

}  // namespace

std::vector<Machine*> World::newest_voters() {
  std::uint64_t newest = 0;
  std::vector<Machine*> voters;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (machine->process.alive && machine->acceptor.has_value() && machine->acceptor->voting()) {
      newest = std::max(newest, machine->acceptor->set().epoch);
      voters.push_back(machine.get());
    }
  }
  std::erase_if(voters, [newest](Machine* const voter) { return voter->acceptor->set().epoch != newest; });
  return voters;
}

void World::replace_planned() {
  std::vector<Machine*> voters = newest_voters();
  if (replacing_ || !may_lose_disk() || voters.size() < least_voters) {
    return;
  }
  replacing_ = true;
  ++report_.replacements;
  Machine* const leaver = voters[kernel_.below(voters.size())];
  std::erase(voters, leaver);
  if (kernel_.chance(0.5)) {
    std::swap(voters.front(), voters.back());
  }
  Machine* const newcomer = &add_machine();
  kernel_.after(newcomer_lead, [this, leaver, newcomer, voters] { strike_behind(*leaver, *newcomer, voters); });
  kernel_.after(replacement_time, [this] { replacing_ = false; });
}

void World::strike_behind(Machine& leaver, Machine& newcomer, std::vector<Machine*> const& others) {
  Strike const strike = static_cast<Strike>(kernel_.below(static_cast<std::uint64_t>(Strike::count)));
  Span const behind = kernel_.between(loam::milliseconds(200), loam::seconds(3));
  Machine& first = *others.front();
  Machine& second = *others.back();
  switch (strike) {
    case Strike::second_loss:
      kernel_.after(behind, [this, &first] { lose_disk(first); });
      break;
    case Strike::newcomer_fails:
      kernel_.after(kernel_.between(0, loam::milliseconds(1500)), [this, &newcomer] { kill(newcomer); });
      revive_later(newcomer, loam::seconds(2), loam::seconds(12));
      break;
    case Strike::leaver_freezes:
      freeze_leaver(leaver);
      break;
    case Strike::leaver_killed:
      kernel_.after(kernel_.between(1, loam::milliseconds(800)), [this, &leaver] {
        kill(leaver);
        leaver.gone = true;
      });
      break;
    case Strike::two_leave:
      (void)add_machine();
      kernel_.after(kernel_.between(1, loam::milliseconds(300)), [this, &first] { leave(first, true); });
      kernel_.after(behind, [this, &second] { lose_disk(second); });
      break;
    case Strike::cancelled:
    case Strike::count:
      cancel_departure(leaver, first, behind);
      break;
  }
  leave(leaver, strike != Strike::cancelled);
}

void World::freeze_leaver(Machine& leaver) {
  Span const from = kernel_.between(1, loam::seconds(1));
  kernel_.after(from, [&leaver] { leaver.process.frozen = true; });
  kernel_.after(from + kernel_.between(loam::seconds(1), loam::seconds(9)),
                [this, &leaver] { network_.thaw(leaver.process); });
}

void World::cancel_departure(Machine& leaver, Machine& other, Span behind) {
  kernel_.after(kernel_.between(1, loam::milliseconds(500)), [this, &leaver] { kill(leaver); });
  kernel_.after(loam::milliseconds(800), [this, &leaver] { revive(leaver); });
  kernel_.after(behind, [this, &other] { kill(other); });
  kernel_.after(behind + kernel_.between(loam::seconds(1), loam::seconds(3)), [this, &other] { revive(other); });
}

namespace {

constexpr Span look_pause = loam::milliseconds(50);
constexpr Span catch_up_look_pause = loam::milliseconds(10);
constexpr Span recovery_bound = loam::seconds(12);
constexpr Span recovery_given_up = loam::seconds(30);
constexpr Span one_millisecond = loam::milliseconds(1);

}  // namespace

bool World::vouched(std::size_t furrow) const {
  Furrow const& one = *furrows_[furrow];
  return one.process.alive && one.freshness.vouched(network_.local_time(one.process));
}

void World::check_leases() {
  std::uint64_t owner = 0;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    Process const& process = machine->process;
    if (process.alive && !process.frozen && machine->lease->holds(network_.local_time(process))) {
      if (owner != 0) {
        checker_.violate("two tenants hold one lease at one instant");
      }
      owner = machine->identity;
    }
  }
  checker_.observe_lease(owner);
}

void World::check_recovery(Moment since, std::function<void(Span)> const& done) {
  kernel_.after(look_pause, [this, since, done] {
    bool all = true;
    for (std::unique_ptr<Furrow> const& furrow : furrows_) {
      all = all && vouched(furrow->number) && furrow->freshness.held().count(consensus::setup_register) > 0;
    }
    if (all) {
      done(kernel_.now() - since);
    } else if (kernel_.now() - since < recovery_given_up) {
      check_recovery(since, done);
    } else {
      checker_.violate("not all furrows serve 30 s after the machines came back");
    }
  });
}

void World::note_recovery(Span took) {
  report_.worst_recovery = took;
  if (took > recovery_bound) {
    checker_.violate("service was down " + std::to_string(took / one_millisecond) + " ms after the machines came back");
  }
}

/// Until it knows what was the newest when it came back, and votes if the set
/// that it knows names it.
void World::watch_catch_up(Machine& machine, std::uint64_t revision, Moment since) {
  network_.later(machine.process, catch_up_look_pause, [this, &machine, revision, since] {
    std::map<std::string, schema::Value>::const_iterator const setup =
        machine.reader.values().find(consensus::setup_register);
    bool const named =
        machine.acceptor.has_value() && consensus::names(machine.voters.holders, machine.acceptor->incarnation());
    Span const took = kernel_.now() - since;
    if (setup != machine.reader.values().end() && setup->second.revision >= revision &&
        (!named || machine.acceptor->voting() || machine.silent)) {
      report_.worst_catch_up = std::max(report_.worst_catch_up, took);
      kernel_.trace(machine.address + " has caught up");
    } else if (took > options_.catch_up_bound) {
      checker_.violate(machine.address + " has not caught up with revision " + std::to_string(revision) + " after " +
                       std::to_string(took / one_millisecond) + " ms");
    } else {
      watch_catch_up(machine, revision, since);
    }
  });
}

}  // namespace finchlink::almanac::control

namespace finchlink::almanac {

ControlReport run_control(ControlOptions const& options) {
  Kernel kernel(options.seed);
  kernel.print_trace(options.print);
  control::World world(options, kernel);
  return world.run();
}

ControlPart control_part(ControlOptions const& options, Kernel& kernel) {
  std::shared_ptr<control::World> const world = std::make_shared<control::World>(options, kernel);
  ControlPart part;
  part.begin = [world] { world->begin(); };
  part.each = [world] { world->check_leases(); };
  part.end_day = [world](loam::Moment at) { world->end_day(at); };
  part.finish = [world] { return world->finish(); };
  part.vouched = [world](std::size_t furrow) { return world->vouched(furrow); };
  return part;
}

}  // namespace finchlink::almanac
