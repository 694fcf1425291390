#include "platform/listing.hpp"

#include "common/constants.hpp"
#include "common/error/error.hpp"
#include "common/http/http.hpp"
#include "common/json/tree.hpp"

namespace finchlink::platform {

namespace {
std::string text_of(cJSON const* entry, char const* field) {
  cJSON const* const found = cJSON_GetObjectItemCaseSensitive(entry, field);
  return cJSON_IsString(found) != 0 ? found->valuestring : "";
}
std::uint64_t natural_of(cJSON const* entry, char const* field) {
  cJSON const* const found = cJSON_GetObjectItemCaseSensitive(entry, field);
  return cJSON_IsNumber(found) != 0 && found->valuedouble > 0 ? static_cast<std::uint64_t>(found->valuedouble + 0.999)
                                                              : 0;
}

std::string escaped(std::string const& text) {
  std::string result;
  for (char const letter : text) {
    bool const plain = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
                       (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' || letter == '.' ||
                       letter == '~';
    unsigned char const byte = static_cast<unsigned char>(letter);
    result += plain ? std::string(1, letter)
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
  page.next = text_of(tree->get(), "next_token");
  for (cJSON const* entry = instances->child; entry != nullptr; entry = entry->next) {
    schema::WorkerEntry worker;
    worker.id = text_of(entry, "id");
    worker.address = text_of(entry, "address");
    worker.zone = text_of(entry, "zone");
    worker.service = text_of(entry, "plant");
    if (worker.id.empty() || worker.address.empty()) {
      return common::make_error(absl::StatusCode::kDataLoss, "list", "a worker has no id or address");
    }
    bool const model = cJSON_GetObjectItemCaseSensitive(entry, "models") != nullptr ||
                       cJSON_GetObjectItemCaseSensitive(entry, "phase") != nullptr;
    worker.kind = model ? "model" : "plain";
    worker.draining = text_of(entry, "state") == "draining";
    worker.capacity = natural_of(entry, "capacity");
    worker.cold_ms = natural_of(entry, "warmup_left_ms");
    worker.left_ms = natural_of(entry, "remaining_ms");
    std::string const phase = text_of(entry, "phase");
    worker.phase = phase == "both" ? "" : phase;
    page.workers.push_back(worker);
  }
  return page;
}

absl::StatusOr<schema::PlatformList> read_list(boost::asio::io_context& context, std::string const& address,
                                               common::Span deadline, common::Yield yield) {
  common::Moment const until = common::boot_now() + deadline;
  schema::PlatformList list;
  std::string token;
  do {
    common::Span const left = until - common::boot_now();
    if (left <= 0) {
      return common::make_error(absl::StatusCode::kDeadlineExceeded, "list", "its pages take too long");
    }
    common::Ask const ask{common::http::verb::get, token.empty() ? "/workers" : "/workers?page_token=" + escaped(token),
                          11};
    absl::StatusOr<common::Answer> const answer =
        common::ask_once(context, address, ask, left, common::constants::list_limit, yield);
    if (!answer.ok()) {
      return answer.status();
    }
    if (answer->result() != common::http::status::ok) {
      bool const often = answer->result() == common::http::status::too_many_requests;
      return common::make_error(often ? absl::StatusCode::kResourceExhausted : absl::StatusCode::kUnavailable, "list",
                                "status " + std::to_string(answer->result_int()));
    }
    absl::StatusOr<ListPage> const page = parse_page(answer->body());
    if (!page.ok()) {
      return page.status();
    }
    list.workers.insert(list.workers.end(), page->workers.begin(), page->workers.end());
    token = page->next;
  } while (!token.empty());
  return list;
}

}  // namespace finchlink::platform
