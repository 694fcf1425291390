#include "common/process/settings_watcher.hpp"

#include <sys/stat.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <memory>

#include "common/log/log.hpp"
#include "common/net/net.hpp"
#include "common/process/process.hpp"

namespace finchlink::common {

SettingsWatcher::Stamp SettingsWatcher::stamp() const {
  struct stat status {};
  if (stat(path_.c_str(), &status) != 0) {
    return Stamp{};
  }
  return Stamp{status.st_mtim.tv_sec, status.st_mtim.tv_nsec, status.st_size};
}

absl::StatusOr<schema::Settings> SettingsWatcher::read_checked() const {
  absl::StatusOr<schema::Settings> read = reader_(path_);
  absl::Status const good = read.ok() ? check_bounds(read->bounds) : read.status();
  return good.ok() ? std::move(read) : absl::StatusOr<schema::Settings>(good);
}

absl::Status SettingsWatcher::begin(schema::Settings const& given) {
  read_stamp_ = stamp();
  absl::StatusOr<schema::Settings> fresh = read_checked();
  if (fresh.ok()) {
    keep_command_line_options(given, *fresh);
    settings_ = std::move(*fresh);
  }
  return fresh.status();
}

void SettingsWatcher::read() {
  read_stamp_ = stamp();
  absl::StatusOr<schema::Settings> fresh = read_checked();
  if (!fresh.ok()) {
    log_event(Event::SettingsBroken, std::string(fresh.status().message()));
    return;
  }
  keep_command_line_options(settings_, *fresh);
  if (*fresh == settings_) {
    return;
  }
  settings_ = std::move(*fresh);
  log_event(Event::SettingsRead, path_);
  if (changed_) {
    changed_(settings_);
  }
}

void SettingsWatcher::poll() {
  if (!(stamp() == read_stamp_)) {
    read();
  }
}

void SettingsWatcher::run(boost::asio::io_context& context, Span span) {
  std::shared_ptr<boost::asio::signal_set> const hangups = std::make_shared<boost::asio::signal_set>(context, SIGHUP);
  start(context, [this, hangups](Yield yield) {
    while (true) {
      boost::system::error_code error;
      hangups->async_wait(yield[error]);
      if (error) {
        return;
      }
      read();
    }
  });
  start(context, [this, &context, span](Yield yield) {
    while (true) {
      pause(context, span, yield);
      poll();
    }
  });
}

}  // namespace finchlink::common
