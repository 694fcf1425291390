#include "hedge/repair/repair.hpp"

#include "loam/constants.hpp"
#include "loam/json/tree.hpp"
#include "rootstock/ballot/ballot.hpp"

namespace finchlink::hedge {

std::optional<schema::HolderSet> plan_repair(schema::HolderSet const& set, std::map<std::uint64_t, int> const& misses,
                                             std::vector<schema::TrellisEntry> const& trellises) {
  // Only from a majority that answers and votes: a change that needs a holder
  // still without its image would leave too few.
  std::size_t voting = 0;
  schema::HolderEntry const* lost = nullptr;
  for (schema::HolderEntry const& entry : set.holders) {
    std::map<std::uint64_t, int>::const_iterator const found = misses.find(entry.incarnation);
    int const missed = found == misses.end() ? 0 : found->second;
    voting += missed == 0 ? 1 : 0;
    bool replaced = false;  // another incarnation answers at its place
    for (schema::TrellisEntry const& trellis : trellises) {
      replaced = replaced || (trellis.address == entry.address && trellis.holder != 0 && trellis.holder != entry.incarnation);
    }
    if (missed >= loam::constants::repair_misses || (replaced && missed > 0)) {
      lost = &entry;
    }
  }
  if (lost == nullptr || voting < rootstock::majority(set.holders.size())) {
    return std::nullopt;
  }
  schema::TrellisEntry const* candidate = nullptr;
  for (schema::TrellisEntry const& trellis : trellises) {
    bool const free = trellis.disk && trellis.holder != 0 && !trellis.voting && !rootstock::names(set.holders, trellis.holder);
    // The one that came back at the lost one's place goes first.
    if (free && (candidate == nullptr || trellis.address == lost->address)) {
      candidate = &trellis;
    }
  }
  if (candidate == nullptr) {
    return std::nullopt;
  }
  schema::HolderSet next{set.epoch + 1, {}, set.holders};
  for (schema::HolderEntry const& entry : set.holders) {
    next.holders.push_back(entry.incarnation == lost->incarnation ? schema::HolderEntry{candidate->holder, candidate->address} : entry);
  }
  return next;
}

rootstock::Wisher repair_wish(schema::HolderSet const& set, schema::HolderSet const& next) {
  return rootstock::replace_at(set.epoch - 1, loam::print_tree(loam::Tree(schema::write(next)).get()));
}

}  // namespace finchlink::hedge
