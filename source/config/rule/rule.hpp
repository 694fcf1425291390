#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "schema/setup.hpp"

namespace finchlink::config {

/// How a header of the query is looked up; empty when it is not there.
using HeaderLookup = std::function<std::string(std::string const& name)>;

/// The rule that a query falls under, from method, path and headers alone.
[[nodiscard]] std::optional<std::string> find_rule(schema::Setup const& setup, std::string_view method,
                                                   std::string_view path, HeaderLookup const& header);

/// What the rule says of a query's home (section 9.2).
struct HomeVerdict {
  bool bound = false;  ///< it has a home
  bool known = true;   ///< the home it names is a region
  std::string region;
};
[[nodiscard]] HomeVerdict find_home(schema::Setup const& setup, schema::Rule const& rule, std::string_view path,
                                    HeaderLookup const& header);

}  // namespace finchlink::config
