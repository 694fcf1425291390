#pragma once

#include "common/http/http.hpp"
#include "config/disposition/disposition.hpp"
#include "data_plane/proxy_state/proxy_state.hpp"

namespace finchlink::data_plane {

struct QueryFacts {
  std::string id;
  config::Serve serve;  ///< as the header was decided
  common::http::request_header<> header;
  bool passed = false;  ///< another region's furrow passed it on
  bool keep = true;
  common::http::verb method = common::http::verb::post;
  std::string target;
  std::string content_type;
  std::string body;
};

/// Runs one query through its chart; false when the caller's connection can't
/// be used again.
[[nodiscard]] bool run_query(ProxyState& field, std::shared_ptr<Plan const> plan, QueryFacts facts,
                             common::Stream& caller, bool pipelined, common::Yield yield);

}  // namespace finchlink::data_plane
