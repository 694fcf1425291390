#include "scheduling/prompt_isolation/tenant.hpp"

#include <algorithm>

#include "common/prompt_isolation_constants.hpp"

namespace finchlink::scheduling {

namespace {
int hex_digit(char letter) {
  return letter >= '0' && letter <= '9'   ? letter - '0'
         : letter >= 'a' && letter <= 'f' ? letter - 'a' + 10
         : letter >= 'A' && letter <= 'F' ? letter - 'A' + 10
                                          : -1;
}

/// Decodes percent-encoding: "%61" and "a" are the same letter, so they must be the same tenant. Returns false if the
/// encoding is malformed.
bool decode(std::string_view text, std::string& decoded) {
  while (!text.empty()) {
    if (text.front() != '%') {
      decoded += text.front();
      text.remove_prefix(1);
      continue;
    }
    if (text.size() < 3 || hex_digit(text[1]) < 0 || hex_digit(text[2]) < 0) {
      return false;
    }
    decoded += static_cast<char>(hex_digit(text[1]) * 16 + hex_digit(text[2]));
    text.remove_prefix(3);
  }
  return true;
}

/// Reads the wanted segment of a path. Returns false if it is malformed, or if another HTTP implementation could
/// interpret the path differently, because it has a dot segment (RFC 3986, 5.2.4) or an empty segment before this one.
bool read_segment(std::string_view target, std::uint64_t wanted, std::string& name) {
  std::string_view path = target.substr(0, target.find_first_of("?#"));
  for (std::uint64_t index = 0; !path.empty(); ++index) {
    std::string_view const segment = path.substr(0, path.find('/'));
    std::string decoded;
    bool const valid = decode(segment, decoded);
    if (decoded == "." || decoded == ".." || (index > 0 && index < wanted && decoded.empty())) {
      return false;
    }
    if (index == wanted) {  // segment 0, before the first slash, is empty
      if (!valid) {
        return false;
      }
      name = std::move(decoded);
    }
    path.remove_prefix(std::min(path.size(), segment.size() + 1));
  }
  return true;
}
}  // namespace

TenantReading read_tenant(schema::Tenancy const& tenancy, std::vector<std::string_view> const& values,
                          std::string_view target) {
  TenantReading reading;
  if (!tenancy.header.empty()) {
    if (values.size() > 1) {
      return TenantReading{TenantStatus::refused, "", "ambiguous_tenant"};
    }
    reading.name = values.empty() ? "" : std::string(values.front());
    if (reading.name.find(',') != std::string::npos) {  // two fields joined into one (RFC 9110, 5.3)
      return TenantReading{TenantStatus::refused, "", "ambiguous_tenant"};
    }
  } else if (!read_segment(target, tenancy.path_segment, reading.name)) {
    return TenantReading{TenantStatus::refused, "", "malformed_tenant"};
  }
  if (reading.name.empty()) {
    return tenancy.required ? TenantReading{TenantStatus::refused, "", "no_tenant"} : reading;
  }
  bool const printable = std::all_of(reading.name.begin(), reading.name.end(), [](char letter) {
    return static_cast<unsigned char>(letter) > 0x20 && static_cast<unsigned char>(letter) != 0x7f;
  });
  if (!printable || reading.name.size() > common::constants::tenant_bytes) {
    return TenantReading{TenantStatus::refused, "", "malformed_tenant"};
  }
  reading.end = TenantStatus::named;
  return reading;
}

std::string tenant_namespace_of(schema::Tenancy const& tenancy, std::string_view route) {
  if (tenancy.header.empty()) {
    return "path " + std::string(route);
  }
  std::string tenant_namespace = "header ";
  for (char const letter : tenancy.header) {
    tenant_namespace += static_cast<char>(letter >= 'A' && letter <= 'Z' ? letter - 'A' + 'a' : letter);
  }
  return tenant_namespace;
}

bool intersect_homes(std::vector<std::string> const& route, std::vector<std::string> const& tenant,
                     std::vector<std::string>& joined) {
  if (tenant.empty() || route.empty()) {
    joined = tenant.empty() ? route : tenant;
    return true;
  }
  joined.clear();
  for (std::string const& region : route) {
    if (std::find(tenant.begin(), tenant.end(), region) != tenant.end()) {
      joined.push_back(region);
    }
  }
  return !joined.empty();
}

}  // namespace finchlink::scheduling
