#include "data_plane/relay/relay.hpp"

#include "common/log/log.hpp"
#include "data_plane/relay/prompt_isolation.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;

void Relay::enter_isolation() {
  Dialect const& dialect = station_.dialect();
  prompt_.reset();
  homes_ = route_.home_regions;
  if (!route_.tenancy.has_value()) {
    wanted_.parts = dialect.read_parts(view(query_.header[dialect.parts]));
    return;
  }
  scheduling::TenantReading const reading = tenant_of(*route_.tenancy, query_.header);
  schema::Tenant const* const tenant = route_table_->tenant(reading.name);
  tenant_fault_ = reading.end == scheduling::TenantEnd::refused ? reading.fault : "";
  if (tenant != nullptr && !scheduling::join_homes(route_.home_regions, tenant->home_regions, homes_)) {
    tenant_fault_ = "no_home";
  }
  prompt_ = scheduling::Prompt{reading.name, model_of(query_.header, dialect.model),
                               scheduling::named_parts(view(query_.header[dialect.parts])),
                               route_.tenancy->public_parts, scheduling::realm_of(*route_.tenancy, route_.name)};
  wanted_.parts = station_.isolation().place(*prompt_);
}

void Relay::hear_isolation(WorkerHeader const& got, bool ran) {
  if (!prompt_.has_value()) {
    return;
  }
  Dialect const& dialect = station_.dialect();
  scheduling::IsolationAnswer answer{assignment_.worker, std::string(view(got[dialect.weights])), std::nullopt, ran};
  if (ran && !got[dialect.reused].empty()) {
    answer.reused = static_cast<double>(leading_number(view(got[dialect.reused]), 0));
  }
  for (scheduling::IsolationAction const& action :
       station_.isolation().heard(answer, isolated_, wanted_.tokens - assignment_.uncached)) {
    if (scheduling::ForgetWorker const* const forget = std::get_if<scheduling::ForgetWorker>(&action)) {
      station_.balancer().forget_isolated(forget->worker);
    } else if (scheduling::GaveUp const* const gave_up = std::get_if<scheduling::GaveUp>(&action)) {
      station_.balancer().mark_evicted(gave_up->worker, wanted_.parts, gave_up->tokens);
    } else if (scheduling::Crossed const* const crossed = std::get_if<scheduling::Crossed>(&action)) {
      common::note(common::Event::WallCrossed,
                   crossed->worker + " " + std::to_string(static_cast<std::uint64_t>(crossed->tokens)) + " " + id_);
    } else if (scheduling::RanOtherWeights const* const other = std::get_if<scheduling::RanOtherWeights>(&action)) {
      common::note(common::Event::OtherWeightsRan, other->worker + " for " + other->expected + " " + id_);
      station_.balancer().forget_isolated(other->worker);
    }
  }
  if (ran) {
    station_.isolation().count(*prompt_, isolated_, answer.reused);
  }
}

std::vector<scheduling::PromptPart> Relay::kept_parts() const {
  return prompt_.has_value() && isolated_.version.empty() ? std::vector<scheduling::PromptPart>() : wanted_.parts;
}

}  // namespace finchlink::data_plane
