#include "config/routing/tenancy.hpp"

#include <algorithm>
#include <set>
#include <string>

#include "config/routing/route_key.hpp"

namespace finchlink::config {

namespace {
/// Whether a text is a header name by RFC 9110: letters, digits and some punctuation.
bool is_header_name(std::string const& name) {
  return std::all_of(name.begin(), name.end(), [](char letter) {
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9') ||
           std::string("!#$%&'*+-.^_`|~").find(letter) != std::string::npos;
  });
}

/// Whether a header concerns the connection, the framing or the host.
bool is_connection_header(std::string name) {
  std::transform(name.begin(), name.end(), name.begin(), [](char letter) {
    return static_cast<char>(letter >= 'A' && letter <= 'Z' ? letter - 'A' + 'a' : letter);
  });
  std::set<std::string> const names{
      "connection", "keep-alive", "proxy-connection", "te",  "trailer", "transfer-encoding",
      "upgrade",    "expect",     "content-length",   "host"};
  return names.count(name) > 0;
}

void validate_tenancy(schema::Lane const& route, std::string const& place, std::vector<common::Fault>& faults) {
  schema::Tenancy const& tenancy = *route.tenancy;
  if (tenancy.header.empty() == (tenancy.path_segment == 0)) {
    faults.push_back(common::Fault{place, "must name a header or a path_segment, and not both"});
  }
  if (!is_header_name(tenancy.header)) {
    faults.push_back(common::Fault{place + "/header", "is no header's name"});
  } else if (is_connection_header(tenancy.header)) {
    faults.push_back(common::Fault{place + "/header", "concerns connections or hosts, not tenants"});
  }
  // A prefix begins and ends with a slash; the segments between its slashes are
  // the same in all paths of the route, so none of them can name the tenant.
  std::string const prefix = normalize_prefix(route.prefix);
  std::size_t const shared_segments = static_cast<std::size_t>(std::count(prefix.begin(), prefix.end(), '/') - 1);
  if (tenancy.path_segment > 0 && tenancy.path_segment <= shared_segments) {
    faults.push_back(common::Fault{place + "/path_segment",
                                   "stands in the lane's prefix, so that all queries would name one tenant"});
  }
  std::set<std::string> parts;
  for (std::size_t index = 0; index < tenancy.public_parts.size(); ++index) {
    std::string const& part = tenancy.public_parts[index];
    if (part.empty() || part.find_first_of(" ,:") != std::string::npos) {
      faults.push_back(common::Fault{place + "/public_parts/" + std::to_string(index), "is no part's id"});
    } else if (!parts.insert(part).second) {
      faults.push_back(common::Fault{place + "/public_parts/" + std::to_string(index), "is there twice"});
    }
  }
}
}  // namespace

void validate_tenancies(schema::Charter const& routing_config, std::vector<common::Fault>& faults) {
  std::set<std::string> names;
  bool has_tenancy = false;
  for (std::size_t index = 0; index < routing_config.lanes.size(); ++index) {
    schema::Lane const& route = routing_config.lanes[index];
    if (route.tenancy.has_value()) {
      has_tenancy = true;
      validate_tenancy(route, "/lanes/" + std::to_string(index) + "/tenancy", faults);
    }
  }
  if (!routing_config.tenants.empty() && !has_tenancy) {
    faults.push_back(common::Fault{"/tenants", "no lane says where its tenant is named"});
  }
  for (std::size_t index = 0; index < routing_config.tenants.size(); ++index) {
    schema::Tenant const& tenant = routing_config.tenants[index];
    std::string const place = "/tenants/" + std::to_string(index);
    if (!names.insert(tenant.name).second) {
      faults.push_back(common::Fault{place + "/name", "is there twice"});
    }
    for (schema::Lane const& route : routing_config.lanes) {
      bool const both_restricted =
          route.tenancy.has_value() && !route.home_regions.empty() && !tenant.home_regions.empty();
      bool const has_region =
          !both_restricted ||
          std::any_of(tenant.home_regions.begin(), tenant.home_regions.end(), [&route](std::string const& region) {
            return std::find(route.home_regions.begin(), route.home_regions.end(), region) != route.home_regions.end();
          });
      if (!has_region) {
        faults.push_back(common::Fault{place + "/home_regions", "leaves no region on lane " + route.name});
      }
    }
  }
}

}  // namespace finchlink::config
