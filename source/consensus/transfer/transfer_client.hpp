#pragma once

#include <functional>
#include <optional>
#include <string>

#include "common/net/net.hpp"
#include "consensus/transfer/value_receiver.hpp"

namespace finchlink::consensus {

/// Runs a transfer over the network until it is whole, or nobody has it any
/// more, or nothing came for transfer_patience, or `wanted` says no; nothing
/// in the last three. What has arrived stays in the receiver, so that the same
/// transfer can be run again and goes on where it stopped.
[[nodiscard]] std::optional<std::string> run_transfer(boost::asio::io_context& context, common::Caller& caller,
                                                      ValueReceiver& receiver, std::function<bool()> const& wanted,
                                                      common::Yield yield);

}  // namespace finchlink::consensus
