#include "data_plane/query/session.hpp"

#include <sys/socket.h>

#include <boost/asio/write.hpp>

#include "common/constants.hpp"
#include "common/http/http.hpp"
#include "common/invariant/invariant.hpp"
#include "common/json/tree.hpp"
#include "common/random/random.hpp"
#include "config/disposition/disposition.hpp"
#include "data_plane/query/query.hpp"
#include "data_plane/query/reply.hpp"
#include "data_plane/worker/contract.hpp"

namespace finchlink::data_plane {

namespace constants = common::constants;
namespace http = common::http;
using boost::system::error_code;
using Parser = http::request_parser<http::string_body>;

namespace {
/// The response to one of the proxy's own status paths.
common::Response status_response(ProxyState& proxy, std::string const& target) {
  common::Moment const now = common::boot_now();
  if (target == "/-/alive") {
    return common::text_response(http::status::ok, "{\"alive\":true}");
  }
  if (target == "/-/metrics") {
    return common::text_response(http::status::ok, proxy.metrics().print() + common::invariant_metrics(),
                                 "text/plain; version=0.0.4");
  }
  std::shared_ptr<Plan const> const plan = proxy.plan();
  if (target == "/-/ready") {
    std::map<std::string, schema::Hall>::const_iterator const hall = plan->setup.halls.find(proxy.self().hall);
    bool const evacuated = hall != plan->setup.halls.end() && hall->second.evacuated;
    bool const ready = proxy.confirmed(now) && proxy.list_fresh(now) && !proxy.draining() && !evacuated;
    return ready ? common::text_response(http::status::ok, "{\"ready\":true}")
                 : common::error_response(http::status::service_unavailable, "not_ready",
                                          evacuated ? "hall evacuated" : "not vouched for, or draining");
  }
  if (target == "/-/state") {
    schema::Member member = proxy.self();
    member.incarnation = 0;  // secret: it is part of the forwarding token
    common::Tree object(schema::write(member));
    cJSON_AddStringToObject(object.get(), "region", plan->region.c_str());
    cJSON_AddBoolToObject(object.get(), "vouched", proxy.confirmed(now) ? 1 : 0);
    cJSON_AddBoolToObject(object.get(), "list_fresh", proxy.list_fresh(now) ? 1 : 0);
    for (std::string const pool : {"model", "plain"}) {
      proxy.with_placement(pool, [&](scheduling::Placement& placement) {
        cJSON* const statistics = cJSON_AddObjectToObject(object.get(), pool.c_str());
        cJSON_AddNumberToObject(statistics, "waiting", static_cast<double>(placement.waiting()));
        cJSON_AddNumberToObject(statistics, "moved", static_cast<double>(placement.moved()));
        cJSON_AddNumberToObject(statistics, "reused_tokens", static_cast<double>(placement.cached_prompt_tokens()));
        cJSON_AddNumberToObject(statistics, "placed_tokens", static_cast<double>(placement.placed_tokens()));
        return std::vector<scheduling::PlacementAction>{};
      });
    }
    return common::text_response(http::status::ok, common::print_tree(object.get(), true));
  }
  return common::error_response(http::status::not_found, "unknown_path", "alive, ready, metrics or state");
}

/// Writes a final response; false if the connection can't be used again.
bool send_response(common::Stream& stream, common::Response& response, bool keep_connection, common::Yield yield) {
  error_code error;
  response.keep_alive(keep_connection);
  stream.expires_after(common::duration(constants::write_deadline));
  http::async_write(stream, response, yield[error]);
  return !error && keep_connection;
}

/// What the header alone decides: a final response, or none if the body is to be read (section 9.2).
struct HeaderDecision {
  std::optional<common::Response> response;
  config::Serve serve;
};

HeaderDecision decide_by_header(ProxyState& proxy, Plan const& plan, http::request_header<> const& header,
                                std::size_t body_bytes, std::string const& query) {
  HeaderDecision decision;
  std::string const target(header.target());
  std::string const path = target.substr(0, target.find('?'));
  common::Moment const now = common::boot_now();
  if (proxy.draining() || !proxy.confirmed(now)) {
    decision.response = rejection_response(query, proxy.draining() ? "draining" : "not_vouched");
    return decision;
  }
  config::HeaderLookup const lookup = [&header](std::string const& name) { return std::string(header[name]); };
  config::Disposition const disposition =
      config::decide(plan.setup, plan.region, std::string(header.method_string()), path, lookup, body_bytes);
  if (config::Serve const* const serve = std::get_if<config::Serve>(&disposition)) {
    decision.serve = *serve;
  } else if (config::RedirectToHome const* const home = std::get_if<config::RedirectToHome>(&disposition)) {
    decision.response = redirect_home(plan, home->region, query, target);
  } else {
    config::RejectRequest const& rejection = std::get<config::RejectRequest>(disposition);
    decision.response =
        common::error_response(static_cast<http::status>(rejection.status), rejection.error, rejection.message);
  }
  return decision;
}
}  // namespace

void serve_caller(ProxyState& proxy, common::AcceptedStream const& connection, common::Yield yield) {
  common::Stream& stream = connection.stream;
  boost::beast::flat_buffer buffer;
  error_code error;
  while (true) {
    if (buffer.size() == 0) {  // an idle connection may wait longer than an incomplete header
      connection.admitted->set_phase(common::ConnectionPhase::idle);
      stream.expires_after(common::duration(constants::caller_idle));
      std::size_t const count = stream.async_read_some(buffer.prepare(4096), yield[error]);
      if (error) {
        return;
      }
      buffer.commit(count);
    }
    connection.admitted->set_phase(common::ConnectionPhase::receiving);
    Parser parser;
    parser.header_limit(constants::header_limit);
    parser.body_limit(boost::none);
    stream.expires_after(common::duration(constants::header_deadline));
    http::async_read_header(stream, buffer, parser, yield[error]);
    if (error == http::error::end_of_stream || error == boost::beast::error::timeout ||
        error == boost::asio::error::eof || error == boost::asio::error::connection_reset ||
        error == boost::asio::error::operation_aborted) {
      return;
    }
    if (error) {
      bool const is_too_large = error == http::error::header_limit;
      common::Response response = common::error_response(
          is_too_large ? http::status::request_header_fields_too_large : http::status::bad_request,
          is_too_large ? "too_large" : "malformed", error.message());
      (void)send_response(stream, response, false, yield);
      close_unread(stream, proxy.context(), yield);
      return;
    }
    http::request_header<> const header = parser.get();
    std::string const target(header.target());
    bool const keep_connection = parser.get().keep_alive();
    if (target.rfind("/-/", 0) == 0) {
      if (parser.content_length().value_or(0) > 0 || parser.chunked()) {
        return;
      }
      common::Response response = status_response(proxy, target);
      if (!send_response(stream, response, keep_connection, yield)) {
        return;
      }
      continue;
    }
    // A caller may send these headers, too: only a member's forwarding token makes it a forwarded query, and only a
    // forwarded query keeps its id.
    bool const claims_forwarded = !header[forwarding_token_header].empty();
    bool const forwarded = claims_forwarded && proxy.is_forwarding_token(std::string(header[forwarding_token_header]));
    std::string const query =
        forwarded ? std::string(header[query_header]) : proxy.name() + "-" + std::to_string(common::random_identity());
    std::shared_ptr<Plan const> const plan = proxy.plan();
    HeaderDecision decision = decide_by_header(proxy, *plan, header, parser.content_length().value_or(0), query);
    bool const has_body = parser.content_length().value_or(0) > 0 || parser.chunked();
    if (claims_forwarded && !forwarded) {
      decision.response = rejection_response(query, "unknown_pass");
    }
    if (!decision.response.has_value()) {
      if (!proxy.open_query(decision.serve.rule, plan->setup.rules.at(decision.serve.rule).concurrency)) {
        decision.response = rejection_response(query, "busy");
      }
    }
    if (decision.response.has_value()) {
      proxy.metrics().count("furrow_queries_total", "rule=\"" + decision.serve.rule + "\",outcome=\"" +
                                                        std::to_string(decision.response->result_int()) + "\"");
      bool const reusable = send_response(stream, *decision.response, keep_connection && !has_body, yield);
      if (!reusable) {
        if (has_body) {
          close_unread(stream, proxy.context(), yield);
        }
        return;
      }
      continue;
    }
    schema::Rule const& rule = plan->setup.rules.at(decision.serve.rule);
    if (header[http::field::expect] == "100-continue") {
      std::string const continue_line = "HTTP/1.1 100 Continue\r\n\r\n";
      boost::asio::async_write(stream, boost::asio::buffer(continue_line), yield[error]);
    }
    parser.body_limit(rule.body_limit);
    stream.expires_after(common::duration(constants::body_deadline));
    http::async_read(stream, buffer, parser, yield[error]);
    if (error) {
      proxy.close_query(decision.serve.rule);
      if (error == http::error::body_limit || error == http::error::bad_chunk ||
          error == http::error::bad_chunk_extension) {
        bool const is_too_large = error == http::error::body_limit;
        common::Response response =
            common::error_response(is_too_large ? http::status::payload_too_large : http::status::bad_request,
                                   is_too_large ? "too_large" : "malformed", error.message());
        (void)send_response(stream, response, false, yield);
        close_unread(stream, proxy.context(), yield);
      } else if (error == boost::beast::error::timeout) {
        return;  // the connection of a slow sender is closed
      }
      return;
    }
    connection.admitted->set_phase(common::ConnectionPhase::serving);
    QueryRequest request;
    request.id = query;
    request.serve = decision.serve;
    request.header = header;
    request.forwarded = forwarded;
    request.method = parser.get().method();
    request.target = target;
    request.content_type = std::string(parser.get()[http::field::content_type]);
    request.body = std::move(parser.get().body());
    request.keep_connection = keep_connection;
    bool const reusable = run_query(proxy, plan, std::move(request), stream, buffer.size() > 0, yield);
    proxy.close_query(decision.serve.rule);
    if (!reusable) {
      return;
    }
  }
}

}  // namespace finchlink::data_plane
