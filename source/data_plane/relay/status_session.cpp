#include "data_plane/relay/status_session.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <map>
#include <sstream>

#include "common/constants.hpp"
#include "common/http/request_reader.hpp"
#include "common/invariant/invariant.hpp"
#include "data_plane/relay/alarm.hpp"
#include "data_plane/relay/prompt_isolation.hpp"
#include "data_plane/relay/relay_server.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;
using boost::system::error_code;
using common::ConnectionPhase;

namespace {
struct StatusResponse {
  std::string status = "200 OK";
  std::string body;
};

/// The parameters of a target's query, by name.
std::map<std::string, std::string> parameters_of(std::string const& target) {
  std::map<std::string, std::string> parameters;
  std::size_t const question_mark = target.find('?');
  std::stringstream text(question_mark == std::string::npos ? "" : target.substr(question_mark + 1));
  std::string parameter;
  while (std::getline(text, parameter, '&')) {
    std::size_t const equals = parameter.find('=');
    parameters[parameter.substr(0, equals)] = equals == std::string::npos ? "" : parameter.substr(equals + 1);
  }
  return parameters;
}

StatusResponse respond_to(RelayServer& server, std::string const& target) {
  std::string const path = target.substr(0, target.find('?'));
  if (path == server.dialect().ready_path) {
    return server.ready() ? StatusResponse{"200 OK", "{\"ready\":true}"}
                          : StatusResponse{"503 Service Unavailable", "{\"ready\":false}"};
  }
  if (path == server.dialect().directory_path) {
    std::map<std::string, std::string> parameters = parameters_of(target);
    return StatusResponse{"200 OK", server.directory(parameters["zone"], parameters["region"])};
  }
  if (path == "/-/metrics") {
    return StatusResponse{"200 OK", server.counters().print() + print_isolation_metrics(server.isolation()) +
                                        common::invariant_metrics()};
  }
  if (path == "/-/tenants") {
    return StatusResponse{"200 OK", print_tenants(server.isolation())};
  }
  return StatusResponse{"404 Not Found", "{\"error\":\"unknown_path\"}"};
}

/// Reads a request, which has no body; false: there is none, or none that is served.
bool read_status_request(common::RequestReader<Socket>& reader, common::Yield yield) {
  return reader.read_header(yield) == common::ReadOutcome::complete &&
         reader.read_body(yield) == common::ReadOutcome::complete;
}
}  // namespace

void serve_status(RelayServer& server, AcceptedConnection const& connection, common::Yield yield) {
  Socket& socket = *connection.socket;
  boost::beast::flat_buffer buffer;
  std::shared_ptr<Alarm> const alarm = std::make_shared<Alarm>(server.context(), [socket = connection.socket] {
    error_code ignored;
    socket->close(ignored);
  });
  bool keep_open = true;
  while (keep_open) {
    alarm->set(common::boot_now() + constants::caller_idle);
    error_code error;
    if (buffer.size() == 0) {
      connection.admitted->set_phase(ConnectionPhase::idle);
      buffer.commit(socket.async_read_some(buffer.prepare(constants::first_read_bytes), yield[error]));
    }
    connection.admitted->set_phase(ConnectionPhase::receiving);
    common::RequestReader<Socket> reader(socket, buffer, connection.admitted,
                                         common::RequestLimits{constants::header_limit, 0});
    if (error || !read_status_request(reader, yield)) {
      break;
    }
    common::RequestParser& parser = reader.parser();
    StatusResponse const response = respond_to(server, std::string(parser.header().target()));
    keep_open = parser.keep_alive() && !server.draining() && !connection.admitted->crowded();
    bool const bare = parser.header().method() == boost::beast::http::verb::head;
    std::string const text = "HTTP/1.1 " + response.status + "\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(response.body.size()) +
                             (keep_open ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n") + (bare ? "" : response.body);
    connection.admitted->set_phase(ConnectionPhase::responding);
    asio::async_write(socket, asio::buffer(text), yield[error]);
    keep_open = keep_open && !error;
  }
  alarm->stop();
}

}  // namespace finchlink::data_plane
