#pragma once

#include <map>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

#include "loam/net/net.hpp"
#include "rootstock/change/change.hpp"
#include "rootstock/confirm/confirm.hpp"

namespace finchlink::trellis {

/// The register as a trellis uses it (section 5): changes, majority reads and
/// what is known of the holder set. Cores decide, this sends.
class Ledger {
 public:
  struct Unknown {
    std::string reason;
  };
  using Result = std::variant<rootstock::Chosen, rootstock::Rejected, Unknown>;

  Ledger(boost::asio::io_context& context, loam::Caller& caller, std::uint64_t identity, std::vector<std::string> seeds);
  /// Starts the loop of majority reads.
  void begin();

  [[nodiscard]] Result change(std::string const& name, rootstock::Wisher wisher, loam::Span deadline, loam::Yield yield);

  [[nodiscard]] schema::HolderSet set();
  void learn(schema::HolderSet const& set);
  /// Addresses beside the seeds that are asked while no holder set is known.
  void know_colleagues(std::vector<std::string> const& addresses);
  [[nodiscard]] std::map<std::string, schema::Value> values();
  [[nodiscard]] schema::Value value(std::string const& name);
  /// All that was chosen before this moment is in values().
  [[nodiscard]] loam::Moment confirmed_from();
  /// Rings when something was confirmed or learnt.
  [[nodiscard]] loam::Bell& bell() { return bell_; }

 private:
  void confirm_once(loam::Yield yield);
  void discover(loam::Yield yield);

  boost::asio::io_context& context_;
  loam::Caller& caller_;
  std::uint64_t identity_;
  std::vector<std::string> seeds_;
  std::vector<std::string> colleagues_;
  std::mutex lock_;
  schema::HolderSet set_;
  rootstock::Confirm confirm_;
  loam::Bell bell_;
};

}  // namespace finchlink::trellis
