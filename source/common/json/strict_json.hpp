#pragma once

#include <string_view>

#include <absl/status/status.h>

namespace finchlink::common {

/// Whether a text is one JSON document by RFC 8259, in UTF-8 and without a byte order mark, that all readers understand
/// alike: no object has two members of one name (RFC 8259, 4), no string has the character U+0000. Else
/// kInvalidArgument, with the byte or the reason. `read_tree` is more lenient: it takes any bytes inside strings, cuts
/// them at U+0000, finds the first of two members, and takes some numbers that other readers refuse.
[[nodiscard]] absl::Status check_json(std::string_view text);

}  // namespace finchlink::common
