/// The proxy program `furrow`: an HTTP relay if a platform or the settings ask for one, else a proxy for workers with
/// finchlink's own contract.
#include <memory>

#include "common/constants.hpp"
#include "common/process/process.hpp"
#include "common/random/random.hpp"
#include "data_plane/proxy_state/proxy_state.hpp"
#include "data_plane/query/session.hpp"
#include "data_plane/relay/relay_server.hpp"
#include "data_plane/updates/updates.hpp"
#include "platform/dialect.hpp"
#include "platform/listing.hpp"
#include "platform/notation.hpp"
#include "platform/settings.hpp"

int main(int count, char** values) {
  using namespace finchlink;
  std::unique_ptr<common::FrameClient> caller;
  std::unique_ptr<data_plane::ProxyState> proxy;
  std::unique_ptr<data_plane::RelayServer> relay_server;
  common::Daemon daemon;
  daemon.program = "furrow";
  daemon.needed = {"name", "hall", "http_address", "seeds"};
  daemon.settings_path = platform::settings_path;
  daemon.read_settings = platform::read_settings;
  daemon.begin = [&](boost::asio::io_context& context, schema::Settings const& settings) -> absl::Status {
    if (platform::settings_path().has_value()) {
      data_plane::ListReader const reader = [&context](std::string const& address, common::Yield yield) {
        return platform::read_list(context, address, common::constants::list_deadline, yield);
      };
      relay_server = std::make_unique<data_plane::RelayServer>(context, settings, platform::dialect(),
                                                               platform::notation(), reader, common::random_identity());
      return relay_server->begin();
    }
    if (settings.relay) {
      if (settings.threads != 1) {
        return absl::InvalidArgumentError("/threads must be 1 for a relay");
      }
      relay_server = std::make_unique<data_plane::RelayServer>(context, settings, data_plane::own_dialect(),
                                                               config::native_format(), data_plane::ListReader(),
                                                               common::random_identity());
      return relay_server->begin();
    }
    caller = std::make_unique<common::FrameClient>(context);
    proxy = std::make_unique<data_plane::ProxyState>(context, settings, common::random_identity());
    std::shared_ptr<common::Admission> const admission =
        std::make_shared<common::Admission>(common::connection_limits(settings, {common::ListenerKind::callers}));
    absl::Status const status =
        common::listen(context, common::ListenAddress{settings.http_address, common::ListenerKind::callers, admission},
                       [&proxy](common::AcceptedStream const& connection, common::Yield yield) {
                         data_plane::serve_caller(*proxy, connection, yield);
                       });
    if (!status.ok()) {
      return status;
    }
    data_plane::start_updates(context, *caller, *proxy, settings.seeds);
    data_plane::start_load_probes(context, *proxy);
    return absl::OkStatus();
  };
  daemon.drain = [&](common::Moment) {
    if (relay_server != nullptr) {
      relay_server->drain();
    } else {
      proxy->drain();
    }
  };
  daemon.busy = [&] { return relay_server != nullptr ? relay_server->busy() : proxy->busy(); };
  daemon.changed = [&](schema::Settings const& settings) {
    if (relay_server != nullptr) {
      relay_server->update_settings(settings);
    }
  };
  return common::run_daemon(daemon, count, values);
}
