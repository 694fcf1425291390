#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/constants.hpp"
#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::consensus {

/// Gives the bytes that a key names, or nothing when they are not here (any more).
using TransferSource = std::function<std::optional<std::string>(schema::TransferKey const& key)>;

/// The sending side of transfers in pieces (section 5.9). What is being fetched
/// is kept until its askers have been silent for a while, so that a change made
/// meanwhile does not end a transfer. Plain state.
class ValueSender {
 public:
  explicit ValueSender(std::size_t piece_bytes = common::constants::transfer_piece_bytes) : piece_bytes_(piece_bytes) {}
  /// The piece that is asked for; its total is 0 when the bytes are not here.
  [[nodiscard]] schema::Piece answer(schema::PieceRequest const& request, TransferSource const& source,
                                     common::Moment now);
  /// Forgets what nobody has asked for lately.
  void expire(common::Moment now);
  [[nodiscard]] std::size_t kept() const { return kept_.size(); }

 private:
  struct Kept {
    schema::TransferKey key;
    std::string bytes;
    std::string digest;
    common::Moment asked = 0;
  };
  [[nodiscard]] Kept* find(schema::TransferKey const& key, TransferSource const& source);

  std::size_t piece_bytes_;
  std::vector<Kept> kept_;
};

/// Bytes that a value takes in a message, near enough for a bound.
[[nodiscard]] std::size_t message_bytes(schema::Value const& value);

/// Takes `bytes` from what is left of a message, if they fit.
[[nodiscard]] bool fits(std::size_t bytes, std::size_t& room);

}  // namespace finchlink::consensus
