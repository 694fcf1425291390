#include <memory>

#include "furrow/field/field.hpp"
#include "furrow/news/news.hpp"
#include "furrow/query/session.hpp"
#include "loam/constants.hpp"
#include "loam/process/process.hpp"
#include "loam/random/random.hpp"

int main(int count, char** values) {
  using namespace finchlink;
  std::unique_ptr<loam::Caller> caller;
  std::unique_ptr<furrow::Field> field;
  loam::Daemon daemon;
  daemon.program = "furrow";
  daemon.needed = {"name", "hall", "http_address", "seeds"};
  daemon.begin = [&caller, &field](boost::asio::io_context& context, schema::Settings const& settings) -> absl::Status {
    caller = std::make_unique<loam::Caller>(context);
    field = std::make_unique<furrow::Field>(context, settings, loam::random_identity());
    absl::Status const status = loam::listen(context, settings.http_address, settings.connections, [&field](loam::Stream& stream, loam::Yield yield) {
      furrow::serve_caller(*field, stream, yield);
    });
    if (!status.ok()) {
      return status;
    }
    furrow::begin_news(context, *caller, *field, settings.seeds);
    furrow::begin_watch(context, *field);
    return absl::OkStatus();
  };
  daemon.drain = [&field] { field->drain(); };
  daemon.busy = [&field] { return field->busy(); };
  return loam::run_daemon(daemon, count, values);
}
