/// Tests every cell of the table in docs/hardening/exchanges.md: one exchange is brought into a state, one event
/// happens, and what the caller and the worker got is compared with the expected outcome. The cells have the same names
/// as the rows of that page.
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <set>

#include "tests/relay/fleet.hpp"

namespace finchlink::relay_test {
namespace {

/// How far the exchange has come when the event happens.
enum class State {
  queued,        ///< the request waits for an assignment: there is no worker
  connecting,    ///< a worker is assigned, no byte has been sent
  sent,          ///< a worker has the whole request, on a new connection
  sent_on_kept,  ///< the same on a connection that carried an earlier exchange
  body_unread,   ///< the worker has the head and reads no more of a long body
  head_read,     ///< the worker sent the head of a whole answer and part of its body
  mid_stream,    ///< the caller has two events of a stream
  mid_event,     ///< the same, and the worker sent half of the third
  open_stream,   ///< the caller has two events of a stream without length or chunks
  kept           ///< the caller has the answer, the worker's connection is kept for reuse
};

/// What the caller got in the end.
enum class Outcome {
  first,        ///< the first worker's answer, complete
  second,       ///< the second worker's answer, complete
  joined,       ///< a stream begun by the first and finished by the second worker
  refused,      ///< 503: nothing ran
  bad_gateway,  ///< 502: it may have run
  timed_out,    ///< 504: it may have run
  own_error,    ///< the first worker's own 500
  broken,       ///< a stream that visibly breaks off
  nobody        ///< the caller has left
};

/// What becomes of the first worker's connection.
enum class Connection { kept, closed };

struct Exchange;
/// One cell of the table: a state, an event, and the expected outcome.
struct Cell {
  char const* name;  ///< STATE/EVENT/ROUTE
  State state;
  char const* route;  ///< plain: repeatable, once: not; tale: resumable stream, talk: not
  std::function<void(Exchange&)> event;
  Outcome outcome;
  std::size_t attempts;  ///< how often the request reached a worker
  Connection connection;
  std::size_t other_workers = 1;  ///< number of other workers that could serve it
};

std::string stream_events(std::uint64_t first, std::uint64_t last) {
  std::string text;
  for (std::uint64_t number = first; number <= last; ++number) {
    text += event(number);
  }
  return text;
}
constexpr char const* last_chunk = "0\r\n\r\n";
constexpr std::uint64_t stream_length = 5;
constexpr int deadline_ms = 1500;
constexpr double set_point_ms = 500;          ///< far longer than the harness needs to reach a state
constexpr std::size_t long_body = 4u << 20u;  ///< more than the socket buffers of both ends hold

/// One exchange between a scripted caller and scripted workers.
struct Exchange {
  explicit Exchange(Cell const& table_cell) : cell(table_cell) {
    for (schema::Lane& route : fleet.routing_config.lanes) {
      route.deadline_ms = deadline_ms;
      route.set_point_ms = set_point_ms;
      route.gap_set_point_ms = route.stream ? set_point_ms : 0;
    }
    fleet.routing_config.limits.body_bytes = 2 * long_body;
    service = cell.state == State::mid_stream || cell.state == State::mid_event || cell.state == State::open_stream ||
                      std::string(cell.route) == "tale" || std::string(cell.route) == "talk"
                  ? "pool"
                  : "web";
  }

  void run() {
    bring_into_state();
    if (::testing::Test::HasFatalFailure()) {
      return;
    }
    happened = common::boot_now();
    cell.event(*this);
    finish();
    check_outcome();
    check_attempts();
    check_connection();
    check_next_request();
  }

  // --- building blocks of events ---
  void send(std::string const& text) { line->send(text); }
  void end_orderly() { line->close(); }
  void reset() { line->reset(); }
  void leave() { caller->close(); }

  Cell const& cell;
  Fleet fleet;
  std::string service;
  std::shared_ptr<Line> caller;
  std::shared_ptr<Line> line;  ///< the first worker's connection
  Worker* first = nullptr;
  std::string id = "q1";
  std::string body = "the body";
  common::Moment seen = std::numeric_limits<common::Moment>::max() / 2;  ///< when the first worker had the request
  common::Moment happened = 0;
  std::uint64_t length = stream_length;  ///< number of events in the stream
  std::size_t earlier = 0;               ///< number of requests that arrived before this one

  [[nodiscard]] bool streams() const { return service == "pool"; }

 private:
  std::string path() const { return std::string("/") + cell.route + "/a"; }

  void bring_into_state() {
    if (cell.state == State::connecting) {
      fleet.worker("w0", service).stop();
    } else if (cell.state != State::queued) {
      fleet.worker("w1", service);
      if (cell.state == State::body_unread) {
        fleet.workers["w1"]->pause_reading_at = 1;
      }
    }
    fleet.begin();
    if (cell.state == State::sent_on_kept) {
      caller = fleet.call(query("/plain/before", "q0"));
      ASSERT_NE(fleet.worker_of(1), nullptr);
      fleet.arrival_order[0]->arrivals.back().line->send(success("q0", "before"));
      ASSERT_TRUE(fleet.answer_on(caller).has_value());
      earlier = 1;
    }
    if (cell.state == State::body_unread) {
      body = std::string(long_body, 'b');
    }
    if (caller == nullptr) {
      caller = fleet.call("");
    }
    caller->send_long(query(path(), id, body));
    if (cell.state == State::queued || cell.state == State::connecting) {
      return;
    }
    if (cell.state == State::body_unread) {
      Worker& worker = *fleet.workers["w1"];
      ASSERT_TRUE(fleet.until([&] { return !worker.lines.empty() && !worker.lines[0]->got.empty(); }));
      first = &worker;
      line = worker.lines[0];
    } else {
      first = fleet.worker_of(earlier + 1);
      ASSERT_NE(first, nullptr);
      seen = common::boot_now();
      line = first->arrivals.back().line;
    }
    add_others();
    begin_answer();
  }

  /// The other workers are added once the first one has the request, so that it is known which is the first.
  void add_others() {
    for (std::size_t index = 0; index < cell.other_workers; ++index) {
      fleet.worker("w" + std::to_string(index + 2), service);
    }
    ASSERT_TRUE(fleet.until([this] { return fleet.server->balancer().size() == fleet.list.workers.size(); }));
  }

  void begin_answer() {
    if (cell.state == State::head_read) {
      send("HTTP/1.1 200 OK\r\n" + with_id(id) + "Finchlink-Seal: s\r\nContent-Length: 5\r\n\r\nfir");
    } else if (cell.state == State::mid_stream || cell.state == State::mid_event) {
      send(stream_head(id) + chunk(stream_events(1, 2)));
    } else if (cell.state == State::open_stream) {
      send("HTTP/1.1 200 OK\r\n" + with_id(id) + "Finchlink-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n" +
           stream_events(1, 2));
    } else if (cell.state == State::kept) {
      send(success(id, "first"));
      ASSERT_TRUE(fleet.answer_on(caller).has_value());
    }
    if (streams() && cell.state != State::sent) {
      ASSERT_TRUE(fleet.until([this] { return received_stream(caller->got).events == stream_events(1, 2); }));
    }
    if (cell.state == State::mid_event) {
      send(chunk(event(3).substr(0, 10)));
      fleet.run_for(10);
    }
    if (cell.state == State::kept) {
      id = "q2";
      earlier = 1;
    }
  }

  /// Every other worker that gets the request answers it successfully.
  void answer_others() {
    for (std::pair<std::string const, std::unique_ptr<Worker>>& entry : fleet.workers) {
      for (Arrival& arrival : entry.second->arrivals) {
        if (arrival.line == line || arrival.header("Finchlink-Query") != id || arrival.line->ended ||
            answered.count(arrival.line) > 0) {
          continue;
        }
        answered.insert(arrival.line);
        if (!streams()) {
          arrival.line->send(success(id, "second"));
          continue;
        }
        std::string const behind = arrival.header("Last-Event-ID");
        std::string const rest = stream_events(behind.empty() ? 1 : std::stoull(behind) + 1, length);
        arrival.line->send(stream_head(id) + (rest.empty() ? "" : chunk(rest)) + last_chunk);
      }
    }
  }

  void finish() {
    (void)fleet.until(
        [this] {
          answer_others();
          return settled();
        },
        deadline_ms + 500);
    fleet.run_for(20);
  }

  bool settled() {
    if (cell.outcome == Outcome::nobody) {
      return fleet.server->counters().outcomes["abandoned"] > 0;
    }
    if (streams() && cell.outcome != Outcome::refused && cell.outcome != Outcome::bad_gateway &&
        cell.outcome != Outcome::timed_out && cell.outcome != Outcome::own_error) {
      return received_stream(caller->got).whole || caller->ended;
    }
    return read_first<false>(caller->got).has_value() || caller->ended;
  }

  void check_outcome() {
    if (cell.outcome == Outcome::nobody) {
      EXPECT_EQ(fleet.server->counters().outcomes["abandoned"], 1u);
      return;
    }
    if (streams() && (cell.outcome == Outcome::first || cell.outcome == Outcome::second ||
                      cell.outcome == Outcome::joined || cell.outcome == Outcome::broken)) {
      ReceivedStream const got = received_stream(caller->got);
      EXPECT_EQ(got.whole, cell.outcome != Outcome::broken);
      EXPECT_EQ(got.behind, "");
      EXPECT_EQ(got.events, broken_events != nullptr || cell.outcome == Outcome::broken
                                ? (broken_events != nullptr ? broken_events : stream_events(1, 2))
                                : stream_events(1, length));
      EXPECT_EQ(caller->ended, cell.outcome == Outcome::broken);
      return;
    }
    std::optional<Read<false>> const got = read_first<false>(caller->got);
    ASSERT_TRUE(got.has_value()) << caller->got.substr(0, 200);
    EXPECT_EQ(got->message.result_int(), status()) << got->message.body().substr(0, 100);
    EXPECT_EQ(std::string(got->message["Finchlink-Query"]), id);
    if (cell.outcome == Outcome::first || cell.outcome == Outcome::second) {
      EXPECT_EQ(got->message.body(), cell.outcome == Outcome::first ? "first" : "second");
    }
    EXPECT_EQ(got->length, caller->got.size()) << "surplus bytes after the answer";
  }

  [[nodiscard]] unsigned int status() const {
    switch (cell.outcome) {
      case Outcome::refused:
        return 503;
      case Outcome::bad_gateway:
        return 502;
      case Outcome::timed_out:
        return 504;
      case Outcome::own_error:
        return 500;
      default:
        return 200;
    }
  }

  void check_attempts() {
    std::size_t count = 0;
    common::Span first_left = deadline_ms;
    for (std::pair<std::string const, std::unique_ptr<Worker>>& entry : fleet.workers) {
      for (Arrival& arrival : entry.second->arrivals) {
        if (arrival.header("Finchlink-Query") != id) {
          continue;
        }
        ++count;
        EXPECT_EQ(arrival.request.body(), body);
        EXPECT_EQ(arrival.header("Expect"), "");
        int const left = std::stoi(arrival.header("Finchlink-Left"));
        if (arrival.line == line) {
          first_left = left;
        }
        // The first attempt was forwarded before the test saw it, every further one after the event.
        EXPECT_LE(left, arrival.line == line || cell.attempts < 2
                            ? deadline_ms
                            : first_left - std::max<common::Span>(0, happened - seen) / 1000 + 1);
      }
    }
    EXPECT_EQ(count + (cell.state == State::body_unread ? 1 : 0), cell.attempts);
  }

  void check_connection() {
    if (line == nullptr) {
      return;
    }
    line->read_on();
    if (cell.connection == Connection::closed) {
      EXPECT_TRUE(fleet.until([this] { return line->ended; }, 500));
    } else {
      EXPECT_FALSE(line->ended);
    }
  }

  /// Whatever the event was, the next caller gets its own answer and nothing else.
  void check_next_request() {
    if (fleet.workers.empty() || (line == nullptr && cell.other_workers == 0)) {
      return;
    }
    std::string const route = service == "pool" ? "/tale/" : "/plain/";
    std::string const next = "next";
    std::shared_ptr<Line> const other = fleet.call(query(route + "next", next));
    std::set<std::shared_ptr<Line>> answered_next;
    std::string const good_answer =
        service == "pool" ? stream_head(next) + chunk(event(1)) + last_chunk : success(next, "for the next");
    (void)fleet.until(
        [&] {
          for (std::pair<std::string const, std::unique_ptr<Worker>>& entry : fleet.workers) {
            for (Arrival& arrival : entry.second->arrivals) {
              if (arrival.header("Finchlink-Query") == next && answered_next.insert(arrival.line).second) {
                EXPECT_TRUE(cell.connection == Connection::kept || arrival.line != line);
                arrival.line->send(good_answer);
              }
            }
          }
          return read_first<false>(other->got).has_value();
        },
        deadline_ms + 500);
    std::optional<Read<false>> const got = read_first<false>(other->got);
    ASSERT_TRUE(got.has_value()) << other->got;
    if (got->message.result_int() == 503) {
      return;  // the worker is ejected: nothing ran
    }
    EXPECT_EQ(got->message.result_int(), 200u);
    EXPECT_EQ(std::string(got->message["Finchlink-Query"]), next);
    EXPECT_EQ(got->message.body(), service == "pool" ? event(1) : "for the next");
    EXPECT_EQ(got->length, other->got.size());
  }

 public:
  char const* broken_events = nullptr;  ///< events that a broken stream passed on, where not the first two

 private:
  std::set<std::shared_ptr<Line>> answered;
};

std::string answer_without_length(std::string const& id, std::string const& body) {
  return "HTTP/1.1 200 OK\r\n" + with_id(id) + "Finchlink-Seal: s\r\n\r\n" + body;
}
std::string refusal(std::string const& header, std::string const& status) {
  return "HTTP/1.1 " + status + "\r\n" + header + "Finchlink-Refused: 1\r\nContent-Length: 0\r\n\r\n";
}
constexpr char const* interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

void nothing(Exchange&) {}
void answers(Exchange& exchange) {
  exchange.send(success(exchange.id, "first"));
}
void answers_and_more(Exchange& exchange) {
  exchange.send(success(exchange.id, "first") + success(exchange.id, "surplus"));
}
void answers_and_closes(Exchange& exchange) {
  exchange.send(success(exchange.id, "first", "Connection: close\r\n"));
}
void answers_in_chunks(Exchange& exchange) {
  exchange.send("HTTP/1.1 200 OK\r\n" + with_id(exchange.id) +
                "Finchlink-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("fi") + chunk("rst") + last_chunk);
}
void answers_until_close(Exchange& exchange) {
  exchange.send(answer_without_length(exchange.id, "first"));
  exchange.end_orderly();
}
void answers_until_reset(Exchange& exchange) {
  exchange.send(answer_without_length(exchange.id, "first"));
  exchange.reset();
}
void answers_behind_interim(Exchange& exchange) {
  exchange.send(std::string("HTTP/1.1 100 Continue\r\n\r\n") + interim + success(exchange.id, "first"));
}
void interim_and_end(Exchange& exchange) {
  exchange.send(interim);
  exchange.end_orderly();
}
void answers_another(Exchange& exchange) {
  exchange.send(success("q0", "another's"));
}
void answers_without_id(Exchange& exchange) {
  exchange.send("HTTP/1.1 200 OK\r\nFinchlink-Seal: s\r\nContent-Length: 3\r\n\r\nwho");
}
void answers_unsealed(Exchange& exchange) {
  exchange.send("HTTP/1.1 200 OK\r\n" + with_id(exchange.id) + "Content-Length: 3\r\n\r\nwho");
}
void answers_own_error(Exchange& exchange) {
  exchange.send("HTTP/1.1 500 Internal\r\n" + with_id(exchange.id) + "Content-Length: 4\r\n\r\noops");
}
void busy_without_promise(Exchange& exchange) {
  exchange.send("HTTP/1.1 503 Busy\r\n" + with_id(exchange.id) + "Content-Length: 0\r\n\r\n");
}
void refuses(Exchange& exchange) {
  exchange.send(refusal(with_id(exchange.id), "503 Busy"));
}
void refuses_another(Exchange& exchange) {
  exchange.send(refusal(with_id("q0"), "503 Busy"));
}
void refuses_without_id(Exchange& exchange) {
  exchange.send(refusal("", "400 Bad Request"));
}
void succeeds_and_refuses(Exchange& exchange) {
  exchange.send(success(exchange.id, "both", "Finchlink-Refused: 1\r\n"));
}
void misdirected(Exchange& exchange) {
  exchange.send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
}
void misdirected_another(Exchange& exchange) {
  exchange.send("HTTP/1.1 421 Misdirected Request\r\n" + with_id("q0") + "Content-Length: 0\r\n\r\n");
}
void resets(Exchange& exchange) {
  exchange.reset();
}
void closes(Exchange& exchange) {
  exchange.end_orderly();
}
void sends_invalid_http(Exchange& exchange) {
  exchange.send("no answer at all\r\n\r\n");
}
void caller_leaves(Exchange& exchange) {
  exchange.leave();
}
void caller_half_closes(Exchange& exchange) {
  exchange.caller->half_close();
}
/// The next request has arrived already, so the end of the caller's connection lies behind unread bytes.
void caller_pipelines_and_leaves(Exchange& exchange) {
  exchange.caller->send(query("/plain/b", "q9"));
  exchange.fleet.run_for(30);
  common::Moment const left = common::boot_now();
  exchange.leave();
  EXPECT_TRUE(exchange.fleet.until([&] { return exchange.line->ended; }, 800));
  EXPECT_LT(common::boot_now() - left, common::milliseconds(500));
  exchange.fleet.run_for(100);
  for (Worker* const worker : exchange.fleet.arrival_order) {
    for (Arrival const& arrival : worker->arrivals) {
      EXPECT_NE(arrival.header("Finchlink-Query"), "q9");
    }
  }
}
/// The file descriptor of the caller that left is reused for the next caller.
void caller_leaves_and_another_comes(Exchange& exchange) {
  exchange.leave();
  std::shared_ptr<Line> const other = exchange.fleet.call("");
  EXPECT_TRUE(exchange.fleet.until([&] { return exchange.line->ended; }, 500));
  exchange.send(success("q1", "late"));
  exchange.fleet.run_for(20);
  EXPECT_EQ(other->got, "");
  EXPECT_FALSE(other->ended);
}
void caller_pipelines(Exchange& exchange) {
  exchange.caller->send(query("/plain/b", "q9"));
  exchange.fleet.run_for(20);
  EXPECT_EQ(exchange.fleet.arrival_order.size(), exchange.earlier + 1)
      << "a pipelined request was sent before the first was answered";
  exchange.send(success(exchange.id, "first"));
  std::optional<Response> const own = exchange.fleet.answer_on(exchange.caller);
  ASSERT_TRUE(own.has_value());
  EXPECT_EQ(own->body(), "first");
  Worker* const next = exchange.fleet.worker_of(exchange.earlier + 2);
  ASSERT_NE(next, nullptr);
  next->arrivals.back().line->send(success("q9", "first"));
  exchange.id = "q9";
  exchange.body = "";
}
/// The rest of a long body is read after the answer was sent: no bytes of another request may appear in it.
void answers_early_and_reads_on(Exchange& exchange) {
  exchange.send(success(exchange.id, "first"));
  EXPECT_TRUE(exchange.fleet.until([&] { return read_first<false>(exchange.caller->got).has_value(); }, 600));
  std::shared_ptr<Line> const other = exchange.fleet.call(query("/plain/c", "q9"));
  exchange.fleet.run_for(50);
  exchange.line->read_on();
  (void)exchange.fleet.until([&] { return exchange.line->ended || exchange.first->arrivals.size() > 1; }, 500);
  std::string const& got = exchange.line->got;
  std::size_t const head = got.find("\r\n\r\n");
  if (head != std::string::npos) {
    EXPECT_EQ(got.find_first_not_of('b', head + 4), std::string::npos) << "bytes of another request in the body";
  }
  other->close();
}
void refuses_early(Exchange& exchange) {
  exchange.send(refusal(with_id(exchange.id), "503 Busy"));
}
void resets_early_answer(Exchange& exchange) {
  exchange.send(answer_without_length(exchange.id, "fir"));
  exchange.reset();
}
void resets_in_body(Exchange& exchange) {
  exchange.reset();
}
/// The caller has all events; only the end of the stream is missing.
void resets_behind_the_last_event(Exchange& exchange) {
  exchange.length = 2;
  exchange.reset();
}
void rest_of_body(Exchange& exchange) {
  exchange.send("st");
}
void rest_of_body_and_more(Exchange& exchange) {
  exchange.send("st" + success(exchange.id, "surplus"));
}
void rest_of_stream(Exchange& exchange) {
  std::string const third = event(3);
  exchange.send((exchange.cell.state == State::mid_event ? chunk(third.substr(10)) : chunk(third)) +
                chunk(stream_events(4, stream_length)) + last_chunk);
}
void rest_of_stream_and_more(Exchange& exchange) {
  exchange.send(chunk(stream_events(3, stream_length)) + last_chunk + success(exchange.id, "surplus"));
}
void rest_until_close(Exchange& exchange) {
  exchange.send(stream_events(3, stream_length));
  exchange.end_orderly();
}
void ends_in_event(Exchange& exchange) {
  exchange.send(event(3).substr(0, 10));
  exchange.end_orderly();
}
void last_chunk_in_event(Exchange& exchange) {
  exchange.send(last_chunk);
}
void bad_chunk(Exchange& exchange) {
  exchange.send("zz\r\n");
}
/// An event without a number: no worker can be told after which event to resume.
void unnumbered_and_reset(Exchange& exchange) {
  exchange.broken_events = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\ndata: no number\n\n";
  exchange.send(chunk("data: no number\n\n"));
  EXPECT_TRUE(
      exchange.fleet.until([&] { return received_stream(exchange.caller->got).events == exchange.broken_events; }));
  exchange.reset();
}
/// Sends the next request after an answer on a connection that is kept.
void next_request(Exchange& exchange) {
  exchange.caller->send(query(std::string("/") + exchange.cell.route + "/b", exchange.id, exchange.body));
  ASSERT_NE(exchange.fleet.worker_of(2), nullptr);
}
void next_after(Exchange& exchange, std::function<void()> const& disturb) {
  disturb();
  exchange.fleet.run_for(20);
  next_request(exchange);
}
void next_answered_on_kept(Exchange& exchange) {
  next_request(exchange);
  EXPECT_EQ(exchange.first->arrivals.back().line, exchange.line);
  exchange.send(success(exchange.id, "first"));
}
void next_without_id(Exchange& exchange) {
  exchange.id = "";
  next_request(exchange);
}
void surplus_then_next(Exchange& exchange) {
  next_after(exchange, [&] { exchange.send(success("q1", "surplus")); });
}
void close_then_next(Exchange& exchange) {
  next_after(exchange, [&] { exchange.end_orderly(); });
}
void reset_then_next(Exchange& exchange) {
  next_after(exchange, [&] { exchange.reset(); });
}
void worker_leaves_list_then_next(Exchange& exchange) {
  next_after(exchange, [&] {
    std::erase_if(exchange.fleet.list.workers, [](schema::WorkerEntry const& entry) { return entry.id == "w1"; });
    ++exchange.fleet.list_digest;
    exchange.fleet.wait_for_update();
  });
}

std::vector<Cell> cells() {
  using enum State;
  using enum Outcome;
  Connection const keeps = Connection::kept;
  Connection const closed = Connection::closed;
  return {
      {"queued/no_place/plain", queued, "plain", nothing, refused, 0, closed, 0},
      {"queued/no_place/once", queued, "once", nothing, refused, 0, closed, 0},
      {"queued/no_place/tale", queued, "tale", nothing, refused, 0, closed, 0},
      {"queued/caller_leaves/once", queued, "once", caller_leaves, nobody, 0, closed, 0},
      {"connecting/refused/plain", connecting, "plain", nothing, refused, 0, closed, 0},
      {"connecting/refused/once", connecting, "once", nothing, refused, 0, closed, 0},

      {"sent/answer/plain", sent, "plain", answers, first, 1, keeps},
      {"sent/answer/once", sent, "once", answers, first, 1, keeps},
      {"sent/answer_in_chunks/once", sent, "once", answers_in_chunks, first, 1, keeps},
      {"sent/answer_and_surplus/plain", sent, "plain", answers_and_more, first, 1, closed},
      {"sent/answer_and_surplus/once", sent, "once", answers_and_more, first, 1, closed},
      {"sent/answer_and_close_told/plain", sent, "plain", answers_and_closes, first, 1, closed},
      {"sent/answer_until_close/plain", sent, "plain", answers_until_close, first, 1, closed},
      {"sent/answer_until_close/once", sent, "once", answers_until_close, first, 1, closed},
      {"sent/answer_until_reset/plain", sent, "plain", answers_until_reset, second, 2, closed},
      {"sent/answer_until_reset/once", sent, "once", answers_until_reset, bad_gateway, 1, closed},
      {"sent/interim_and_answer/plain", sent, "plain", answers_behind_interim, first, 1, keeps},
      {"sent/interim_and_answer/once", sent, "once", answers_behind_interim, first, 1, keeps},
      {"sent/interim_and_close/plain", sent, "plain", interim_and_end, second, 2, closed},
      {"sent/interim_and_close/once", sent, "once", interim_and_end, bad_gateway, 1, closed},
      {"sent/answer_of_another/plain", sent, "plain", answers_another, second, 2, closed},
      {"sent/answer_of_another/once", sent, "once", answers_another, bad_gateway, 1, closed},
      {"sent/answer_without_id/plain", sent, "plain", answers_without_id, second, 2, closed},
      {"sent/answer_without_id/once", sent, "once", answers_without_id, bad_gateway, 1, closed},
      {"sent/unsealed/plain", sent, "plain", answers_unsealed, second, 2, closed},
      {"sent/unsealed/once", sent, "once", answers_unsealed, bad_gateway, 1, closed},
      {"sent/own_error/plain", sent, "plain", answers_own_error, second, 2, keeps},
      {"sent/own_error/once", sent, "once", answers_own_error, own_error, 1, keeps},
      {"sent/busy_without_promise/plain", sent, "plain", busy_without_promise, second, 2, closed},
      {"sent/busy_without_promise/once", sent, "once", busy_without_promise, bad_gateway, 1, closed},
      {"sent/refusal/plain", sent, "plain", refuses, second, 2, keeps},
      {"sent/refusal/once", sent, "once", refuses, second, 2, keeps},
      {"sent/refusal_alone/once", sent, "once", refuses, refused, 1, keeps, 0},
      {"sent/refusal_without_id/once", sent, "once", refuses_without_id, second, 2, keeps},
      {"sent/refusal_of_another/plain", sent, "plain", refuses_another, bad_gateway, 1, closed, 0},
      {"sent/refusal_of_another/once", sent, "once", refuses_another, bad_gateway, 1, closed},
      {"sent/success_and_refusal/once", sent, "once", succeeds_and_refuses, bad_gateway, 1, closed},
      {"sent/misdirected/once", sent, "once", misdirected, second, 2, closed},
      {"sent/misdirected_another/once", sent, "once", misdirected_another, bad_gateway, 1, closed},
      {"sent/reset/plain", sent, "plain", resets, second, 2, closed},
      {"sent/reset/once", sent, "once", resets, bad_gateway, 1, closed},
      {"sent/reset/tale", sent, "tale", resets, second, 2, closed},
      {"sent/reset/talk", sent, "talk", resets, bad_gateway, 1, closed},
      {"sent/close/plain", sent, "plain", closes, second, 2, closed},
      {"sent/close/once", sent, "once", closes, bad_gateway, 1, closed},
      {"sent/no_http/plain", sent, "plain", sends_invalid_http, second, 2, closed},
      {"sent/no_http/once", sent, "once", sends_invalid_http, bad_gateway, 1, closed},
      {"sent/silence/plain", sent, "plain", nothing, second, 2, closed},
      {"sent/silence/once", sent, "once", nothing, timed_out, 1, closed},
      {"sent/silence/tale", sent, "tale", nothing, second, 2, closed},
      {"sent/silence/talk", sent, "talk", nothing, timed_out, 1, closed},
      {"sent/silence_alone/plain", sent, "plain", nothing, timed_out, 1, closed, 0},
      {"sent/caller_leaves/plain", sent, "plain", caller_leaves, nobody, 1, closed},
      {"sent/caller_leaves/once", sent, "once", caller_leaves, nobody, 1, closed},
      {"sent/caller_half_closes/plain", sent, "plain", caller_half_closes, nobody, 1, closed},
      {"sent/caller_leaves_descriptor_reused/plain", sent, "plain", caller_leaves_and_another_comes, nobody, 1, closed},
      {"sent/caller_pipelines/plain", sent, "plain", caller_pipelines, first, 1, keeps},
      {"sent/caller_pipelines_and_leaves/plain", sent, "plain", caller_pipelines_and_leaves, nobody, 1, closed},
      {"sent/caller_pipelines_and_leaves/once", sent, "once", caller_pipelines_and_leaves, nobody, 1, closed},

      {"sent_on_kept/answer/plain", sent_on_kept, "plain", answers, first, 1, keeps},
      {"sent_on_kept/late_answer_of_another/plain", sent_on_kept, "plain", answers_another, second, 2, closed},
      {"sent_on_kept/late_refusal_of_another/plain", sent_on_kept, "plain", refuses_another, bad_gateway, 1, closed, 0},
      {"sent_on_kept/silent_reset/plain", sent_on_kept, "plain", resets, second, 2, closed},
      {"sent_on_kept/close/plain", sent_on_kept, "plain", closes, second, 2, closed},

      {"body_unread/answer/plain", body_unread, "plain", answers_early_and_reads_on, first, 1, closed, 0},
      {"body_unread/answer/once", body_unread, "once", answers_early_and_reads_on, first, 1, closed, 0},
      {"body_unread/refusal/once", body_unread, "once", refuses_early, second, 2, closed},
      {"body_unread/reset/plain", body_unread, "plain", resets, second, 2, closed},
      {"body_unread/reset/once", body_unread, "once", resets, bad_gateway, 1, closed},
      {"body_unread/open_answer_and_reset/once", body_unread, "once", resets_early_answer, bad_gateway, 1, closed},
      {"body_unread/silence/once", body_unread, "once", nothing, timed_out, 1, closed},
      {"body_unread/caller_leaves/once", body_unread, "once", caller_leaves, nobody, 1, closed},

      {"head_read/rest/plain", head_read, "plain", rest_of_body, first, 1, keeps},
      {"head_read/rest_and_surplus/once", head_read, "once", rest_of_body_and_more, first, 1, closed},
      {"head_read/reset/plain", head_read, "plain", resets_in_body, second, 2, closed},
      {"head_read/reset/once", head_read, "once", resets_in_body, bad_gateway, 1, closed},
      {"head_read/close/plain", head_read, "plain", closes, second, 2, closed},
      {"head_read/close/once", head_read, "once", closes, bad_gateway, 1, closed},
      {"head_read/silence/plain", head_read, "plain", nothing, second, 2, closed},
      {"head_read/silence/once", head_read, "once", nothing, timed_out, 1, closed},
      {"head_read/caller_leaves/once", head_read, "once", caller_leaves, nobody, 1, closed},

      {"mid_stream/rest/tale", mid_stream, "tale", rest_of_stream, first, 1, keeps},
      {"mid_stream/rest/talk", mid_stream, "talk", rest_of_stream, first, 1, keeps},
      {"mid_stream/rest_and_surplus/tale", mid_stream, "tale", rest_of_stream_and_more, first, 1, closed},
      {"mid_stream/reset/tale", mid_stream, "tale", resets, joined, 2, closed},
      {"mid_stream/reset/talk", mid_stream, "talk", resets, broken, 1, closed},
      {"mid_stream/reset_behind_last_event/tale", mid_stream, "tale", resets_behind_the_last_event, joined, 2, closed,
       2},
      {"mid_stream/close/tale", mid_stream, "tale", closes, joined, 2, closed},
      {"mid_stream/close/talk", mid_stream, "talk", closes, broken, 1, closed},
      {"mid_stream/bad_chunk/tale", mid_stream, "tale", bad_chunk, joined, 2, closed},
      {"mid_stream/bad_chunk/talk", mid_stream, "talk", bad_chunk, broken, 1, closed},
      {"mid_stream/unnumbered_and_reset/tale", mid_stream, "tale", unnumbered_and_reset, broken, 1, closed},
      {"mid_stream/silence/tale", mid_stream, "tale", nothing, joined, 2, closed},
      {"mid_stream/silence/talk", mid_stream, "talk", nothing, broken, 1, closed},
      {"mid_stream/caller_leaves/tale", mid_stream, "tale", caller_leaves, nobody, 1, closed},
      {"mid_stream/caller_leaves/talk", mid_stream, "talk", caller_leaves, nobody, 1, closed},
      {"mid_event/rest/tale", mid_event, "tale", rest_of_stream, first, 1, keeps},
      {"mid_event/last_chunk/tale", mid_event, "tale", last_chunk_in_event, joined, 2, closed},
      {"mid_event/last_chunk/talk", mid_event, "talk", last_chunk_in_event, broken, 1, closed},
      {"mid_event/reset/tale", mid_event, "tale", resets, joined, 2, closed},
      {"mid_event/reset/talk", mid_event, "talk", resets, broken, 1, closed},
      {"open_stream/rest_and_close/tale", open_stream, "tale", rest_until_close, first, 1, closed},
      {"open_stream/close_in_event/tale", open_stream, "tale", ends_in_event, joined, 2, closed},
      {"open_stream/close_in_event/talk", open_stream, "talk", ends_in_event, broken, 1, closed},
      {"open_stream/reset/tale", open_stream, "tale", resets, joined, 2, closed},
      {"open_stream/reset/talk", open_stream, "talk", resets, broken, 1, closed},

      {"kept/next_request/plain", kept, "plain", next_answered_on_kept, first, 1, keeps, 0},
      {"kept/next_request/once", kept, "once", next_request, second, 1, keeps, 0},
      {"kept/next_request_without_id/plain", kept, "plain", next_without_id, second, 1, keeps, 0},
      {"kept/surplus/plain", kept, "plain", surplus_then_next, second, 1, closed, 0},
      {"kept/close/plain", kept, "plain", close_then_next, second, 1, closed, 0},
      {"kept/reset/plain", kept, "plain", reset_then_next, second, 1, closed, 0},
      {"kept/worker_left_the_list/plain", kept, "plain", worker_leaves_list_then_next, second, 1, closed, 1},
  };
}

void PrintTo(Cell const& cell, std::ostream* out) {
  *out << cell.name;
}

class ExchangeTable : public ::testing::TestWithParam<Cell> {};

TEST_P(ExchangeTable, Cell) {
  Exchange(GetParam()).run();
}

std::string test_name(::testing::TestParamInfo<Cell> const& info) {
  std::string name = info.param.name;
  std::replace(name.begin(), name.end(), '/', '_');
  return name;
}
INSTANTIATE_TEST_SUITE_P(Cells, ExchangeTable, ::testing::ValuesIn(cells()), test_name);

/// The names of the rows of the page: table lines that begin with a cell's name in backquotes.
std::set<std::string> names_on_the_page() {
  std::ifstream file(std::string(FINCHLINK_SOURCE_FOLDER) + "/docs/hardening/exchanges.md");
  std::set<std::string> names;
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("| `", 0) == 0) {
      names.insert(line.substr(3, line.find('`', 3) - 3));
    }
  }
  return names;
}

TEST(ExchangePage, NamesTheSameCells) {
  std::set<std::string> tested;
  for (Cell const& cell : cells()) {
    tested.insert(cell.name);
  }
  EXPECT_EQ(tested.size(), cells().size());
  EXPECT_EQ(names_on_the_page(), tested);
}

}  // namespace
}  // namespace finchlink::relay_test
