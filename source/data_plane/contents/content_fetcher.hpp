#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "common/net/net.hpp"
#include "consensus/transfer/value_receiver.hpp"
#include "schema/wire.hpp"

namespace finchlink::data_plane {

/// Fetches the contents that answers of trellises leave out for their size, in
/// pieces (section 5.9), beside the asks: those go on meanwhile, so that lists,
/// members and evacuations don't wait for a large charter. Safe from any thread.
class ContentFetcher {
 public:
  ContentFetcher(boost::asio::io_context& context, common::Caller& caller) : context_(context), caller_(caller) {}

  /// The answer of the trellis at `from`, with what has been fetched put in.
  /// What it still withholds is fetched from now on; one transfer a register,
  /// which is not given up for a newer revision.
  [[nodiscard]] schema::NewsAnswer completed(schema::NewsAnswer answer, std::string const& from);
  [[nodiscard]] bool busy();

 private:
  struct Transfer {
    schema::TransferKey key;
    std::vector<std::string> added;  ///< sources named since it began
    bool superseded = false;         ///< a newer revision was named since
  };
  struct Whole {
    std::uint64_t revision = 0;
    std::string content;
  };
  void want(schema::TransferKey const& key, std::string const& from);
  void run(std::shared_ptr<Transfer> const& transfer, common::Yield yield);

  boost::asio::io_context& context_;
  common::Caller& caller_;
  std::mutex lock_;
  std::map<std::string, std::shared_ptr<Transfer>> under_way_;  ///< by register
  std::map<std::string, Whole> whole_;                          ///< fetched, and not put into an answer yet
};

/// Puts fetched contents into the answer; a withheld entry of the same revision goes.
void put_in(schema::NewsAnswer& answer, std::string const& name, std::uint64_t revision, std::string content);

}  // namespace finchlink::data_plane
