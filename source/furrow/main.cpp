#include <memory>

#include "furrow/field/field.hpp"
#include "furrow/news/news.hpp"
#include "furrow/query/session.hpp"
#include "furrow/relay/station.hpp"
#include "loam/constants.hpp"
#include "loam/process/process.hpp"
#include "loam/random/random.hpp"
#include "platform/dialect.hpp"
#include "platform/listing.hpp"
#include "platform/notation.hpp"
#include "platform/settings.hpp"

int main(int count, char** values) {
  using namespace finchlink;
  std::unique_ptr<loam::Caller> caller;
  std::unique_ptr<furrow::Field> field;
  std::unique_ptr<furrow::Station> station;
  loam::Daemon daemon;
  daemon.program = "furrow";
  daemon.needed = {"name", "hall", "http_address", "seeds"};
  daemon.settings_path = platform::settings_path;
  daemon.read_settings = platform::read_settings;
  daemon.begin = [&](boost::asio::io_context& context, schema::Settings const& settings) -> absl::Status {
    if (platform::settings_path().has_value()) {
      furrow::ListReader const reader = [&context](std::string const& address, loam::Yield yield) {
        return platform::read_list(context, address, loam::constants::list_deadline, yield);
      };
      station = std::make_unique<furrow::Station>(context, settings, platform::dialect(), platform::notation(), reader,
                                                  loam::random_identity());
      return station->begin();
    }
    if (settings.relay) {
      if (settings.threads != 1) {
        return absl::InvalidArgumentError("/threads must be 1 for a relay");
      }
      station = std::make_unique<furrow::Station>(context, settings, furrow::own_dialect(), config::own_notation(),
                                                  furrow::ListReader(), loam::random_identity());
      return station->begin();
    }
    caller = std::make_unique<loam::Caller>(context);
    field = std::make_unique<furrow::Field>(context, settings, loam::random_identity());
    absl::Status const status = loam::listen(
        context, settings.http_address, settings.connections,
        [&field](loam::Stream& stream, loam::Yield yield) { furrow::serve_caller(*field, stream, yield); });
    if (!status.ok()) {
      return status;
    }
    furrow::begin_news(context, *caller, *field, settings.seeds);
    furrow::begin_watch(context, *field);
    return absl::OkStatus();
  };
  daemon.drain = [&](loam::Moment) {
    if (station != nullptr) {
      station->drain();
    } else {
      field->drain();
    }
  };
  daemon.busy = [&] { return station != nullptr ? station->busy() : field->busy(); };
  daemon.changed = [&](schema::Settings const& settings) {
    if (station != nullptr) {
      station->renew(settings);
    }
  };
  return loam::run_daemon(daemon, count, values);
}
