#include "data_plane/relay/cold_state_checks.hpp"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <optional>
#include <string>

#include "common/http/http.hpp"
#include "common/relay_constants.hpp"
#include "data_plane/relay/relay_server.hpp"

namespace finchlink::data_plane {

namespace constants = common::constants;

namespace {
constexpr unsigned http_1_1 = 11;

/// How long the worker is cold by its answer; nothing if another worker answered, or none of this platform.
std::optional<common::Span> read_cold_span(common::Response const& answer, std::string const& worker,
                                           Dialect const& dialect) {
  if (std::string_view(answer[dialect.identity]) != worker) {
    return std::nullopt;
  }
  std::int64_t cold_ms = 0;
  if (!absl::SimpleAtoi(std::string(answer[dialect.cold_for]), &cold_ms) || cold_ms < 0) {
    return std::nullopt;
  }
  return common::milliseconds(std::min(cold_ms, constants::max_stated_cold_ms));
}

void check_cold_state(RelayServer& server, scheduling::WorkerSpec const& worker, std::string const& path,
                      common::Yield yield) {
  ++server.counters().cold_checks;
  common::Request request{common::http::verb::get, path, http_1_1};
  request.set(common::http::field::host, worker.address);
  common::Moment const asked_at = common::boot_now();
  absl::StatusOr<common::Response> const answer =
      common::send_request(server.context(), worker.address, std::move(request), constants::warm_confirmed_span,
                           constants::health_answer_limit, yield);
  if (!answer.ok()) {
    return;
  }
  std::optional<common::Span> const cold_span = read_cold_span(*answer, worker.id, server.dialect());
  if (cold_span.has_value()) {
    server.balancer().record_cold_state(worker.id, asked_at, *cold_span);
  }
}

void start_checks(RelayServer& server) {
  for (scheduling::WorkerSpec const& worker : server.balancer().workers_to_check(common::boot_now())) {
    schema::Service const* const service = server.route_table()->service(worker.service);
    if (service != nullptr && !service->probe.empty()) {
      spawn_small_stack(server.context(), [&server, worker, path = service->probe](common::Yield yield) {
        check_cold_state(server, worker, path, yield);
      });
    }
  }
}
}  // namespace

void check_cold_states(RelayServer& server, common::Yield yield) {
  while (true) {
    bool const soon_unknown =
        server.balancer().cold_state_unknown(common::boot_now() + constants::cold_check_idle_poll);
    if (server.route_table() != nullptr && soon_unknown) {
      start_checks(server);
    }
    common::pause(server.context(), soon_unknown ? constants::cold_check_poll : constants::cold_check_idle_poll, yield);
  }
}

}  // namespace finchlink::data_plane
