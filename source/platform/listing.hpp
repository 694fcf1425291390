#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include <absl/status/statusor.h>

#include "common/net/net.hpp"
#include "schema/wire.hpp"

namespace finchlink::platform {

/// One page of the platform's worker list.
struct ListPage {
  std::vector<schema::WorkerEntry> workers;
  std::string next;  ///< names the page that follows; empty: the last
};
[[nodiscard]] absl::StatusOr<ListPage> parse_page(std::string const& text);

/// Reads the platform's worker list over all its pages (section 13.4).
/// ResourceExhausted: it was asked too often.
[[nodiscard]] absl::StatusOr<schema::PlatformList> read_list(boost::asio::io_context& context,
                                                             std::string const& address, common::Span deadline,
                                                             common::Yield yield);

}  // namespace finchlink::platform
