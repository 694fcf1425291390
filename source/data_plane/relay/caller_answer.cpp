// Relay: what is written to the caller.
#include "data_plane/relay/relay.hpp"

#include <boost/asio/write.hpp>

#include "common/log/log.hpp"
#include "common/random/random.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;
using boost::system::error_code;

void Relay::act(scheduling::RejectQuery const& reason) {
  if (!tenant_fault_.empty()) {
    answer("400 Bad Request", tenant_fault_, false);
  } else if (withdrawn_route_ && station_.routing_config_confirmed()) {
    answer("404 Not Found", "unknown_rule", false);
  } else {
    (void)reason;
    refuse();
  }
}

void Relay::act(scheduling::FailUncertain const& apologise) {
  if (!whole_.empty()) {
    (void)write_whole();  // the worker's own error response is more specific than a 502 or 504 of the relay
  } else {
    answer(apologise.status == 504 ? "504 Gateway Timeout" : "502 Bad Gateway", apologise.reason, false);
  }
}

void Relay::act(scheduling::EndWithError const& broken) {
  common::note(common::Event::QueryCut, id_ + " " + broken.reason);
  keep_ = false;  // without the last chunk no caller can take the stream for complete
}

void Relay::answer(std::string const& status, std::string const& reason, bool come_back) {
  std::string const body = "{\"error\":\"" + reason + "\"}";
  std::string text = "HTTP/1.1 " + status + "\r\n" + station_.dialect().query + ": " + id_ +
                     "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  if (come_back) {
    double const set_point_seconds = route_.set_point_ms > 0 ? route_.set_point_ms / 1000 : 1.0;
    text += "Retry-After: " + std::to_string(set_point_seconds * (0.15 + 0.15 * random_fraction())) + "\r\n";
  }
  (void)write(text + closing_line() + "\r\n" + (bare_ ? "" : body));
}

std::string Relay::closing_line() {
  keep_ = query_.keep && !station_.draining();
  return keep_ ? "" : "Connection: close\r\n";
}

bool Relay::write(std::string const& text) {
  if (gone_) {
    keep_ = false;
    return false;
  }
  error_code error;
  writing_ = true;
  asio::async_write(caller_, asio::buffer(text), yield_[error]);
  writing_ = false;
  if (error) {
    keep_ = false;
    gone_ = true;
  }
  return !error;
}

bool Relay::write_whole() {
  bool const written = write(whole_ + closing_line() + "\r\n" + whole_body_);
  return written;
}

std::string Relay::answer_head(Parser const& parser) const {
  std::string text =
      "HTTP/1.1 " + std::to_string(parser.get().result_int()) + " " + std::string(view(parser.get().reason())) + "\r\n";
  // The ids under which prompt parts were sent are only for the proxy and its workers.
  std::vector<std::string_view> const removed =
      prompt_.has_value() ? std::vector<std::string_view>{station_.dialect().parts, station_.dialect().expected}
                          : std::vector<std::string_view>();
  copy_fields(parser.get(), std::string(view(parser.get()[http::field::connection])), removed, text);
  return text;
}

}  // namespace finchlink::data_plane
