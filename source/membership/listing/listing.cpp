#include "membership/listing/listing.hpp"

#include <algorithm>
#include <set>

#include "common/constants.hpp"
#include "common/digest/digest.hpp"
#include "membership/replica/apply_changes.hpp"

namespace finchlink::membership {

namespace {
/// What is counted of each worker, by id; under no id the list's own revision.
std::map<std::string, std::string> counted(schema::PlatformList const& list) {
  std::map<std::string, std::string> entries;
  if (list.revision > 0) {
    entries[""] = std::to_string(list.revision);
  }
  for (schema::WorkerEntry const& worker : list.workers) {
    common::Digest digest;
    digest.add(worker.address)
        .add(worker.zone)
        .add(worker.kind)
        .add(worker.service)
        .add(worker.capacity)
        .add(worker.phase);
    digest.add((worker.draining ? 1u : 0u) + (worker.cold_ms > 0 ? 2u : 0u) + (worker.left_ms > 0 ? 4u : 0u));
    for (std::pair<std::string const, std::string> const& label : worker.labels) {
      digest.add(label.first).add(label.second);
    }
    entries[worker.id] = digest.text();
  }
  return entries;
}
}  // namespace

std::uint64_t digest_of(schema::PlatformList const& list) {
  return common::digest_of(counted(list));
}

bool Listing::keep(schema::PlatformList const& list, common::Moment as_of, common::Moment now) {
  if (as_of <= as_of_) {
    return false;
  }
  if (list.revision > 0 && list.revision < list_.revision) {
    back_since_ = back_since_ == 0 ? now : back_since_;
    if (now - back_since_ < common::constants::list_back_span) {
      return false;
    }
  }
  back_since_ = 0;
  astray_ = false;
  list_ = list;
  // In one order everywhere, however the list was learnt.
  std::stable_sort(
      list_.workers.begin(), list_.workers.end(),
      [](schema::WorkerEntry const& left, schema::WorkerEntry const& right) { return left.id < right.id; });
  (void)source_.take(counted(list_));
  as_of_ = as_of;
  return true;
}

void Listing::renew(common::Moment as_of) {
  if (as_of > as_of_) {
    count_down(list_, as_of - as_of_);
    as_of_ = as_of;
  }
}

std::optional<schema::PlatformList> led_on(schema::PlatformList const& held, common::Span passed,
                                           ListUpdate const& update) {
  schema::PlatformList list = held;
  count_down(list, passed);
  list.revision = update.list.revision;
  list.workers = apply_changes(list.workers, update.list.workers, update.gone, &schema::WorkerEntry::id);
  if (digest_of(list) != update.digest) {
    return std::nullopt;
  }
  return list;
}

bool Listing::take(ListUpdate const& update, common::Moment as_of, common::Moment now) {
  std::uint64_t const before = digest();
  if (update.same) {
    if (update.digest == before) {
      renew(as_of);
    }
  } else if (update.from == 0) {
    (void)keep(update.list, as_of, now);
  } else if (update.from == before && as_of > as_of_) {
    std::optional<schema::PlatformList> const next = led_on(list_, as_of - as_of_, update);
    astray_ = !next.has_value();
    if (next.has_value()) {
      (void)keep(*next, as_of, now);
    }
  }
  return digest() != before;
}

ListUpdate Listing::since(std::uint64_t digest) const {
  ListUpdate update;
  update.digest = source_.digest();
  std::optional<common::Delta> const delta = source_.since(digest);
  update.same = !delta.has_value();
  if (update.same) {
    return update;
  }
  if (delta->whole) {
    update.list = list_;
    return update;
  }
  update.from = digest;
  update.gone = delta->removed;
  update.list.revision = list_.revision;
  std::set<std::string> put;
  for (std::pair<std::string, std::string> const& entry : delta->put) {
    put.insert(entry.first);
  }
  for (schema::WorkerEntry const& worker : list_.workers) {
    // What counts down is no part of the digest: a spell that began anew
    // between two lists is told along, as it would be in the whole list.
    if (put.count(worker.id) > 0 || worker.cold_ms > 0 || worker.left_ms > 0) {
      update.list.workers.push_back(worker);
    }
  }
  return update;
}

void count_down(schema::PlatformList& list, common::Span passed) {
  // At least one is left: that it reached zero is for the list itself to say.
  std::uint64_t const gone = static_cast<std::uint64_t>(std::max<common::Span>(passed, 0)) / 1000;
  for (schema::WorkerEntry& worker : list.workers) {
    worker.cold_ms = worker.cold_ms > 0 ? worker.cold_ms - std::min(worker.cold_ms - 1, gone) : 0;
    worker.left_ms = worker.left_ms > 0 ? worker.left_ms - std::min(worker.left_ms - 1, gone) : 0;
  }
}

}  // namespace finchlink::membership
