#include "consensus/voter_history/voter_history.hpp"

#include <algorithm>
#include <set>

namespace finchlink::consensus {

namespace {

/// The images of an epoch are asked for when all sets but the last are over.
bool over(schema::PastVoterSet const& set, std::vector<schema::PastVoterSet> const& sets) {
  return set.epoch < sets.back().epoch;
}

bool gives_for(schema::Image const& image, schema::PastVoterSet const& set) {
  return image.complete >= set.epoch && names(set.holders, image.incarnation);
}

std::size_t count_givers(std::vector<schema::Image> const& images, schema::PastVoterSet const& set) {
  std::set<std::uint64_t> givers;
  for (schema::Image const& image : images) {
    if (gives_for(image, set)) {
      givers.insert(image.incarnation);
    }
  }
  return givers.size();
}

}  // namespace

std::vector<schema::PastVoterSet> known_sets(VoterSet const& set, bool earlier) {
  std::vector<schema::PastVoterSet> sets;
  if (earlier) {
    sets = set.earlier;
  }
  if (set.epoch > 1) {
    sets.push_back(schema::PastVoterSet{set.epoch - 1, set.previous});
  }
  sets.push_back(schema::PastVoterSet{set.epoch, set.holders});
  return sets;
}

std::optional<EpochSpan> newest_span(std::vector<schema::PastVoterSet> const& sets, std::uint64_t incarnation) {
  std::optional<EpochSpan> span;
  for (std::vector<schema::PastVoterSet>::const_reverse_iterator set = sets.rbegin(); set != sets.rend(); ++set) {
    if (names(set->holders, incarnation)) {
      span = span.has_value() ? EpochSpan{set->epoch, span->last} : EpochSpan{set->epoch, set->epoch};
    } else if (span.has_value()) {
      break;
    }
  }
  return span;
}

bool image_counts(schema::Image const& image, std::vector<schema::PastVoterSet> const& sets, EpochSpan const& span) {
  if (image.whole + 1 >= span.first && image.whole > 0) {
    return true;
  }
  return std::any_of(sets.begin(), sets.end(), [&](schema::PastVoterSet const& set) {
    return set.epoch + 1 >= span.first && over(set, sets) && gives_for(image, set);
  });
}

std::optional<std::uint64_t> whole_through(std::vector<schema::Image> const& images,
                                           std::vector<schema::PastVoterSet> const& sets, EpochSpan const& span) {
  std::uint64_t whole = 0;
  for (schema::Image const& image : images) {
    whole = std::max(whole, image.whole);
  }
  for (schema::PastVoterSet const& set : sets) {
    if (over(set, sets) && count_givers(images, set) >= read_quorum(set.holders.size())) {
      whole = std::max(whole, set.epoch);
    }
  }
  return whole > 0 && whole + 1 >= span.first ? std::optional<std::uint64_t>(whole) : std::nullopt;
}

}  // namespace finchlink::consensus
