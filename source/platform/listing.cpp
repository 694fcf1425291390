#include "platform/listing.hpp"

#include "common/constants.hpp"
#include "common/error/error.hpp"
#include "common/http/http.hpp"
#include "common/json/tree.hpp"

namespace finchlink::platform {

namespace {
/// A member's string; empty if it is missing or not a string.
std::string string_field(cJSON const* entry, char const* field) {
  cJSON const* const member = cJSON_GetObjectItemCaseSensitive(entry, field);
  return cJSON_IsString(member) != 0 ? member->valuestring : "";
}
/// A member's number, rounded up to a whole one unless its fraction is below 0.001; 0 if it is missing, not a number or
/// not above 0.
std::uint64_t integer_field(cJSON const* entry, char const* field) {
  cJSON const* const member = cJSON_GetObjectItemCaseSensitive(entry, field);
  return cJSON_IsNumber(member) != 0 && member->valuedouble > 0
             ? static_cast<std::uint64_t>(member->valuedouble + 0.999)
             : 0;
}

/// Percent-encodes a value for a query string; unreserved characters of RFC 3986 stay.
std::string percent_encode(std::string const& text) {
  std::string result;
  for (char const character : text) {
    bool const is_unreserved = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
                               (character >= '0' && character <= '9') || character == '-' || character == '_' ||
                               character == '.' || character == '~';
    unsigned char const byte = static_cast<unsigned char>(character);
    result += is_unreserved ? std::string(1, character)
                            : std::string("%") + "0123456789ABCDEF"[byte >> 4u] + "0123456789ABCDEF"[byte & 15u];
  }
  return result;
}
}  // namespace

absl::StatusOr<ListPage> parse_page(std::string const& text) {
  absl::StatusOr<common::Tree> const tree = common::read_tree(text);
  cJSON const* const instances = tree.ok() ? cJSON_GetObjectItemCaseSensitive(tree->get(), "instances") : nullptr;
  if (cJSON_IsArray(instances) == 0) {
    return common::make_error(absl::StatusCode::kDataLoss, "list", "the answer is no list of workers");
  }
  ListPage page;
  page.next_token = string_field(tree->get(), "next_token");
  for (cJSON const* entry = instances->child; entry != nullptr; entry = entry->next) {
    schema::WorkerEntry worker;
    worker.id = string_field(entry, "id");
    worker.address = string_field(entry, "address");
    worker.zone = string_field(entry, "zone");
    worker.service = string_field(entry, "plant");
    if (worker.id.empty() || worker.address.empty()) {
      return common::make_error(absl::StatusCode::kDataLoss, "list", "a worker has no id or address");
    }
    bool const is_model_worker = cJSON_GetObjectItemCaseSensitive(entry, "models") != nullptr ||
                                 cJSON_GetObjectItemCaseSensitive(entry, "phase") != nullptr;
    worker.kind = is_model_worker ? "model" : "plain";
    worker.draining = string_field(entry, "state") == "draining";
    worker.capacity = integer_field(entry, "capacity");
    worker.cold_ms = integer_field(entry, "warmup_left_ms");
    worker.left_ms = integer_field(entry, "remaining_ms");
    std::string const phase = string_field(entry, "phase");
    worker.phase = phase == "both" ? "" : phase;
    page.workers.push_back(worker);
  }
  return page;
}

absl::StatusOr<schema::PlatformList> read_list(boost::asio::io_context& context, std::string const& address,
                                               common::Span deadline, common::Yield yield) {
  common::Moment const end_time = common::boot_now() + deadline;
  schema::PlatformList list;
  std::string token;
  std::size_t remaining_bytes = common::constants::list_limit;  // of all pages together
  do {
    common::Span const remaining = end_time - common::boot_now();
    if (remaining <= 0) {
      return common::make_error(absl::StatusCode::kDeadlineExceeded, "list", "its pages take too long");
    }
    common::Request const request{common::http::verb::get,
                                  token.empty() ? "/workers" : "/workers?page_token=" + percent_encode(token), 11};
    absl::StatusOr<common::Response> const response =
        common::send_request(context, address, request, remaining, remaining_bytes, yield);
    if (!response.ok()) {
      return response.status();
    }
    if (response->result() != common::http::status::ok) {
      bool const rate_limited = response->result() == common::http::status::too_many_requests;
      return common::make_error(rate_limited ? absl::StatusCode::kResourceExhausted : absl::StatusCode::kUnavailable,
                                "list", "status " + std::to_string(response->result_int()));
    }
    absl::StatusOr<ListPage> const page = parse_page(response->body());
    if (!page.ok()) {
      return page.status();
    }
    remaining_bytes -= std::min(remaining_bytes, response->body().size());
    list.workers.insert(list.workers.end(), page->workers.begin(), page->workers.end());
    if (list.workers.size() > common::constants::max_listed_workers) {
      return common::make_error(absl::StatusCode::kDataLoss, "list", "it names too many workers");
    }
    token = page->next_token;
  } while (!token.empty());
  return list;
}

}  // namespace finchlink::platform
