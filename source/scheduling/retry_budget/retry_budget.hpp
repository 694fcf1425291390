#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "common/constants.hpp"
#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// Retry budget of one service in one proxy (section 9.5). Each arrival earns a
/// fraction of a retry token. Unused fractions expire quickly, so that a burst of
/// requests doesn't pay for retries in the lull after it. Of what expires, at most
/// one whole token is kept in reserve in a few proxies, for services too small to
/// earn one within the short lifetime; it counts only while the service still has
/// arrivals. There is no free minimum. Since every proxy limits its retries by its
/// own arrivals, the limit also holds for the sum over all proxies.
class RetryBudget {
 public:
  explicit RetryBudget(double share = common::constants::retry_share,
                       common::Span life = common::constants::retry_token_lifetime)
      : share_(share), token_life_(life) {}
  void arrived(common::Moment now);
  /// Takes one token, if there is one. `may_use_reserve`: this proxy is one of those that may spend the reserve.
  [[nodiscard]] bool take(common::Moment now, bool may_use_reserve);

 private:
  /// Arrivals of a short interval and the unspent tokens that they earned.
  struct Slot {
    common::Moment begins = 0;
    std::uint64_t arrivals = 0;
    double tokens = 0;
  };
  void expire(common::Moment now);
  double share_;  ///< tokens earned per arrival
  common::Span token_life_;
  std::deque<Slot> slots_;
  common::Moment last_arrival_ = 0;
  double reserve_ = 0;  ///< at most one token
};

/// Whether the proxy `self` is one of the few that may keep a reserve token of the service, by hash over all proxies.
[[nodiscard]] bool holds_reserve_token(std::string const& service, std::string const& self,
                                       std::vector<std::string> const& proxies);

}  // namespace finchlink::scheduling
