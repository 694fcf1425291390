#include "hedge/listing/listing.hpp"

#include <algorithm>

#include "loam/constants.hpp"
#include "loam/digest/digest.hpp"

namespace finchlink::hedge {

std::uint64_t digest_of(schema::PlatformList const& list) {
  loam::Digest digest;
  digest.add(list.revision);
  for (schema::WorkerEntry const& worker : list.workers) {
    digest.add(worker.id).add(worker.address).add(worker.zone).add(worker.kind).add(worker.service).add(worker.capacity);
    digest.add((worker.draining ? 1u : 0u) + (worker.cold_ms > 0 ? 2u : 0u) + (worker.left_ms > 0 ? 4u : 0u));
    for (std::pair<std::string const, std::string> const& label : worker.labels) {
      digest.add(label.first).add(label.second);
    }
  }
  return digest.short_value();
}

bool Listing::keep(schema::PlatformList const& list, loam::Moment as_of, loam::Moment now) {
  if (as_of <= as_of_) {
    return false;
  }
  if (list.revision > 0 && list.revision < list_.revision) {
    back_since_ = back_since_ == 0 ? now : back_since_;
    if (now - back_since_ < loam::constants::list_back_span) {
      return false;
    }
  }
  back_since_ = 0;
  list_ = list;
  digest_ = digest_of(list_);
  as_of_ = as_of;
  return true;
}

void Listing::renew(loam::Moment as_of) {
  if (as_of <= as_of_) {
    return;
  }
  // At least one is left: that it reached zero is for the list itself to say.
  std::uint64_t const passed = static_cast<std::uint64_t>(as_of - as_of_) / 1000;
  for (schema::WorkerEntry& worker : list_.workers) {
    worker.cold_ms = worker.cold_ms > 0 ? worker.cold_ms - std::min(worker.cold_ms - 1, passed) : 0;
    worker.left_ms = worker.left_ms > 0 ? worker.left_ms - std::min(worker.left_ms - 1, passed) : 0;
  }
  as_of_ = as_of;
}

}  // namespace finchlink::hedge
