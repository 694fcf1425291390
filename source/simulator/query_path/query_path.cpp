// The entry point of the simulated query path.

#include "simulator/query_path/query_path.hpp"

#include "simulator/query_path/world.hpp"

namespace finchlink::simulator {

QueryPathReport run_query_path(QueryPathOptions const& options) {
  query_path::World world(options);
  return world.run();
}

}  // namespace finchlink::simulator
