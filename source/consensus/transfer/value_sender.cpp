#include "consensus/transfer/value_sender.hpp"

#include <algorithm>

#include "common/constants.hpp"
#include "common/digest/digest.hpp"

namespace finchlink::consensus {

namespace constants = common::constants;

void ValueSender::expire(common::Moment now) {
  std::erase_if(kept_, [now](Kept const& entry) { return now - entry.asked >= constants::transfer_kept_span; });
}

ValueSender::Kept* ValueSender::find(schema::TransferKey const& key, TransferSource const& source) {
  for (Kept& entry : kept_) {
    if (entry.key == key) {
      return &entry;
    }
  }
  std::optional<std::string> bytes = source(key);
  if (!bytes.has_value()) {
    return nullptr;
  }
  if (kept_.size() >= constants::transfers_kept) {
    kept_.erase(std::min_element(kept_.begin(), kept_.end(),
                                 [](Kept const& left, Kept const& right) { return left.asked < right.asked; }));
  }
  std::string digest = common::Digest().add(*bytes).text();
  kept_.push_back(Kept{key, std::move(*bytes), std::move(digest), 0});
  return &kept_.back();
}

schema::Piece ValueSender::answer(schema::PieceRequest const& request, TransferSource const& source,
                                  common::Moment now) {
  expire(now);
  Kept* const entry = find(request.key, source);
  if (entry == nullptr) {
    return schema::Piece{request.key, request.offset, 0, "", ""};
  }
  entry->asked = now;
  std::size_t const offset = std::min<std::size_t>(request.offset, entry->bytes.size());
  return schema::Piece{request.key, offset, entry->bytes.size(), entry->digest,
                       entry->bytes.substr(offset, piece_bytes_)};
}

std::size_t message_bytes(schema::Value const& value) {
  std::size_t bytes = value.content.size();
  for (schema::ChangeMark const& mark : value.marks) {
    bytes += mark.id.size() + 2 * sizeof(std::uint64_t);  // its length and its revision
  }
  return bytes;
}

bool fits(std::size_t bytes, std::size_t& room) {
  if (bytes > room) {
    return false;
  }
  room -= bytes;
  return true;
}

}  // namespace finchlink::consensus
