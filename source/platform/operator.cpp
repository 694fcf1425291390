#include "platform/operator.hpp"

namespace finchlink::platform {

control_plane::OperatorPaths operator_paths() {
  return control_plane::OperatorPaths{"/v1/config", "/v1/drain/", ""};
}

}  // namespace finchlink::platform
