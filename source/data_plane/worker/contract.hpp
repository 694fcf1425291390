#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/http/http.hpp"

namespace finchlink::data_plane {

/// What we ask of workers and how their answers are read: the one module that
/// changes for real workers that differ (docs/operating/workers.md).
struct WorkerLoad {
  double running = 0;
  double waiting = 0;
  std::string boot;  ///< changes when the worker starts anew; may be empty
};
[[nodiscard]] std::optional<WorkerLoad> ask_load(common::Stream& stream, boost::beast::flat_buffer& buffer,
                                                 std::string const& address, common::Yield yield);

enum class Leg { whole, prefill, decode };

struct LegCall {
  std::string query;  ///< identity of the query, echoed by the worker
  std::string rule;
  int dispatch = 1;
  Leg leg = Leg::whole;
  std::string kv;  ///< what the prefill leg gave for the decode leg
  std::uint64_t last_event = 0;
  common::http::verb method = common::http::verb::post;
  std::string target;
  std::string content_type;
  std::string const* body = nullptr;
};
[[nodiscard]] common::Ask worker_ask(LegCall const& call, std::string const& address);

/// A status that says for certain that nothing ran.
[[nodiscard]] bool says_not_run(unsigned int status);
inline constexpr char const* query_header = "Finchlink-Query";
inline constexpr char const* kv_header = "Finchlink-Kv";
inline constexpr char const* pass_header = "Finchlink-Pass";
inline constexpr char const* ran_header = "Finchlink-May-Have-Run";

/// One event of a worker's stream.
struct StreamEvent {
  std::uint64_t number = 0;
  bool last = false;
  std::string query;  ///< the last one names the query once more
  std::string text;
  double tokens = 0;
  std::string raw;  ///< the data line as it came
};
/// Reads events out of the bytes of a stream as they come.
class EventReader {
 public:
  explicit EventReader(double bytes_per_token) : bytes_per_token_(bytes_per_token) {}
  /// False: the stream is malformed or an event is too large.
  [[nodiscard]] bool feed(std::string_view bytes, std::vector<StreamEvent>& events);

 private:
  [[nodiscard]] bool parse(std::string_view block, std::vector<StreamEvent>& events) const;
  double bytes_per_token_;
  std::string pending_;
};

}  // namespace finchlink::data_plane
