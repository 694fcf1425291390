#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

/// Keyed ids of cacheable prompt parts, which keep the cached prompts of tenants apart.
namespace finchlink::scheduling {

/// Secrets that key the ids of prompt parts, as read from the secrets file (section 14.2).
/// While keys rotate, `moved` percent of the tenants use the current secret and the rest the previous one. Each tenant
/// uses exactly one of them, the same in every proxy that read the file, and ids under the two never coincide.
struct Secrets {
  std::string current;
  std::string previous;
  std::uint64_t moved = 100;
};
/// Parses {"current": TEXT, "previous": TEXT, "moved": 0..100}. Error messages never quote the text.
[[nodiscard]] absl::StatusOr<Secrets> read_secrets(std::string const& text);

/// Scope within which a cached part may be reused: public, or one tenant's.
struct IsolationScope {
  bool shared = false;  ///< public: the part contains nothing of any tenant
  std::string tenant;
  std::string model;
  std::string version;           ///< of the model's weights
  std::string tenant_namespace;  ///< the namespace of the tenant's name
};

/// Returns the secret that a tenant uses; empty if none is configured.
[[nodiscard]] std::string const& secret_for(Secrets const& secrets, std::string_view tenant);
/// Derives the key of a scope by HMAC-SHA-256 over its length-prefixed fields.
[[nodiscard]] std::string isolation_key(std::string const& secret, IsolationScope const& scope);
/// Value of `before` for the first part of a prompt.
inline std::string const initial_hash = std::string(32, '\0');
/// Returns the hash of a part under a scope's key. `before` is the hash of the preceding part, or `initial_hash`: the
/// hashes are chained because what a worker computed for a part depends on everything in front of it.
[[nodiscard]] std::string part_hash(std::string const& key, std::string const& before, std::string_view part);
/// Returns the id under which a worker caches the part with this hash, in hex.
[[nodiscard]] std::string isolated_id(std::string const& hash);
/// HMAC-SHA-256 (RFC 2104), 32 bytes.
[[nodiscard]] std::string keyed_hash(std::string_view key, std::string_view text);
/// Lower-case hex encoding.
[[nodiscard]] std::string hex(std::string_view bytes);

}  // namespace finchlink::scheduling
