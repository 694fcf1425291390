#include "data_plane/query/reply.hpp"

#include "common/constants.hpp"
#include "common/json/tree.hpp"
#include "common/random/random.hpp"
#include "config/label/selector.hpp"
#include "data_plane/worker/contract.hpp"

namespace finchlink::data_plane {

namespace http = common::http;

namespace {
common::Response error_response(http::status status, std::string const& query, std::string const& error,
                                bool may_have_run) {
  common::Tree object(cJSON_CreateObject());
  cJSON_AddStringToObject(object.get(), "error", error.c_str());
  cJSON_AddStringToObject(object.get(), "query", query.c_str());
  cJSON_AddBoolToObject(object.get(), "may_have_run", may_have_run ? 1 : 0);
  common::Response response = common::text_response(status, common::print_tree(object.get()));
  response.set(query_header, query);
  response.set(may_have_run_header, may_have_run ? "yes" : "no");
  return response;
}
void set_retry_after(common::Response& response, double expected_seconds) {
  double const jitter = static_cast<double>(common::random_number() % 1000000) / 1e6;
  response.set(http::field::retry_after, std::to_string(scheduling::retry_after_with_jitter(expected_seconds, jitter)));
}
}  // namespace

common::Response rejection_response(std::string const& query, std::string const& reason, double expected_seconds) {
  common::Response response = error_response(http::status::service_unavailable, query, reason, false);
  set_retry_after(response, expected_seconds);
  return response;
}

common::Response failure_response(std::string const& query, int status, std::string const& reason, bool may_have_run) {
  common::Response response = error_response(static_cast<http::status>(status), query, reason, may_have_run);
  set_retry_after(response, 0);
  return response;
}

common::Response redirect_response(std::string const& location) {
  common::Response response =
      common::error_response(http::status::temporary_redirect, "elsewhere", "this query's home is another region");
  response.set(http::field::location, location);
  return response;
}

common::Response redirect_home(scheduling::Plan const& plan, std::string const& region, std::string const& query,
                               std::string const& target) {
  std::vector<std::string> addresses;
  for (schema::Member const& member : plan.members) {
    if (config::region_of(plan.setup, member.hall) == region) {
      addresses.push_back(member.address);
    }
  }
  return addresses.empty()
             ? rejection_response(query, "home_unreachable")
             : redirect_response("http://" + addresses[common::random_number() % addresses.size()] + target);
}

void close_unread(common::Stream& stream, boost::asio::io_context& context, common::Yield yield) {
  boost::system::error_code error;
  stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
  common::pause(context, common::constants::lingering_close_timeout, yield);
}

}  // namespace finchlink::data_plane
