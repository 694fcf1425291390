#pragma once

/// Serves a caller's connection: reads its requests one after the other and relays each, or rejects it.

#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "common/http/request_reader.hpp"
#include "data_plane/relay/alarm.hpp"
#include "data_plane/relay/relay.hpp"
#include "data_plane/relay/relay_listener.hpp"

namespace finchlink::data_plane {

class CallerSession {
 public:
  CallerSession(RelayServer& server, AcceptedConnection const& connection, common::Yield yield);
  /// Serves the connection until it ends.
  void run();

 private:
  using Reader = common::RequestReader<Socket>;

  /// What a timeout does to the connection: between requests and once a response was written it is closed; while a
  /// request is being read only the read is cancelled, so that the caller still gets a response.
  struct ReadTimeout {
    bool closes_socket = true;  ///< close the connection; else cancel what waits on it
    bool expired = false;       ///< the timeout has fired
  };
  /// A response of the relay itself, without a dispatch.
  struct OwnResponse {
    std::string status;
    std::string reason;
    std::string lines;  ///< further header lines, each with its end
    bool bare = false;  ///< to a HEAD, so without a body
  };

  /// A query counts as open from its header on: a process that is told to end waits for it.
  void open_query();
  void close_query();
  /// Waits for the first byte of a request; false: the connection ended.
  [[nodiscard]] bool await_request();
  /// Reads a whole request. None: the connection has ended, or is to be closed after a rejection.
  [[nodiscard]] std::optional<Query> read_request();
  /// Reads the header, and the body if the header is acceptable; the response says why a request is rejected.
  [[nodiscard]] std::optional<OwnResponse> read_whole(Reader& reader, Query& query);
  [[nodiscard]] std::optional<OwnResponse> read_body(Reader& reader);
  /// The response to a request that wasn't read whole; none: the caller is gone.
  [[nodiscard]] std::optional<OwnResponse> response_to(common::ReadOutcome outcome) const;
  /// A request without a valid tenant is rejected before a byte of its body is read (section 14.1).
  [[nodiscard]] std::optional<OwnResponse> reject_tenant(http::request_header<> const& header) const;
  /// Relays a request or rejects it; false: the connection can't be reused.
  [[nodiscard]] bool serve(Query& query);
  [[nodiscard]] bool relay(Query& query, schema::Lane const& route,
                           std::shared_ptr<scheduling::RouteTable const> const& route_table);
  /// Waits for the routing configuration and the list of workers, which arrive shortly after a start (section 13.8).
  void await_initialization(Query const& query);
  /// Writes a response of the relay itself; false: the connection is to be closed.
  [[nodiscard]] bool write_response(OwnResponse const& response, bool keep);
  /// Writes a final response before the whole request was read. Closing with unread bytes would reset the connection,
  /// and the caller might never read the response: so what still arrives is discarded first, for at most
  /// refused_close_linger and max_discarded_bytes.
  void reject_unread(OwnResponse const& response);
  /// Receives a large body through a larger buffer if there is memory for it, and goes back to the usual one.
  void enlarge_receive_buffer();
  void restore_receive_buffer();
  void release_read_buffer();
  void use_limits_in_force();
  void set_time_limit(bool closes_socket, common::Span span);
  [[nodiscard]] std::string query_id_line(http::request_header<> const& header) const;

  RelayServer& server_;
  std::shared_ptr<Socket> socket_;
  std::shared_ptr<common::AdmittedConnection> admitted_;
  common::Yield yield_;
  ReadAhead ahead_;
  common::MemoryReservation receive_buffer_memory_;
  std::shared_ptr<ReadTimeout> timeout_ = std::make_shared<ReadTimeout>();
  std::shared_ptr<Alarm> alarm_;
  schema::CallerLimits limits_;
  bool query_open_ = false;
};

}  // namespace finchlink::data_plane
