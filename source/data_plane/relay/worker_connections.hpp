#pragma once

/// Idle connections to workers, kept for later requests (section 13.8).

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "common/time/moment.hpp"

namespace finchlink::data_plane {

class WorkerConnections {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  /// Keeps at most this many connections in all.
  explicit WorkerConnections(std::size_t max_connections) : max_connections_(max_connections) {}

  /// An idle connection to the worker that seems usable, or null.
  [[nodiscard]] std::unique_ptr<Socket> take(std::string const& worker);
  /// Keeps a connection for as long as the worker keeps it, if there is a place for it.
  void keep(std::string const& worker, std::unique_ptr<Socket> socket, common::Span longest);
  /// Closes connections to all other workers.
  void keep_only(std::set<std::string> const& workers);

 private:
  struct IdleConnection {
    std::unique_ptr<Socket> socket;
    common::Moment until = 0;
  };
  using Idle = std::deque<IdleConnection>;  ///< the oldest first

  void drop_expired(Idle& idle, common::Moment now);
  void drop_all_expired(common::Moment now);

  std::size_t max_connections_;
  std::size_t count_ = 0;
  std::map<std::string, Idle> idle_;  ///< by worker
};

}  // namespace finchlink::data_plane
