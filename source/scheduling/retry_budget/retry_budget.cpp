#include "scheduling/retry_budget/retry_budget.hpp"

#include <algorithm>

#include "scheduling/prefix/prefix_record.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

namespace {
constexpr common::Span slot_span = common::milliseconds(100);  // grain of the count, small beside the life
constexpr double whole = 1.0 - 1e-9;
}  // namespace

void RetryBudget::expire(common::Moment now) {
  for (Slot& slot : slots_) {
    if (slot.begins + life_ > now) {
      break;
    }
    kept_ = std::min(1.0, kept_ + slot.right);
    slot.right = 0;
  }
  while (!slots_.empty() && slots_.front().begins + constants::retry_kept_span <= now) {
    slots_.pop_front();
  }
  if (now - last_ > constants::retry_kept_life) {
    kept_ = 0;
  }
}

void RetryBudget::arrived(common::Moment now) {
  expire(now);
  if (slots_.empty() || slots_.back().begins + slot_span <= now) {
    slots_.push_back(Slot{now, 0, 0});
  }
  ++slots_.back().arrivals;
  slots_.back().right += share_;
  last_ = now;
}

bool RetryBudget::take(common::Moment now, bool keeps) {
  expire(now);
  double young = 0;
  std::uint64_t arrivals = 0;
  for (Slot const& slot : slots_) {
    young += slot.right;
    arrivals += slot.arrivals;
  }
  bool const comes = keeps && arrivals >= constants::retry_kept_arrivals;
  if (young < whole && !(comes && young + kept_ >= whole)) {
    return false;
  }
  double owed = 1.0;
  for (Slot& slot : slots_) {  // the oldest right is spent first
    double const part = std::min(slot.right, owed);
    slot.right -= part;
    owed -= part;
  }
  kept_ = std::max(0.0, kept_ - owed);
  return true;
}

bool holds_reserve_token(std::string const& service, std::string const& self, std::vector<std::string> const& proxies) {
  std::uint64_t const own = mix(hash_text(self), hash_text(service));
  std::size_t before = 0;
  for (std::string const& proxy : proxies) {
    before += proxy != self && mix(hash_text(proxy), hash_text(service)) > own ? 1 : 0;
  }
  return before < constants::retry_keepers;
}

}  // namespace finchlink::scheduling
