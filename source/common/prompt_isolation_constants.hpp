#pragma once

#include <cstddef>

#include "common/time/moment.hpp"

/// Constants of tenants' walls (section 14), each with its unit and reason.
namespace finchlink::common::constants {

/// Longest name of a tenant, in bytes: it is part of every key and of reports.
inline constexpr std::size_t tenant_bytes = 128;
/// Shortest secret, in bytes: 32 hex digits hold 128 bits.
inline constexpr std::size_t secret_bytes_least = 32;
/// Bytes of a part's walled id: 128 bits, so that two parts of any tenants
/// never share one by chance.
inline constexpr std::size_t isolation_id_bytes = 16;
/// Parts of a prompt that get ids of their own; the rest are one part. Prompts
/// have a handful, and each part costs two keyed hashes and 40 bytes of header.
inline constexpr std::size_t isolation_parts_most = 64;
/// Most tokens that a part can tell of, far above any prompt.
inline constexpr double isolation_part_tokens_most = 1e9;
/// A record's entry counts as at least this many tokens, which bounds entries
/// by the worker's memory also when parts are tiny.
inline constexpr double isolation_entry_tokens = 16;
/// Even parts of a full record above which a holder gives way first. One would
/// let those who ask no more keep theirs from those who do.
inline constexpr double isolation_shares_most = 2;
/// Tenants whose reuse is told one by one; what others do is summed up.
inline constexpr std::size_t max_reported_tenants = 16384;
/// A refused caller's body is thrown away for this long before the connection
/// is closed, so that the answer is read.
inline constexpr Span refused_close_linger = milliseconds(500);
/// Pause between two looks at the secrets file's stamp.
inline constexpr Span secrets_pause = seconds(1);

}  // namespace finchlink::common::constants
