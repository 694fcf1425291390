#pragma once

#include "common/http/http.hpp"
#include "config/disposition/disposition.hpp"
#include "data_plane/proxy_state/proxy_state.hpp"

namespace finchlink::data_plane {

/// A query as received from the caller, with the disposition that its header led to.
struct QueryRequest {
  std::string id;
  config::Serve serve;  ///< the disposition of the header
  common::http::request_header<> header;
  bool forwarded = false;       ///< by another proxy
  bool keep_connection = true;  ///< the caller's connection may stay open
  common::http::verb method = common::http::verb::post;
  std::string target;
  std::string content_type;
  std::string body;
};

/// Runs one query through its state machine, up to the final response. `pipelined`: bytes of the next query were read
/// already. False if the caller's connection can't be used again.
[[nodiscard]] bool run_query(ProxyState& proxy, std::shared_ptr<Plan const> plan, QueryRequest request,
                             common::Stream& caller, bool pipelined, common::Yield yield);

}  // namespace finchlink::data_plane
