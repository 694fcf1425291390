#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <absl/status/statusor.h>
#include <boost/beast/http.hpp>

#include "scheduling/prompt_isolation/prompt_isolation.hpp"
#include "scheduling/prompt_isolation/tenant.hpp"

namespace finchlink::data_plane {

/// What a query's header says of its tenant (section 14.1).
[[nodiscard]] scheduling::TenantReading tenant_of(schema::Tenancy const& tenancy,
                                                  boost::beast::http::fields const& header, std::string_view target);
template <class Header>
[[nodiscard]] scheduling::TenantReading tenant_of(schema::Tenancy const& tenancy, Header const& header) {
  return tenant_of(tenancy, header, std::string_view(header.target().data(), header.target().size()));
}
/// The model that is meant: every field that names one, since a worker might take any.
[[nodiscard]] std::string model_of(boost::beast::http::fields const& header, std::string const& name);
/// Numbers that nobody can foretell and that were never drawn before.
[[nodiscard]] std::array<std::uint64_t, 2> draw_once();
[[nodiscard]] absl::StatusOr<scheduling::Secrets> load_secrets(std::string const& path);
[[nodiscard]] std::string print_isolation_metrics(scheduling::PromptIsolation const& isolation);
/// Each tenant's reuse, in JSON.
[[nodiscard]] std::string print_tenants(scheduling::PromptIsolation const& isolation);

}  // namespace finchlink::data_plane
