/// The control plane process of one machine: runs an operator command and exits, or serves as a daemon.
#include <memory>

#include "common/constants.hpp"
#include "common/process/process.hpp"
#include "common/random/random.hpp"
#include "control_plane/command/command.hpp"
#include "control_plane/departure/departure_service.hpp"
#include "control_plane/leased_tasks/leased_tasks.hpp"
#include "control_plane/operator/operator.hpp"
#include "platform/listing.hpp"
#include "platform/notation.hpp"
#include "platform/operator.hpp"
#include "platform/settings.hpp"

namespace {
using namespace finchlink;
namespace constants = common::constants;

/// The daemon's services, in order of construction. `acceptor` is null where the process has no disk.
struct Program {
  std::unique_ptr<common::FrameClient> caller;
  std::unique_ptr<control_plane::AcceptorService> acceptor;
  std::unique_ptr<control_plane::RegisterClient> register_client;
  std::unique_ptr<control_plane::UpdateService> updates;
  std::unique_ptr<control_plane::LeasedTasks> leased_tasks;
  std::unique_ptr<control_plane::DepartureService> departure;
  std::unique_ptr<control_plane::OperatorService> operator_service;
};

/// Converts a setting in milliseconds.
common::Span to_span(std::uint64_t milliseconds) {
  return common::milliseconds(static_cast<std::int64_t>(milliseconds));
}
}  // namespace

int main(int count, char** values) {
  if (control_plane::is_command(count, values)) {
    return control_plane::run_command(count, values);
  }
  Program program;
  common::Daemon daemon;
  daemon.program = "trellis";
  daemon.needed = {"name", "hall", "http_address", "colleague_address", "seeds"};
  daemon.begin = [&program](boost::asio::io_context& context, schema::Settings const& settings) -> absl::Status {
    std::uint64_t const identity = common::random_identity();
    bool const has_platform = platform::settings_path().has_value();
    schema::TimeBounds const& bounds = settings.bounds;
    program.caller = std::make_unique<common::FrameClient>(context);
    if (!settings.data_folder.empty()) {
      program.acceptor = std::make_unique<control_plane::AcceptorService>(
          context, *program.caller, settings.data_folder, settings.colleague_address,
          settings.founding ? settings.seeds : std::vector<std::string>());
    }
    program.register_client = std::make_unique<control_plane::RegisterClient>(
        context, *program.caller, identity, settings.seeds, to_span(bounds.confirm_pause_ms));
    if (program.acceptor != nullptr) {
      program.register_client->set_local_voter(control_plane::RegisterClient::LocalVoter{
          [&program] { return program.acceptor->incarnation(); },
          [&program](std::string const& name, schema::Ballot const& accepted, schema::Value const& value,
                     common::Yield yield) { program.acceptor->take_accepted(name, accepted, value, yield); }});
    }
    program.updates = std::make_unique<control_plane::UpdateService>(
        context, *program.caller, *program.register_client, program.acceptor.get(), settings, identity,
        has_platform ? control_plane::ListReader(platform::read_list) : control_plane::ListReader());
    program.leased_tasks = std::make_unique<control_plane::LeasedTasks>(
        context, *program.caller, *program.register_client, *program.updates, program.acceptor.get(), identity,
        settings, has_platform ? platform::notation() : config::native_format());
    program.departure = std::make_unique<control_plane::DepartureService>(
        context, *program.register_client, *program.updates, *program.leased_tasks, program.acceptor.get());
    program.operator_service = std::make_unique<control_plane::OperatorService>(
        context, *program.register_client, *program.updates, program.acceptor.get(),
        [&program] { return program.leased_tasks->describe(); },
        has_platform ? platform::notation() : config::native_format(),
        has_platform ? platform::operator_paths() : control_plane::OperatorPaths(),
        to_span(bounds.acknowledge_wait_ms));
    std::shared_ptr<common::Admission> const admission = std::make_shared<common::Admission>(
        common::connection_limits(settings, {common::ListenerKind::nodes, common::ListenerKind::operators}));
    absl::Status status = common::serve_frames(
        context, common::ListenAddress{settings.colleague_address, common::ListenerKind::nodes, admission},
        [&program](schema::Message const& message, common::Yield yield) -> std::optional<schema::Message> {
          if (schema::NewsAsk const* const request = std::get_if<schema::NewsAsk>(&message)) {
            return program.updates->handle_updates_request(*request, yield);
          }
          if (schema::Tell const* const gossip = std::get_if<schema::Tell>(&message)) {
            return program.updates->handle_gossip(*gossip);
          }
          schema::PieceRequest const* const piece = std::get_if<schema::PieceRequest>(&message);
          // A key with a revision names the content chosen as that revision; one without names a value by its digest,
          // which only an acceptor can look up.
          if (piece != nullptr && piece->key.revision != 0) {
            return program.updates->handle_piece_request(*piece);
          }
          if (program.acceptor == nullptr) {
            return schema::Message(schema::Unknown{"this trellis holds no register"});
          }
          return program.acceptor->receive(message, yield);
        });
    if (!status.ok()) {
      return status;
    }
    status = common::serve_requests(
        context, common::ListenAddress{settings.http_address, common::ListenerKind::operators, admission},
        constants::routing_config_limit,
        [&program](common::Request const& request, common::CallerConnection const& caller, common::Yield yield) {
          return program.operator_service->answer(request, caller, yield);
        });
    if (!status.ok()) {
      return status;
    }
    if (program.acceptor != nullptr) {
      program.acceptor->begin();
    }
    program.register_client->begin();
    program.updates->begin();
    program.leased_tasks->begin();
    return absl::OkStatus();
  };
  daemon.settings_path = platform::settings_path;
  daemon.read_settings = platform::read_settings;
  daemon.changed = [&program](schema::Settings const& settings) {
    program.register_client->follow(settings.seeds, to_span(settings.bounds.confirm_pause_ms));
    program.updates->apply_settings(settings);
    program.leased_tasks->apply_settings(settings);
    program.operator_service->follow(to_span(settings.bounds.acknowledge_wait_ms));
  };
  daemon.drain = [&program](common::Moment until) { program.departure->begin(until); };
  daemon.busy = [&program] {
    // Both are called each time: the departure relies on being polled without gaps.
    bool const is_departing = program.departure->busy();
    return is_departing || program.operator_service->busy();
  };
  return common::run_daemon(daemon, count, values);
}
