#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/constants.hpp"
#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::consensus {

/// Returns the bytes that a key names, or nothing if they are not available here (any more).
using TransferSource = std::function<std::optional<std::string>(schema::TransferKey const& key)>;

/// The sending side of transfers in pieces (section 5.9). A value that is being fetched stays cached until no piece of
/// it has been requested for a while (`transfer_kept_span`), so that a concurrent change does not end the transfer.
/// Plain state without I/O.
class ValueSender {
 public:
  /// `piece_bytes` is the size of a piece.
  explicit ValueSender(std::size_t piece_bytes = common::constants::transfer_piece_bytes) : piece_bytes_(piece_bytes) {}
  /// Returns the requested piece; its total is 0 if the bytes are not available.
  [[nodiscard]] schema::Piece answer(schema::PieceRequest const& request, TransferSource const& source,
                                     common::Moment now);
  /// Drops values that have not been requested for `transfer_kept_span`.
  void expire(common::Moment now);
  /// Number of cached values, at most `transfers_kept`.
  [[nodiscard]] std::size_t cached_values() const { return cached_.size(); }

 private:
  struct CachedValue {
    schema::TransferKey key;
    std::string bytes;
    std::string digest;
    common::Moment requested = 0;  ///< time of the last request
  };
  /// Finds a cached value or loads it from `source`, evicting the least recently requested one if the cache is full.
  [[nodiscard]] CachedValue* find_or_load(schema::TransferKey const& key, TransferSource const& source);

  std::size_t piece_bytes_;
  std::vector<CachedValue> cached_;
};

/// Approximate size of a value in a message, precise enough to bound the message.
[[nodiscard]] std::size_t message_bytes(schema::Value const& value);

/// If `bytes` fit into the `room` left in a message, subtracts them from it and returns true.
[[nodiscard]] bool reserve_room(std::size_t bytes, std::size_t& room);

}  // namespace finchlink::consensus
