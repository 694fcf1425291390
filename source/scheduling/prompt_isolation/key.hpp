#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace finchlink::scheduling {

/// Secrets that part ids are keyed with, as a file tells them (section 14.2).
/// While keys rotate, `moved` of a hundred tenants are on the current one, the
/// rest on the previous; a tenant is on one of both, the same in every furrow
/// that has read the file, and ids of the two never meet.
struct Secrets {
  std::string current;
  std::string previous;
  std::uint64_t moved = 100;
};
/// {"current": TEXT, "previous": TEXT, "moved": 0..100}. Faults never quote it.
[[nodiscard]] absl::StatusOr<Secrets> read_secrets(std::string const& text);

/// Behind what a part is kept: nobody's (public), or one tenant's.
struct IsolationKey {
  bool shared = false;  ///< parts that hold nothing of any tenant
  std::string tenant;
  std::string model;
  std::string version;  ///< of the model's weights
  std::string realm;    ///< in which the tenant's name stands
};

/// The secret that a tenant is on; empty: there is none.
[[nodiscard]] std::string const& secret_of(Secrets const& secrets, std::string_view tenant);
/// A wall's own key, derived by HMAC-SHA-256 over each field with its length.
[[nodiscard]] std::string isolation_key(std::string const& secret, IsolationKey const& isolation);
/// A part behind a wall and behind all parts before it (`before`: the hash of
/// the last of these, or `nothing_before`): what a worker computed for a part
/// depends on everything in front of it.
inline std::string const nothing_before = std::string(32, '\0');
[[nodiscard]] std::string part_hash(std::string const& key, std::string const& before, std::string_view part);
/// The id under which a worker keeps that part, in hex.
[[nodiscard]] std::string isolated_id(std::string const& hash);
/// HMAC-SHA-256 (RFC 2104), 32 bytes.
[[nodiscard]] std::string keyed_hash(std::string_view key, std::string_view text);
[[nodiscard]] std::string hex(std::string_view bytes);

}  // namespace finchlink::scheduling
