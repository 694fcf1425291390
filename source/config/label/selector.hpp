#pragma once

#include <map>
#include <string>

#include "schema/setup.hpp"
#include "schema/wire.hpp"

namespace finchlink::config {

using Labels = std::map<std::string, std::string>;

/// Section 2.3: equals, in, notin, exists, joined by all, any and none. An
/// empty selector says yes.
[[nodiscard]] bool selects(schema::Selector const& selector, Labels const& labels);

/// Region of a hall, empty when the setup names none.
[[nodiscard]] std::string region_of(schema::Setup const& setup, std::string const& hall);

/// All labels of a worker: the platform's, its hall's, its own place and what
/// the setup adds, in this order; later ones win.
[[nodiscard]] Labels worker_labels(schema::Setup const& setup, schema::WorkerEntry const& worker);

}  // namespace finchlink::config
