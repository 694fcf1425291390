#pragma once

#include <string>

#include "common/http/http.hpp"
#include "scheduling/plan/plan.hpp"

namespace finchlink::data_plane {

/// A no that is certain: nothing ran. Always says when to come back (9.3).
[[nodiscard]] common::Answer refusal(std::string const& query, std::string const& reason, double expected_seconds = 0);
/// A failed query that may have run; it too says when to come back.
[[nodiscard]] common::Answer apology(std::string const& query, int status, std::string const& reason,
                                     bool may_have_run);
[[nodiscard]] common::Answer elsewhere(std::string const& location);
/// 307 to a furrow of the query's home, or a refusal when none is known.
[[nodiscard]] common::Answer send_home(scheduling::Plan const& plan, std::string const& region,
                                       std::string const& query, std::string const& target);

/// Ends the connection after an answer to a query whose body was not read:
/// nothing of it is read on, and the caller gets time to take the answer.
void part_unread(common::Stream& stream, boost::asio::io_context& context, common::Yield yield);

}  // namespace finchlink::data_plane
