// The entry point of the simulated query path.

#include "simulator/query_path/query_path.hpp"

#include "simulator/query_path/world.hpp"

namespace finchlink::simulator {

FieldReport run_field(FieldOptions const& options) {
  field::World world(options);
  return world.run();
}

}  // namespace finchlink::simulator
