#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// How a dispatch ended, seen from this furrow.
enum class Outcome { good, refused, unreachable, failure, abandoned, misdirected };

/// Evidence of one worker: what this furrow saw, nothing that others say.
struct Sent {
  std::uint64_t ticket = 0;
  common::Moment due = 0;  ///< by when a first token is predicted
};
struct FirstToken {
  std::uint64_t ticket = 0;
};
/// Bytes of any answer.
struct Heard {};
struct Ended {
  std::uint64_t ticket = 0;
  Outcome outcome = Outcome::success;
};
using Evidence = std::variant<Sent, FirstToken, Heard, Ended>;

/// The worker may have lost what it kept.
struct MayHaveForgotten {};
using OutlierAction = std::variant<MayHaveForgotten>;

struct Open {};
/// Out of a rest: one query at a time until it is heard.
struct OnTrial {};
struct Resting {
  common::Moment until = 0;
};
using Verdict = std::variant<Open, OnTrial, Resting>;

/// What the judge needs to know of a worker, from the list.
struct Subject {
  std::string worker;
  std::string pool;  ///< workers that can stand in for each other: a region's of one service
  std::string hall;
  bool serving = true;  ///< neither draining nor in an evacuated hall
};

/// Rules that tests switch off to show that they are needed.
struct OutlierGuards {
  bool rest = true;
  bool ejection_bound = true;  ///< the least bad serve when too many of a pool are ill
  bool zone_suspicion = true;  ///< two workers of a hall out of reach: the others come last
};

/// Workers judged by what they do (section 13.7): plain state; every message
/// carries its moment.
class OutlierDetector {
 public:
  /// Names an admitted worker; looking it up by text for each query costs too much.
  using Handle = std::size_t;

  explicit OutlierDetector(OutlierGuards guards = {}) : guards_(guards) {}
  /// The same worker keeps its handle until it is dismissed.
  Handle admit(Subject const& subject);
  void dismiss(std::string const& worker);
  std::vector<OutlierAction> take(Handle worker, Evidence const& evidence, common::Moment now);

  [[nodiscard]] Verdict verdict(Handle worker, common::Moment now) const;
  /// Does it rest for what it did to queries, not for being full or gone?
  [[nodiscard]] bool ejected(Handle worker, common::Moment now) const;
  /// Is a first token of this dispatch still waited for?
  [[nodiscard]] bool awaits(Handle worker, std::uint64_t ticket) const;
  /// Seconds by which its oldest own query is later than predicted: what others
  /// have it read can't be seen, but it shows here.
  [[nodiscard]] double overdue(Handle worker, common::Moment now) const;
  /// Two workers of its hall could not be reached of late, and it was not heard since.
  [[nodiscard]] bool zone_dark(Handle worker, common::Moment now) const;
  [[nodiscard]] common::Moment heard_at(Handle worker) const { return records_[worker].heard_at; }

 private:
  /// A query of this furrow that has had no first token yet.
  struct Pending {
    std::uint64_t ticket = 0;
    common::Moment due = 0;
  };
  struct Record {
    Subject subject;
    std::vector<Pending> pending;
    common::Moment heard_at = 0;
    common::Moment rest_until = 0;  ///< it refused, or another has its address
    common::Moment ill_until = 0;   ///< it failed queries
    common::Span rest = 0;          ///< the last pause for that
    bool trial = false;
  };
  void act(Record& record, Sent const& sent, common::Moment now, std::vector<OutlierAction>& actions);
  void act(Record& record, FirstToken const& first, common::Moment now, std::vector<OutlierAction>& actions);
  void act(Record& record, Heard const& heard, common::Moment now, std::vector<OutlierAction>& actions);
  void act(Record& record, Ended const& ended, common::Moment now, std::vector<OutlierAction>& actions);

  void enter(Handle worker, bool in);

  OutlierGuards guards_;
  std::vector<Record> records_;
  std::vector<Handle> vacant_;
  std::map<std::string, Handle> handles_;
  std::map<std::string, std::vector<Handle>> pools_;  ///< those that serve
  /// Workers of a hall that could not be reached lately, none heard since.
  std::map<std::string, std::map<std::string, common::Moment>> dark_;
};

}  // namespace finchlink::scheduling
