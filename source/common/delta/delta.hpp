#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace finchlink::common {

/// FNV-1a of an entry's bytes with a final mixing step, so that sums of fingerprints are well distributed.
[[nodiscard]] std::uint64_t fingerprint(std::string_view bytes);
/// The digest of a state of named entries; never zero.
[[nodiscard]] std::uint64_t digest_of(std::map<std::string, std::string> const& entries);

/// A change of a set of named entries: entries that are new or different, and the names of
/// removed ones; or all entries, if the receiver's state is no longer known.
struct Delta {
  bool whole = false;                                    ///< `put` holds all entries and replaces the receiver's
  std::vector<std::pair<std::string, std::string>> put;  ///< name and bytes
  std::vector<std::string> removed;
  std::uint64_t digest = 0;  ///< of the state after the change

  friend bool operator==(Delta const&, Delta const&) = default;
};

/// The sending side (section 6.4): holds named entries, and computes the change since
/// a state that a receiver names by its digest. The digest is a sum over entries, so
/// equal states have equal digests on all senders, whatever their history: a receiver
/// may switch between senders. Not synchronised, does no I/O.
class DeltaSource {
 public:
  /// Keeps the digests of the last `max_states` states; deltas can start from these.
  explicit DeltaSource(std::size_t max_states) : max_states_(max_states) { states_.emplace_back(0, digest_); }
  /// Replaces the whole state; true if it differs from the last one.
  bool take(std::map<std::string, std::string> const& state);
  /// Sets or removes one entry; true if that is a change.
  bool put(std::string const& name, std::string const& bytes);
  bool remove(std::string const& name);
  /// The change from the state with this digest to the current one; nothing if the
  /// receiver is up to date. Digest 0 stands for a receiver that holds nothing.
  [[nodiscard]] std::optional<Delta> since(std::uint64_t digest) const;
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  /// Number of removed entries whose names are still kept.
  [[nodiscard]] std::size_t remembered() const { return removed_.size(); }

 private:
  struct Entry {
    std::string bytes;
    std::uint64_t changed = 0;  ///< number of the state that set it
  };
  /// Changes one entry of state number `count`, which is not committed yet.
  bool set_entry(std::string const& name, std::string const& bytes, std::uint64_t count);
  bool erase_entry(std::string const& name, std::uint64_t count);
  /// Completes state number `count`: computes its digest, from which deltas may start.
  void commit_state(std::uint64_t count);

  std::size_t max_states_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, std::uint64_t> removed_;  ///< name to the number of the state that removed it
  std::uint64_t count_ = 0;                       ///< number of the current state
  std::uint64_t sum_ = 1;
  std::uint64_t digest_ = 1;                                    ///< initially of no entries; never zero
  std::deque<std::pair<std::uint64_t, std::uint64_t>> states_;  ///< number and digest, oldest first
};

/// The receiving side: a replica that verifies itself. If applying a delta does not
/// yield the digest that the delta names, the replica is cleared and all entries are
/// requested again.
class DeltaReplica {
 public:
  /// True if the replica now equals the sender's state; false if it was cleared.
  bool apply(Delta const& delta);
  /// Sent with the next request; 0 stands for an empty replica.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  [[nodiscard]] std::map<std::string, std::string> const& entries() const { return entries_; }

 private:
  std::map<std::string, std::string> entries_;
  std::uint64_t digest_ = 0;
};

}  // namespace finchlink::common
