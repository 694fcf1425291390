#include "consensus/transfer/transfer_client.hpp"

#include "common/constants.hpp"

namespace finchlink::consensus {

namespace constants = common::constants;

std::optional<std::string> run_transfer(boost::asio::io_context& context, common::FrameClient& caller,
                                        ValueReceiver& receiver, std::function<bool()> const& should_continue,
                                        common::Yield yield) {
  common::Moment progressed = common::boot_now();
  while (!receiver.source().empty() && should_continue() &&
         common::boot_now() - progressed < constants::transfer_stall_timeout) {
    std::size_t const before = receiver.received();
    absl::StatusOr<schema::Message> const answer =
        caller.call(receiver.source(), receiver.request(), constants::piece_deadline, yield);
    TransferState const state = answer.ok() ? receiver.receive(*answer) : receiver.record_timeout();
    if (state == TransferState::complete) {
      return receiver.take();
    }
    if (state == TransferState::unavailable) {
      return std::nullopt;
    }
    if (receiver.received() > before) {
      progressed = common::boot_now();
    } else {
      common::pause(context, constants::piece_pause, yield);
    }
  }
  return std::nullopt;
}

}  // namespace finchlink::consensus
