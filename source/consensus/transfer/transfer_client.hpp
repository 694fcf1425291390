#pragma once

#include <functional>
#include <optional>
#include <string>

#include "common/net/net.hpp"
#include "consensus/transfer/value_receiver.hpp"

namespace finchlink::consensus {

/// Runs a transfer over the network and returns the bytes once it is complete. Returns nothing if no source has the
/// bytes any more, if no piece has arrived for `transfer_stall_timeout`, or if `should_continue` returns false.
/// Received pieces stay in `receiver`, so running the same transfer again resumes where it stopped.
[[nodiscard]] std::optional<std::string> run_transfer(boost::asio::io_context& context, common::FrameClient& caller,
                                                      ValueReceiver& receiver,
                                                      std::function<bool()> const& should_continue,
                                                      common::Yield yield);

}  // namespace finchlink::consensus
