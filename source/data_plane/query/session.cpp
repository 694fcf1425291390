#include "data_plane/query/session.hpp"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <limits>

#include "common/constants.hpp"
#include "common/http/http.hpp"
#include "common/http/request_reader.hpp"
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

/// Rejects a request that could not be read whole; the caller of one that was too slow, or is gone, gets no response.
void reject_unread(common::Stream& stream, common::ReadOutcome outcome, boost::asio::io_context& context,
                   common::Yield yield) {
  std::optional<common::Response> response = common::failed_read_response(outcome);
  if (response.has_value()) {
    (void)send_response(stream, *response, false, yield);
    close_unread(stream, context, yield);
  }
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
    common::RequestReader<common::Stream> reader(
        stream, buffer, connection.admitted,
        common::RequestLimits{constants::header_limit, std::numeric_limits<std::size_t>::max()});
    common::RequestParser& parser = reader.parser();
    stream.expires_after(common::duration(constants::header_deadline));
    common::ReadOutcome const header_outcome = reader.read_header(yield);
    if (header_outcome != common::ReadOutcome::complete) {
      reject_unread(stream, header_outcome, proxy.context(), yield);
      return;
    }
    http::request_header<> const header = parser.header();
    std::string const target(header.target());
    bool const keep_connection = parser.keep_alive();
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
    reader.assembly().set_body_limit(rule.body_limit);
    stream.expires_after(common::duration(constants::body_deadline));
    common::ReadOutcome const body_outcome = reader.read_body(yield);
    if (body_outcome != common::ReadOutcome::complete) {
      proxy.close_query(decision.serve.rule);
      reject_unread(stream, body_outcome, proxy.context(), yield);
      return;
    }
    connection.admitted->set_phase(common::ConnectionPhase::serving);
    QueryRequest request;
    request.id = query;
    request.serve = decision.serve;
    request.header = header;
    request.forwarded = forwarded;
    request.method = header.method();
    request.target = target;
    request.content_type = std::string(header[http::field::content_type]);
    request.body = std::move(parser.body());
    request.keep_connection = keep_connection;
    bool const reusable = run_query(proxy, plan, std::move(request), stream, buffer.size() > 0, yield);
    proxy.close_query(decision.serve.rule);
    if (!reusable) {
      return;
    }
  }
}

}  // namespace finchlink::data_plane
