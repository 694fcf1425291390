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
  for (std::pair<std::string const, std::string> const& wanted : match.headers) {
    if (header(wanted.first) != wanted.second) {
      return false;
    }
  }
  return true;
}

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
  std::tuple<std::int64_t, std::size_t, std::size_t> best_weight;
  for (std::pair<std::string const, schema::Rule> const& rule : setup.rules) {
    schema::Match const& match = rule.second.match;
    if (!matches(match, method, path, header)) {
      continue;
    }
    std::tuple<std::int64_t, std::size_t, std::size_t> const weight{
        rule.second.rank, match.path.empty() ? match.path_prefix.size() : match.path.size() + 1, match.headers.size()};
    if (!best.has_value() || weight > best_weight) {
      best = rule.first;
      best_weight = weight;
    }
  }
  return best;
}

HomeVerdict find_home(schema::Setup const& setup, schema::Rule const& rule, std::string_view path,
                      HeaderLookup const& header) {
  HomeVerdict verdict;
  if (!rule.home.has_value()) {
    return verdict;
  }
  std::string region = rule.home->region;
  if (!rule.home->header.empty()) {
    region = header(rule.home->header);
  } else if (rule.home->path_segment > 0) {
    region = std::string(segment(path, rule.home->path_segment));
  }
  if (region.empty()) {
    return verdict;  // the query names no home, so it has none
  }
  verdict.bound = true;
  verdict.region = region;
  verdict.known = setup.regions.count(region) > 0;
  return verdict;
}

}  // namespace finchlink::config
