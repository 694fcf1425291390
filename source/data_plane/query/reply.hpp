#pragma once

#include <string>

#include "common/http/http.hpp"
#include "scheduling/plan/plan.hpp"

namespace finchlink::data_plane {

/// A rejection (503): nothing ran. Always has Retry-After (9.3), from the expected wait.
[[nodiscard]] common::Response rejection_response(std::string const& query, std::string const& reason,
                                                  double expected_seconds = 0);
/// The response to a failed query that may have run; it has Retry-After, too.
[[nodiscard]] common::Response failure_response(std::string const& query, int status, std::string const& reason,
                                                bool may_have_run);
/// 307 to `location`.
[[nodiscard]] common::Response redirect_response(std::string const& location);
/// 307 to a proxy of the query's home region, or a rejection if none is known.
[[nodiscard]] common::Response redirect_home(scheduling::Plan const& plan, std::string const& region,
                                             std::string const& query, std::string const& target);

/// Closes the connection after a response to a query whose body wasn't read: the rest of the body stays unread, and the
/// caller gets time to read the response.
void close_unread(common::Stream& stream, boost::asio::io_context& context, common::Yield yield);

}  // namespace finchlink::data_plane
