// Transfers of values and contents in pieces (section 5.9).

#include "common/wire/pack.hpp"
#include "simulator/control/world.hpp"

namespace finchlink::simulator::control {

namespace constants = common::constants;

void World::fetch(Process& process, std::string const& name, std::shared_ptr<consensus::ValueReceiver> const& receiver,
                  OnFetched const& done) {
  if (receiver->source().empty()) {
    done(std::nullopt);
    return;
  }
  std::size_t const before = receiver->received();
  Reply const on_answer = [this, &process, name, receiver, done, before](std::optional<schema::Message> const& answer) {
    consensus::TransferState const state = answer.has_value() ? receiver->receive(*answer) : receiver->record_timeout();
    if (state != consensus::TransferState::in_progress) {
      bool const whole = state == consensus::TransferState::complete;
      report_.transfers += whole ? 1 : 0;
      done(whole ? std::optional<std::string>(receiver->take()) : std::nullopt);
      return;
    }
    network_.later(process, receiver->received() > before ? 0 : constants::piece_pause,
                   [this, &process, name, receiver, done] { fetch(process, name, receiver, done); });
  };
  network_.call(process, name, receiver->source(), receiver->request(), constants::piece_deadline, on_answer);
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
      schema::Value const value = *common::unpack<schema::Value>(*bytes);
      machine.reader.learn(missing.name, missing.accepted, value);
      if (missing.name == consensus::setup_register) {
        checker_.observe(value, machine.address);
      }
    }
  });
}

}  // namespace finchlink::simulator::control
