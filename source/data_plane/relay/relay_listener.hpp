#pragma once

/// Listens for callers of the relay and serves each accepted connection in a coroutine of its own.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include "common/net/admission.hpp"
#include "common/net/net.hpp"

namespace finchlink::data_plane {

using Socket = boost::asio::ip::tcp::socket;

/// A connection as it was accepted, with its place among all connections of the process.
struct AcceptedConnection {
  std::shared_ptr<Socket> socket;
  std::shared_ptr<common::AdmittedConnection> admitted;
};
using ConnectionHandler = std::function<void(AcceptedConnection const&, common::Yield)>;

class RelayListener {
 public:
  /// Listens on IP:PORT. An error names the address that can't be listened on.
  [[nodiscard]] static absl::StatusOr<std::shared_ptr<RelayListener>> open(boost::asio::io_context& context,
                                                                           std::string const& address,
                                                                           common::ListenerKind kind);
  RelayListener(boost::asio::io_context& context, common::ListenerKind kind);
  /// Accepts connections until it is closed. A connection that finds no place is closed at once.
  void start(std::shared_ptr<common::Admission> const& admission, ConnectionHandler handler);
  void close();

 private:
  boost::asio::io_context& context_;
  common::ListenerKind kind_;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
};

}  // namespace finchlink::data_plane
