#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "schema/wire.hpp"

namespace finchlink::consensus {

/// Safety rules that a test can disable to show that each is needed.
struct TransferGuards {
  bool keeps_pieces = true;    ///< received pieces are kept when a piece is lost
  bool digest_checked = true;  ///< bytes with a wrong digest are discarded
  bool key_checked = true;     ///< pieces of another value are discarded
  bool gives_up = true;        ///< sources that never respond are not retried forever
};

/// State of a transfer after an answer or a timeout.
enum class TransferState {
  in_progress,
  complete,     ///< take() returns the bytes
  unavailable,  ///< no source has the bytes any more: the caller has to look up the current value again
};

/// The receiving side of one transfer in pieces (section 5.9). All sources of a key have the same bytes, so a transfer
/// resumes with another source where it stopped. Plain state without I/O: the caller sends request() to source()
/// and passes the answer to receive().
class ValueReceiver {
 public:
  ValueReceiver(schema::TransferKey key, std::vector<std::string> sources, TransferGuards guards = {});

  [[nodiscard]] schema::TransferKey const& key() const { return key_; }
  /// Request for the next missing piece.
  [[nodiscard]] schema::PieceRequest request() const { return schema::PieceRequest{key_, bytes_.size()}; }
  /// Address to send the next request to; empty once no source is left.
  [[nodiscard]] std::string source() const;
  /// Adds the address of another source, unless it is already known.
  void add_source(std::string const& address);

  /// Takes the answer of the current source; one that is no usable Piece drops that source.
  [[nodiscard]] TransferState receive(schema::Message const& answer);
  /// The source did not respond in time: moves on to the next one. After `transfer_silences_most` timeouts in a row all
  /// sources count as lost and the transfer is given up.
  TransferState record_timeout();
  /// A newer value exists: this one is still worth finishing, but the next timeout gives the transfer up.
  void mark_superseded() { superseded_ = true; }
  /// Moves the received bytes out; to be called once, after receive() returned complete.
  [[nodiscard]] std::string take() { return std::move(bytes_); }

  /// Bytes received so far.
  [[nodiscard]] std::size_t received() const { return bytes_.size(); }
  /// Size of the whole value in bytes; 0 until the first piece has arrived.
  [[nodiscard]] std::size_t total() const { return total_; }

 private:
  /// Removes the current source for good.
  [[nodiscard]] TransferState drop_source();
  /// Discards the received pieces.
  void restart();
  void next_source();

  schema::TransferKey key_;
  std::vector<std::string> sources_;
  TransferGuards guards_;
  std::size_t source_index_ = 0;
  std::size_t timeouts_ = 0;  ///< unanswered requests in a row
  bool superseded_ = false;
  std::size_t total_ = 0;
  std::string digest_;
  std::string bytes_;
};

}  // namespace finchlink::consensus
