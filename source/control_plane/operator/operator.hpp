#pragma once

#include <atomic>

#include "common/constants.hpp"
#include "common/http/http.hpp"
#include "config/change/proposal.hpp"
#include "config/evacuation/proposal.hpp"
#include "config/routing/proposal.hpp"
#include "control_plane/operator/answer_check.hpp"
#include "control_plane/operator/health.hpp"
#include "control_plane/operator/paths.hpp"
#include "control_plane/operator/read_latency.hpp"
#include "control_plane/register_client/register_client.hpp"
#include "control_plane/updates/updates.hpp"

namespace finchlink::control_plane {

/// The control plane's HTTP interface for operators (docs/operating/setup.md): reads and changes of the setup and the
/// routing configuration, zone drains, status and metrics.
class OperatorService {
 public:
  /// `acceptor` is null where this process has no disk; `describe_tasks` describes the leased tasks as JSON;
  /// `acknowledge_wait` is the wait in microseconds between a choice and its acknowledgement. What is passed by
  /// reference or pointer must outlive the service.
  OperatorService(boost::asio::io_context& context, RegisterClient& register_client, UpdateService& updates,
                  AcceptorService* acceptor, std::function<std::string()> describe_tasks,
                  config::RoutingConfigFormat notation = config::native_format(), OperatorPaths paths = {},
                  common::Span acknowledge_wait = common::constants::acknowledge_wait)
      : context_(context),
        register_(register_client),
        updates_(updates),
        acceptor_(acceptor),
        health_(register_client, updates, acceptor),
        describe_tasks_(std::move(describe_tasks)),
        notation_(std::move(notation)),
        paths_(std::move(paths)),
        acknowledge_wait_(acknowledge_wait) {}
  /// Applies changed settings.
  void follow(common::Span acknowledge_wait) { acknowledge_wait_ = acknowledge_wait; }
  /// Handles one HTTP request; may wait for a majority read, a change or its acknowledgement.
  [[nodiscard]] common::Response answer(common::Request const& request, common::CallerConnection const& caller,
                                        common::Yield yield);
  /// Whether calls are in progress.
  [[nodiscard]] bool busy() const { return open_calls_ > 0; }

 private:
  [[nodiscard]] common::Response answer_routing_config(common::Request const& request, common::Yield yield);
  [[nodiscard]] common::Response get_routing_config(common::Yield yield);
  [[nodiscard]] common::Response change_routing_config(common::Request const& request, bool patch, common::Yield yield);
  [[nodiscard]] common::Response get_drained_zones(common::Yield yield);
  /// Drains the zone or restores it.
  [[nodiscard]] common::Response set_zone_drained(std::string const& zone, bool drained,
                                                  common::CallerConnection const& caller, common::Yield yield);
  /// The answer where a command's outcome is not known: its status promises neither success nor failure.
  [[nodiscard]] common::Response unknown_outcome(std::string const& message);
  /// Waits until a majority has confirmed the register's value since the call, and returns it; nothing where none did
  /// in time, which is logged with the requested path.
  [[nodiscard]] std::optional<schema::Value> read_confirmed(std::string const& path, std::string const& name,
                                                            common::Yield yield);
  /// Waits until a majority has confirmed all values since `arrival`; returns whether one did in time.
  [[nodiscard]] bool await_confirmation(common::Moment arrival, common::Yield yield);
  /// Announces a chosen change to all proxies, then waits until it may be acknowledged.
  void announce_and_wait(common::Yield yield);
  [[nodiscard]] common::Response get_setup(common::Yield yield);
  [[nodiscard]] common::Response change_setup(common::Request const& request, bool patch, common::Yield yield);
  /// Proposes a change of the setup and answers with its outcome.
  [[nodiscard]] common::Response apply(config::SetupChangeRequest const& change, common::Yield yield);
  /// Answers with the outcome of the change `id`. If that is still pending after its deadline, cancels the change.
  [[nodiscard]] common::Response get_change_outcome(std::string const& id, common::Yield yield);
  /// The answer for a change whose status is settled.
  [[nodiscard]] common::Response answer_status(config::ChangeStatus const& status, std::string const& id,
                                               common::Yield yield);
  /// Generates an id that begins with `name` and ends in the setup's known revision.
  [[nodiscard]] std::string generate_id(std::string const& name, common::Yield yield);
  /// Drains or restores a zone in the setup; `target` is the path after `/halls/`.
  [[nodiscard]] common::Response change_zone(std::string const& target, common::Yield yield);
  /// Announces a chosen change of the setup, and acknowledges it.
  [[nodiscard]] common::Response acknowledge(std::string const& id, std::uint64_t revision, common::Yield yield);
  [[nodiscard]] common::Response metrics();

  boost::asio::io_context& context_;
  RegisterClient& register_;
  UpdateService& updates_;
  AcceptorService* acceptor_;  ///< null where this process has no disk
  HealthPages health_;
  std::function<std::string()> describe_tasks_;
  config::RoutingConfigFormat notation_;
  OperatorPaths paths_;
  std::atomic<common::Span> acknowledge_wait_;
  ReadLatency read_latency_;
  AnswerCheck answer_check_;
  std::atomic<int> open_calls_ = 0;            ///< calls in progress
  std::atomic<int> open_outcome_queries_ = 0;  ///< outcome queries that are cancelling a pending change
  std::atomic<std::uint64_t> accepted_ = 0;
  std::atomic<std::uint64_t> rejected_ = 0;
  std::atomic<std::uint64_t> unknown_ = 0;
};

}  // namespace finchlink::control_plane
