#include "data_plane/relay/relay_listener.hpp"

#include "common/admission/admission_constants.hpp"
#include "common/constants.hpp"
#include "data_plane/relay/alarm.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;
using boost::system::error_code;

namespace {
void serve(std::shared_ptr<Socket> const& socket, asio::io_context& context, common::Admission& admission,
           common::ListenerKind kind, ConnectionHandler const& handler) {
  std::shared_ptr<common::AdmittedConnection> const admitted = admission.admit(kind, [socket] {
    error_code ignored;
    socket->close(ignored);
  });
  if (admitted == nullptr) {
    return;
  }
  spawn_small_stack(context, [connection = AcceptedConnection{socket, admitted}, handler](common::Yield yield) {
    handler(connection, yield);
    error_code closing;
    connection.socket->close(closing);
  });
}
}  // namespace

RelayListener::RelayListener(asio::io_context& context, common::ListenerKind kind)
    : context_(context), kind_(kind), acceptor_(std::make_shared<asio::ip::tcp::acceptor>(context)) {}

absl::StatusOr<std::shared_ptr<RelayListener>> RelayListener::open(asio::io_context& context,
                                                                   std::string const& address,
                                                                   common::ListenerKind kind) {
  absl::StatusOr<common::Endpoint> const endpoint = common::read_endpoint(address);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  std::shared_ptr<RelayListener> listener = std::make_shared<RelayListener>(context, kind);
  error_code error = common::open_acceptor(*listener->acceptor_, common::own_endpoint(*endpoint), kind);
  if (!error) {
    int const bytes = static_cast<int>(constants::caller_send_buffer_bytes);
    listener->acceptor_->set_option(asio::socket_base::send_buffer_size(bytes), error);
  }
  if (error) {
    return absl::UnavailableError("relay: " + address + ": " + error.message());
  }
  return listener;
}

void RelayListener::start(std::shared_ptr<common::Admission> const& admission, ConnectionHandler handler) {
  spawn_small_stack(context_, [&context = context_, acceptor = acceptor_, kind = kind_, admission,
                               handler = std::move(handler)](common::Yield yield) {
    while (acceptor->is_open()) {
      std::shared_ptr<Socket> const socket = std::make_shared<Socket>(context);
      error_code failure;
      acceptor->async_accept(*socket, yield[failure]);
      if (!acceptor->is_open() || failure == asio::error::operation_aborted) {
        return;
      }
      if (failure) {
        common::pause(context, constants::accept_retry_pause, yield);
        continue;
      }
      error_code ignored;
      socket->set_option(asio::ip::tcp::no_delay(true), ignored);
      serve(socket, context, *admission, kind, handler);
    }
  });
}

void RelayListener::close() {
  error_code ignored;
  acceptor_->close(ignored);
}

}  // namespace finchlink::data_plane
