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

/// What operators ask over HTTP (docs/operating/setup.md).
class Operator {
 public:
  Operator(boost::asio::io_context& context, RegisterClient& register_client, UpdateService& updates,
           AcceptorService* holder, std::function<std::string()> duties,
           config::RoutingConfigFormat notation = config::native_format(), OperatorPaths paths = {},
           common::Span acknowledge_wait = common::constants::acknowledge_wait)
      : context_(context),
        register_(register_client),
        updates_(updates),
        holder_(holder),
        health_(register_client, updates, holder),
        duties_(std::move(duties)),
        notation_(std::move(notation)),
        paths_(std::move(paths)),
        acknowledge_wait_(acknowledge_wait) {}
  /// Settings that changed.
  void follow(common::Span acknowledge_wait) { acknowledge_wait_ = acknowledge_wait; }
  [[nodiscard]] common::Answer answer(common::Ask const& ask, common::CallerConnection const& caller,
                                      common::Yield yield);
  [[nodiscard]] bool busy() const { return open_ > 0; }

 private:
  [[nodiscard]] common::Answer answer_routing_config(common::Ask const& ask, common::Yield yield);
  [[nodiscard]] common::Answer get_routing_config(common::Yield yield);
  [[nodiscard]] common::Answer change_routing_config(common::Ask const& ask, bool patch, common::Yield yield);
  [[nodiscard]] common::Answer get_evacuated(common::Yield yield);
  [[nodiscard]] common::Answer evacuate(std::string const& zone, bool evacuated, common::CallerConnection const& caller,
                                        common::Yield yield);
  /// What became of an order is not known: no status that promises otherwise.
  [[nodiscard]] common::Answer unknown(std::string const& message);
  /// The register's value, confirmed by a majority after now; waits for it. A
  /// refusal, without a value, is noted with the path that was asked for.
  [[nodiscard]] std::optional<schema::Value> confirmed(std::string const& path, std::string const& name,
                                                       common::Yield yield);
  /// Waits until a majority confirmed all values after `arrival`; whether it did in time.
  [[nodiscard]] bool await_confirmation(common::Moment arrival, common::Yield yield);
  /// What was chosen is on its way to all furrows; then the wait before yes.
  void spread(common::Yield yield);
  [[nodiscard]] common::Answer get_setup(common::Yield yield);
  [[nodiscard]] common::Answer change_setup(common::Ask const& ask, bool patch, common::Yield yield);
  [[nodiscard]] common::Answer apply(config::SetupChangeRequest const& wanted, common::Yield yield);
  [[nodiscard]] common::Answer outcome(std::string const& id, common::Yield yield);
  [[nodiscard]] common::Answer told(config::ChangeStatus const& known, std::string const& id, common::Yield yield);
  [[nodiscard]] std::string fresh_id(std::string const& name, common::Yield yield);
  [[nodiscard]] common::Answer hall(std::string const& target, common::Yield yield);
  [[nodiscard]] common::Answer chosen(std::string const& id, std::uint64_t revision, common::Yield yield);
  [[nodiscard]] common::Answer metrics();

  boost::asio::io_context& context_;
  RegisterClient& register_;
  UpdateService& updates_;
  AcceptorService* holder_;
  HealthPages health_;
  std::function<std::string()> duties_;
  config::RoutingConfigFormat notation_;
  OperatorPaths paths_;
  std::atomic<common::Span> acknowledge_wait_;
  ReadLatency read_latency_;
  AnswerCheck answer_check_;
  std::atomic<int> open_ = 0;
  std::atomic<int> outcomes_ = 0;
  std::atomic<std::uint64_t> accepted_ = 0;
  std::atomic<std::uint64_t> rejected_ = 0;
  std::atomic<std::uint64_t> unknown_ = 0;
};

}  // namespace finchlink::control_plane
