#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "schema/wire.hpp"

namespace finchlink::consensus {

/// Rules that tests switch off to show that they are needed.
struct TransferGuards {
  bool resumes = true;         ///< what has arrived is kept when a piece is lost
  bool digest_checked = true;  ///< bytes whose digest is wrong are not used
  bool key_checked = true;     ///< pieces of another value are not put in
  bool given_up = true;        ///< sources that stay silent are not asked for ever
};

enum class TransferState {
  under_way,
  whole,  ///< take() has the bytes
  gone,   ///< no source has them any more: what is current is to be asked for anew
};

/// The receiving side of one transfer in pieces (section 5.9). All sources of a
/// key have the same bytes, so it goes on with another source where it stopped.
/// Plain state; the caller asks source() for request() and hands the answer in.
class ValueReceiver {
 public:
  ValueReceiver(schema::TransferKey key, std::vector<std::string> sources, TransferGuards guards = {});

  [[nodiscard]] schema::TransferKey const& key() const { return key_; }
  [[nodiscard]] schema::PieceRequest request() const { return schema::PieceRequest{key_, bytes_.size()}; }
  /// Address to ask; empty once no source is left.
  [[nodiscard]] std::string source() const;
  void add_source(std::string const& address);

  [[nodiscard]] TransferState receive(schema::Message const& answer);
  /// The source did not answer in time: the next one is asked, or the transfer
  /// is given up after so many silences in a row that all sources count as lost.
  TransferState no_answer();
  /// A newer value is current: this one is worth finishing, not waiting for.
  void supersede() { superseded_ = true; }
  [[nodiscard]] std::string take() { return std::move(bytes_); }

  [[nodiscard]] std::size_t received() const { return bytes_.size(); }
  /// 0 until the first piece came.
  [[nodiscard]] std::size_t total() const { return total_; }

 private:
  [[nodiscard]] TransferState drop_source();
  void begin_anew();
  void next_source();

  schema::TransferKey key_;
  std::vector<std::string> sources_;
  TransferGuards guards_;
  std::size_t turn_ = 0;
  std::size_t silences_ = 0;  ///< requests in a row that were not answered
  bool superseded_ = false;
  std::size_t total_ = 0;
  std::string digest_;
  std::string bytes_;
};

}  // namespace finchlink::consensus
