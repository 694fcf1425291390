#pragma once

#include <string_view>

#include <absl/status/status.h>

namespace finchlink::common {

/// Whether a text is one JSON document by RFC 8259, in UTF-8 and without a byte order mark; else kInvalidArgument, with
/// the byte at which it is not. `read_tree` is more lenient: it takes any bytes inside strings, and some numbers that
/// other readers refuse.
[[nodiscard]] absl::Status check_json(std::string_view text);

}  // namespace finchlink::common
