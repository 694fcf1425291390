#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tsl/robin_map.h>

#include "schema/setup.hpp"

namespace finchlink::tilth {

/// A charter made ready for looking up lanes by host and longest prefix
/// (section 13.1); never changed once made. Idle lanes cost memory only.
class LaneBook {
 public:
  explicit LaneBook(schema::Charter charter);
  LaneBook(LaneBook const&) = delete;
  LaneBook& operator=(LaneBook const&) = delete;
  /// The lane of that host with the longest prefix that begins the path; none: nullptr.
  [[nodiscard]] schema::Lane const* find(std::string_view host, std::string_view path) const;
  [[nodiscard]] schema::Service const* service(std::string_view name) const;
  [[nodiscard]] schema::Charter const& charter() const { return charter_; }

 private:
  schema::Charter charter_;
  tsl::robin_map<std::string, std::size_t> by_place_;  ///< host, blank, prefix
  tsl::robin_map<std::string, std::size_t> by_service_;
};

}  // namespace finchlink::tilth
