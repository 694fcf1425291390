#include "scheduling/route_table/route_table.hpp"

namespace finchlink::scheduling {

namespace {
std::string lowered(std::string_view host) {
  std::string text(host.substr(0, host.find(':')));
  for (char& letter : text) {
    letter = static_cast<char>(letter >= 'A' && letter <= 'Z' ? letter - 'A' + 'a' : letter);
  }
  return text;
}
}  // namespace

LaneBook::LaneBook(schema::Charter charter) : charter_(std::move(charter)) {
  for (std::size_t index = 0; index < charter_.lanes.size(); ++index) {
    schema::Lane const& lane = charter_.lanes[index];
    by_place_[lowered(lane.host) + " " + lane.prefix] = index;
    walled_ = walled_ || lane.tenancy.has_value();
    for (schema::Share const& share : lane.shares) {
      if (share.weight > 0 && !lane.home_regions.empty()) {
        claims_[share.service].insert(lane.home_regions.begin(), lane.home_regions.end());
      }
    }
  }
  for (std::size_t index = 0; index < charter_.services.size(); ++index) {
    by_service_[charter_.services[index].name] = index;
  }
  for (std::size_t index = 0; index < charter_.tenants.size(); ++index) {
    by_tenant_[charter_.tenants[index].name] = index;
  }
}

schema::Lane const* LaneBook::find(std::string_view host, std::string_view path) const {
  std::string key = lowered(host) + " ";
  std::size_t const lead = key.size();
  key += path.substr(0, path.find('?'));
  // Prefixes end in a slash: only the cuts behind slashes can be one.
  while (key.size() > lead) {
    std::size_t const slash = key.rfind('/');
    if (slash == std::string::npos || slash < lead) {
      return nullptr;
    }
    key.resize(slash + 1);
    tsl::robin_map<std::string, std::size_t>::const_iterator const found = by_place_.find(key);
    if (found != by_place_.end()) {
      return &charter_.lanes[found->second];
    }
    key.resize(slash);
  }
  return nullptr;
}

schema::Lane const* LaneBook::unreachable() const {
  for (schema::Lane const& lane : charter_.lanes) {
    if (find(lane.host, lane.prefix) != &lane) {
      return &lane;
    }
  }
  return nullptr;
}

schema::Service const* LaneBook::service(std::string_view name) const {
  tsl::robin_map<std::string, std::size_t>::const_iterator const found = by_service_.find(std::string(name));
  return found == by_service_.end() ? nullptr : &charter_.services[found->second];
}

schema::Tenant const* LaneBook::tenant(std::string_view name) const {
  if (by_tenant_.empty()) {
    return nullptr;
  }
  tsl::robin_map<std::string, std::size_t>::const_iterator const found = by_tenant_.find(std::string(name));
  return found == by_tenant_.end() ? nullptr : &charter_.tenants[found->second];
}

}  // namespace finchlink::scheduling
