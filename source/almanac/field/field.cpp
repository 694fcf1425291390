// The entry point of the simulated query path.

#include "almanac/field/field.hpp"

#include "almanac/field/world.hpp"

namespace finchlink::almanac {

FieldReport run_field(FieldOptions const& options) {
  field::World world(options);
  return world.run();
}

}  // namespace finchlink::almanac
