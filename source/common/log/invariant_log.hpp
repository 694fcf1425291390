#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include "common/invariant/invariant.hpp"

namespace finchlink::common {

/// What the log says of a violation.
[[nodiscard]] std::string describe(InvariantViolation const& violation);
/// Writes the violations that were kept since the last call to the log.
void note_violations();
/// Writes violations to the log every `invariant_log_pause`, for as long as the context runs.
void note_violations_while_running(boost::asio::io_context& context);

}  // namespace finchlink::common
