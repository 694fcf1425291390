#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "config/routing/routing_config.hpp"
#include "control_plane/acceptor/acceptor_service.hpp"
#include "control_plane/register_client/register_client.hpp"
#include "control_plane/updates/updates.hpp"
#include "lease/lease_holder.hpp"
#include "membership/reconfiguration/voter_probes.hpp"
#include "scheduling/scaler/pools.hpp"
#include "scheduling/scaler/scaler.hpp"

namespace finchlink::control_plane {

/// Runs the tasks that one controller at a time does under a lease (section 7.2): the scaler of each region. It also
/// runs what each controller with a disk does for itself: it joins the voter set when a place is free or a voter is
/// lost (section 5.5).
class LeasedTasks {
 public:
  /// The references must outlive this object. `acceptor` is null where this process has no disk. `identity` is this
  /// process's identity towards the lease granters.
  LeasedTasks(boost::asio::io_context& context, common::FrameClient& caller, RegisterClient& register_client,
              UpdateService& updates, AcceptorService* acceptor, std::uint64_t identity,
              schema::Settings const& settings, config::RoutingConfigFormat notation);
  /// Starts the loops; called once.
  void begin();
  /// Takes settings that changed while the process runs.
  void apply_settings(schema::Settings const& settings);
  /// Returns a JSON object of all tasks: whether each runs here, and the reason for its latest decision.
  [[nodiscard]] std::string describe();
  /// Releases all leases because this process ends, so that another controller can acquire them at once instead of
  /// when they expire.
  void release_leases();
  /// Whether calls that release the leases are still in progress.
  [[nodiscard]] bool releasing() const { return releasing_; }

 private:
  /// Starts the loops that keep the lease of one task while `is_wanted` returns true, and that call `step` periodically
  /// while the lease is held. `step` gets a predicate that tells whether it is still held.
  void run_task(std::string const& name, std::function<bool()> const& is_wanted,
                std::function<void(std::function<bool()> const&, common::Yield)> const& step);
  /// Proposes a voter set with this process's acceptor in it, if it isn't a voter and a place is free or a voter lost.
  void join(common::Yield yield);
  /// Installs a newer voter set at acceptors that lag behind, the local one first.
  void spread_voter_set(common::Yield yield);
  /// Hands the proxies' reports to the scalers they belong to.
  void feed_scalers();
  /// Runs one scaler step for a region of the setup.
  void scale_region(std::string const& region, std::function<bool()> const& is_held, common::Yield yield);
  /// Returns the setup in force, parsed again only when its revision changed.
  [[nodiscard]] schema::Setup setup();
  /// Whether this controller may run the region's scaler: it is in the region, or the region has no controller left.
  /// `region_of` maps a zone to its region.
  [[nodiscard]] bool is_responsible_for(std::string const& region,
                                        std::function<std::string(std::string const&)> const& region_of);
  /// Returns the pools of the routing configuration in force, by name; none while the scaler is off (section 13.11).
  [[nodiscard]] std::map<std::string, scheduling::Pool> pools();
  /// Runs one scaler step for a pool of the routing configuration.
  void scale_pool(std::string const& name, scheduling::Pool const& pool, std::function<bool()> const& is_held,
                  common::Yield yield);
  /// Writes a split if the lease is held and the register is still at `revision`.
  void write_split(std::string const& name, std::uint64_t revision, schema::Split const& split,
                   std::function<bool()> const& is_held, common::Yield yield);
  /// Returns a copy of the settings, taken under the lock.
  [[nodiscard]] schema::Settings settings();

  boost::asio::io_context& context_;
  common::FrameClient& caller_;
  RegisterClient& register_;
  UpdateService& updates_;
  AcceptorService* acceptor_;  ///< null where this process has no disk
  std::uint64_t identity_;
  schema::Settings settings_;
  config::RoutingConfigFormat notation_;
  std::string address_;         ///< where peers reach this process
  std::size_t desired_voters_;  ///< size to which the voter set grows
  std::mutex lock_;             ///< guards the settings, setup, routing configuration, leases, scalers and maps
  /// The requester side of a task's lease, with the lock that guards it.
  struct TaskLease {
    std::shared_ptr<lease::LeaseHolder> lease;
    std::shared_ptr<std::mutex> lock;
  };
  std::vector<TaskLease> leases_;
  std::atomic<bool> releasing_ = false;
  std::map<std::string, bool> held_tasks_;             ///< by task name: whether the lease is held here
  std::map<std::string, std::string> reasons_;         ///< by task name: the reason for the latest decision
  std::map<std::string, scheduling::Scaler> scalers_;  ///< by region (setup) or pool name (routing configuration)
  std::uint64_t setup_revision_ = 0;
  schema::Setup setup_;
  std::uint64_t routing_config_revision_ = 0;
  schema::Charter routing_config_;
  membership::VoterProbes voter_probes_;
};

}  // namespace finchlink::control_plane
