// Relay: what is written to the caller.
#include "data_plane/relay/relay.hpp"

#include <array>
#include <boost/asio/write.hpp>

#include "common/log/log.hpp"
#include "common/random/random.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;
using boost::system::error_code;

void Relay::act(scheduling::RejectQuery const& reason) {
  if (!tenant_error_.empty()) {
    respond("400 Bad Request", tenant_error_, false);
  } else if (route_withdrawn_ && server_.routing_config_confirmed()) {
    respond("404 Not Found", "unknown_rule", false);
  } else {
    (void)reason;
    refuse();
  }
}

void Relay::act(scheduling::FailUncertain const& apologise) {
  if (!response_head_.empty()) {
    (void)write_response();  // the worker's own error response is more specific than a 502 or 504 of the relay
  } else {
    respond(apologise.status == 504 ? "504 Gateway Timeout" : "502 Bad Gateway", apologise.reason, false);
  }
}

void Relay::act(scheduling::EndWithError const& broken) {
  common::log_event(common::Event::QueryCut, id_ + " " + broken.reason);
  keep_caller_ = false;  // without the last chunk no caller can take the stream for complete
}

void Relay::respond(std::string const& status, std::string const& reason, bool retry_later) {
  std::string const body = "{\"error\":\"" + reason + "\"}";
  std::string text = "HTTP/1.1 " + status + "\r\n" + server_.dialect().query + ": " + id_ +
                     "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  if (retry_later) {
    double const set_point_seconds = route_.set_point_ms > 0 ? route_.set_point_ms / 1000 : 1.0;
    text += "Retry-After: " + std::to_string(set_point_seconds * (0.15 + 0.15 * random_fraction())) + "\r\n";
  }
  (void)write(text + connection_header() + "\r\n" + (head_request_ ? "" : body));
}

std::string Relay::connection_header() {
  keep_caller_ = query_.keep_alive && !server_.draining() && !admitted_->crowded();
  return keep_caller_ ? "" : "Connection: close\r\n";
}

bool Relay::write(std::string const& text, std::string const& body) {
  if (caller_gone_) {
    keep_caller_ = false;
    return false;
  }
  error_code error;
  writing_ = true;
  write_began_ = common::boot_now();
  admitted_->set_phase(common::ConnectionPhase::responding);
  std::array<asio::const_buffer, 2> const pieces{asio::buffer(text), asio::buffer(body)};
  asio::async_write(caller_, pieces, yield_[error]);
  admitted_->set_phase(common::ConnectionPhase::serving);
  writing_ = false;
  if (error) {
    keep_caller_ = false;
    caller_gone_ = true;
  }
  return !error;
}

bool Relay::write_response() {
  return write(response_head_ + connection_header() + "\r\n", response_body_);
}

std::string Relay::response_head(Parser const& parser) const {
  std::string text =
      "HTTP/1.1 " + std::to_string(parser.get().result_int()) + " " + std::string(view(parser.get().reason())) + "\r\n";
  // The ids under which prompt parts were sent are only for the proxy and its workers.
  std::vector<std::string_view> const removed =
      prompt_.has_value() ? std::vector<std::string_view>{server_.dialect().parts, server_.dialect().expected}
                          : std::vector<std::string_view>();
  copy_fields(parser.get(), std::string(view(parser.get()[http::field::connection])), removed, text);
  return text;
}

}  // namespace finchlink::data_plane
