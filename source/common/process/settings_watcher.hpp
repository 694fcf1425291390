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

/// Settings of a file that someone else writes and changes (section 13.2): what
/// is in force, read anew on SIGHUP and when the file's stamp changes. A file
/// that can't be read, or whose bounds don't add up, leaves the old in force.
class Followed {
 public:
  using Reader = std::function<absl::StatusOr<schema::Settings>(std::string const& path)>;
  using Changed = std::function<void(schema::Settings const&)>;

  Followed(std::string path, Reader reader, Changed changed)
      : path_(std::move(path)), reader_(std::move(reader)), changed_(std::move(changed)) {}
  /// The first reading; options that the file does not tell are `given`'s.
  [[nodiscard]] absl::Status begin(schema::Settings const& given);
  /// Reads the file; what is new and good is in force from here on.
  void read();
  /// The same if the file changed since it was read.
  void look();
  [[nodiscard]] schema::Settings const& settings() const { return settings_; }
  /// Follows signals, and looks at the file after each pause.
  void run(boost::asio::io_context& context, Span pause);

 private:
  /// What tells one state of a file from another without reading it.
  struct Stamp {
    std::int64_t second = 0;
    std::int64_t nanosecond = 0;
    std::int64_t size = -1;
    friend bool operator==(Stamp const&, Stamp const&) = default;
  };
  [[nodiscard]] Stamp stamp() const;
  [[nodiscard]] absl::StatusOr<schema::Settings> checked() const;

  std::string path_;
  Reader reader_;
  Changed changed_;
  Stamp read_at_;
  schema::Settings settings_;
};

}  // namespace finchlink::common
