#include "furrow/query/reply.hpp"

#include "config/label/selector.hpp"
#include "furrow/worker/contract.hpp"
#include "loam/constants.hpp"
#include "loam/json/tree.hpp"
#include "loam/random/random.hpp"

namespace finchlink::furrow {

namespace http = loam::http;

namespace {
loam::Answer build(http::status status, std::string const& query, std::string const& error, bool may_have_run) {
  loam::Tree object(cJSON_CreateObject());
  cJSON_AddStringToObject(object.get(), "error", error.c_str());
  cJSON_AddStringToObject(object.get(), "query", query.c_str());
  cJSON_AddBoolToObject(object.get(), "may_have_run", may_have_run ? 1 : 0);
  loam::Answer answer = loam::answer_text(status, loam::print_tree(object.get()));
  answer.set(query_header, query);
  answer.set(ran_header, may_have_run ? "yes" : "no");
  return answer;
}
void tell_when(loam::Answer& answer, double expected_seconds) {
  double const draw = static_cast<double>(loam::random_number() % 1000000) / 1e6;
  answer.set(http::field::retry_after, std::to_string(tilth::come_back_after(expected_seconds, draw)));
}
}  // namespace

loam::Answer refusal(std::string const& query, std::string const& reason, double expected_seconds) {
  loam::Answer answer = build(http::status::service_unavailable, query, reason, false);
  tell_when(answer, expected_seconds);
  return answer;
}

loam::Answer apology(std::string const& query, int status, std::string const& reason, bool may_have_run) {
  loam::Answer answer = build(static_cast<http::status>(status), query, reason, may_have_run);
  tell_when(answer, 0);
  return answer;
}

loam::Answer elsewhere(std::string const& location) {
  loam::Answer answer =
      loam::answer_error(http::status::temporary_redirect, "elsewhere", "this query's home is another region");
  answer.set(http::field::location, location);
  return answer;
}

loam::Answer send_home(tilth::Plan const& plan, std::string const& region, std::string const& query,
                       std::string const& target) {
  std::vector<std::string> addresses;
  for (schema::Member const& member : plan.members) {
    if (config::region_of(plan.setup, member.hall) == region) {
      addresses.push_back(member.address);
    }
  }
  return addresses.empty() ? refusal(query, "home_unreachable")
                           : elsewhere("http://" + addresses[loam::random_number() % addresses.size()] + target);
}

void part_unread(loam::Stream& stream, boost::asio::io_context& context, loam::Yield yield) {
  boost::system::error_code error;
  stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
  loam::pause(context, loam::constants::parting_span, yield);
}

}  // namespace finchlink::furrow
