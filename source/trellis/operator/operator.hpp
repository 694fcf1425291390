#pragma once

#include <atomic>

#include "config/change/proposal.hpp"
#include "config/charter/proposal.hpp"
#include "config/evacuation/proposal.hpp"
#include "loam/constants.hpp"
#include "loam/http/http.hpp"
#include "trellis/news/news.hpp"
#include "trellis/operator/answer_check.hpp"
#include "trellis/operator/health.hpp"
#include "trellis/operator/paths.hpp"
#include "trellis/operator/read_latency.hpp"
#include "trellis/register_client/register_client.hpp"

namespace finchlink::trellis {

/// What operators ask over HTTP (docs/operating/setup.md).
class Operator {
 public:
  Operator(boost::asio::io_context& context, RegisterClient& register_client, News& news, AcceptorService* holder,
           std::function<std::string()> duties, config::Notation notation = config::own_notation(),
           OperatorPaths paths = {}, loam::Span acknowledge_wait = loam::constants::acknowledge_wait)
      : context_(context),
        register_(register_client),
        news_(news),
        holder_(holder),
        health_(register_client, news, holder),
        duties_(std::move(duties)),
        notation_(std::move(notation)),
        paths_(std::move(paths)),
        acknowledge_wait_(acknowledge_wait) {}
  /// Settings that changed.
  void follow(loam::Span acknowledge_wait) { acknowledge_wait_ = acknowledge_wait; }
  [[nodiscard]] loam::Answer answer(loam::Ask const& ask, loam::CallerConnection const& caller, loam::Yield yield);
  [[nodiscard]] bool busy() const { return open_ > 0; }

 private:
  [[nodiscard]] loam::Answer answer_charter(loam::Ask const& ask, loam::Yield yield);
  [[nodiscard]] loam::Answer get_charter(loam::Yield yield);
  [[nodiscard]] loam::Answer change_charter(loam::Ask const& ask, bool patch, loam::Yield yield);
  [[nodiscard]] loam::Answer get_evacuated(loam::Yield yield);
  [[nodiscard]] loam::Answer evacuate(std::string const& zone, bool evacuated, loam::CallerConnection const& caller,
                                      loam::Yield yield);
  /// What became of an order is not known: no status that promises otherwise.
  [[nodiscard]] loam::Answer unknown(std::string const& message);
  /// The register's value, confirmed by a majority after now; waits for it. A
  /// refusal, without a value, is noted with the path that was asked for.
  [[nodiscard]] std::optional<schema::Value> confirmed(std::string const& path, std::string const& name,
                                                       loam::Yield yield);
  /// Waits until a majority confirmed all values after `arrival`; whether it did in time.
  [[nodiscard]] bool await_confirmation(loam::Moment arrival, loam::Yield yield);
  /// What was chosen is on its way to all furrows; then the wait before yes.
  void spread(loam::Yield yield);
  [[nodiscard]] loam::Answer get_setup(loam::Yield yield);
  [[nodiscard]] loam::Answer change_setup(loam::Ask const& ask, bool patch, loam::Yield yield);
  [[nodiscard]] loam::Answer apply(config::WantedChange const& wanted, loam::Yield yield);
  [[nodiscard]] loam::Answer outcome(std::string const& id, loam::Yield yield);
  [[nodiscard]] loam::Answer told(config::IdStanding const& known, std::string const& id, loam::Yield yield);
  [[nodiscard]] std::string fresh_id(std::string const& name, loam::Yield yield);
  [[nodiscard]] loam::Answer hall(std::string const& target, loam::Yield yield);
  [[nodiscard]] loam::Answer chosen(std::string const& id, std::uint64_t revision, loam::Yield yield);
  [[nodiscard]] loam::Answer metrics();

  boost::asio::io_context& context_;
  RegisterClient& register_;
  News& news_;
  AcceptorService* holder_;
  HealthPages health_;
  std::function<std::string()> duties_;
  config::Notation notation_;
  OperatorPaths paths_;
  std::atomic<loam::Span> acknowledge_wait_;
  ReadLatency read_latency_;
  AnswerCheck answer_check_;
  std::atomic<int> open_ = 0;
  std::atomic<int> outcomes_ = 0;
  std::atomic<std::uint64_t> accepted_ = 0;
  std::atomic<std::uint64_t> rejected_ = 0;
  std::atomic<std::uint64_t> unknown_ = 0;
};

}  // namespace finchlink::trellis
