// Relay: a worker's answer: a refusal, a whole answer, a stream, or no valid answer.
#include "data_plane/relay/relay.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>

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
  for (int head_count = 0; head_count <= constants::interim_answers_most; ++head_count) {
    reading.parser = std::make_unique<Parser>();
    reading.parser->header_limit(constants::answer_header_limit);
    reading.parser->body_limit(boost::none);
    reading.parser->skip(bare_);
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
  Dialect const& dialect = station_.dialect();
  std::string_view const id = view(got[dialect.query]);
  if (!id.empty() && id != id_) {
    return false;  // a late answer to another request: this request may be running
  }
  unsigned int const status = got.result_int();
  return status == 421 || (status >= 400 && !got[dialect.not_run].empty());
}

bool Relay::ended_whole(Parser const& parser) const {
  // Once a write has failed with the connection's reset, the next read sees an orderly end: it proves nothing then.
  return !parser.need_eof() || !reading_->sending->failed;
}

scheduling::Outcome Relay::talk() {
  Dialect const& dialect = station_.dialect();
  common::Moment const sent = common::boot_now();
  expect_bytes(route_.set_point_ms, sent);
  if (prompt_.has_value()) {
    isolated_ = station_.isolation().send(*prompt_, assignment_.worker, draw_once());
  }
  begin_sending();
  if (!read_head(*reading_)) {
    after_ = scheduling::WorkerFailure{"no_answer"};
    return scheduling::Outcome::failure;
  }
  boost::beast::flat_buffer& buffer = reading_->buffer;
  Parser& parser = *reading_->parser;
  Parser::value_type const& got = parser.get();
  unsigned int const status = got.result_int();
  hear_load(view(got[dialect.load]));
  if (is_refusal(got)) {
    after_ = scheduling::WorkerRefused{};
    std::string const expected = isolated_.version;
    hear_isolation(got, false);
    bool const other_weights =
        prompt_.has_value() && !got[dialect.weights].empty() && view(got[dialect.weights]) != expected;
    if (status == 421 && !other_weights) {
      return scheduling::Outcome::misdirected;
    }
    finish_reading(buffer, parser);
    return scheduling::Outcome::refused;
  }
  if (view(got[dialect.query]) != id_) {
    after_ = scheduling::WorkerFailure{"wrong_query"};
    return scheduling::Outcome::failure;
  }
  bool const success = status >= 200 && status < 300;
  if ((success && got[dialect.seal].empty()) || !got[dialect.not_run].empty() || status < 200 || status == 429 ||
      status == 503 || status == 408) {
    after_ = scheduling::WorkerFailure{"no_answer_of_ours"};
    return scheduling::Outcome::failure;
  }
  hear_isolation(got, success);
  if (success && !bare_ && got[http::field::content_type].starts_with("text/event-stream")) {
    reading_->sent = sent;
    return talk_events(*reading_);
  }
  return talk_whole(buffer, parser, status);
}

void Relay::hear_load(std::string_view text) {
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
  station_.balancer().report_load(assignment_.worker, figures[0], figures[1], figures[2], common::boot_now());
}

void Relay::after_answer(boost::beast::flat_buffer const& buffer, Parser const& parser) {
  // While the worker still reads this request, the next one on the connection would be taken for the rest of its body.
  if (!reading_->sending->whole()) {
    return;
  }
  if (!parser.is_done() || parser.need_eof() || buffer.size() > 0 || !parser.get().keep_alive() || worker_ == nullptr ||
      !worker_->is_open()) {
    return;
  }
  common::Span longest = constants::worker_idle;
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

void Relay::finish_reading(boost::beast::flat_buffer& buffer, Parser& parser) {
  std::string bytes;
  while (!parser.is_done() && (parser.content_length().has_value() || parser.chunked())) {
    if (!read_some(buffer, parser, bytes)) {
      return;
    }
  }
  after_answer(buffer, parser);
}

scheduling::Outcome Relay::talk_whole(boost::beast::flat_buffer& buffer, Parser& parser, unsigned int status) {
  std::string body;
  std::string bytes;
  bool const bare = bare_ || status == 204 || status == 304;
  while (!parser.is_done()) {
    if (!read_some(buffer, parser, bytes) || body.size() + bytes.size() > constants::answer_limit) {
      after_ = scheduling::WorkerFailure{"cut_answer"};
      return scheduling::Outcome::failure;
    }
    body += bytes;
  }
  if (!bare && !ended_whole(parser)) {
    after_ = scheduling::WorkerFailure{"cut_answer"};
    return scheduling::Outcome::failure;
  }
  first_seen_ = true;
  if (prompt_.has_value()) {
    station_.balancer().first_token(assignment_, status < 300 ? kept_parts() : std::vector<scheduling::PromptPart>(),
                                    0);
  }
  first_at_ = common::boot_now();
  // A response to HEAD gives the length that the body would have.
  std::string const length = bare_  ? std::string(view(parser.get()[http::field::content_length]))
                             : bare ? ""
                                    : std::to_string(body.size());
  whole_ = answer_head(parser) + (length.empty() ? "" : "Content-Length: " + length + "\r\n");
  whole_body_ = std::move(body);
  after_answer(buffer, parser);
  if (status >= 500 && repeatable()) {
    after_ = scheduling::WorkerFailure{"worker_error"};
    return scheduling::Outcome::failure;
  }
  after_ = scheduling::WholeResponse{};
  return status >= 500 ? scheduling::Outcome::failure : scheduling::Outcome::success;
}

}  // namespace finchlink::data_plane
