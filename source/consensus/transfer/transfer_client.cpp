#include "consensus/transfer/transfer_client.hpp"

#include "loam/constants.hpp"

namespace finchlink::consensus {

namespace constants = loam::constants;

std::optional<std::string> run_transfer(boost::asio::io_context& context, loam::Caller& caller, ValueReceiver& receiver,
                                        std::function<bool()> const& wanted, loam::Yield yield) {
  loam::Moment progressed = loam::boot_now();
  while (!receiver.source().empty() && wanted() && loam::boot_now() - progressed < constants::transfer_patience) {
    std::size_t const before = receiver.received();
    absl::StatusOr<schema::Message> const answer =
        caller.call(receiver.source(), receiver.request(), constants::piece_deadline, yield);
    TransferState const state = answer.ok() ? receiver.receive(*answer) : receiver.no_answer();
    if (state == TransferState::whole) {
      return receiver.take();
    }
    if (state == TransferState::gone) {
      return std::nullopt;
    }
    if (receiver.received() > before) {
      progressed = loam::boot_now();
    } else {
      loam::pause(context, constants::piece_pause, yield);
    }
  }
  return std::nullopt;
}

}  // namespace finchlink::consensus
