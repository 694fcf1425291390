#include "scheduling/retry_budget/retry_budget.hpp"

#include <algorithm>

#include "scheduling/prefix/prefix_record.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

namespace {
// Resolution of the count, small compared with the token lifetime.
constexpr common::Span slot_span = common::milliseconds(100);
constexpr double one_token = 1.0 - 1e-9;  // tolerates rounding of summed fractions
}  // namespace

void RetryBudget::expire(common::Moment now) {
  for (Slot& slot : slots_) {
    if (slot.begins + token_life_ > now) {
      break;
    }
    reserve_ = std::min(1.0, reserve_ + slot.tokens);
    slot.tokens = 0;
  }
  while (!slots_.empty() && slots_.front().begins + constants::reserve_token_window <= now) {
    slots_.pop_front();
  }
  if (now - last_arrival_ > constants::reserve_token_lifetime) {
    reserve_ = 0;
  }
}

void RetryBudget::arrived(common::Moment now) {
  expire(now);
  if (slots_.empty() || slots_.back().begins + slot_span <= now) {
    slots_.push_back(Slot{now, 0, 0});
  }
  ++slots_.back().arrivals;
  slots_.back().tokens += share_;
  last_arrival_ = now;
}

bool RetryBudget::take(common::Moment now, bool may_use_reserve) {
  expire(now);
  double unexpired = 0;
  std::uint64_t arrivals = 0;
  for (Slot const& slot : slots_) {
    unexpired += slot.tokens;
    arrivals += slot.arrivals;
  }
  bool const reserve_usable = may_use_reserve && arrivals >= constants::reserve_token_arrivals;
  if (unexpired < one_token && !(reserve_usable && unexpired + reserve_ >= one_token)) {
    return false;
  }
  double needed = 1.0;
  for (Slot& slot : slots_) {  // oldest tokens first
    double const part = std::min(slot.tokens, needed);
    slot.tokens -= part;
    needed -= part;
  }
  reserve_ = std::max(0.0, reserve_ - needed);
  return true;
}

bool holds_reserve_token(std::string const& service, std::string const& self, std::vector<std::string> const& proxies) {
  std::uint64_t const own = mix(hash_text(self), hash_text(service));
  std::size_t before = 0;
  for (std::string const& proxy : proxies) {
    before += proxy != self && mix(hash_text(proxy), hash_text(service)) > own ? 1 : 0;
  }
  return before < constants::max_reserve_token_holders;
}

}  // namespace finchlink::scheduling
