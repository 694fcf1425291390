#pragma once

/// Client for the worker list of the users' platform (section 13.4).

#include <boost/asio/io_context.hpp>
#include <string>

#include <absl/status/statusor.h>

#include "common/net/net.hpp"
#include "schema/wire.hpp"

namespace finchlink::platform {

/// One page of the platform's worker list.
struct ListPage {
  std::vector<schema::WorkerEntry> workers;
  std::string next_token;  ///< token that requests the following page; empty: this is the last page
};

/// Parses the JSON body of one page. DataLoss: it is not a list of workers, or a worker has no id or no address.
[[nodiscard]] absl::StatusOr<ListPage> parse_page(std::string const& text);

/// Reads all pages of the platform's worker list from `address` (section 13.4). `deadline` is the time that all pages
/// may take together.
/// Errors: DeadlineExceeded (the deadline passed between two pages), ResourceExhausted (the platform limits the request
/// rate, status 429), Unavailable (any other status but 200), those of parse_page() and of the HTTP request itself.
[[nodiscard]] absl::StatusOr<schema::PlatformList> read_list(boost::asio::io_context& context,
                                                             std::string const& address, common::Span deadline,
                                                             common::Yield yield);

}  // namespace finchlink::platform
