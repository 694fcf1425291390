#include "scheduling/prompt_isolation/prompt_isolation.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>

#include "common/prompt_isolation_constants.hpp"
#include "scheduling/prefix/prefix_record.hpp"

namespace finchlink::scheduling {

namespace {
/// The holder of public parts in records; tenants' are hashes.
constexpr std::uint64_t everybody = 1;
/// Stands for the version in keys of a furrow's own record, which is cleared
/// whenever a worker's version changes.
constexpr char const* record_version = "\x01record";

std::uint64_t number_of(std::string_view bytes) {
  std::uint64_t value = 0;
  std::memcpy(&value, bytes.data(), std::min(bytes.size(), sizeof(value)));
  return value;
}

std::string once_id(std::array<std::uint64_t, 2> const& once, std::size_t index) {
  std::string bytes(common::constants::isolation_id_bytes, '\0');
  std::uint64_t const second = once[1] + index;
  std::memcpy(bytes.data(), &once[0], 8);
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
    double const told = std::min(static_cast<double>(tokens), common::constants::isolation_part_tokens_most);
    if (entry.empty()) {
      continue;
    }
    if (parts.size() < common::constants::isolation_parts_most) {
      parts.push_back(NamedPart{std::string(entry), told});
    } else {  // a comma stands in no part's own id
      parts.back().id.append(",").append(entry);
      parts.back().tokens = std::min(parts.back().tokens + told, common::constants::isolation_part_tokens_most);
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
  std::map<std::string, std::set<std::string>>::const_iterator const spoiled = spoiled_.find(worker);
  bool const good = spoiled == spoiled_.end() || spoiled->second.count(found->second) == 0;
  return good ? std::optional<std::string>(found->second) : std::nullopt;
}

std::vector<PromptPart> PromptIsolation::place(Prompt const& prompt) const {
  std::vector<PromptPart> parts;
  if (!secrets_.has_value()) {
    return parts;
  }
  std::size_t const shared = public_count(prompt);
  std::size_t const count = prompt.tenant.empty() ? shared : prompt.parts.size();
  std::string const common =
      isolation_key(secret_of(*secrets_, ""), IsolationKey{true, "", prompt.model, record_version, ""});
  std::string const own = isolation_key(secret_of(*secrets_, prompt.tenant),
                                        IsolationKey{false, prompt.tenant, prompt.model, record_version, prompt.realm});
  std::uint64_t const holder = number_of(own) | 2u;  // neither nobody nor everybody
  std::string before = nothing_before;
  for (std::size_t index = 0; index < count; ++index) {
    before = part_hash(index < shared ? common : own, before, prompt.parts[index].id);
    parts.push_back(PromptPart{number_of(before), prompt.parts[index].tokens, index < shared ? everybody : holder});
  }
  return parts;
}

IsolatedPrompt PromptIsolation::send(Prompt const& prompt, std::string const& worker,
                                     std::array<std::uint64_t, 2> const& once) const {
  IsolatedPrompt isolated;
  std::optional<std::string> const version = version_of(worker);
  bool const keyed = secrets_.has_value() && version.has_value();
  isolated.version = version.value_or("");
  isolated.cold = !keyed || prompt.tenant.empty();
  std::size_t const shared = keyed ? public_count(prompt) : 0;
  std::string const common =
      keyed ? isolation_key(secret_of(*secrets_, ""), IsolationKey{true, "", prompt.model, *version, ""}) : "";
  std::string const own = isolated.cold
                              ? ""
                              : isolation_key(secret_of(*secrets_, prompt.tenant),
                                              IsolationKey{false, prompt.tenant, prompt.model, *version, prompt.realm});
  std::string before = nothing_before;
  for (std::size_t index = 0; index < prompt.parts.size(); ++index) {
    NamedPart const& part = prompt.parts[index];
    bool const public_part = index < shared;
    std::string id;
    if (!guards_.tenant_in_key) {
      id = part.id;
    } else if (isolated.cold && !public_part) {
      id = once_id(once, index);
    } else {
      before = part_hash(public_part ? common : own, before, part.id);
      id = isolated_id(before);
    }
    isolated.most_reused += public_part || !isolated.cold ? part.tokens : 0;
    append(isolated.header, id, part.tokens);
  }
  return isolated;
}

std::vector<IsolationAction> PromptIsolation::heard(IsolationAnswer const& answer, IsolatedPrompt const& sent,
                                                    double predicted) {
  std::vector<IsolationAction> actions;
  if (answer.reused.has_value() && *answer.reused > sent.most_reused) {
    ++crossings_;
    actions.push_back(Crossed{answer.worker, *answer.reused - sent.most_reused});
  }
  if (answer.ran && guards_.version_in_key && !sent.version.empty() && answer.version != sent.version) {
    // What it keeps under these ids was computed by other weights, or nobody
    // knows by which: no id of that version goes there again.
    ++other_weights_;
    spoiled_[answer.worker].insert(sent.version);
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
  bool const told = tallies_.size() < common::constants::isolation_tenants_told || tallies_.count(prompt.tenant) > 0;
  TenantTally& tally = told ? tallies_[prompt.tenant] : others_;
  ++tally.queries;
  tally.cold += sent.cold ? 1 : 0;
  for (NamedPart const& part : prompt.parts) {
    tally.tokens += part.tokens;
  }
  tally.reused += reused.value_or(0);
}

}  // namespace finchlink::scheduling
