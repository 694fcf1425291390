#include "hedge/listing/listing.hpp"

#include "loam/constants.hpp"

namespace finchlink::hedge {

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
  as_of_ = as_of;
  return true;
}

}  // namespace finchlink::hedge
