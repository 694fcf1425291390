#pragma once

#include "common/constants.hpp"
#include "common/http/http.hpp"
#include "common/time/moment.hpp"

namespace finchlink::control_plane {

/// The longest that an operator's call takes unless the process was frozen: a query for a change's outcome waits for
/// the change's deadline and then changes the register itself, and an acknowledgement waits until the change is in
/// force everywhere (sections 4.1 and 5.7).
[[nodiscard]] inline common::Span longest_call(common::Span acknowledge_wait) {
  return 2 * common::constants::change_deadline + acknowledge_wait;
}

/// Returns the answer to a call that took `span`, or an error without an outcome if that was too long. A process that
/// was frozen during a call may hold an acknowledgement, a rejection or a read from before the freeze, while other
/// operators have made changes through other controllers since: that answer may no longer be true (section 4.2).
[[nodiscard]] inline common::Response unless_late(common::Response answer, common::http::verb verb, common::Span span,
                                                  common::Span acknowledge_wait) {
  if (span <= longest_call(acknowledge_wait)) {
    return answer;
  }
  bool const is_read = verb == common::http::verb::get || verb == common::http::verb::head;
  return common::error_response(
      is_read ? common::http::status::service_unavailable : common::http::status::gateway_timeout,
      is_read ? "late" : "unknown", "this process stood still meanwhile; send the same again");
}

}  // namespace finchlink::control_plane
