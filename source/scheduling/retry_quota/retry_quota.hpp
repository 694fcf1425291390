#pragma once

#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// Rights to send queries of one service to a further worker, in one furrow
/// (section 13.8). The bound holds for the sum over all furrows in any window:
/// ratio x arrivals + slack. Each arrival earns its part; what is not spent is
/// kept up to this furrow's even part of the slack, so in any window no more
/// goes out than that part and what the window's own arrivals earned.
class RetryQuota {
 public:
  void bound(double ratio, double slack, double proxies);
  void arrived();
  [[nodiscard]] bool take();
  [[nodiscard]] bool available() const { return retry_quota_ >= 1; }

 private:
  double earned_ = 0;
  double most_ = 0;
  double retry_quota_ = 0;
  bool begun_ = false;
};

}  // namespace finchlink::scheduling
