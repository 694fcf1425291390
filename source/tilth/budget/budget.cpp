#include "tilth/budget/budget.hpp"

#include <algorithm>

namespace finchlink::tilth {

namespace {
constexpr loam::Span slot_span = loam::milliseconds(100);  // grain of the count, small beside the life
}

void Budget::expire(loam::Moment now) {
  while (!slots_.empty() && slots_.front().begins + life_ <= now) {
    sum_ -= slots_.front().right;
    slots_.pop_front();
  }
  if (slots_.empty()) {
    sum_ = 0;
  }
}

void Budget::arrived(loam::Moment now) {
  expire(now);
  if (slots_.empty() || slots_.back().begins + slot_span <= now) {
    slots_.push_back(Slot{now, 0});
  }
  slots_.back().right += share_;
  sum_ += share_;
}

bool Budget::take(loam::Moment now) {
  expire(now);
  if (sum_ < 1.0 - 1e-9) {
    return false;
  }
  double owed = 1.0;
  for (Slot& slot : slots_) {  // the oldest right is spent first
    double const part = std::min(slot.right, owed);
    slot.right -= part;
    owed -= part;
  }
  sum_ -= 1.0;
  return true;
}

}  // namespace finchlink::tilth
