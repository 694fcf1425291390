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

/// The control plane of one machine.
struct Program {
  std::unique_ptr<common::Caller> caller;
  std::unique_ptr<control_plane::AcceptorService> holder;
  std::unique_ptr<control_plane::RegisterClient> register_client;
  std::unique_ptr<control_plane::UpdateService> updates;
  std::unique_ptr<control_plane::LeasedTasks> duties;
  std::unique_ptr<control_plane::DepartureService> departure;
  std::unique_ptr<control_plane::Operator> operators;
};

common::Span span(std::uint64_t milliseconds) {
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
    bool const platform = platform::settings_path().has_value();
    schema::TimeBounds const& bounds = settings.bounds;
    program.caller = std::make_unique<common::Caller>(context);
    if (!settings.data_folder.empty()) {
      program.holder = std::make_unique<control_plane::AcceptorService>(
          context, *program.caller, settings.data_folder, settings.colleague_address,
          settings.founding ? settings.seeds : std::vector<std::string>());
    }
    program.register_client = std::make_unique<control_plane::RegisterClient>(
        context, *program.caller, identity, settings.seeds, span(bounds.confirm_pause_ms));
    if (program.holder != nullptr) {
      program.register_client->spread_to(control_plane::RegisterClient::OwnVoter{
          [&program] { return program.holder->incarnation(); },
          [&program](std::string const& name, schema::Ballot const& accepted, schema::Value const& value,
                     common::Yield yield) { program.holder->take_accepted(name, accepted, value, yield); }});
    }
    program.updates = std::make_unique<control_plane::UpdateService>(
        context, *program.caller, *program.register_client, program.holder.get(), settings, identity,
        platform ? control_plane::ListReader(platform::read_list) : control_plane::ListReader());
    program.duties = std::make_unique<control_plane::LeasedTasks>(
        context, *program.caller, *program.register_client, *program.updates, program.holder.get(), identity, settings,
        platform ? platform::notation() : config::native_format());
    program.departure = std::make_unique<control_plane::DepartureService>(
        context, *program.register_client, *program.updates, *program.duties, program.holder.get());
    program.operators = std::make_unique<control_plane::Operator>(
        context, *program.register_client, *program.updates, program.holder.get(),
        [&program] { return program.duties->describe(); }, platform ? platform::notation() : config::native_format(),
        platform ? platform::operator_paths() : control_plane::OperatorPaths(), span(bounds.acknowledge_wait_ms));
    absl::Status status = common::serve_frames(
        context, settings.colleague_address, settings.connections,
        [&program](schema::Message const& message, common::Yield yield) -> std::optional<schema::Message> {
          if (schema::NewsAsk const* const ask = std::get_if<schema::NewsAsk>(&message)) {
            return program.updates->ask(*ask, yield);
          }
          if (schema::Tell const* const tell = std::get_if<schema::Tell>(&message)) {
            return program.updates->tell(*tell);
          }
          schema::PieceRequest const* const piece = std::get_if<schema::PieceRequest>(&message);
          if (piece != nullptr && piece->key.revision != 0) {
            return program.updates->piece(*piece);
          }
          if (program.holder == nullptr) {
            return schema::Message(schema::Unknown{"this trellis holds no register"});
          }
          return program.holder->receive(message, yield);
        });
    if (!status.ok()) {
      return status;
    }
    status =
        common::serve_asks(context, settings.http_address, settings.connections, constants::routing_config_limit,
                           [&program](common::Ask const& ask, common::CallerConnection const& caller,
                                      common::Yield yield) { return program.operators->answer(ask, caller, yield); });
    if (!status.ok()) {
      return status;
    }
    if (program.holder != nullptr) {
      program.holder->begin();
    }
    program.register_client->begin();
    program.updates->begin();
    program.duties->begin();
    return absl::OkStatus();
  };
  daemon.settings_path = platform::settings_path;
  daemon.read_settings = platform::read_settings;
  daemon.changed = [&program](schema::Settings const& settings) {
    program.register_client->follow(settings.seeds, span(settings.bounds.confirm_pause_ms));
    program.updates->follow(settings);
    program.duties->follow(settings);
    program.operators->follow(span(settings.bounds.acknowledge_wait_ms));
  };
  daemon.drain = [&program](common::Moment until) { program.departure->begin(until); };
  daemon.busy = [&program] {
    // Both are asked each time: the departure counts on being asked without gaps.
    bool const departing = program.departure->busy();
    return departing || program.operators->busy();
  };
  return common::run_daemon(daemon, count, values);
}
