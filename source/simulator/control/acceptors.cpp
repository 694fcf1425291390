// Voters and their disks: start of a machine, incoming messages, the queue of disk writes, bootstrap and snapshots.

#include <algorithm>
#include <utility>

#include "common/wire/pack.hpp"
#include "simulator/control/world.hpp"

namespace finchlink::simulator::control {

namespace constants = common::constants;
using common::Span;

namespace {

constexpr Span min_disk_delay = 200;  // microseconds
char const* const repair_lease = "duty/repair";

/// Draws an identity as the daemons do: never 0, and representable in a double.
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
  voter_set_loop(machine);
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
  machine.disk_failed = false;
  machine.identity = draw_identity(kernel_);
  machine.voters = schema::VoterSet{};
  machine.reader = consensus::MajorityReader(options_.guards);
  machine.fetching.clear();
  machine.fetching_snapshot = false;
  machine.update_sender = consensus::ValueSender(options_.inline_bytes == 0 ? constants::transfer_piece_bytes
                                                                            : options_.inline_bytes / update_fraction);
  machine.voter_probes.clear();
  machine.peers.clear();
  machine.departure.reset();
  machine.lease = std::make_unique<lease::LeaseHolder>(repair_lease, machine.identity, options_.guards);
}

void World::boot_acceptor(Machine& machine) {
  common::Moment const now = network_.local_time(machine.process);
  machine.log = std::make_unique<consensus::WriteAheadLog>(machine.memory->device(), log_files, log_bytes);
  absl::StatusOr<std::vector<schema::Record>> records = machine.log->recover();
  if (!records.ok()) {
    checker_.violate("a torn disk was taken for a broken one: " + std::string(records.status().message()));
    machine.disk_failed = true;
  } else if (records->empty() && !options_.guards.blank_has_no_vote && machine.last_voters.epoch > 0) {
    // Safety rule disabled: an acceptor with an empty disk resumes its old identity and vote.
    std::vector<schema::Record> const claimed{schema::FoundingRecord{machine.last_incarnation, {}, {}},
                                              schema::SetRecord{machine.last_voters, true, true}};
    machine.acceptor.emplace(claimed, machine.address, founders_, now, options_.guards);
  } else if (records->empty()) {
    machine.acceptor.emplace(draw_identity(kernel_), machine.address, founders_, now, options_.guards);
    std::vector<schema::Record> const image = machine.acceptor->snapshot_records();
    machine.disk_failed = !machine.log->append(image, [&image] { return image; }).ok();
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
    answer_update_request(machine, *ask, network_.local_time(machine.process), reply);
    return;
  }
  if (schema::Tell const* const tell = std::get_if<schema::Tell>(&message)) {
    record_peer(machine, tell->from);
    schema::Told response;
    response.from = entry_of(machine);
    reply(schema::Message(response));
    return;
  }
  schema::PieceRequest const* const piece = std::get_if<schema::PieceRequest>(&message);
  if (piece != nullptr && piece->key.revision != 0) {
    answer_piece(machine, *piece, reply);
    return;
  }
  if (machine.acceptor.has_value() && !machine.disk_failed) {
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
  reply(schema::Message(machine.update_sender.answer(request, source, network_.local_time(machine.process))));
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
  if (machine.disk_busy || machine.disk_jobs.empty() || machine.disk_failed || machine.disk_stalled) {
    return;
  }
  machine.disk_busy = true;
  Span const delay = kernel_.between(min_disk_delay, machine.disk_delay * 2);
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
    status = machine.log->append(job.records, [&machine] { return machine.acceptor->snapshot_records(); });
  }
  if (!status.ok()) {
    machine.disk_failed = true;
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
    if (machine.disk_failed || !machine.acceptor.has_value()) {
      return;
    }
    if (machine.acceptor->needs_bootstrap()) {
      request_bootstrap_votes(machine);
    } else if (machine.acceptor->needs_snapshot()) {
      request_snapshots(machine);
    }
  });
}

void World::request_bootstrap_votes(Machine& machine) {
  std::shared_ptr<std::vector<schema::FoundingAnswer>> const answers =
      std::make_shared<std::vector<schema::FoundingAnswer>>();
  Reply const on_answer = [this, &machine, answers](std::optional<schema::Message> const& answer) {
    if (answer.has_value() && std::holds_alternative<schema::FoundingAnswer>(*answer)) {
      answers->push_back(std::get<schema::FoundingAnswer>(*answer));
      submit(machine, machine.acceptor->bootstrap(*answers, network_.local_time(machine.process)), ignore_reply);
    }
  };
  for (std::string const& founder : founders_) {
    if (founder != machine.address) {
      network_.call(machine.process, machine.address, founder, machine.acceptor->bootstrap_request(),
                    constants::acceptor_deadline, on_answer);
    }
  }
}

void World::request_snapshots(Machine& machine) {
  std::shared_ptr<std::vector<schema::Image>> const images = std::make_shared<std::vector<schema::Image>>();
  Reply const on_answer = [this, &machine, images](std::optional<schema::Message> const& answer) {
    if (answer.has_value() && std::holds_alternative<schema::Image>(*answer)) {
      images->push_back(std::get<schema::Image>(*answer));
      join_from_snapshots(machine, images);
    }
  };
  for (schema::Voter const& source : machine.acceptor->snapshot_sources()) {
    network_.call(machine.process, machine.address, source.address, machine.acceptor->snapshot_request(),
                  constants::acceptor_deadline, on_answer);
  }
}

void World::join_from_snapshots(Machine& machine, std::shared_ptr<std::vector<schema::Image>> const& images) {
  if (machine.disk_failed || !machine.acceptor.has_value()) {
    return;
  }
  std::vector<consensus::MissingValue> const missing = machine.acceptor->missing(*images);
  if (missing.empty() || !options_.guards.values_whole) {
    submit(machine, machine.acceptor->join(*images, network_.local_time(machine.process)), ignore_reply);
    return;
  }
  if (machine.fetching_snapshot || !machine.acceptor->snapshots_suffice(*images)) {
    return;
  }
  fetch_snapshot_value(machine, missing.front(), images);
}

void World::fetch_snapshot_value(Machine& machine, consensus::MissingValue const& missing,
                                 std::shared_ptr<std::vector<schema::Image>> const& images) {
  machine.fetching_snapshot = true;
  std::vector<std::string> sources;
  for (schema::Voter const& source : machine.acceptor->snapshot_sources()) {
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
          machine.fetching_snapshot = false;
          if (bytes.has_value()) {
            consensus::insert_fetched_value(*images, missing.name, missing.digest,
                                            *common::unpack<schema::Value>(*bytes));
            join_from_snapshots(machine, images);
          }
        });
}

}  // namespace finchlink::simulator::control
