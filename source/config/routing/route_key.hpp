#pragma once

#include <compare>
#include <string>
#include <string_view>

#include "schema/setup.hpp"

namespace finchlink::config {

/// What a route is looked up by, in normal form: two routes with equal keys serve the same requests. Validation of a
/// configuration and the route table both use it, so that they can't disagree on whether two routes are one.
struct RouteKey {
  std::string host;
  std::string prefix;
  // clang-tidy 14 takes the zero inside a defaulted comparison for a null pointer.
  friend auto operator<=>(RouteKey const&, RouteKey const&) = default;  // NOLINT(modernize-use-nullptr)
};

/// A host as it stands in a `Host` header or a route, in lower case and without its port: hosts are compared without
/// case (RFC 9110, 4.2.3), and a route serves its host on every port. The brackets of an IPv6 literal stay.
[[nodiscard]] std::string normalize_host(std::string_view host);

/// A path prefix that begins and ends with a slash; the slashes that it lacks are added. The case of paths counts.
[[nodiscard]] std::string normalize_prefix(std::string_view prefix);

/// The key of a route.
[[nodiscard]] RouteKey route_key(schema::Lane const& route);

}  // namespace finchlink::config
