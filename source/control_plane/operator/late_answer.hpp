#pragma once

#include "common/constants.hpp"
#include "common/http/http.hpp"
#include "common/time/moment.hpp"

namespace finchlink::control_plane {

/// The longest that a call to an operator's path takes unless the process stood still: a look at what became of a
/// change waits out the change's deadline and then changes the register itself, and a yes waits until it is in
/// force everywhere (sections 4.1 and 5.7).
[[nodiscard]] inline common::Span longest_call(common::Span acknowledge_wait) {
  return 2 * common::constants::change_deadline + acknowledge_wait;
}

/// The answer to a call that took `span`. A process that was frozen in the middle of a call may hold a yes, a
/// refusal or a reading that was true before the freeze, while others have since heard and changed more through
/// other trellises: it is left without a clear answer, since what is now true was not asked (section 4.2).
[[nodiscard]] inline common::Answer unless_late(common::Answer answer, common::http::verb verb, common::Span span,
                                                common::Span acknowledge_wait) {
  if (span <= longest_call(acknowledge_wait)) {
    return answer;
  }
  bool const reading = verb == common::http::verb::get || verb == common::http::verb::head;
  return common::answer_error(
      reading ? common::http::status::service_unavailable : common::http::status::gateway_timeout,
      reading ? "late" : "unknown", "this process stood still meanwhile; send the same again");
}

}  // namespace finchlink::control_plane
