// Relay: a worker's answer: a refusal, a whole answer, a stream, or no valid answer.
#include "data_plane/relay/relay.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>

#include "common/admission/admission_constants.hpp"
#include "common/relay_constants.hpp"
#include "data_plane/relay/prompt_isolation.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;
using boost::system::error_code;

bool Relay::read_some(boost::beast::flat_buffer& buffer, Parser& parser, std::string& bytes) {
  bytes.resize(constants::piece_bytes);
  parser.get().body().data = bytes.data();
  parser.get().body().size = bytes.size();
  parser.get().body().more = true;
  error_code error;
  http::async_read_some(*worker_, buffer, parser, yield_[error]);
  if (error && error != http::error::need_buffer) {
    bytes.clear();
    return false;
  }
  bytes.resize(bytes.size() - parser.get().body().size);
  return true;
}

void Relay::begin_sending() {
  std::shared_ptr<Sending> const sending = std::make_shared<Sending>();
  sending->head = head();
  sending->body = query_.body;
  reading_->sending = sending;
  std::array<asio::const_buffer, 2> const pieces{asio::buffer(sending->head), asio::buffer(*sending->body)};
  asio::async_write(*worker_, pieces, [sending](error_code const& error, std::size_t) {
    sending->done = true;
    sending->failed = static_cast<bool>(error);
  });
}

bool Relay::read_head(Reading& reading) {
  for (int head_count = 0; head_count <= constants::max_interim_responses; ++head_count) {
    reading.parser = std::make_unique<Parser>();
    reading.parser->header_limit(constants::answer_header_limit);
    reading.parser->body_limit(boost::none);
    reading.parser->skip(head_request_);
    if (!worker_->is_open()) {
      return false;
    }
    error_code error;
    http::async_read_header(*worker_, reading.buffer, *reading.parser, yield_[error]);
    if (error) {
      return false;
    }
    unsigned int const status = reading.parser->get().result_int();
    bool const interim = status >= 100 && status < 200 && status != 101;
    if (!interim) {
      return true;
    }
  }
  return false;
}

bool Relay::is_refusal(WorkerHeader const& got) const {
  Dialect const& dialect = server_.dialect();
  std::string_view const id = view(got[dialect.query]);
  if (!id.empty() && id != id_) {
    return false;  // a late answer to another request: this request may be running
  }
  unsigned int const status = got.result_int();
  return status == 421 || (status >= 400 && !got[dialect.not_run].empty());
}

bool Relay::ended_cleanly(Parser const& parser) const {
  // Once a write has failed with the connection's reset, the next read sees an orderly end: it proves nothing then.
  return !parser.need_eof() || !reading_->sending->failed;
}

scheduling::Outcome Relay::exchange() {
  Dialect const& dialect = server_.dialect();
  common::Moment const sent = common::boot_now();
  arm_stall_detector(route_.set_point_ms, sent);
  if (prompt_.has_value()) {
    isolated_prompt_ = server_.isolation().isolate(*prompt_, assignment_.worker, draw_nonce());
  }
  begin_sending();
  if (!read_head(*reading_)) {
    next_message_ = scheduling::WorkerFailure{"no_answer"};
    return scheduling::Outcome::failure;
  }
  boost::beast::flat_buffer& buffer = reading_->buffer;
  Parser& parser = *reading_->parser;
  Parser::value_type const& got = parser.get();
  unsigned int const status = got.result_int();
  apply_reported_load(view(got[dialect.load]));
  if (is_refusal(got)) {
    next_message_ = scheduling::WorkerRefused{};
    std::string const expected = isolated_prompt_.version;
    apply_isolation_response(got, false);
    bool const other_weights =
        prompt_.has_value() && !got[dialect.weights].empty() && view(got[dialect.weights]) != expected;
    if (status == 421 && !other_weights) {
      return scheduling::Outcome::misdirected;
    }
    read_to_end(buffer, parser);
    return scheduling::Outcome::refused;
  }
  if (view(got[dialect.query]) != id_) {
    next_message_ = scheduling::WorkerFailure{"wrong_query"};
    return scheduling::Outcome::failure;
  }
  bool const success = status >= 200 && status < 300;
  if ((success && got[dialect.seal].empty()) || !got[dialect.not_run].empty() || status < 200 || status == 429 ||
      status == 503 || status == 408) {
    next_message_ = scheduling::WorkerFailure{"no_answer_of_ours"};
    return scheduling::Outcome::failure;
  }
  apply_isolation_response(got, success);
  if (success && !head_request_ && got[http::field::content_type].starts_with("text/event-stream")) {
    reading_->sent = sent;
    return relay_event_stream(*reading_);
  }
  return relay_whole_response(buffer, parser, status);
}

void Relay::apply_reported_load(std::string_view text) {
  if (text.empty()) {
    return;
  }
  double figures[3] = {0, 0, 0};
  for (double& figure : figures) {
    std::string_view const number_text = text.substr(0, text.find(','));
    figure = static_cast<double>(
        leading_number(number_text.substr(std::min(number_text.size(), number_text.find_first_not_of(' '))), 0));
    text.remove_prefix(std::min(text.size(), number_text.size() + 1));
  }
  server_.balancer().report_load(assignment_.worker, figures[0], figures[1], figures[2], common::boot_now());
}

void Relay::keep_worker_if_reusable(boost::beast::flat_buffer const& buffer, Parser const& parser) {
  // While the worker still reads this request, the next one on the connection would be taken for the rest of its body.
  if (!reading_->sending->whole()) {
    return;
  }
  if (!parser.is_done() || parser.need_eof() || buffer.size() > 0 || !parser.get().keep_alive() || worker_ == nullptr ||
      !worker_->is_open()) {
    return;
  }
  common::Span longest = constants::worker_idle_timeout;
  std::string_view const keep_alive_field = view(parser.get()["Keep-Alive"]);
  std::size_t const at = keep_alive_field.find("timeout=");
  if (at != std::string_view::npos) {
    longest = std::min(
        longest, common::seconds(static_cast<std::int64_t>(leading_number(keep_alive_field.substr(at + 8), 1))) / 2);
  } else if (!keep_alive_field.empty()) {
    longest = std::min(longest, common::seconds(static_cast<std::int64_t>(leading_number(keep_alive_field, 1))) / 2);
  }
  keep_worker(longest);
}

void Relay::read_to_end(boost::beast::flat_buffer& buffer, Parser& parser) {
  std::string bytes;
  std::size_t total = 0;
  while (!parser.is_done() && (parser.content_length().has_value() || parser.chunked())) {
    if (total > constants::refusal_limit || !read_some(buffer, parser, bytes)) {
      return;
    }
    total += bytes.size();
  }
  keep_worker_if_reusable(buffer, parser);
}

common::TextGrowth Relay::growth_of(std::size_t needed, Parser const& parser) {
  common::TextGrowth growth;
  growth.needed = needed;
  growth.most = static_cast<std::size_t>(
      std::min<std::uint64_t>(parser.content_length().value_or(constants::answer_limit), constants::answer_limit));
  growth.free = constants::free_answer_bytes;
  return growth;
}

scheduling::Outcome Relay::relay_whole_response(boost::beast::flat_buffer& buffer, Parser& parser,
                                                unsigned int status) {
  std::string body;
  std::string bytes;
  bool const bare = head_request_ || status == 204 || status == 304;
  while (!parser.is_done()) {
    if (!read_some(buffer, parser, bytes) || body.size() + bytes.size() > constants::answer_limit) {
      next_message_ = scheduling::WorkerFailure{"cut_answer"};
      return scheduling::Outcome::failure;
    }
    if (!common::grow(body, growth_of(body.size() + bytes.size(), parser), response_memory_, yield_)) {
      next_message_ = scheduling::WorkerFailure{"no_memory"};
      return scheduling::Outcome::failure;
    }
    body += bytes;
  }
  if (!bare && !ended_cleanly(parser)) {
    next_message_ = scheduling::WorkerFailure{"cut_answer"};
    return scheduling::Outcome::failure;
  }
  first_output_seen_ = true;
  if (prompt_.has_value()) {
    server_.balancer().first_token(assignment_, status < 300 ? cached_parts() : std::vector<scheduling::PromptPart>(),
                                   0);
  }
  first_output_at_ = common::boot_now();
  // A response to HEAD gives the length that the body would have.
  std::string const length = head_request_ ? std::string(view(parser.get()[http::field::content_length]))
                             : bare        ? ""
                                           : std::to_string(body.size());
  response_head_ = response_head(parser) + (length.empty() ? "" : "Content-Length: " + length + "\r\n");
  response_body_ = std::move(body);
  keep_worker_if_reusable(buffer, parser);
  if (status >= 500 && repeatable()) {
    next_message_ = scheduling::WorkerFailure{"worker_error"};
    return scheduling::Outcome::failure;
  }
  next_message_ = scheduling::WholeResponse{};
  return status >= 500 ? scheduling::Outcome::failure : scheduling::Outcome::success;
}

}  // namespace finchlink::data_plane
