#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "common/time/moment.hpp"
#include "schema/settings.hpp"

namespace finchlink::common {

/// Settings from a file that another system writes and changes (section 13.2). The file
/// is reloaded on SIGHUP and when its modification time or size changes. If it can't be
/// read, or its time bounds are inconsistent, the old settings stay in force.
class SettingsWatcher {
 public:
  using Reader = std::function<absl::StatusOr<schema::Settings>(std::string const& path)>;
  using Changed = std::function<void(schema::Settings const&)>;

  SettingsWatcher(std::string path, Reader reader, Changed changed)
      : path_(std::move(path)), reader_(std::move(reader)), changed_(std::move(changed)) {}
  /// Reads the file for the first time; options that it can't hold are taken from `given`.
  [[nodiscard]] absl::Status begin(schema::Settings const& given);
  /// Reads the file; settings that differ and are valid come into force and are passed to `changed`.
  void read();
  /// Calls read() if the file changed since it was last read.
  void poll();
  [[nodiscard]] schema::Settings const& settings() const { return settings_; }
  /// Starts the loops that handle SIGHUP and poll the file after each pause.
  void run(boost::asio::io_context& context, Span pause);

 private:
  /// Modification time and size: detect a change of the file without reading it.
  struct Stamp {
    std::int64_t second = 0;
    std::int64_t nanosecond = 0;
    std::int64_t size = -1;
    friend bool operator==(Stamp const&, Stamp const&) = default;
  };
  [[nodiscard]] Stamp stamp() const;
  /// Reads the file and checks the time bounds.
  [[nodiscard]] absl::StatusOr<schema::Settings> read_checked() const;

  std::string path_;
  Reader reader_;
  Changed changed_;
  Stamp read_stamp_;
  schema::Settings settings_;
};

}  // namespace finchlink::common
