#pragma once

#include "furrow/field/field.hpp"
#include "loam/net/net.hpp"

namespace finchlink::furrow {

/// Serves the queries of one caller's connection, one after the other (section 9).
void serve_caller(Field& field, loam::Stream& stream, loam::Yield yield);

}  // namespace finchlink::furrow
