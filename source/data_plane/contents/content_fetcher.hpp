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

/// Fetches the contents that controllers leave out of their updates because of their size, in pieces (section 5.9).
/// Update requests go on meanwhile, so that lists, members and drained zones don't wait for a large routing
/// configuration. Thread-safe.
class ContentFetcher {
 public:
  ContentFetcher(boost::asio::io_context& context, common::FrameClient& caller) : context_(context), caller_(caller) {}

  /// Returns the response of the controller at `from` with the contents fetched so far inserted. Starts to fetch what
  /// it still withholds: one transfer per register, which isn't aborted for a newer revision.
  [[nodiscard]] schema::NewsAnswer with_fetched_contents(schema::NewsAnswer response, std::string const& from);
  /// Whether a transfer is in progress.
  [[nodiscard]] bool busy();

 private:
  struct Transfer {
    schema::TransferKey key;
    std::vector<std::string> new_sources;  ///< sources seen since the receiver last took them
    bool superseded = false;               ///< a newer revision was seen since it began
  };
  struct FetchedContent {
    std::uint64_t revision = 0;
    std::string content;
  };
  /// Starts a transfer, or adds `from` to the sources of the one in progress.
  void start_transfer(schema::TransferKey const& key, std::string const& from);
  void run(std::shared_ptr<Transfer> const& transfer, common::Yield yield);

  boost::asio::io_context& context_;
  common::FrameClient& caller_;
  std::mutex lock_;
  std::map<std::string, std::shared_ptr<Transfer>> transfers_;  ///< in progress, by register
  std::map<std::string, FetchedContent> fetched_;               ///< by register; not inserted into a response yet
};

/// Inserts a fetched content into the response, in place of the withheld entry of the same revision.
void insert_content(schema::NewsAnswer& response, std::string const& name, std::uint64_t revision, std::string content);

}  // namespace finchlink::data_plane
