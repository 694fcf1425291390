#include "membership/listing/listing.hpp"

#include <algorithm>
#include <set>

#include "common/constants.hpp"
#include "common/digest/digest.hpp"
#include "membership/replica/apply_changes.hpp"

namespace finchlink::membership {

namespace {
/// Digest input of each worker, by id; the list's own revision stands under the empty id.
std::map<std::string, std::string> digest_entries(schema::PlatformList const& list) {
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
  return common::digest_of(digest_entries(list));
}

bool Listing::store(schema::PlatformList const& list, common::Moment as_of, common::Moment now) {
  if (as_of <= as_of_) {
    return false;
  }
  if (list.revision > 0 && list.revision < list_.revision) {
    back_since_ = back_since_ == 0 ? now : back_since_;
    if (now - back_since_ < common::constants::list_rollback_grace) {
      return false;
    }
  }
  back_since_ = 0;
  full_list_needed_ = false;
  list_ = list;
  // In one order everywhere, however the list was learnt.
  std::stable_sort(
      list_.workers.begin(), list_.workers.end(),
      [](schema::WorkerEntry const& left, schema::WorkerEntry const& right) { return left.id < right.id; });
  (void)source_.take(digest_entries(list_));
  as_of_ = as_of;
  return true;
}

void Listing::renew(common::Moment as_of) {
  if (as_of > as_of_) {
    count_down(list_, as_of - as_of_);
    as_of_ = as_of;
  }
}

std::optional<schema::PlatformList> apply_update(schema::PlatformList const& held, common::Span passed,
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
    (void)store(update.list, as_of, now);
  } else if (update.from == before && as_of > as_of_) {
    std::optional<schema::PlatformList> const next = apply_update(list_, as_of - as_of_, update);
    full_list_needed_ = !next.has_value();
    if (next.has_value()) {
      (void)store(*next, as_of, now);
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
    // The digest leaves out remaining times, so a cold period that restarted between two lists does not show as a
    // change: workers with remaining times are always sent, as they would be in the full list.
    if (put.count(worker.id) > 0 || worker.cold_ms > 0 || worker.left_ms > 0) {
      update.list.workers.push_back(worker);
    }
  }
  return update;
}

void count_down(schema::PlatformList& list, common::Span passed) {
  // At least 1 ms remains: only a list from the platform may say that the time is over.
  std::uint64_t const gone = static_cast<std::uint64_t>(std::max<common::Span>(passed, 0)) / 1000;
  for (schema::WorkerEntry& worker : list.workers) {
    worker.cold_ms = worker.cold_ms > 0 ? worker.cold_ms - std::min(worker.cold_ms - 1, gone) : 0;
    worker.left_ms = worker.left_ms > 0 ? worker.left_ms - std::min(worker.left_ms - 1, gone) : 0;
  }
}

}  // namespace finchlink::membership
