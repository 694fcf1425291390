#include "consensus/transfer/value_sender.hpp"

#include <algorithm>

#include "common/constants.hpp"
#include "common/digest/digest.hpp"

namespace finchlink::consensus {

namespace constants = common::constants;

void ValueSender::expire(common::Moment now) {
  std::erase_if(cached_,
                [now](CachedValue const& entry) { return now - entry.requested >= constants::transfer_kept_span; });
}

ValueSender::CachedValue* ValueSender::find_or_load(schema::TransferKey const& key, TransferSource const& source) {
  for (CachedValue& entry : cached_) {
    if (entry.key == key) {
      return &entry;
    }
  }
  std::optional<std::string> bytes = source(key);
  if (!bytes.has_value()) {
    return nullptr;
  }
  if (cached_.size() >= constants::transfers_kept) {
    cached_.erase(std::min_element(
        cached_.begin(), cached_.end(),
        [](CachedValue const& left, CachedValue const& right) { return left.requested < right.requested; }));
  }
  std::string digest = common::Digest().add(*bytes).text();
  cached_.push_back(CachedValue{key, std::move(*bytes), std::move(digest), 0});
  return &cached_.back();
}

schema::Piece ValueSender::answer(schema::PieceRequest const& request, TransferSource const& source,
                                  common::Moment now) {
  expire(now);
  CachedValue* const entry = find_or_load(request.key, source);
  if (entry == nullptr) {
    return schema::Piece{request.key, request.offset, 0, "", ""};
  }
  entry->requested = now;
  std::size_t const offset = std::min<std::size_t>(request.offset, entry->bytes.size());
  return schema::Piece{request.key, offset, entry->bytes.size(), entry->digest,
                       entry->bytes.substr(offset, piece_bytes_)};
}

std::size_t message_bytes(schema::Value const& value) {
  std::size_t bytes = value.content.size();
  for (schema::ChangeMark const& mark : value.marks) {
    bytes += mark.id.size() + 2 * sizeof(std::uint64_t);  // length of the id, and revision
  }
  return bytes;
}

bool reserve_room(std::size_t bytes, std::size_t& room) {
  if (bytes > room) {
    return false;
  }
  room -= bytes;
  return true;
}

}  // namespace finchlink::consensus
