#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include "common/invariant/invariant.hpp"

namespace finchlink::common {

/// The log text of a violation.
[[nodiscard]] std::string describe(InvariantViolation const& violation);
/// Logs the violations that were kept since the last call.
void log_violations();
/// Logs violations every `invariant_log_pause` while the context runs.
void log_violations_periodically(boost::asio::io_context& context);

}  // namespace finchlink::common
