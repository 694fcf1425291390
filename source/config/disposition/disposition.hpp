#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "config/rule/rule.hpp"
#include "schema/setup.hpp"

namespace finchlink::config {

/// The disposition of a query: how one region handles it under one setup
/// (docs/design.md section 9.2). It is decided from the request header, and
/// again whenever the setup has changed since, until bytes go to a worker
/// (section 9.7).

/// Serve the query in this region under the named rule.
struct Serve {
  std::string rule;
  bool has_home = false;  ///< the query has a home region, and it is this one
  friend bool operator==(Serve const&, Serve const&) = default;
};
/// Redirect the query to its home region.
struct RedirectToHome {
  std::string region;
  friend bool operator==(RedirectToHome const&, RedirectToHome const&) = default;
};
/// Reject the query with an HTTP status, an error code and a text for the client.
struct RejectRequest {
  int status = 404;
  std::string error;
  std::string message;
  friend bool operator==(RejectRequest const&, RejectRequest const&) = default;
};
using Disposition = std::variant<Serve, RedirectToHome, RejectRequest>;

/// Decides the disposition of a query in `region`; `body_bytes` is the size of its body.
[[nodiscard]] Disposition decide(schema::Setup const& setup, std::string const& region, std::string_view method,
                                 std::string_view path, HeaderLookup const& header, std::size_t body_bytes);

}  // namespace finchlink::config
