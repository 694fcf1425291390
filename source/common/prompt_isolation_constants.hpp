#pragma once

#include <cstddef>

#include "common/time/moment.hpp"

/// Constants of prompt isolation between tenants (section 14), each with its unit and reason.
namespace finchlink::common::constants {

/// Longest name of a tenant, in bytes: it is part of every key and of reports.
inline constexpr std::size_t tenant_bytes = 128;
/// Shortest secret, in bytes: 32 hex digits hold 128 bits.
inline constexpr std::size_t min_secret_bytes = 32;
/// Bytes of the isolated id of a prompt part: 128 bits, so that two parts of any tenants
/// never have the same id by chance.
inline constexpr std::size_t isolation_id_bytes = 16;
/// Prompt parts that get ids of their own; the rest are treated as one part. Prompts have
/// a handful, and each part costs two keyed hashes and 40 bytes of header.
inline constexpr std::size_t max_isolated_parts = 64;
/// Largest token count that a part can report, far above any prompt.
inline constexpr double max_isolated_part_tokens = 1e9;
/// A tenant that holds more than this many equal shares of a full record is evicted first.
/// With one share, tenants that send no more queries would keep theirs at the expense of active ones.
inline constexpr double max_isolation_shares = 2;
/// Tenants whose cached tokens are reported individually; all others are summed up.
inline constexpr std::size_t max_reported_tenants = 16384;
/// A rejected caller's body is read and discarded for this long before the connection
/// is closed, so that the response is not lost to a reset.
inline constexpr Span refused_close_linger = milliseconds(500);
/// Interval at which the secrets file is checked for changes.
inline constexpr Span secrets_pause = seconds(1);

}  // namespace finchlink::common::constants
