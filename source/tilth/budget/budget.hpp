#pragma once

#include <deque>

#include "loam/time/moment.hpp"

namespace finchlink::tilth {

/// Retries of one service in one furrow (section 9.5). Each arrival earns a
/// small part of a retry, which is lost when it grows old; there is no free
/// minimum. Since every furrow keeps to its own arrivals, the sum holds.
class Budget {
 public:
  Budget(double share, loam::Span life) : share_(share), life_(life) {}
  void arrived(loam::Moment now);
  [[nodiscard]] bool take(loam::Moment now);

 private:
  struct Slot {
    loam::Moment begins = 0;
    double right = 0;
  };
  void expire(loam::Moment now);
  double share_;
  loam::Span life_;
  std::deque<Slot> slots_;
  double sum_ = 0;
};

}  // namespace finchlink::tilth
