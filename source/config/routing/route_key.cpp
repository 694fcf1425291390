#include "config/routing/route_key.hpp"

#include <absl/strings/ascii.h>

namespace finchlink::config {

namespace {
/// The part of a host before its port. The colons inside an IPv6 literal ("[::1]:80") don't begin a port.
std::string_view without_port(std::string_view host) {
  std::size_t const bracket = host.empty() || host.front() != '[' ? std::string_view::npos : host.find(']');
  std::size_t const search_from = bracket == std::string_view::npos ? 0 : bracket;
  return host.substr(0, host.find(':', search_from));
}
}  // namespace

std::string normalize_host(std::string_view host) {
  std::string text(without_port(host));
  absl::AsciiStrToLower(&text);
  return text;
}

std::string normalize_prefix(std::string_view prefix) {
  std::string text(prefix);
  if (text.empty() || text.front() != '/') {
    text.insert(text.begin(), '/');
  }
  if (text.back() != '/') {
    text.push_back('/');
  }
  return text;
}

RouteKey route_key(schema::Lane const& route) {
  return RouteKey{normalize_host(route.host), normalize_prefix(route.prefix)};
}

}  // namespace finchlink::config
