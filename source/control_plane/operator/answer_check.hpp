#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::control_plane {

/// What had been answered about a register when a request arrived.
struct RevisionFloor {
  common::Moment arrival = 0;
  std::uint64_t revision = 0;  ///< the newest that was answered or acknowledged
};

/// Checks this process's answers to operators about registers against its earlier answers (invariants
/// read_after_request, answer_not_older, acknowledged_as_validated, base_taken_once and charter_number_rises).
/// Thread-safe; has no clock and no I/O.
class AnswerCheck {
 public:
  /// Call when a request about the register arrives; pass the result to answered().
  [[nodiscard]] RevisionFloor begin(std::string const& name, common::Moment arrival);
  /// The value is answered, confirmed by a majority read that began at `confirmed_from`.
  void answered(std::string const& name, RevisionFloor const& floor, schema::Value const& value,
                common::Moment confirmed_from);
  /// A change that was chosen just now is acknowledged.
  void acknowledged(std::string const& name, schema::Value const& chosen);
  /// The same, for a change whose validated content has the digest `valid_digest`.
  void acknowledged(std::string const& name, schema::Value const& chosen, std::string const& valid_digest);
  /// A change that names its base version is acknowledged.
  void acknowledged_on(std::string const& name, std::uint64_t base, std::string const& change);

 private:
  /// The newest revision that was answered or acknowledged, and what is checked against later ones.
  struct LastAnswer {
    std::uint64_t revision = 0;
    std::uint64_t number = 0;                             ///< the routing configuration's own number
    std::map<std::uint64_t, std::string> change_by_base;  ///< the acknowledged change's id, by base version
  };
  void record_answer(std::string const& name, schema::Value const& value);

  std::mutex lock_;
  std::map<std::string, LastAnswer> last_answers_;
};

}  // namespace finchlink::control_plane
