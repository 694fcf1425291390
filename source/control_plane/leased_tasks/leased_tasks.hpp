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

/// Duties that one trellis does at a time, each under a lease (section 7.2): the
/// scaler of each region. And what each trellis with a disk does for itself: it
/// takes a place in the holder set when one is free or lost (section 5.5).
class LeasedTasks {
 public:
  LeasedTasks(boost::asio::io_context& context, common::Caller& caller, RegisterClient& register_client,
              UpdateService& updates, AcceptorService* holder, std::uint64_t identity, schema::Settings const& settings,
              config::RoutingConfigFormat notation);
  void begin();
  /// Settings that changed.
  void follow(schema::Settings const& settings);
  [[nodiscard]] std::string describe();
  /// Gives all leases back, since this process ends; another may take them at
  /// once instead of when they run out.
  void release();
  /// Whether the acceptors are still being told of that.
  [[nodiscard]] bool releasing() const { return releasing_; }

 private:
  /// Runs the lease of one duty; `step` is called again and again while held.
  void run(std::string const& name, std::function<bool()> const& wanted,
           std::function<void(std::function<bool()> const&, common::Yield)> const& step);
  void join(common::Yield yield);
  void spread_set(common::Yield yield);
  void feed_scalers();
  void scale(std::string const& region, std::function<bool()> const& held, common::Yield yield);
  [[nodiscard]] schema::Setup setup();
  /// Whose a region's scaler is: of the trellises inside it, and from outside
  /// only when none of them is left to do it.
  [[nodiscard]] bool on_duty(std::string const& region,
                             std::function<std::string(std::string const&)> const& region_of);
  /// The pools of the charter in force; none while the scaler is off (section 13.11).
  [[nodiscard]] std::map<std::string, scheduling::Pool> pools();
  void scale_pool(std::string const& name, scheduling::Pool const& pool, std::function<bool()> const& held,
                  common::Yield yield);
  void write_split(std::string const& name, std::uint64_t revision, schema::Split const& split,
                   std::function<bool()> const& held, common::Yield yield);
  [[nodiscard]] schema::Settings settings();

  boost::asio::io_context& context_;
  common::Caller& caller_;
  RegisterClient& register_;
  UpdateService& updates_;
  AcceptorService* holder_;
  std::uint64_t identity_;
  schema::Settings settings_;
  config::RoutingConfigFormat notation_;
  std::string address_;
  std::size_t wanted_holders_;
  std::mutex lock_;
  struct Tenant {
    std::shared_ptr<lease::LeaseHolder> lease;
    std::shared_ptr<std::mutex> lock;
  };
  std::vector<Tenant> tenants_;
  std::atomic<bool> releasing_ = false;
  std::map<std::string, bool> held_;
  std::map<std::string, std::string> reasons_;
  std::map<std::string, scheduling::Scaler> scalers_;
  std::uint64_t setup_revision_ = 0;
  schema::Setup setup_;
  std::uint64_t routing_config_revision_ = 0;
  schema::Charter routing_config_;
  membership::VoterProbes looks_;
};

}  // namespace finchlink::control_plane
