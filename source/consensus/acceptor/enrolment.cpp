// How a voter without data gets them from the images of others, and what it
// gives to others (design.md 5.5).

#include <algorithm>
#include <set>

#include "common/invariant/invariant.hpp"
#include "consensus/acceptor/acceptor.hpp"

namespace finchlink::consensus {

Outcome Acceptor::on(schema::ImageAsk const& message) const {
  // Only one that has the asked epoch in force may give an image: from then on
  // it takes part in no older ballot, so what it gives of older epochs is final.
  // It says up to which epoch it has what its vote stood for: one without that
  // may lack what was chosen with its place counted in (section 5.5).
  bool const complete = guards_.earlier_sets_give_images ? complete_ > 0 : complete_ > 0 && complete_ + 1 >= set_.epoch;
  if (set_.epoch != message.epoch || (!complete && guards_.image_only_if_complete)) {
    return Outcome{{}, schema::Message(refusal(Ballot{message.epoch, 0, 0}, Ballot{}))};
  }
  schema::Image image{set_.epoch, founding_.incarnation, cells_, {}, complete_, whole_};
  if (!guards_.image_only_if_complete) {
    image.complete = std::max(complete_, set_.epoch - 1);
  }
  if (!guards_.earlier_sets_give_images) {
    image.whole = 0;
  }
  image.withheld = withhold(image.cells);
  return Outcome{{}, schema::Message(image)};
}

std::vector<schema::PastVoterSet> Acceptor::sets_told_by(VoterSet const& set) const {
  return known_sets(set, guards_.earlier_sets_give_images);
}

std::optional<EpochSpan> Acceptor::span_without_data() const {
  if (blank() || voting_) {
    return std::nullopt;
  }
  std::optional<EpochSpan> const span = newest_span(sets_told_by(set_), founding_.incarnation);
  bool const wanted = span.has_value() && complete_ < span->last;
  bool const named = span.has_value() && span->last == set_.epoch;
  return wanted && (named || guards_.earlier_sets_give_images) ? span : std::nullopt;
}

std::vector<Voter> Acceptor::snapshot_sources() const {
  std::vector<schema::PastVoterSet> const sets = sets_told_by(set_);
  std::vector<Voter> sources;
  std::set<std::string> addresses{address_};
  for (std::vector<schema::PastVoterSet>::const_reverse_iterator set = sets.rbegin(); set != sets.rend(); ++set) {
    for (Voter const& voter : set->holders) {
      // The newest at an address is the one that stands there.
      if (addresses.insert(voter.address).second) {
        sources.push_back(voter);
      }
    }
  }
  return sources;
}

std::vector<schema::Image> Acceptor::usable(std::vector<schema::Image> const& images) const {
  std::vector<schema::Image> usable;
  std::optional<EpochSpan> const span = span_without_data();
  std::vector<schema::PastVoterSet> const sets = sets_told_by(set_);
  for (schema::Image const& image : images) {
    if (span.has_value() && image.epoch == set_.epoch && image_counts(image, sets, *span)) {
      usable.push_back(image);
    }
  }
  return usable;
}

bool Acceptor::snapshots_suffice(std::vector<schema::Image> const& images) const {
  std::optional<EpochSpan> const span = span_without_data();
  return span.has_value() && whole_through(usable(images), sets_told_by(set_), *span).has_value();
}

std::vector<MissingValue> Acceptor::missing(std::vector<schema::Image> const& images) const {
  struct Newest {
    Ballot accepted;
    bool here = true;
    std::string digest;
    std::vector<std::uint64_t> sources;
  };
  std::map<std::string, Newest> newest;
  for (std::pair<std::string const, schema::Cell> const& cell : cells_) {
    newest[cell.first].accepted = cell.second.accepted;
  }
  for (schema::Image const& image : usable(images)) {
    for (std::pair<std::string const, schema::Cell> const& theirs : image.cells) {
      std::map<std::string, schema::Withheld>::const_iterator const withheld = image.withheld.find(theirs.first);
      bool const here = withheld == image.withheld.end();
      Newest& entry = newest[theirs.first];
      if (before(entry.accepted, theirs.second.accepted)) {
        entry = Newest{theirs.second.accepted, here, here ? "" : withheld->second.digest, {image.incarnation}};
      } else if (entry.accepted == theirs.second.accepted) {
        entry.here = entry.here || here;
        entry.sources.push_back(image.incarnation);
      }
    }
  }
  std::vector<MissingValue> missing;
  for (std::pair<std::string const, Newest> const& entry : newest) {
    if (!entry.second.here) {
      missing.push_back(MissingValue{entry.first, entry.second.digest, entry.second.sources});
    }
  }
  return missing;
}

void insert_fetched_value(std::vector<schema::Image>& images, std::string const& name, std::string const& digest,
                          schema::Value const& value) {
  for (schema::Image& image : images) {
    std::map<std::string, schema::Withheld>::const_iterator const withheld = image.withheld.find(name);
    if (withheld != image.withheld.end() && withheld->second.digest == digest) {
      image.cells[name].value = value;
      image.withheld.erase(withheld);
    }
  }
}

void Acceptor::merge(schema::Image const& image) {
  for (std::pair<std::string const, schema::Cell> const& theirs : image.cells) {
    schema::Cell& mine = cells_[theirs.first];
    if (before(mine.promised, theirs.second.promised)) {
      promise(theirs.first, mine, theirs.second.promised);
    }
    bool const here = image.withheld.count(theirs.first) == 0 || !guards_.values_whole;
    if (before(mine.accepted, theirs.second.accepted) || (here && mine.accepted == theirs.second.accepted)) {
      accept(theirs.first, mine, theirs.second.accepted, theirs.second.value);
    }
  }
}

Outcome Acceptor::enrol(std::vector<schema::Image> const& images, common::Moment now) {
  Outcome outcome;
  // A value that was left out is no empty value: without it there is no vote.
  if (!snapshots_suffice(images) || (guards_.values_whole && !missing(images).empty())) {
    return outcome;
  }
  common::check(common::Invariant::vote_is_complete, missing(images).empty(), [&] {
    return "incarnation " + std::to_string(founding_.incarnation) + " is enrolled in epoch " +
           std::to_string(set_.epoch) + " by images that leave values out";
  });
  EpochSpan const span = *span_without_data();
  std::vector<schema::Image> const taken = usable(images);
  whole_ = *whole_through(taken, sets_told_by(set_), span);
  for (schema::Image const& image : taken) {
    merge(image);
  }
  note_inherited();
  for (std::pair<std::string const, schema::Cell> const& cell : cells_) {
    outcome.records.emplace_back(schema::CellRecord{cell.first, cell.second});
  }
  // It voted in none of the epochs that named it, so their data are all that was lacking.
  take_set(set_, span.last == set_.epoch, span.last, now, outcome);
  return outcome;
}

}  // namespace finchlink::consensus
