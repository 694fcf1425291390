#include "config/disposition/disposition.hpp"

namespace finchlink::config {

Disposition decide(schema::Setup const& setup, std::string const& region, std::string_view method,
                   std::string_view path, HeaderLookup const& header, std::size_t body_bytes) {
  std::optional<std::string> const name = find_rule(setup, method, path, header);
  if (!name.has_value()) {
    return RejectRequest{404, "no_rule", "no rule matches this query"};
  }
  schema::Rule const& rule = setup.rules.at(*name);
  QueryHome const home = find_home(setup, rule, path, header);
  if (home.has_home && !home.is_known_region) {
    return RejectRequest{400, "unknown_home", "the query names a home that is no region"};
  }
  if (home.has_home && home.region != region) {
    return RedirectToHome{home.region};
  }
  if (body_bytes > rule.body_limit) {
    return RejectRequest{413, "too_large", "the body is larger than the rule allows"};
  }
  return Serve{*name, home.has_home};
}

}  // namespace finchlink::config
