#pragma once

#include <string>
#include <vector>

namespace finchlink::common {

/// One thing wrong with a document, with the JSON pointer of its place (section 2).
struct Fault {
  std::string path;
  std::string reason;
  friend bool operator==(Fault const&, Fault const&) = default;
};

[[nodiscard]] std::string describe(std::vector<Fault> const& faults);

}  // namespace finchlink::common
