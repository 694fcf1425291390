#pragma once

#include <string>
#include <vector>

namespace finchlink::common {

/// A validation error of a document, with the JSON pointer of the value (section 2).
struct Fault {
  std::string path;
  std::string reason;
  friend bool operator==(Fault const&, Fault const&) = default;
};

/// All errors as one line of text.
[[nodiscard]] std::string describe(std::vector<Fault> const& faults);

}  // namespace finchlink::common
