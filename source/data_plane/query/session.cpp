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
common::Answer own_answer(ProxyState& field, std::string const& target) {
  common::Moment const now = common::boot_now();
  if (target == "/-/alive") {
    return common::answer_text(http::status::ok, "{\"alive\":true}");
  }
  if (target == "/-/metrics") {
    return common::answer_text(http::status::ok, field.metrics().print() + common::invariant_metrics(),
                               "text/plain; version=0.0.4");
  }
  std::shared_ptr<Plan const> const plan = field.plan();
  if (target == "/-/ready") {
    std::map<std::string, schema::Hall>::const_iterator const hall = plan->setup.halls.find(field.self().hall);
    bool const evacuated = hall != plan->setup.halls.end() && hall->second.evacuated;
    bool const ready = field.confirmed(now) && field.list_fresh(now) && !field.draining() && !evacuated;
    return ready ? common::answer_text(http::status::ok, "{\"ready\":true}")
                 : common::answer_error(http::status::service_unavailable, "not_ready",
                                        evacuated ? "hall evacuated" : "not vouched for, or draining");
  }
  if (target == "/-/state") {
    schema::Member shown = field.self();
    shown.incarnation = 0;  // it is the word that makes a pass
    common::Tree object(schema::write(shown));
    cJSON_AddStringToObject(object.get(), "region", plan->region.c_str());
    cJSON_AddBoolToObject(object.get(), "vouched", field.confirmed(now) ? 1 : 0);
    cJSON_AddBoolToObject(object.get(), "list_fresh", field.list_fresh(now) ? 1 : 0);
    for (std::string const pool : {"model", "plain"}) {
      field.with(pool, [&](scheduling::Placement& placement) {
        cJSON* const part = cJSON_AddObjectToObject(object.get(), pool.c_str());
        cJSON_AddNumberToObject(part, "waiting", static_cast<double>(placement.waiting()));
        cJSON_AddNumberToObject(part, "moved", static_cast<double>(placement.moved()));
        cJSON_AddNumberToObject(part, "reused_tokens", static_cast<double>(placement.cached_prompt_tokens()));
        cJSON_AddNumberToObject(part, "placed_tokens", static_cast<double>(placement.placed_tokens()));
        return std::vector<scheduling::PlacementAction>{};
      });
    }
    return common::answer_text(http::status::ok, common::print_tree(object.get(), true));
  }
  return common::answer_error(http::status::not_found, "unknown_path", "alive, ready, metrics or state");
}

/// Writes a final answer; false when the connection is of no more use.
bool send(common::Stream& stream, common::Answer& answer, bool keep, common::Yield yield) {
  error_code error;
  answer.keep_alive(keep);
  stream.expires_after(common::duration(constants::write_deadline));
  http::async_write(stream, answer, yield[error]);
  return !error && keep;
}

/// What the header alone decides: an answer now, or nothing when the body may
/// be read (section 9.2).
struct Verdict {
  std::optional<common::Answer> answer;
  config::Serve serve;
};

Verdict judge_header(ProxyState& field, Plan const& plan, http::request_header<> const& header, std::size_t body_bytes,
                     std::string const& query) {
  Verdict verdict;
  std::string const target(header.target());
  std::string const path = target.substr(0, target.find('?'));
  common::Moment const now = common::boot_now();
  if (field.draining() || !field.confirmed(now)) {
    verdict.answer = refusal(query, field.draining() ? "draining" : "not_vouched");
    return verdict;
  }
  config::HeaderLookup const lookup = [&header](std::string const& name) { return std::string(header[name]); };
  config::Disposition const disposition =
      config::decide(plan.setup, plan.region, std::string(header.method_string()), path, lookup, body_bytes);
  if (config::Serve const* const serve = std::get_if<config::Serve>(&disposition)) {
    verdict.serve = *serve;
  } else if (config::RedirectToHome const* const home = std::get_if<config::RedirectToHome>(&disposition)) {
    verdict.answer = send_home(plan, home->region, query, target);
  } else {
    config::RejectRequest const& away = std::get<config::RejectRequest>(disposition);
    verdict.answer = common::answer_error(static_cast<http::status>(away.status), away.error, away.message);
  }
  return verdict;
}
}  // namespace

void serve_caller(ProxyState& field, common::Stream& stream, common::Yield yield) {
  boost::beast::flat_buffer buffer;
  error_code error;
  while (true) {
    if (buffer.size() == 0) {  // an idle connection may wait, a begun header may not
      stream.expires_after(common::duration(constants::caller_idle));
      std::size_t const count = stream.async_read_some(buffer.prepare(4096), yield[error]);
      if (error) {
        return;
      }
      buffer.commit(count);
    }
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
      bool const large = error == http::error::header_limit;
      common::Answer answer =
          common::answer_error(large ? http::status::request_header_fields_too_large : http::status::bad_request,
                               large ? "too_large" : "malformed", error.message());
      (void)send(stream, answer, false, yield);
      part_unread(stream, field.context(), yield);
      return;
    }
    http::request_header<> const header = parser.get();
    std::string const target(header.target());
    bool const keep = parser.get().keep_alive();
    if (target.rfind("/-/", 0) == 0) {
      if (parser.content_length().value_or(0) > 0 || parser.chunked()) {
        return;
      }
      common::Answer answer = own_answer(field, target);
      if (!send(stream, answer, keep, yield)) {
        return;
      }
      continue;
    }
    // A caller may write our headers as well: only a member's word makes it a
    // pass, and only a pass names its query.
    bool const claimed = !header[pass_header].empty();
    bool const passed = claimed && field.knows_pass(std::string(header[pass_header]));
    std::string const query =
        passed ? std::string(header[query_header]) : field.name() + "-" + std::to_string(common::random_identity());
    std::shared_ptr<Plan const> const plan = field.plan();
    Verdict verdict = judge_header(field, *plan, header, parser.content_length().value_or(0), query);
    bool const has_body = parser.content_length().value_or(0) > 0 || parser.chunked();
    if (claimed && !passed) {
      verdict.answer = refusal(query, "unknown_pass");
    }
    if (!verdict.answer.has_value()) {
      if (!field.open_query(verdict.serve.rule, plan->setup.rules.at(verdict.serve.rule).concurrency)) {
        verdict.answer = refusal(query, "busy");
      }
    }
    if (verdict.answer.has_value()) {
      field.metrics().count("furrow_queries_total", "rule=\"" + verdict.serve.rule + "\",outcome=\"" +
                                                        std::to_string(verdict.answer->result_int()) + "\"");
      bool const again = send(stream, *verdict.answer, keep && !has_body, yield);
      if (!again) {
        if (has_body) {
          part_unread(stream, field.context(), yield);
        }
        return;
      }
      continue;
    }
    schema::Rule const& rule = plan->setup.rules.at(verdict.serve.rule);
    if (header[http::field::expect] == "100-continue") {
      std::string const go_on = "HTTP/1.1 100 Continue\r\n\r\n";
      boost::asio::async_write(stream, boost::asio::buffer(go_on), yield[error]);
    }
    parser.body_limit(rule.body_limit);
    stream.expires_after(common::duration(constants::body_deadline));
    http::async_read(stream, buffer, parser, yield[error]);
    if (error) {
      field.close_query(verdict.serve.rule);
      if (error == http::error::body_limit || error == http::error::bad_chunk ||
          error == http::error::bad_chunk_extension) {
        bool const large = error == http::error::body_limit;
        common::Answer answer =
            common::answer_error(large ? http::status::payload_too_large : http::status::bad_request,
                                 large ? "too_large" : "malformed", error.message());
        (void)send(stream, answer, false, yield);
        part_unread(stream, field.context(), yield);
      } else if (error == boost::beast::error::timeout) {
        return;  // a slow sender is cut
      }
      return;
    }
    QueryFacts facts;
    facts.id = query;
    facts.serve = verdict.serve;
    facts.header = header;
    facts.passed = passed;
    facts.method = parser.get().method();
    facts.target = target;
    facts.content_type = std::string(parser.get()[http::field::content_type]);
    facts.body = std::move(parser.get().body());
    facts.keep = keep;
    bool const again = run_query(field, plan, std::move(facts), stream, buffer.size() > 0, yield);
    field.close_query(verdict.serve.rule);
    if (!again) {
      return;
    }
  }
}

}  // namespace finchlink::data_plane
