#include "platform/operator.hpp"

namespace finchlink::platform {

trellis::OperatorPaths operator_paths() {
  return trellis::OperatorPaths{"/v1/config", "/v1/drain/", ""};
}

}  // namespace finchlink::platform
