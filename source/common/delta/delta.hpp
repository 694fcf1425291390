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

/// FNV-1a of an entry's bytes, stirred so that sums of them spread well.
[[nodiscard]] std::uint64_t fingerprint(std::string_view bytes);
/// The digest of a state of named entries; never zero.
[[nodiscard]] std::uint64_t digest_of(std::map<std::string, std::string> const& entries);

/// One change of a set of named entries: what is new or different, and what is
/// gone; or all that there is, when the asker's state is not known any more.
struct Delta {
  bool whole = false;
  std::vector<std::pair<std::string, std::string>> put;  ///< name and bytes
  std::vector<std::string> removed;
  std::uint64_t digest = 0;  ///< of the state that this leads to

  friend bool operator==(Delta const&, Delta const&) = default;
};

/// The side that tells (section 6.4): named entries, and what changed since a
/// state that an asker names by its digest. The digest is a sum over entries,
/// so equal states have equal digests on all tellers, however they came about:
/// an asker may go from one to another. Plain state.
class DeltaSource {
 public:
  explicit DeltaSource(std::size_t states_most) : states_most_(states_most) { states_.emplace_back(0, digest_); }
  /// Takes the state as it is now, in any order; true when it differs.
  bool take(std::map<std::string, std::string> const& state);
  /// One entry as it is now, or one that is gone; true when that is a change.
  bool put(std::string const& name, std::string const& bytes);
  bool remove(std::string const& name);
  /// What leads from the state of this digest to the one now; nothing when the
  /// asker holds it already. Digest 0 stands for an asker that holds nothing.
  [[nodiscard]] std::optional<Delta> since(std::uint64_t digest) const;
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  /// Names of removed entries that are still remembered.
  [[nodiscard]] std::size_t remembered() const { return removed_.size(); }

 private:
  struct Entry {
    std::string bytes;
    std::uint64_t changed = 0;  ///< the state's count at which it became so
  };
  /// Changes one entry of the state that is being made.
  bool enter(std::string const& name, std::string const& bytes, std::uint64_t count);
  bool leave(std::string const& name, std::uint64_t count);
  /// The state is made: it has a digest, and asks may name it.
  void settle(std::uint64_t count);

  std::size_t states_most_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, std::uint64_t> removed_;  ///< name to the count at which it went
  std::uint64_t count_ = 0;
  std::uint64_t sum_ = 1;
  std::uint64_t digest_ = 1;                                    ///< of no entries; never zero
  std::deque<std::pair<std::uint64_t, std::uint64_t>> states_;  ///< count and digest, oldest first
};

/// The side that asks: a copy that checks itself. A delta that does not lead
/// to the digest it names is thrown away with the copy, and all is asked anew.
class DeltaReplica {
 public:
  /// True when the copy now is what the teller has.
  bool apply(Delta const& delta);
  /// To be sent with the next ask; 0 holds nothing.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  [[nodiscard]] std::map<std::string, std::string> const& entries() const { return entries_; }

 private:
  std::map<std::string, std::string> entries_;
  std::uint64_t digest_ = 0;
};

}  // namespace finchlink::common
