#include "tilth/wall/tenant.hpp"

#include <algorithm>

#include "loam/wall_constants.hpp"

namespace finchlink::tilth {

namespace {
int digit(char letter) {
  return letter >= '0' && letter <= '9' ? letter - '0' : letter >= 'a' && letter <= 'f' ? letter - 'a' + 10 : letter >= 'A' && letter <= 'F' ? letter - 'A' + 10 : -1;
}

/// "%61" and "a" are one letter, so they must be one tenant.
bool decode(std::string_view text, std::string& decoded) {
  while (!text.empty()) {
    if (text.front() != '%') {
      decoded += text.front();
      text.remove_prefix(1);
      continue;
    }
    if (text.size() < 3 || digit(text[1]) < 0 || digit(text[2]) < 0) {
      return false;
    }
    decoded += static_cast<char>(digit(text[1]) * 16 + digit(text[2]));
    text.remove_prefix(3);
  }
  return true;
}

std::string_view segment(std::string_view target, std::uint64_t wanted) {
  std::string_view path = target.substr(0, target.find('?'));
  for (std::uint64_t index = 0; !path.empty(); ++index) {
    std::string_view const part = path.substr(0, path.find('/'));
    if (index == wanted) {  // what stands before the first slash is empty
      return part;
    }
    path.remove_prefix(std::min(path.size(), part.size() + 1));
  }
  return {};
}
}  // namespace

TenantReading read_tenant(schema::Tenancy const& tenancy, std::vector<std::string_view> const& values, std::string_view target) {
  TenantReading reading;
  if (!tenancy.header.empty()) {
    if (values.size() > 1) {
      return TenantReading{TenantEnd::refused, "", "ambiguous_tenant"};
    }
    reading.name = values.empty() ? "" : std::string(values.front());
  } else if (!decode(segment(target, tenancy.path_segment), reading.name)) {
    return TenantReading{TenantEnd::refused, "", "malformed_tenant"};
  }
  if (reading.name.empty()) {
    return tenancy.required ? TenantReading{TenantEnd::refused, "", "no_tenant"} : reading;
  }
  bool const plain = std::all_of(reading.name.begin(), reading.name.end(), [](char letter) { return static_cast<unsigned char>(letter) > 0x20 && static_cast<unsigned char>(letter) != 0x7f; });
  if (!plain || reading.name.size() > loam::constants::tenant_bytes) {
    return TenantReading{TenantEnd::refused, "", "malformed_tenant"};
  }
  reading.end = TenantEnd::named;
  return reading;
}

bool join_homes(std::vector<std::string> const& lane, std::vector<std::string> const& tenant, std::vector<std::string>& joined) {
  if (tenant.empty() || lane.empty()) {
    joined = tenant.empty() ? lane : tenant;
    return true;
  }
  joined.clear();
  for (std::string const& region : lane) {
    if (std::find(tenant.begin(), tenant.end(), region) != tenant.end()) {
      joined.push_back(region);
    }
  }
  return !joined.empty();
}

}  // namespace finchlink::tilth
