#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "config/rule/rule.hpp"
#include "schema/setup.hpp"

namespace finchlink::config {

/// What is to become of a query in one region under one setup (section 9.2).
/// It is decided by the header, and again whenever the setup changed since,
/// up to the moment that bytes go to a worker (section 9.7).
struct Serve {
  std::string rule;
  bool bound = false;  ///< it has a home, and this is it
  friend bool operator==(Serve const&, Serve const&) = default;
};
struct GoHome {
  std::string region;
  friend bool operator==(GoHome const&, GoHome const&) = default;
};
struct TurnAway {
  int status = 404;
  std::string error;
  std::string message;
  friend bool operator==(TurnAway const&, TurnAway const&) = default;
};
using Disposition = std::variant<Serve, GoHome, TurnAway>;

[[nodiscard]] Disposition decide(schema::Setup const& setup, std::string const& region, std::string_view method,
                                 std::string_view path, HeaderLookup const& header, std::size_t body_bytes);

}  // namespace finchlink::config
