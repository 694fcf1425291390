#include "data_plane/relay/relay.hpp"

#include "common/log/log.hpp"
#include "data_plane/relay/prompt_isolation.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;

void Relay::resolve_tenant() {
  Dialect const& dialect = server_.dialect();
  prompt_.reset();
  home_regions_ = route_.home_regions;
  if (!route_.tenancy.has_value()) {
    placement_request_.parts = dialect.read_parts(view(query_.header[dialect.parts]));
    return;
  }
  scheduling::TenantReading const reading = tenant_of(*route_.tenancy, query_.header);
  schema::Tenant const* const tenant = route_table_->tenant(reading.name);
  tenant_error_ = reading.end == scheduling::TenantStatus::refused ? reading.fault : "";
  if (tenant != nullptr && !scheduling::intersect_homes(route_.home_regions, tenant->home_regions, home_regions_)) {
    tenant_error_ = "no_home";
  }
  prompt_ = scheduling::Prompt{
      reading.name, model_of(query_.header, dialect.model), scheduling::parse_parts(view(query_.header[dialect.parts])),
      route_.tenancy->public_parts, scheduling::tenant_namespace_of(*route_.tenancy, route_.name)};
  placement_request_.parts = server_.isolation().placement_parts(*prompt_);
}

void Relay::apply_isolation_response(WorkerHeader const& got, bool ran) {
  if (!prompt_.has_value()) {
    return;
  }
  Dialect const& dialect = server_.dialect();
  scheduling::IsolationAnswer answer{assignment_.worker, std::string(view(got[dialect.weights])), std::nullopt, ran};
  if (ran && !got[dialect.reused].empty()) {
    answer.reused = static_cast<double>(leading_number(view(got[dialect.reused]), 0));
  }
  for (scheduling::IsolationAction const& action :
       server_.isolation().handle_answer(answer, isolated_prompt_, placement_request_.tokens - assignment_.uncached)) {
    if (scheduling::ForgetWorker const* const forget = std::get_if<scheduling::ForgetWorker>(&action)) {
      server_.balancer().forget_isolated(forget->worker);
    } else if (scheduling::PartsEvicted const* const gave_up = std::get_if<scheduling::PartsEvicted>(&action)) {
      server_.balancer().mark_evicted(gave_up->worker, placement_request_.parts, gave_up->tokens);
    } else if (scheduling::IsolationViolated const* const crossed =
                   std::get_if<scheduling::IsolationViolated>(&action)) {
      common::log_event(
          common::Event::WallCrossed,
          crossed->worker + " " + std::to_string(static_cast<std::uint64_t>(crossed->tokens)) + " " + id_);
    } else if (scheduling::RanOtherWeights const* const other = std::get_if<scheduling::RanOtherWeights>(&action)) {
      common::log_event(common::Event::OtherWeightsRan, other->worker + " for " + other->expected + " " + id_);
      server_.balancer().forget_isolated(other->worker);
    }
  }
  if (ran) {
    server_.isolation().count(*prompt_, isolated_prompt_, answer.reused);
  }
}

std::vector<scheduling::PromptPart> Relay::cached_parts() const {
  return prompt_.has_value() && isolated_prompt_.version.empty() ? std::vector<scheduling::PromptPart>()
                                                                 : placement_request_.parts;
}

}  // namespace finchlink::data_plane
