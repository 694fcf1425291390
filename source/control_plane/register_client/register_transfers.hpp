#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "common/net/net.hpp"
#include "consensus/transfer/value_receiver.hpp"

namespace finchlink::control_plane {

/// Fetches values of registers that were too large for an answer, in pieces
/// (section 5.9), each in a coroutine of its own. A transfer under way is not
/// given up for a newer value, so that under steady change some value always
/// arrives. Safe from any thread.
class RegisterTransfers {
 public:
  /// Called when a transfer ends, from its coroutine; without a value where no
  /// source has it any more.
  using Ended = std::function<void(std::string const& name, std::optional<schema::Value> const& value,
                                   std::optional<schema::Ballot> const& chosen)>;

  RegisterTransfers(boost::asio::io_context& context, common::Caller& caller, Ended ended);

  /// Starts fetching the value, or adds sources to the transfer under way.
  /// `chosen`: the ballot under which a majority named it, so that it may be told
  /// of once it is here.
  void want(std::string const& name, std::string const& digest, std::vector<std::string> const& addresses,
            std::optional<schema::Ballot> const& chosen);
  [[nodiscard]] bool under_way(std::string const& name, std::string const& digest);
  /// The value with that digest, if it was fetched lately.
  [[nodiscard]] std::optional<schema::Value> fetched(std::string const& name, std::string const& digest);
  /// Lets go of the register's fetched value: a newer one was chosen.
  void forget(std::string const& name);
  /// Bytes that transfers under way still lack.
  [[nodiscard]] std::size_t bytes_left();

 private:
  struct Transfer {
    schema::TransferKey key;
    std::optional<schema::Ballot> chosen;
    std::vector<std::string> added;  ///< sources named since it began
    std::size_t left = 0;
  };
  struct Fetched {
    std::string digest;
    schema::Value value;
  };
  void run(std::shared_ptr<Transfer> const& transfer, std::vector<std::string> const& addresses, common::Yield yield);
  /// Whether to go on; takes over new sources on the way.
  [[nodiscard]] bool go_on(Transfer& transfer, consensus::ValueReceiver& receiver);
  void finish(std::shared_ptr<Transfer> const& transfer, std::optional<std::string> const& bytes);

  boost::asio::io_context& context_;
  common::Caller& caller_;
  Ended ended_;
  std::mutex lock_;
  std::vector<std::shared_ptr<Transfer>> under_way_;
  std::map<std::string, Fetched> fetched_;
};

}  // namespace finchlink::control_plane
