#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "common/constants.hpp"
#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// Retries of one service in one furrow (section 9.5). Each arrival earns a
/// small part of a retry, which dies young, so that a crowd's rights are not
/// spent on the lull behind it. Of what dies one whole right at most is kept in
/// a few furrows, for services too small to earn one in so short a time; it
/// counts only while its service still comes. There is no free minimum. Since every furrow keeps
/// to its own arrivals, the sum holds.
class RetryBudget {
 public:
  explicit RetryBudget(double share = common::constants::retry_share, common::Span life = common::constants::retry_life)
      : share_(share), life_(life) {}
  void arrived(common::Moment now);
  /// `keeps`: this furrow is one of those that may spend a kept right.
  [[nodiscard]] bool take(common::Moment now, bool keeps);

 private:
  struct Slot {
    common::Moment begins = 0;
    std::uint64_t arrivals = 0;
    double right = 0;
  };
  void expire(common::Moment now);
  double share_;
  common::Span life_;
  std::deque<Slot> slots_;
  common::Moment last_ = 0;
  double kept_ = 0;
};

/// The few furrows that may keep a right of a service, by hash over all.
[[nodiscard]] bool holds_reserve_token(std::string const& service, std::string const& self,
                                       std::vector<std::string> const& proxies);

}  // namespace finchlink::scheduling
