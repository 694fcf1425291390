#pragma once

#include <string>

#include "loam/http/http.hpp"
#include "tilth/plan/plan.hpp"

namespace finchlink::furrow {

/// A no that is certain: nothing ran. Always says when to come back (9.3).
[[nodiscard]] loam::Answer refusal(std::string const& query, std::string const& reason, double expected_seconds = 0);
/// A failed query that may have run; it too says when to come back.
[[nodiscard]] loam::Answer apology(std::string const& query, int status, std::string const& reason, bool may_have_run);
[[nodiscard]] loam::Answer elsewhere(std::string const& location);
/// 307 to a furrow of the query's home, or a refusal when none is known.
[[nodiscard]] loam::Answer send_home(tilth::Plan const& plan, std::string const& region, std::string const& query,
                                     std::string const& target);

/// Ends the connection after an answer to a query whose body was not read:
/// nothing of it is read on, and the caller gets time to take the answer.
void part_unread(loam::Stream& stream, boost::asio::io_context& context, loam::Yield yield);

}  // namespace finchlink::furrow
