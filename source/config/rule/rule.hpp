#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "schema/setup.hpp"

namespace finchlink::config {

/// Looks up a header of the query; empty if it is absent.
using HeaderLookup = std::function<std::string(std::string const& name)>;

/// The rule that applies to a query, by method, path and headers alone. Of
/// several, the one of the highest rank, then the longest path (an exact path
/// beats a prefix of its length), then the most headers; nothing if none matches.
[[nodiscard]] std::optional<std::string> find_rule(schema::Setup const& setup, std::string_view method,
                                                   std::string_view path, HeaderLookup const& header);

/// The home region of a query under its rule (docs/design.md section 9.2).
struct QueryHome {
  bool has_home = false;        ///< the query has a home
  bool is_known_region = true;  ///< the setup has the region that it names
  std::string region;
};
/// Finds the home that the rule or the query itself names.
[[nodiscard]] QueryHome find_home(schema::Setup const& setup, schema::Rule const& rule, std::string_view path,
                                  HeaderLookup const& header);

}  // namespace finchlink::config
