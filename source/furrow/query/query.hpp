#pragma once

#include "config/course/course.hpp"
#include "furrow/field/field.hpp"
#include "loam/http/http.hpp"

namespace finchlink::furrow {

struct QueryFacts {
  std::string id;
  config::Serve serve;  ///< as the header was decided
  loam::http::request_header<> header;
  bool passed = false;  ///< another region's furrow passed it on
  bool keep = true;
  loam::http::verb method = loam::http::verb::post;
  std::string target;
  std::string content_type;
  std::string body;
};

/// Runs one query through its chart; false when the caller's connection can't
/// be used again.
[[nodiscard]] bool run_query(Field& field, std::shared_ptr<Plan const> plan, QueryFacts facts, loam::Stream& caller,
                             bool pipelined, loam::Yield yield);

}  // namespace finchlink::furrow
