#include "consensus/transfer/value_receiver.hpp"

#include <algorithm>

#include "common/constants.hpp"
#include "common/digest/digest.hpp"

namespace finchlink::consensus {

ValueReceiver::ValueReceiver(schema::TransferKey key, std::vector<std::string> sources, TransferGuards guards)
    : key_(std::move(key)), guards_(guards) {
  for (std::string const& address : sources) {
    add_source(address);
  }
}

std::string ValueReceiver::source() const {
  return sources_.empty() ? std::string() : sources_[source_index_ % sources_.size()];
}

void ValueReceiver::add_source(std::string const& address) {
  if (std::find(sources_.begin(), sources_.end(), address) == sources_.end()) {
    sources_.push_back(address);
  }
}

void ValueReceiver::restart() {
  bytes_.clear();
  total_ = 0;
  digest_.clear();
}

void ValueReceiver::next_source() {
  if (!guards_.keeps_pieces) {
    restart();
  }
  if (!sources_.empty()) {
    source_index_ = (source_index_ + 1) % sources_.size();
  }
}

TransferState ValueReceiver::record_timeout() {
  ++timeouts_;
  next_source();
  bool const given_up = timeouts_ >= common::constants::max_unanswered_piece_requests || superseded_;
  return given_up && guards_.gives_up ? TransferState::unavailable : TransferState::in_progress;
}

TransferState ValueReceiver::drop_source() {
  if (!sources_.empty()) {
    sources_.erase(sources_.begin() + static_cast<std::ptrdiff_t>(source_index_ % sources_.size()));
    source_index_ = 0;
  }
  return sources_.empty() ? TransferState::unavailable : TransferState::in_progress;
}

TransferState ValueReceiver::receive(schema::Message const& answer) {
  schema::Piece const* const piece = std::get_if<schema::Piece>(&answer);
  timeouts_ = 0;
  if (piece == nullptr) {
    return drop_source();  // an older version, or a process without registers
  }
  if (guards_.key_checked && !(piece->key == key_)) {
    next_source();
    return TransferState::in_progress;
  }
  if (piece->total == 0 || piece->total > common::constants::frame_limit) {
    return drop_source();
  }
  if (total_ == 0) {
    total_ = piece->total;
    digest_ = key_.digest.empty() ? piece->digest : key_.digest;
  }
  bool const same = piece->total == total_ && piece->digest == digest_;
  if (guards_.key_checked && !same) {
    restart();  // the sources disagree about the bytes; the digest of the whole value decides
    next_source();
    return TransferState::in_progress;
  }
  if (piece->offset != bytes_.size() || piece->bytes.empty() || piece->bytes.size() > total_ - bytes_.size()) {
    return TransferState::in_progress;  // duplicate or late: the same offset is requested again
  }
  bytes_ += piece->bytes;
  if (bytes_.size() < total_) {
    return TransferState::in_progress;
  }
  if (guards_.digest_checked && common::Digest().add(bytes_).text() != digest_) {
    restart();
    next_source();
    return TransferState::in_progress;
  }
  return TransferState::complete;
}

}  // namespace finchlink::consensus
