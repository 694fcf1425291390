#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/time/moment.hpp"
#include "scheduling/model/model.hpp"
#include "scheduling/prefix/prefix_record.hpp"
#include "schema/setup.hpp"

namespace finchlink::scheduling {

enum class Phase { prefill, decode, both };
[[nodiscard]] Phase phase_of(std::string const& text);

/// A worker as it is wanted now (section 8.5): the loop compares this with what is.
struct DesiredWorker {
  std::string id;
  std::string address;
  Phase phase = Phase::both;
  WorkerModel model;
  bool usable = true;                   ///< listed, not draining, its hall not evacuated
  bool tended = false;                  ///< this furrow is the one that ramps it
  std::vector<std::string> warm_boots;  ///< boots that some furrow knows to be warm
};

/// One leg of a query that wants a worker.
struct Ticket {
  std::uint64_t id = 0;
  std::string rule;
  std::vector<std::string> allowed;  ///< workers that the rule's selector names
  std::vector<std::uint64_t> chain;
  double tokens = 0;
  double outputs = 0;
  Phase phase = Phase::both;
  common::Moment deadline = 0;
  std::uint64_t waitlist_bound = 64;
  bool begun = false;  ///< a leg of it ran already: it waits, whatever the bound
};

struct Go {
  std::uint64_t ticket = 0;
  std::string worker;
  std::string address;
  double cached = 0;
  double predicted_seconds = 0;
};
struct Denied {
  std::uint64_t ticket = 0;
  std::string reason;
  double expected_seconds = 0;  ///< how long it would have waited
};
using PlacementAction = std::variant<Go, Denied>;

/// What a refused caller is told (section 9.8): the expected wait, and spread
/// over as much again, so that a crowd does not come back as one. `draw` is
/// from 0 to 1.
[[nodiscard]] int retry_after_with_jitter(double expected_seconds, double draw);

enum class Ending { good, refused, failure, abandoned };

/// Rules that tests switch off to show that they are needed (docs/proofs.md).
struct PlacementGuards {
  bool finish_begun = true;  ///< the second leg of a query is not refused for a full waitlist
  bool doubt = true;         ///< a worker that missed a look may be back cold already
  bool count_others = true;  ///< a ramp counts what others have on the worker
};

/// Where each query lands within a region (section 8): plain state, one per
/// shard, each under its own lock in the shell.
class Placement {
 public:
  explicit Placement(PlacementGuards guards = {}) : guards_(guards) {}
  [[nodiscard]] std::vector<PlacementAction> update(std::vector<DesiredWorker> const& desired_workers,
                                                    schema::WorkerBounds const& bounds, schema::ScalerAims const& aims,
                                                    std::size_t proxies, common::Moment now);
  [[nodiscard]] std::vector<PlacementAction> load(std::string const& worker, double running, double waiting,
                                                  std::string const& boot, common::Moment now);
  /// The worker did not tell its load.
  [[nodiscard]] std::vector<PlacementAction> load_missed(std::string const& worker, common::Moment now);
  /// Its kept connection closed: it is gone for now, whatever comes back is cold.
  [[nodiscard]] std::vector<PlacementAction> lost(std::string const& worker, common::Moment now);
  [[nodiscard]] std::vector<PlacementAction> enqueue(Ticket const& ticket, common::Moment now);
  /// The first token came: its prefill is over.
  void first_token(std::uint64_t ticket, common::Moment now);
  [[nodiscard]] std::vector<PlacementAction> finished(std::uint64_t ticket, Ending ending, common::Moment now);
  [[nodiscard]] std::vector<PlacementAction> cancel(std::uint64_t ticket, common::Moment now);
  [[nodiscard]] std::vector<PlacementAction> tick(common::Moment now);

  /// Can it take queries that other furrows pass on?
  [[nodiscard]] bool room(common::Moment now) const;
  [[nodiscard]] std::vector<std::string> warm() const;
  [[nodiscard]] std::size_t waiting() const;
  [[nodiscard]] std::uint64_t moved() const { return moved_; }
  [[nodiscard]] std::uint64_t reused_tokens() const { return static_cast<std::uint64_t>(reused_tokens_); }
  [[nodiscard]] std::uint64_t placed_tokens() const { return static_cast<std::uint64_t>(placed_tokens_); }
  /// What runs on a worker, waiting left out: the batch that the decode fit sees.
  [[nodiscard]] double running_on(std::string const& worker) const;

 private:
  struct Running {
    Ticket ticket;
    common::Moment since = 0;
    double predicted = 0;
    bool first = false;
  };
  struct Waiting {
    Ticket ticket;
    double predicted = 0;
  };
  struct Worker {
    DesiredWorker desired;
    bool listed = true;
    PrefixRecord record;
    std::map<std::uint64_t, Running> running;
    std::deque<Waiting> waiting;
    bool heard = false;
    int misses = 0;
    double told_total = 0;
    double told_running = 0;
    std::string boot;
    bool warm = false;
    common::Moment warming_since = 0;
    std::uint64_t good = 0;
    std::size_t own_at_look = 0;  ///< own queries there when its load was last told
    common::Moment rest_until = 0;
    common::Span rest = 0;
    double service_seconds = 0.2;
  };

  [[nodiscard]] bool open(Worker const& worker, common::Moment now) const;
  [[nodiscard]] std::size_t ramp(Worker const& worker, common::Moment now) const;
  [[nodiscard]] std::size_t window(Worker const& worker, common::Moment now) const;
  [[nodiscard]] double cached_tokens(Worker const& worker, Ticket const& ticket) const;
  [[nodiscard]] double predict(Worker const& worker, Ticket const& ticket, common::Moment now) const;
  [[nodiscard]] bool fits(Worker const& worker, Ticket const& ticket) const;
  [[nodiscard]] bool has_place(Worker const& worker, common::Moment now) const;
  [[nodiscard]] std::string choose_free(Ticket const& ticket, common::Moment now) const;
  [[nodiscard]] std::string choose(Ticket const& ticket, common::Moment now) const;
  void place(Ticket const& ticket, bool bounded, common::Moment now, std::vector<PlacementAction>& actions);
  void left_waitlist(Ticket const& ticket);
  void launch(Worker& worker, Ticket const& ticket, common::Moment now, std::vector<PlacementAction>& actions);
  void fill(Worker& worker, common::Moment now, std::vector<PlacementAction>& actions);
  void move_out(Worker& worker, bool all, common::Moment now, std::vector<PlacementAction>& actions);
  void settle_warmth(Worker& worker, common::Moment now);
  [[nodiscard]] std::size_t full_window() const;

  PlacementGuards guards_;
  schema::WorkerBounds bounds_;
  schema::ScalerAims aims_;
  std::size_t proxies_ = 1;
  std::map<std::string, Worker> workers_;
  std::map<std::uint64_t, std::string> where_;
  std::map<std::string, std::uint64_t> waiting_by_rule_;
  std::map<std::string, std::uint64_t> begun_waiting_;  ///< of them those that have run in part
  std::uint64_t moved_ = 0;
  double reused_tokens_ = 0;
  double placed_tokens_ = 0;
};

}  // namespace finchlink::scheduling
