#include "config/rule/rule.hpp"

#include <tuple>

namespace finchlink::config {

namespace {
bool matches(schema::Match const& match, std::string_view method, std::string_view path, HeaderLookup const& header) {
  if (!match.method.empty() && match.method != method) {
    return false;
  }
  if (!match.path.empty() && match.path != path) {
    return false;
  }
  if (!match.path_prefix.empty() && path.substr(0, match.path_prefix.size()) != match.path_prefix) {
    return false;
  }
  for (std::pair<std::string const, std::string> const& required : match.headers) {
    if (header(required.first) != required.second) {
      return false;
    }
  }
  return true;
}

/// Segment of a path, counted from 1; empty if there are fewer.
std::string_view segment(std::string_view path, std::uint64_t number) {
  std::size_t begin = 0;
  for (std::uint64_t count = 0; count < number; ++count) {
    begin = path.find('/', begin);
    if (begin == std::string_view::npos) {
      return {};
    }
    ++begin;
  }
  return path.substr(begin, path.find('/', begin) - begin);
}
}  // namespace

std::optional<std::string> find_rule(schema::Setup const& setup, std::string_view method, std::string_view path,
                                     HeaderLookup const& header) {
  std::optional<std::string> best;
  std::tuple<std::int64_t, std::size_t, std::size_t> best_precedence;
  for (std::pair<std::string const, schema::Rule> const& rule : setup.rules) {
    schema::Match const& match = rule.second.match;
    if (!matches(match, method, path, header)) {
      continue;
    }
    std::tuple<std::int64_t, std::size_t, std::size_t> const precedence{
        rule.second.rank, match.path.empty() ? match.path_prefix.size() : match.path.size() + 1, match.headers.size()};
    if (!best.has_value() || precedence > best_precedence) {
      best = rule.first;
      best_precedence = precedence;
    }
  }
  return best;
}

QueryHome find_home(schema::Setup const& setup, schema::Rule const& rule, std::string_view path,
                    HeaderLookup const& header) {
  QueryHome home;
  if (!rule.home.has_value()) {
    return home;
  }
  std::string region = rule.home->region;
  if (!rule.home->header.empty()) {
    region = header(rule.home->header);
  } else if (rule.home->path_segment > 0) {
    region = std::string(segment(path, rule.home->path_segment));
  }
  if (region.empty()) {
    return home;  // the query names no home
  }
  home.has_home = true;
  home.region = region;
  home.is_known_region = setup.regions.count(region) > 0;
  return home;
}

}  // namespace finchlink::config
