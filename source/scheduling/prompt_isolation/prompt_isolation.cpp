#include "scheduling/prompt_isolation/prompt_isolation.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>

#include "common/prompt_isolation_constants.hpp"
#include "scheduling/prefix/prefix_record.hpp"

namespace finchlink::scheduling {

namespace {
/// Owner of public parts in records. Owners of tenants' parts are hashes.
constexpr std::uint64_t public_owner = 1;
/// Takes the place of the version in keys of the proxy's own record, which is cleared whenever a worker's version
/// changes.
constexpr char const* record_version = "\x01record";

std::uint64_t to_number(std::string_view bytes) {
  std::uint64_t value = 0;
  std::memcpy(&value, bytes.data(), std::min(bytes.size(), sizeof(value)));
  return value;
}

std::string single_use_id(std::array<std::uint64_t, 2> const& nonce, std::size_t index) {
  std::string bytes(common::constants::isolation_id_bytes, '\0');
  std::uint64_t const second = nonce[1] + index;
  std::memcpy(bytes.data(), &nonce[0], 8);
  std::memcpy(bytes.data() + 8, &second, 8);
  return hex(bytes);
}

void append(std::string& header, std::string_view id, double tokens) {
  header.append(header.empty() ? "" : ",")
      .append(id)
      .append(":")
      .append(std::to_string(static_cast<std::uint64_t>(tokens)));
}
}  // namespace

std::vector<NamedPart> parse_parts(std::string_view text) {
  std::vector<NamedPart> parts;
  while (!text.empty()) {
    std::string_view entry = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), entry.size() + 1));
    std::size_t const colon = entry.rfind(':');
    std::uint64_t tokens = 0;
    if (colon == std::string_view::npos ||
        std::from_chars(entry.data() + colon + 1, entry.data() + entry.size(), tokens).ec != std::errc()) {
      continue;
    }
    entry = entry.substr(0, colon);
    entry.remove_prefix(std::min(entry.size(), entry.find_first_not_of(' ')));
    double const part_tokens = std::min(static_cast<double>(tokens), common::constants::max_isolated_part_tokens);
    if (entry.empty()) {
      continue;
    }
    if (parts.size() < common::constants::max_isolated_parts) {
      parts.push_back(NamedPart{std::string(entry), part_tokens});
    } else {  // unambiguous, as the id of a single part contains no comma
      parts.back().id.append(",").append(entry);
      parts.back().tokens = std::min(parts.back().tokens + part_tokens, common::constants::max_isolated_part_tokens);
    }
  }
  return parts;
}

std::size_t PromptIsolation::public_count(Prompt const& prompt) const {
  std::size_t count = 0;
  while (count < prompt.parts.size() &&
         std::find(prompt.shared.begin(), prompt.shared.end(), prompt.parts[count].id) != prompt.shared.end()) {
    ++count;
  }
  return count;
}

std::optional<std::string> PromptIsolation::version_of(std::string const& worker) const {
  if (!guards_.version_in_key) {
    return "";
  }
  std::map<std::string, std::string>::const_iterator const found = versions_.find(worker);
  if (found == versions_.end()) {
    return std::nullopt;
  }
  std::map<std::string, std::set<std::string>>::const_iterator const tainted = tainted_versions_.find(worker);
  bool const usable = tainted == tainted_versions_.end() || tainted->second.count(found->second) == 0;
  return usable ? std::optional<std::string>(found->second) : std::nullopt;
}

std::vector<PromptPart> PromptIsolation::placement_parts(Prompt const& prompt) const {
  std::vector<PromptPart> parts;
  if (!secrets_.has_value()) {
    return parts;
  }
  std::size_t const shared = public_count(prompt);
  std::size_t const count = prompt.tenant.empty() ? shared : prompt.parts.size();
  std::string const common =
      isolation_key(secret_for(*secrets_, ""), IsolationScope{true, "", prompt.model, record_version, ""});
  std::string const own =
      isolation_key(secret_for(*secrets_, prompt.tenant),
                    IsolationScope{false, prompt.tenant, prompt.model, record_version, prompt.tenant_namespace});
  std::uint64_t const owner = to_number(own) | 2u;  // neither 0 (no owner) nor the public owner
  std::string before = initial_hash;
  for (std::size_t index = 0; index < count; ++index) {
    before = part_hash(index < shared ? common : own, before, prompt.parts[index].id);
    parts.push_back(PromptPart{to_number(before), prompt.parts[index].tokens, index < shared ? public_owner : owner});
  }
  return parts;
}

IsolatedPrompt PromptIsolation::isolate(Prompt const& prompt, std::string const& worker,
                                        std::array<std::uint64_t, 2> const& nonce) const {
  IsolatedPrompt isolated;
  std::optional<std::string> const version = version_of(worker);
  bool const keyed = secrets_.has_value() && version.has_value();
  isolated.version = version.value_or("");
  isolated.cold = !keyed || prompt.tenant.empty();
  std::size_t const shared = keyed ? public_count(prompt) : 0;
  std::string const common =
      keyed ? isolation_key(secret_for(*secrets_, ""), IsolationScope{true, "", prompt.model, *version, ""}) : "";
  std::string const own =
      isolated.cold
          ? ""
          : isolation_key(secret_for(*secrets_, prompt.tenant),
                          IsolationScope{false, prompt.tenant, prompt.model, *version, prompt.tenant_namespace});
  std::string before = initial_hash;
  for (std::size_t index = 0; index < prompt.parts.size(); ++index) {
    NamedPart const& part = prompt.parts[index];
    bool const public_part = index < shared;
    std::string id;
    if (!guards_.tenant_in_key) {
      id = part.id;
    } else if (isolated.cold && !public_part) {
      id = single_use_id(nonce, index);
    } else {
      before = part_hash(public_part ? common : own, before, part.id);
      id = isolated_id(before);
    }
    isolated.max_reused += public_part || !isolated.cold ? part.tokens : 0;
    append(isolated.header, id, part.tokens);
  }
  return isolated;
}

std::vector<IsolationAction> PromptIsolation::handle_answer(IsolationAnswer const& answer, IsolatedPrompt const& sent,
                                                            double predicted) {
  std::vector<IsolationAction> actions;
  if (answer.reused.has_value() && *answer.reused > sent.max_reused) {
    ++crossings_;
    actions.push_back(IsolationViolated{answer.worker, *answer.reused - sent.max_reused});
  }
  if (answer.ran && guards_.version_in_key && !sent.version.empty() && answer.version != sent.version) {
    // What the worker cached under these ids was computed by other or unknown weights, so no id of that version is sent
    // to it again.
    ++other_weights_;
    tainted_versions_[answer.worker].insert(sent.version);
    actions.push_back(RanOtherWeights{answer.worker, sent.version});
  }
  if (answer.ran && answer.version.empty()) {
    versions_.erase(answer.worker);
  }
  std::map<std::string, std::string>::iterator const known = versions_.find(answer.worker);
  if (!answer.version.empty() && (known == versions_.end() || known->second != answer.version)) {
    versions_[answer.worker] = answer.version;
    actions.push_back(ForgetWorker{answer.worker});
  } else if (answer.reused.has_value() && *answer.reused < predicted) {
    actions.push_back(PartsEvicted{answer.worker, *answer.reused});
  }
  return actions;
}

void PromptIsolation::count(Prompt const& prompt, IsolatedPrompt const& sent, std::optional<double> reused) {
  bool const has_tally = tallies_.size() < common::constants::max_reported_tenants || tallies_.count(prompt.tenant) > 0;
  TenantTally& tally = has_tally ? tallies_[prompt.tenant] : others_;
  ++tally.queries;
  tally.cold += sent.cold ? 1 : 0;
  for (NamedPart const& part : prompt.parts) {
    tally.tokens += part.tokens;
  }
  tally.reused += reused.value_or(0);
}

}  // namespace finchlink::scheduling
