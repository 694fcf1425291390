#include "common/net/growing_text.hpp"

#include <algorithm>

#include "common/admission/admission_constants.hpp"

namespace finchlink::common {

namespace {
/// A string's own reserve() would take up to twice what was asked for.
void reserve_exactly(std::string& text, std::size_t capacity) {
  std::string moved;
  moved.reserve(capacity);
  moved.append(text);
  text.swap(moved);
}
}  // namespace

bool grow(std::string& text, TextGrowth const& growth, MemoryReservation& memory, boost::asio::yield_context yield) {
  if (growth.needed <= text.capacity()) {
    return true;
  }
  std::size_t const doubled = std::max(2 * text.capacity(), constants::first_text_bytes);
  std::size_t const capacity = std::min(std::max(growth.needed, doubled), std::max(growth.needed, growth.most));
  if (capacity > growth.free) {
    // While the text moves it is held twice.
    if (!memory.obtain(growth.beside + text.capacity() + capacity, yield)) {
      return false;
    }
  }
  reserve_exactly(text, capacity);
  return capacity <= growth.free || memory.resize(growth.beside + text.capacity());
}

}  // namespace finchlink::common
