#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "schema/setup.hpp"
#include "schema/wire.hpp"
#include "tilth/placement/placement.hpp"

namespace finchlink::furrow {

/// All that a furrow goes by, made anew whenever a part of it changes and then
/// never changed (section 3.3).
struct Plan {
  std::map<std::string, std::uint64_t> held;  ///< revisions in force
  bool has_setup = false;
  std::uint64_t decided = 0;  ///< revision of the setup, by which queries are decided
  schema::Setup setup;
  std::string region;
  std::map<std::string, schema::Split> splits;  ///< per region
  std::vector<schema::Member> members;
  schema::PlatformList list;
  std::map<std::string, std::vector<std::string>> allowed;  ///< rule to the workers it may use here
  std::map<std::string, std::vector<tilth::WorkerWish>> wishes;  ///< pool to workers
  std::size_t furrows_here = 1;
};

/// The pool (and so the shard) of a kind of worker or rule.
[[nodiscard]] inline std::string pool_of(std::string const& kind) { return kind == "model" ? "model" : "plain"; }

/// Works out the derived parts: region, allowed workers, wishes.
void derive(Plan& plan, std::string const& self, std::string const& hall);

}  // namespace finchlink::furrow
