#pragma once

#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// Tokens for sending queries of one service to a further worker, in one proxy
/// (section 13.8). The limit holds for the sum over all proxies in any window:
/// ratio x arrivals + slack. Each arrival earns a fraction of a token; unspent
/// tokens are kept up to this proxy's equal portion of the slack, so in any window
/// no more are spent than that portion and what the window's own arrivals earned.
class RetryQuota {
 public:
  /// Sets the shared limit and the number of proxies that divide it.
  void set_limits(double ratio, double slack, double proxies);
  void arrived();
  /// Spends one token. Returns false if there is none.
  [[nodiscard]] bool take();
  [[nodiscard]] bool available() const { return tokens_ >= 1; }

 private:
  double tokens_per_arrival_ = 0;
  double capacity_ = 0;  ///< most tokens that can be saved up
  double tokens_ = 0;
  bool initialized_ = false;
};

}  // namespace finchlink::scheduling
