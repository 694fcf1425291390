#include "data_plane/query/reply.hpp"

#include "common/constants.hpp"
#include "common/json/tree.hpp"
#include "common/random/random.hpp"
#include "config/label/selector.hpp"
#include "data_plane/worker/contract.hpp"

namespace finchlink::data_plane {

namespace http = common::http;

namespace {
common::Answer build(http::status status, std::string const& query, std::string const& error, bool may_have_run) {
  common::Tree object(cJSON_CreateObject());
  cJSON_AddStringToObject(object.get(), "error", error.c_str());
  cJSON_AddStringToObject(object.get(), "query", query.c_str());
  cJSON_AddBoolToObject(object.get(), "may_have_run", may_have_run ? 1 : 0);
  common::Answer answer = common::answer_text(status, common::print_tree(object.get()));
  answer.set(query_header, query);
  answer.set(ran_header, may_have_run ? "yes" : "no");
  return answer;
}
void tell_when(common::Answer& answer, double expected_seconds) {
  double const draw = static_cast<double>(common::random_number() % 1000000) / 1e6;
  answer.set(http::field::retry_after, std::to_string(scheduling::retry_after_with_jitter(expected_seconds, draw)));
}
}  // namespace

common::Answer refusal(std::string const& query, std::string const& reason, double expected_seconds) {
  common::Answer answer = build(http::status::service_unavailable, query, reason, false);
  tell_when(answer, expected_seconds);
  return answer;
}

common::Answer apology(std::string const& query, int status, std::string const& reason, bool may_have_run) {
  common::Answer answer = build(static_cast<http::status>(status), query, reason, may_have_run);
  tell_when(answer, 0);
  return answer;
}

common::Answer elsewhere(std::string const& location) {
  common::Answer answer =
      common::answer_error(http::status::temporary_redirect, "elsewhere", "this query's home is another region");
  answer.set(http::field::location, location);
  return answer;
}

common::Answer send_home(scheduling::Plan const& plan, std::string const& region, std::string const& query,
                         std::string const& target) {
  std::vector<std::string> addresses;
  for (schema::Member const& member : plan.members) {
    if (config::region_of(plan.setup, member.hall) == region) {
      addresses.push_back(member.address);
    }
  }
  return addresses.empty() ? refusal(query, "home_unreachable")
                           : elsewhere("http://" + addresses[common::random_number() % addresses.size()] + target);
}

void part_unread(common::Stream& stream, boost::asio::io_context& context, common::Yield yield) {
  boost::system::error_code error;
  stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
  common::pause(context, common::constants::parting_span, yield);
}

}  // namespace finchlink::data_plane
