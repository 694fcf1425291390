#include "furrow/relay/relay.hpp"

#include "furrow/relay/walls.hpp"
#include "loam/log/log.hpp"

namespace finchlink::furrow {

namespace asio = boost::asio;
namespace constants = loam::constants;

void Relay::enter_wall() {
  Dialect const& dialect = station_.dialect();
  prompt_.reset();
  homes_ = lane_.home_regions;
  if (!lane_.tenancy.has_value()) {
    wanted_.parts = dialect.read_parts(view(query_.header[dialect.parts]));
    return;
  }
  tilth::TenantReading const reading = tenant_of(*lane_.tenancy, query_.header);
  schema::Tenant const* const tenant = book_->tenant(reading.name);
  tenant_fault_ = reading.end == tilth::TenantEnd::refused ? reading.fault : "";
  if (tenant != nullptr && !tilth::join_homes(lane_.home_regions, tenant->home_regions, homes_)) {
    tenant_fault_ = "no_home";
  }
  prompt_ = tilth::Prompt{reading.name, model_of(query_.header, dialect.model),
                          tilth::named_parts(view(query_.header[dialect.parts])), lane_.tenancy->public_parts,
                          tilth::realm_of(*lane_.tenancy, lane_.name)};
  wanted_.parts = station_.walls().place(*prompt_);
}

void Relay::hear_wall(WorkerHeader const& got, bool ran) {
  if (!prompt_.has_value()) {
    return;
  }
  Dialect const& dialect = station_.dialect();
  tilth::WallAnswer answer{spot_.worker, std::string(view(got[dialect.weights])), std::nullopt, ran};
  if (ran && !got[dialect.reused].empty()) {
    answer.reused = static_cast<double>(natural(view(got[dialect.reused]), 0));
  }
  for (tilth::WallAction const& action : station_.walls().heard(answer, walled_, wanted_.tokens - spot_.uncached)) {
    if (tilth::ForgetWorker const* const forget = std::get_if<tilth::ForgetWorker>(&action)) {
      station_.grove().forget_walled(forget->worker);
    } else if (tilth::GaveUp const* const gave_up = std::get_if<tilth::GaveUp>(&action)) {
      station_.grove().gave_up(gave_up->worker, wanted_.parts, gave_up->tokens);
    } else if (tilth::Crossed const* const crossed = std::get_if<tilth::Crossed>(&action)) {
      loam::note(loam::Event::WallCrossed,
                 crossed->worker + " " + std::to_string(static_cast<std::uint64_t>(crossed->tokens)) + " " + id_);
    } else if (tilth::RanOtherWeights const* const other = std::get_if<tilth::RanOtherWeights>(&action)) {
      loam::note(loam::Event::OtherWeightsRan, other->worker + " for " + other->expected + " " + id_);
      station_.grove().forget_walled(other->worker);
    }
  }
  if (ran) {
    station_.walls().count(*prompt_, walled_, answer.reused);
  }
}

std::vector<tilth::Part> Relay::kept_parts() const {
  return prompt_.has_value() && walled_.version.empty() ? std::vector<tilth::Part>() : wanted_.parts;
}

}  // namespace finchlink::furrow
