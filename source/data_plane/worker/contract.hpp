#pragma once

/// The contract between proxies and workers: the requests that workers get and how their responses are read. Real
/// workers that differ need changes in this module alone (docs/operating/workers.md).

#include <boost/beast/core/flat_buffer.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/http/http.hpp"

namespace finchlink::data_plane {

/// Load that a worker reports, in numbers of queries.
struct WorkerLoad {
  double running = 0;
  double waiting = 0;
  std::string start_id;  ///< worker start id: changes when the worker restarts; may be empty
};
/// Requests the worker's load on an open connection; nothing if it fails or the response is malformed.
[[nodiscard]] std::optional<WorkerLoad> fetch_load(common::Stream& stream, boost::beast::flat_buffer& buffer,
                                                   std::string const& address, common::Yield yield);

/// Part of a query that one dispatch runs: all of it, or one of the two phases of a paired query.
enum class QueryPhase { whole, prefill, decode };

/// What a proxy sends to a worker in one dispatch.
struct WorkerCall {
  std::string query;  ///< id of the query, echoed by the worker
  std::string rule;
  int dispatch = 1;  ///< number of this dispatch of the query, from 1
  QueryPhase phase = QueryPhase::whole;
  std::string kv;                ///< handle of the KV cache, returned by the prefill phase for the decode phase
  std::uint64_t last_event = 0;  ///< the worker continues after this event; 0: from the start
  common::http::verb method = common::http::verb::post;
  std::string target;
  std::string content_type;
  std::string const* body = nullptr;  ///< not owned
};
/// Builds the HTTP request of a dispatch to the worker at `address`.
[[nodiscard]] common::Request make_worker_request(WorkerCall const& call, std::string const& address);

/// True for a status by which the worker guarantees that nothing ran.
[[nodiscard]] bool guarantees_not_run(unsigned int status);
inline constexpr char const* query_header = "Finchlink-Query";
inline constexpr char const* kv_header = "Finchlink-Kv";
inline constexpr char const* forwarding_token_header = "Finchlink-Pass";
inline constexpr char const* may_have_run_header = "Finchlink-May-Have-Run";

/// One event of a worker's stream.
struct StreamEvent {
  std::uint64_t number = 0;
  bool last = false;
  std::string query;  ///< id of the query; set in the last event
  std::string text;
  double tokens = 0;  ///< estimated from the text's length
  std::string raw;    ///< the data line as received
};
/// Parses server-sent events from the bytes of a worker's stream, incrementally.
class EventReader {
 public:
  explicit EventReader(double bytes_per_token) : bytes_per_token_(bytes_per_token) {}
  /// Appends the events that `bytes` complete. False if the stream is malformed or an event is too large.
  [[nodiscard]] bool feed(std::string_view bytes, std::vector<StreamEvent>& events);

 private:
  [[nodiscard]] bool parse(std::string_view block, std::vector<StreamEvent>& events) const;
  double bytes_per_token_;
  std::string pending_;
};

}  // namespace finchlink::data_plane
