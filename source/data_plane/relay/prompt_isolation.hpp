#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <absl/status/statusor.h>
#include <boost/beast/http.hpp>

#include "scheduling/prompt_isolation/prompt_isolation.hpp"
#include "scheduling/prompt_isolation/tenant.hpp"

namespace finchlink::data_plane {

/// Reads the tenant from a query's header and target (section 14.1).
[[nodiscard]] scheduling::TenantReading tenant_of(schema::Tenancy const& tenancy,
                                                  boost::beast::http::fields const& header, std::string_view target);
template <class Header>
[[nodiscard]] scheduling::TenantReading tenant_of(schema::Tenancy const& tenancy, Header const& header) {
  return tenant_of(tenancy, header, std::string_view(header.target().data(), header.target().size()));
}
/// The requested model: all values of the header field `name`, joined, since a worker might use any of them.
[[nodiscard]] std::string model_of(boost::beast::http::fields const& header, std::string const& name);
/// An unpredictable nonce of 128 bits, used once.
[[nodiscard]] std::array<std::uint64_t, 2> draw_nonce();
/// Reads the file of secrets; an error names the file that can't be read or is invalid.
[[nodiscard]] absl::StatusOr<scheduling::Secrets> load_secrets(std::string const& path);
/// Metrics of prompt isolation, in the text format of metrics scrapers.
[[nodiscard]] std::string print_isolation_metrics(scheduling::PromptIsolation const& isolation);
/// Queries and cached tokens of each tenant, in JSON.
[[nodiscard]] std::string print_tenants(scheduling::PromptIsolation const& isolation);

}  // namespace finchlink::data_plane
