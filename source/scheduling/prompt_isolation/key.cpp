#include "scheduling/prompt_isolation/key.hpp"

#include <nettle/hmac.h>

#include <cstring>

#include "common/error/error.hpp"
#include "common/json/tree.hpp"
#include "common/prompt_isolation_constants.hpp"

namespace finchlink::scheduling {

namespace {
/// Appends a field with its length, so that "ab" + "c" differs from "a" + "bc".
void append_field(std::string& text, std::string_view field) {
  std::uint64_t const size = field.size();
  for (int shift = 0; shift < 64; shift += 8) {
    text += static_cast<char>(size >> shift);
  }
  text += field;
}
}  // namespace

absl::StatusOr<Secrets> read_secrets(std::string const& text) {
  absl::StatusOr<common::Tree> const tree = common::read_tree(text);
  if (!tree.ok() || cJSON_IsObject(tree->get()) == 0) {
    return common::make_error(absl::StatusCode::kInvalidArgument, "secrets", "the file is not a JSON object");
  }
  Secrets secrets;
  for (cJSON const* item = (*tree)->child; item != nullptr; item = item->next) {
    std::string const name = item->string;
    if (name == "moved" && cJSON_IsNumber(item) != 0 && item->valuedouble >= 0 && item->valuedouble <= 100) {
      secrets.moved = static_cast<std::uint64_t>(item->valuedouble);
    } else if ((name == "current" || name == "previous") && cJSON_IsString(item) != 0 &&
               std::strlen(item->valuestring) >= common::constants::min_secret_bytes) {
      (name == "current" ? secrets.current : secrets.previous) = item->valuestring;
    } else {
      return common::make_error(
          absl::StatusCode::kInvalidArgument, "secrets",
          "current and previous must be strings of 32 bytes or more, moved must be 0 to 100; no other key is allowed");
    }
  }
  if (secrets.current.empty()) {
    return common::make_error(absl::StatusCode::kInvalidArgument, "secrets", "current is missing");
  }
  if (secrets.current == secrets.previous) {
    return common::make_error(absl::StatusCode::kInvalidArgument, "secrets", "current and previous are the same");
  }
  if (secrets.previous.empty() && secrets.moved != 100) {
    return common::make_error(absl::StatusCode::kInvalidArgument, "secrets",
                              "moved below 100 requires a previous secret");
  }
  return secrets;
}

std::string const& secret_for(Secrets const& secrets, std::string_view tenant) {
  if (secrets.moved >= 100 || secrets.previous.empty()) {
    return secrets.current;
  }
  // Hashed with the current secret, so that no tenant can choose when it moves.
  std::string const hash = keyed_hash(secrets.current, tenant);
  std::uint64_t bucket = 0;
  std::memcpy(&bucket, hash.data(), sizeof(bucket));
  return bucket % 100 < secrets.moved ? secrets.current : secrets.previous;
}

std::string isolation_key(std::string const& secret, IsolationScope const& scope) {
  std::string text;
  append_field(text, scope.shared ? "public" : "tenant");
  append_field(text, scope.shared ? "" : scope.tenant_namespace);
  append_field(text, scope.shared ? "" : scope.tenant);
  append_field(text, scope.model);
  append_field(text, scope.version);
  return keyed_hash(secret, text);
}

std::string part_hash(std::string const& key, std::string const& before, std::string_view part) {
  return keyed_hash(key, before + std::string(part));
}

std::string isolated_id(std::string const& hash) {
  return hex(std::string_view(hash).substr(0, common::constants::isolation_id_bytes));
}

std::string keyed_hash(std::string_view key, std::string_view text) {
  hmac_sha256_ctx context;
  hmac_sha256_set_key(&context, key.size(), reinterpret_cast<std::uint8_t const*>(key.data()));
  hmac_sha256_update(&context, text.size(), reinterpret_cast<std::uint8_t const*>(text.data()));
  std::string hash(SHA256_DIGEST_SIZE, '\0');
  hmac_sha256_digest(&context, hash.size(), reinterpret_cast<std::uint8_t*>(hash.data()));
  return hash;
}

std::string hex(std::string_view bytes) {
  std::string text;
  for (char const byte : bytes) {
    text += "0123456789abcdef"[static_cast<unsigned char>(byte) >> 4u];
    text += "0123456789abcdef"[static_cast<unsigned char>(byte) & 15u];
  }
  return text;
}

}  // namespace finchlink::scheduling
