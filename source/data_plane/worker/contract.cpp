#include "data_plane/worker/contract.hpp"

#include <charconv>
#include <cmath>

#include "common/constants.hpp"
#include "common/json/tree.hpp"

namespace finchlink::data_plane {

namespace constants = common::constants;
namespace http = common::http;
using boost::system::error_code;

std::optional<WorkerLoad> fetch_load(common::Stream& stream, boost::beast::flat_buffer& buffer,
                                     std::string const& address, common::Yield yield) {
  error_code error;
  common::Request request{http::verb::get, "/load", 11};
  request.set(http::field::host, address);
  stream.expires_after(common::duration(constants::load_pause));
  http::async_write(stream, request, yield[error]);
  if (error) {
    return std::nullopt;
  }
  buffer.max_size(constants::response_buffer_bytes);
  http::response_parser<http::string_body> parser;
  parser.body_limit(constants::header_limit);
  http::async_read(stream, buffer, parser, yield[error]);
  if (error || parser.get().result() != http::status::ok) {
    return std::nullopt;
  }
  absl::StatusOr<common::Tree> const tree = common::read_tree(parser.get().body());
  if (!tree.ok()) {
    return std::nullopt;
  }
  WorkerLoad load;
  cJSON const* const running = cJSON_GetObjectItemCaseSensitive(tree->get(), "running");
  cJSON const* const waiting = cJSON_GetObjectItemCaseSensitive(tree->get(), "waiting");
  cJSON const* const start_id = cJSON_GetObjectItemCaseSensitive(tree->get(), "boot");
  load.running = cJSON_IsNumber(running) != 0 ? running->valuedouble : 0;
  load.waiting = cJSON_IsNumber(waiting) != 0 ? waiting->valuedouble : 0;
  load.start_id = cJSON_IsString(start_id) != 0 ? start_id->valuestring : "";
  return load;
}

common::Request make_worker_request(WorkerCall const& call, std::string const& address) {
  common::Request request{call.method, call.target, 11};
  request.set(http::field::host, address);
  request.set(query_header, call.query);
  request.set("Finchlink-Rule", call.rule);
  request.set("Finchlink-Dispatch", std::to_string(call.dispatch));
  request.set("Finchlink-Leg",
              call.phase == QueryPhase::whole ? "whole" : (call.phase == QueryPhase::prefill ? "prefill" : "decode"));
  if (!call.kv.empty()) {
    request.set(kv_header, call.kv);
  }
  if (call.last_event > 0) {
    request.set("Last-Event-ID", std::to_string(call.last_event));
  }
  if (!call.content_type.empty()) {
    request.set(http::field::content_type, call.content_type);
  }
  if (call.body != nullptr) {
    request.body() = *call.body;
  }
  request.keep_alive(false);
  request.prepare_payload();
  return request;
}

bool guarantees_not_run(unsigned int status) {
  return status == 429 || status == 503;
}

bool EventReader::feed(std::string_view bytes, std::vector<StreamEvent>& events) {
  pending_.append(bytes);
  std::size_t begin = 0;
  for (std::size_t end = pending_.find("\n\n"); end != std::string::npos; end = pending_.find("\n\n", begin)) {
    if (!parse(std::string_view(pending_).substr(begin, end - begin), events)) {
      return false;
    }
    begin = end + 2;
  }
  pending_.erase(0, begin);
  return pending_.size() <= constants::event_limit;
}

bool EventReader::parse(std::string_view block, std::vector<StreamEvent>& events) const {
  StreamEvent event;
  bool numbered = false;
  while (!block.empty()) {
    std::string_view const line = block.substr(0, block.find('\n'));
    block.remove_prefix(std::min(block.size(), line.size() + 1));
    if (line.rfind("id:", 0) == 0) {
      std::string_view text = line.substr(3);
      while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
      }
      std::from_chars_result const parsed = std::from_chars(text.data(), text.data() + text.size(), event.number);
      numbered = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    } else if (line.rfind("event:", 0) == 0) {
      event.last = line.find("complete") != std::string_view::npos;
    } else if (line.rfind("data:", 0) == 0) {
      std::string_view const text = line.substr(line.size() > 5 && line[5] == ' ' ? 6 : 5);
      event.raw = std::string(text);
    }
  }
  if (!numbered) {
    return false;
  }
  absl::StatusOr<common::Tree> const tree = common::read_tree(event.raw);
  if (!tree.ok()) {
    return false;
  }
  cJSON const* const text = cJSON_GetObjectItemCaseSensitive(tree->get(), "text");
  cJSON const* const query = cJSON_GetObjectItemCaseSensitive(tree->get(), "query");
  event.text = cJSON_IsString(text) != 0 ? text->valuestring : "";
  event.query = cJSON_IsString(query) != 0 ? query->valuestring : "";
  event.tokens = std::ceil(static_cast<double>(event.text.size()) / bytes_per_token_);
  events.push_back(std::move(event));
  return true;
}

}  // namespace finchlink::data_plane
