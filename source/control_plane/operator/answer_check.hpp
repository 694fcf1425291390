#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::control_plane {

/// What a register's operators were told so far, when a request came.
struct ToldFloor {
  common::Moment arrival = 0;
  std::uint64_t revision = 0;
};

/// Checks what this process tells operators of registers against what it told
/// before (invariants read_after_request, answer_not_older, acknowledged_as_validated,
/// base_taken_once and charter_number_rises). Safe from any thread; no clock, no I/O.
class AnswerCheck {
 public:
  /// A request about the register came.
  [[nodiscard]] ToldFloor begin(std::string const& name, common::Moment arrival);
  /// The value is told; a majority read that began at `confirmed_from` stands behind it.
  void answered(std::string const& name, ToldFloor const& floor, schema::Value const& value,
                common::Moment confirmed_from);
  /// Yes is said to a change that was chosen now.
  void acknowledged(std::string const& name, schema::Value const& chosen);
  /// The same, where the digest of the content that was found valid is known.
  void acknowledged(std::string const& name, schema::Value const& chosen, std::string const& valid_digest);
  /// Yes is said to a change that named the version which it builds on.
  void acknowledged_on(std::string const& name, std::uint64_t base, std::string const& change);

 private:
  struct Told {
    std::uint64_t revision = 0;
    std::uint64_t number = 0;
    std::map<std::uint64_t, std::string> taken;  ///< by base version: the change that was acknowledged
  };
  void tell(std::string const& name, schema::Value const& value);

  std::mutex lock_;
  std::map<std::string, Told> told_;
};

}  // namespace finchlink::control_plane
