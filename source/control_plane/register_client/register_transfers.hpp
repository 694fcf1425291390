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

/// Fetches register values that were too large for an answer, in pieces (section 5.9), each in its own coroutine.
/// A transfer in progress is not abandoned for a newer value, so that under steady change some value always arrives.
/// Thread-safe.
class RegisterTransfers {
 public:
  /// Called from the transfer's coroutine when it ends; without a value where no source has it any longer.
  using EndCallback = std::function<void(std::string const& name, std::optional<schema::Value> const& value,
                                         std::optional<schema::Ballot> const& chosen)>;

  RegisterTransfers(boost::asio::io_context& context, common::FrameClient& caller, EndCallback on_end);

  /// Starts to fetch the value, or adds sources to the transfer in progress. `chosen` is the ballot under which a
  /// majority accepted it, where one did: the value may then be learnt as soon as it has arrived.
  void request(std::string const& name, std::string const& digest, std::vector<std::string> const& addresses,
               std::optional<schema::Ballot> const& chosen);
  /// Whether the value is being fetched.
  [[nodiscard]] bool in_progress(std::string const& name, std::string const& digest);
  /// The value with that digest, if it was fetched and not discarded or replaced since.
  [[nodiscard]] std::optional<schema::Value> fetched(std::string const& name, std::string const& digest);
  /// Discards the register's fetched value, because a newer one was chosen.
  void discard(std::string const& name);
  /// Bytes that transfers in progress have still to receive.
  [[nodiscard]] std::size_t bytes_left();

 private:
  struct Transfer {
    schema::TransferKey key;
    std::optional<schema::Ballot> chosen;
    std::vector<std::string> added_sources;  ///< sources added since the transfer last looked
    std::size_t bytes_left = 0;              ///< bytes still to receive
  };
  struct Fetched {
    std::string digest;
    schema::Value value;
  };
  void run(std::shared_ptr<Transfer> const& transfer, std::vector<std::string> const& addresses, common::Yield yield);
  /// Called between pieces: passes added sources to the receiver and updates the bytes left; always true.
  [[nodiscard]] bool continue_transfer(Transfer& transfer, consensus::ValueReceiver& receiver);
  void finish(std::shared_ptr<Transfer> const& transfer, std::optional<std::string> const& bytes);

  boost::asio::io_context& context_;
  common::FrameClient& caller_;
  EndCallback on_end_;
  std::mutex lock_;
  std::vector<std::shared_ptr<Transfer>> in_progress_;
  std::map<std::string, Fetched> fetched_;
};

}  // namespace finchlink::control_plane
