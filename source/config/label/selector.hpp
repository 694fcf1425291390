#pragma once

#include <map>
#include <string>

#include "schema/setup.hpp"
#include "schema/wire.hpp"

namespace finchlink::config {

/// Labels of a worker, by key.
using Labels = std::map<std::string, std::string>;

/// Whether a selector matches the labels (docs/design.md section 2.3): the
/// operators equals, in, notin and exists, combined by all, any and none. An
/// empty selector matches everything.
[[nodiscard]] bool selects(schema::Selector const& selector, Labels const& labels);

/// Region of a zone; empty if the setup names none.
[[nodiscard]] std::string region_of(schema::Setup const& setup, std::string const& zone);

/// All labels of a worker. Sources in this order, later ones win: the platform,
/// its zone, its location and kind, and the additions of the setup.
[[nodiscard]] Labels worker_labels(schema::Setup const& setup, schema::WorkerEntry const& worker);

}  // namespace finchlink::config
