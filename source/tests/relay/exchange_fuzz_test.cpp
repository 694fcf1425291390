/// Fuzz test of the relay: scripted callers and workers misbehave at random, by seed. Records of both ends show
/// afterwards whether each answer belonged to its own request and was complete, and how often each request ran.
/// FINCHLINK_EXCHANGES sets the number of exchanges per seed, FINCHLINK_SEEDS the number of seeds,
/// FINCHLINK_FIRST_SEED the first one.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>
#include <set>

#include "common/relay_constants.hpp"
#include "tests/relay/fleet.hpp"

namespace finchlink::relay_test {
namespace {

constexpr int route_deadline_ms = 400;
constexpr double route_set_point_ms = 80;
constexpr std::size_t concurrent_callers = 16;
constexpr std::size_t workers_of_each_kind = 20;
constexpr std::uint64_t max_attempts = 3;
/// This long after a caller left, no request of it may reach a worker any more, and no worker may still serve one.
constexpr common::Span departure_grace = common::milliseconds(500);
/// A connection that carried unrequested bytes may still get requests that were on their way to it, for this long.
constexpr common::Span taint_grace = common::milliseconds(100);
constexpr char const* last_chunk = "0\r\n\r\n";

std::size_t from_environment(char const* name, std::size_t fallback) {
  char const* const text = std::getenv(name);
  return text == nullptr ? fallback : static_cast<std::size_t>(std::strtoull(text, nullptr, 10));
}

/// One request of a caller, and what both ends saw of it.
struct ExchangeRecord {
  std::string route;
  std::string id;
  std::string body;
  bool head = false;         ///< a HEAD: its answer has no body
  bool expects = false;      ///< it waits for 100 Continue
  std::uint64_t behind = 0;  ///< Last-Event-ID of the caller
  std::uint64_t events = 0;  ///< number of events in its stream
  bool numbered = true;      ///< its events have numbers
  common::Moment left = 0;   ///< when the caller left; 0: it has not
  bool over = false;         ///< answered, broken off, or its caller left
  unsigned int status = 0;   ///< that the caller got
  std::uint64_t runs = 0;
  std::uint64_t attempts = 0;
  std::uint64_t refusals = 0;                  ///< attempts that a worker refused with the promise not to have run it
  std::set<std::string> bodies;                ///< of the complete answers that workers gave
  std::set<std::string> failures;              ///< bodies of the 500s that workers gave
  std::vector<std::shared_ptr<Line>> working;  ///< connections of workers that serve it now
  [[nodiscard]] bool stream() const { return route == "talk" || route == "tale"; }
  [[nodiscard]] bool repeatable() const { return route == "plain" || route == "tale"; }
  [[nodiscard]] std::string piece(std::uint64_t number) const {
    std::string const data = "data: " + id + " piece " + std::to_string(number) + "\n\n";
    return numbered ? "id: " + std::to_string(number) + "\n" + data : data;
  }
  [[nodiscard]] std::string pieces(std::uint64_t first, std::uint64_t last) const {
    std::string text;
    for (std::uint64_t number = first; number <= last; ++number) {
      text += piece(number);
    }
    return text;
  }
};

/// A delayed step of a worker's script.
struct DelayedStep {
  common::Moment due;
  std::function<void()> act;
};

struct ScriptedCaller {
  std::shared_ptr<Line> line;
  std::deque<ExchangeRecord*> waiting;  ///< requests sent on this connection, in order
};

/// One run of the fuzz test: a seed and a number of exchanges.
class FuzzRun {
 public:
  FuzzRun(std::uint64_t seed, std::size_t exchanges) : random_(seed), exchanges_(exchanges) {
    for (schema::Lane& route : fleet_.routing_config.lanes) {
      route.deadline_ms = route_deadline_ms;
      route.set_point_ms = route_set_point_ms;
      route.gap_set_point_ms = route.stream ? route_set_point_ms : 0;
      route.dispatches = max_attempts;
    }
    fleet_.settings.bounds.retry_ratio = 10;
    fleet_.settings.bounds.retry_slack = 1e6;
    for (std::size_t index = 1; index <= workers_of_each_kind; ++index) {
      fleet_.worker("w" + std::to_string(index), "web");
      fleet_.worker("m" + std::to_string(index), "pool");
    }
    fleet_.begin();
  }

  void run() {
    callers_.resize(concurrent_callers);
    common::Moment const give_up_at =
        common::boot_now() + common::seconds(static_cast<std::int64_t>(20 + exchanges_ / 10));
    while ((requests_sent_ < exchanges_ || !all_finished()) && common::boot_now() < give_up_at) {
      poll_once();
    }
    EXPECT_TRUE(all_finished()) << "some requests were not answered";
    common::Moment const end = common::boot_now() + common::milliseconds(60);
    while (common::boot_now() < end) {
      poll_once();
    }
    check_records();
  }

  [[nodiscard]] std::string summary() const {
    std::string text = std::to_string(requests_sent_) + " exchanges, " + std::to_string(attempts_) + " attempts, " +
                       std::to_string(runs_) + " runs;";
    for (std::pair<std::string const, std::uint64_t> const& entry : tally_) {
      text += " " + entry.first + " " + std::to_string(entry.second);
    }
    return text;
  }

 private:
  std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }
  bool chance(std::uint64_t percent) { return random_below(100) < percent; }
  void run_later(std::uint64_t delay_ms, std::function<void()> act) {
    delayed_.push_back(
        {common::boot_now() + common::milliseconds(static_cast<std::int64_t>(delay_ms)), std::move(act)});
  }
  [[nodiscard]] bool all_finished() const {
    return std::all_of(records_.begin(), records_.end(),
                       [](std::pair<std::string const, ExchangeRecord> const& entry) { return entry.second.over; });
  }

  void poll_once() {
    fleet_.context->run_one_for(std::chrono::milliseconds(1));
    fleet_.context->poll();
    poll_workers();
    run_due_steps();
    for (ScriptedCaller& caller : callers_) {
      read_answers(caller);
      send_or_leave(caller);
    }
    check_departed_callers();
  }

  void run_due_steps() {
    std::vector<DelayedStep> due;
    common::Moment const now = common::boot_now();
    for (std::size_t index = 0; index < delayed_.size();) {
      if (delayed_[index].due <= now) {
        due.push_back(std::move(delayed_[index]));
        delayed_[index] = std::move(delayed_.back());
        delayed_.pop_back();
      } else {
        ++index;
      }
    }
    for (DelayedStep const& entry : due) {
      entry.act();
    }
  }

  // --- callers ---

  void send_or_leave(ScriptedCaller& caller) {
    if (caller.line != nullptr && !caller.waiting.empty()) {
      if (random_below(400) == 0) {
        leave(caller);
      }
      return;
    }
    if (requests_sent_ >= exchanges_) {
      return;
    }
    if (caller.line == nullptr || caller.line->ended || chance(10)) {
      caller.line = fleet_.call("");
    }
    std::uint64_t const pipelined = chance(10) ? 2 : 1;
    std::string text;
    for (std::uint64_t index = 0; index < pipelined && requests_sent_ < exchanges_; ++index) {
      text += make_request(caller);
    }
    caller.line->send_long(text);
    if (chance(2)) {
      leave(caller);
    }
  }

  /// Some bodies are longer than the socket buffers of both ends hold.
  std::size_t body_size() {
    if (chance(1)) {
      return 3500000;
    }
    return chance(5) ? 200000 : random_below(2000);
  }

  std::string make_request(ScriptedCaller& caller) {
    static constexpr char const* routes[] = {"plain", "once", "talk", "tale"};
    ExchangeRecord entry;
    entry.id = "q" + std::to_string(++requests_sent_);
    entry.route = routes[random_below(4)];
    entry.head = !entry.stream() && chance(5);
    entry.body = entry.head ? "" : entry.id + std::string(body_size(), 'b');
    entry.events = entry.stream() ? 2 + random_below(12) : 0;
    entry.numbered = !chance(10);
    entry.behind = entry.stream() && entry.numbered && chance(10) ? 1 + random_below(entry.events - 1) : 0;
    entry.expects = !entry.head && chance(5);
    std::string text = std::string(entry.head ? "HEAD" : "POST") + " /" + entry.route + "/" + entry.id +
                       " HTTP/1.1\r\nHost: h.example\r\n" + with_id(entry.id);
    text += entry.expects ? "Expect: 100-continue\r\n" : "";
    text += entry.behind > 0 ? "Last-Event-ID: " + std::to_string(entry.behind) + "\r\n" : "";
    if (entry.head) {
      text += "\r\n";
    } else if (chance(20)) {
      std::size_t const half = entry.body.size() / 2;
      text += "Transfer-Encoding: chunked\r\n\r\n" + (half > 0 ? chunk(entry.body.substr(0, half)) : "") +
              chunk(entry.body.substr(half)) + last_chunk;
    } else {
      text += "Content-Length: " + std::to_string(entry.body.size()) + "\r\n\r\n" + entry.body;
    }
    caller.waiting.push_back(&records_.emplace(entry.id, entry).first->second);
    return text;
  }

  void leave(ScriptedCaller& caller) {
    caller.line->close();
    for (ExchangeRecord* const entry : caller.waiting) {
      entry->left = common::boot_now();
      entry->over = true;
      ++tally_["left"];
    }
    caller.waiting.clear();
    caller.line = nullptr;
  }

  void read_answers(ScriptedCaller& caller) {
    while (caller.line != nullptr && !caller.waiting.empty()) {
      ExchangeRecord& entry = *caller.waiting.front();
      std::string& got = caller.line->got;
      if (entry.expects && got.rfind("HTTP/1.1 100 ", 0) == 0) {
        got.erase(0, got.find("\r\n\r\n") + 4);
        entry.expects = false;
      }
      std::size_t const head_end = got.find("\r\n\r\n");
      bool const done = head_end != std::string::npos && read_answer(entry, got);
      if (!done && caller.line->ended) {
        handle_connection_end(caller, got);
        return;
      }
      if (!done) {
        return;
      }
      entry.over = true;
      ++tally_[entry.route + " " + std::to_string(entry.status)];
      caller.waiting.pop_front();
    }
    if (caller.line != nullptr && !caller.line->got.empty()) {
      ADD_FAILURE() << "bytes that belong to no request: " << caller.line->got.substr(0, 300);
      caller.line->got.clear();
    }
  }

  /// The connection ended: the first waiting request was broken off, the others were never read.
  void handle_connection_end(ScriptedCaller& caller, std::string const& got) {
    ExchangeRecord& entry = *caller.waiting.front();
    std::size_t const head_end = got.find("\r\n\r\n");
    if (head_end != std::string::npos) {
      EXPECT_TRUE(entry.stream()) << entry.id << " " << got.substr(0, 300);
      check_events(entry, received_stream(got));
    } else {
      EXPECT_EQ(got, "");
      EXPECT_FALSE(entry.attempts > 0 && !entry.stream()) << entry.id << " may have run, and its caller got no answer";
    }
    for (ExchangeRecord* const each : caller.waiting) {
      each->over = true;
      ++tally_[each->route + (each == &entry && head_end != std::string::npos ? " broken" : " unread")];
    }
    caller.waiting.clear();
    caller.line = nullptr;
  }

  /// Removes the answer from `got` and checks it, once it is complete; false: it isn't yet.
  bool read_answer(ExchangeRecord& entry, std::string& got) {
    std::size_t const head_end = got.find("\r\n\r\n") + 4;
    EXPECT_NE(got.substr(0, head_end).find(with_id(entry.id)), std::string::npos)
        << "answer of another request for " << entry.id << ": " << got.substr(0, head_end);
    unsigned int const status = static_cast<unsigned int>(std::strtoul(got.c_str() + 9, nullptr, 10));
    if (entry.head) {
      entry.status = status;
      got.erase(0, head_end);
      return true;
    }
    bool const chunked = got.substr(0, head_end).find("Transfer-Encoding: chunked") != std::string::npos;
    if (chunked) {
      ReceivedStream const stream = received_stream(got);
      if (!stream.whole) {
        return false;
      }
      check_events(entry, stream);
      entry.status = status;
      got = stream.behind;
      return true;
    }
    std::optional<Read<false>> const answer = read_first<false>(got);
    if (!answer.has_value()) {
      return false;
    }
    entry.status = status;
    check_whole_answer(entry, answer->message);
    got.erase(0, answer->length);
    return true;
  }

  void check_whole_answer(ExchangeRecord const& entry, Response const& answer) {
    if (answer.result_int() == 200) {
      EXPECT_EQ(entry.bodies.count(answer.body()), 1u)
          << entry.id << " got an answer that no worker gave for it: " << answer.base() << answer.body().size()
          << " bytes, " << answer.body().substr(0, 60);
      EXPECT_NE(std::string(answer["Finchlink-Seal"]), "");
    } else if (answer.result_int() == 500) {
      EXPECT_EQ(entry.failures.count(answer.body()), 1u) << entry.id;
    }
  }

  void check_events(ExchangeRecord const& entry, ReceivedStream const& stream) {
    std::string const due = entry.pieces(entry.behind + 1, entry.events);
    EXPECT_EQ(stream.events, due.substr(0, stream.events.size())) << entry.id;
    if (stream.whole) {
      EXPECT_EQ(stream.events.size(), due.size()) << entry.id << " ended in order but is incomplete";
    } else {
      EXPECT_EQ(stream.behind, "") << entry.id;
    }
  }

  // --- workers ---

  void poll_workers() {
    for (std::pair<std::string const, std::unique_ptr<Worker>>& named : fleet_.workers) {
      Worker& worker = *named.second;
      worker.pause_reading_at = chance(10) ? 1 : std::numeric_limits<std::size_t>::max();
      answer_early(worker);
      worker.collect_arrivals();
      std::vector<Arrival> arrivals = std::move(worker.arrivals);
      worker.arrivals.clear();
      for (Arrival& arrival : arrivals) {
        check_arrival(arrival);
      }
      std::erase_if(worker.lines, [](std::shared_ptr<Line> const& line) { return line->ended; });
    }
  }

  /// Some workers answer as soon as they have the head, and read the body later.
  void answer_early(Worker& worker) {
    for (std::shared_ptr<Line> const& line : worker.lines) {
      std::size_t const at = line->got.find("Finchlink-Query: ");
      if (!line->paused() || line->got.find("\r\n\r\n") == std::string::npos ||
          read_first<true>(line->got).has_value()) {
        if (line->paused() && (line->got.empty() || read_first<true>(line->got).has_value())) {
          line->read_on();
        }
        continue;
      }
      std::string const id = line->got.substr(at + 17, line->got.find("\r\n", at) - at - 17);
      if (records_.count(id) == 0 || !early_.insert({line, id}).second) {
        continue;
      }
      ExchangeRecord& entry = records_.at(id);
      count_attempt(entry, line);
      if (entry.stream() || chance(30)) {
        ++entry.refusals;
        line->send(refusal_of(id, "503 Busy"));
        stop_working(entry, line);
      } else {
        line->send(success(id, run_and_answer(entry)));
        stop_working(entry, line);
      }
      run_later(random_below(40), [line] { line->read_on(); });
    }
  }

  void count_attempt(ExchangeRecord& entry, std::shared_ptr<Line> const& line) {
    common::Moment const now = common::boot_now();
    ++attempts_;
    ++entry.attempts;
    std::uint64_t const free_attempts = std::min<std::uint64_t>(entry.refusals, common::constants::max_refusals);
    EXPECT_LE(entry.attempts, max_attempts + free_attempts) << entry.id;
    EXPECT_LE(entry.runs, max_attempts) << entry.id;
    EXPECT_FALSE(entry.left > 0 && now - entry.left > departure_grace)
        << entry.id << " reached a worker after its caller left";
    std::map<std::shared_ptr<Line>, common::Moment>::const_iterator const tainted = tainted_.find(line);
    EXPECT_FALSE(tainted != tainted_.end() && now - tainted->second > taint_grace)
        << entry.id << " was sent on a connection with unrequested bytes";
    entry.working.push_back(line);
  }

  void check_arrival(Arrival& arrival) {
    std::string const id = arrival.header("Finchlink-Query");
    ASSERT_EQ(records_.count(id), 1u) << "a request that no caller sent: " << id;
    ExchangeRecord& entry = records_.at(id);
    EXPECT_EQ(arrival.request.body(), entry.body) << id;
    EXPECT_EQ(std::string(arrival.request.target()), "/" + entry.route + "/" + id);
    EXPECT_EQ(arrival.header("Expect"), "");
    if (early_.count({arrival.line, id}) > 0) {
      return;
    }
    // Attempts may be seen in another order than sent, so only the bound is checked here; exchange_table_test compares
    // the time left of one attempt with the next.
    EXPECT_LE(std::stoi(arrival.header("Finchlink-Left")), route_deadline_ms) << id;
    count_attempt(entry, arrival.line);
    if (entry.head) {
      answer_head_request(entry, arrival.line);
    } else if (entry.stream()) {
      std::string const behind = arrival.header("Last-Event-ID");
      answer_stream(entry, arrival.line, behind.empty() ? 0 : std::stoull(behind));
    } else {
      answer_whole(entry, arrival.line);
    }
  }

  std::string run_and_answer(ExchangeRecord& entry) {
    ++runs_;
    ++entry.runs;
    std::string const body = entry.id + " run " + std::to_string(entry.runs) + std::string(random_below(4000), 'a');
    entry.bodies.insert(body);
    return body;
  }
  void count_run(ExchangeRecord& entry) {
    ++runs_;
    ++entry.runs;
  }
  static void stop_working(ExchangeRecord& entry, std::shared_ptr<Line> const& line) {
    std::erase(entry.working, line);
  }
  void taint(std::shared_ptr<Line> const& line) { tainted_.emplace(line, common::boot_now()); }

  static std::string refusal_of(std::string const& id, std::string const& status) { return not_run(id, status); }
  /// An answer to another request, or one that it might have got.
  std::string answer_of_another(ExchangeRecord const& entry) {
    std::string const id = "q" + std::to_string(1 + random_below(requests_sent_));
    // Only to a request that is over: no worker has a late answer to a request that it has yet to get.
    std::string const other = records_.at(id).over ? id : "q0";
    switch (random_below(3)) {
      case 0:
        return refusal_of(other, "503 Busy");
      case 1:
        return "HTTP/1.1 421 Misdirected Request\r\n" + with_id(other) + "Content-Length: 0\r\n\r\n";
      default:
        return success(other, other + " of another");
    }
  }

  void answer_head_request(ExchangeRecord& entry, std::shared_ptr<Line> const& line) {
    count_run(entry);
    line->send("HTTP/1.1 200 OK\r\n" + with_id(entry.id) + "Finchlink-Seal: s\r\nContent-Length: 7\r\n\r\n");
    stop_working(entry, line);
    if (chance(10)) {  // a body, which an answer to HEAD must not have
      line->send("surplus");
      taint(line);
    }
  }

  /// Sends a text in two pieces with a pause between them.
  void send_slowly(std::shared_ptr<Line> const& line, std::string const& text) {
    std::size_t const half = text.empty() ? 0 : random_below(text.size());
    line->send(text.substr(0, half));
    partly_answered_.insert(line);
    run_later(random_below(10), [this, line, rest = text.substr(half)] {
      partly_answered_.erase(line);
      if (!line->ended) {
        line->send(rest);
      }
    });
  }

  void answer_whole(ExchangeRecord& entry, std::shared_ptr<Line> const& line) {
    std::string const& id = entry.id;
    std::uint64_t const how = random_below(48);
    if (how == 0) {
      ++entry.refusals;
      line->send(refusal_of(id, "503 Busy"));
      return stop_working(entry, line);
    }
    if (how == 1) {
      ++entry.refusals;
      line->send(refusal_of(id, "429 Too Many Requests"));
      return stop_working(entry, line);
    }
    if (how == 2) {
      ++entry.refusals;
      line->send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
      return stop_working(entry, line);
    }
    if (how == 3) {
      count_run(entry);
      std::string const body = id + " failed " + std::to_string(entry.runs);
      entry.failures.insert(body);
      line->send("HTTP/1.1 500 Internal\r\n" + with_id(id) + "Content-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body);
      return stop_working(entry, line);
    }
    std::string const body = run_and_answer(entry);
    std::string const whole = success(id, body);
    std::string const open = "HTTP/1.1 200 OK\r\n" + with_id(id) + "Finchlink-Seal: s\r\nX-Open: 1\r\n\r\n";
    switch (how) {
      case 4:
        line->reset();
        break;
      case 5:
        line->close();
        break;
      case 6:
        line->send(whole.substr(0, whole.size() - body.size()));
        line->reset();
        break;
      case 7:
        line->send(whole.substr(0, whole.size() - 1));
        line->close();
        break;
      case 8:
        line->send(open + body);
        line->close();
        break;
      case 9:
        line->send(open + body.substr(0, body.size() / 2));
        line->reset();
        break;
      case 10:
        line->send(answer_of_another(entry));
        break;
      case 11:
        return;  // stalls
      case 12:
        return run_later(60 + random_below(200), [this, line, whole, &entry] {
          if (!line->ended) {
            line->send(whole);
          }
          stop_working(entry, line);
        });
      case 13:
        line->send("no answer at all\r\n\r\n");
        break;
      case 14:
        line->send("HTTP/1.1 200 OK\r\n" + with_id(id) + "Content-Length: 3\r\n\r\nwho");
        break;
      case 15:
        line->send("HTTP/1.1 200 OK\r\nFinchlink-Seal: s\r\nContent-Length: 3\r\n\r\nwho");
        break;
      case 16:
        line->send("HTTP/1.1 200 OK\r\n" + with_id(id) + "Finchlink-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
                   chunk(body) + "zz\r\n");
        break;
      case 17:
      case 18:
        line->send("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + whole);
        break;
      case 19:
      case 20:
        line->send("HTTP/1.1 200 OK\r\n" + with_id(id) + "Finchlink-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
                   chunk(body.substr(0, 2)) + chunk(body.substr(2)) + last_chunk);
        break;
      case 21:
        line->send(success(id, body, "Connection: close\r\n"));
        break;
      case 22:
      case 23:
      case 24:
        line->send(whole + answer_of_another(entry));
        taint(line);
        break;
      case 25:
      case 26:
      case 27:
        line->send(whole);
        run_later(5 + random_below(60), [this, line, &entry] {
          if (!line->ended && partly_answered_.count(line) == 0) {  // not in the middle of an answer
            line->send(answer_of_another(entry));
            taint(line);
          }
        });
        break;
      case 28:
      case 29:
        send_slowly(line, whole);
        break;
      default:
        line->send(whole);
    }
    stop_working(entry, line);
  }

  void answer_stream(ExchangeRecord& entry, std::shared_ptr<Line> const& line, std::uint64_t behind) {
    std::uint64_t const how = random_below(30);
    if (how == 0) {
      ++entry.refusals;
      line->send(refusal_of(entry.id, "503 Busy"));
      return stop_working(entry, line);
    }
    count_run(entry);
    bool const resumed = behind != entry.behind;
    std::uint64_t first = behind + 1;
    if (how == 1 && resumed) {
      first = 1 + random_below(behind);  // repeats events that the caller has
    } else if (how == 2 && resumed && behind + 2 <= entry.events) {
      first = behind + 2;  // skips an event
    }
    std::uint64_t const cut = std::min(first + random_below(entry.events), entry.events);
    std::string const head = stream_head(entry.id);
    std::string const open =
        "HTTP/1.1 200 OK\r\n" + with_id(entry.id) + "Finchlink-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n";
    std::string const all = entry.pieces(first, entry.events);
    std::string const some = entry.pieces(first, cut);
    std::string const half = some.substr(0, some.size() - std::min<std::size_t>(some.size(), 5));
    auto const piece = [](std::string const& text) { return text.empty() ? "" : chunk(text); };
    switch (how) {
      case 3:
        line->reset();
        break;
      case 4:
        line->send(head + piece(some));
        line->reset();
        break;
      case 5:
        line->send(head + piece(some));
        line->close();
        break;
      case 6:
        line->send(head + piece(half));
        run_later(10, [line] {
          if (!line->ended) {
            line->reset();
          }
        });
        break;
      case 7:
        line->send(head + piece(half) + (some.empty() ? "" : last_chunk));
        break;
      case 8:
        line->send(head + piece(some));  // then stalls
        return;
      case 9:
        line->send(head + piece(some));
        return run_later(50 + random_below(150),
                         [this, line, rest = entry.pieces(cut + 1, entry.events), piece, &entry] {
                           if (!line->ended) {
                             line->send(piece(rest) + last_chunk);
                           }
                           stop_working(entry, line);
                         });
      case 10:
        line->send(open + all);
        line->close();
        break;
      case 11:
        line->send(open + some);
        run_later(10, [line] {
          if (!line->ended) {
            line->reset();
          }
        });
        break;
      case 12:
        line->send(success(entry.id, "no stream"));
        entry.bodies.insert("no stream");
        break;
      case 13:
        line->send(answer_of_another(entry));
        break;
      case 14:
        line->send("HTTP/1.1 500 Internal\r\n" + with_id(entry.id) + "Content-Length: 4\r\n\r\noops");
        entry.failures.insert("oops");
        break;
      case 15:
        line->send(head + piece(all) + last_chunk + answer_of_another(entry));
        taint(line);
        break;
      case 16:
        line->send(head + piece(some) + "zz\r\n");
        break;
      case 17:
      case 18:
        send_slowly(line, head + piece(all) + last_chunk);
        break;
      case 19:
        line->send("HTTP/1.1 103 Early Hints\r\n\r\n" + head + piece(all) + last_chunk);
        break;
      default:
        line->send(head + piece(some) + piece(entry.pieces(cut + 1, entry.events)) + last_chunk);
    }
    stop_working(entry, line);
  }

  void check_departed_callers() {
    common::Moment const now = common::boot_now();
    for (std::pair<std::string const, ExchangeRecord>& each : records_) {
      ExchangeRecord& entry = each.second;
      if (entry.left == 0 || now - entry.left < departure_grace || entry.working.empty()) {
        continue;
      }
      for (std::shared_ptr<Line> const& line : entry.working) {
        EXPECT_TRUE(line->ended || line->paused()) << entry.id << ": a worker still serves a caller that left";
      }
      entry.working.clear();
    }
  }

  /// Checks the records of both ends once all exchanges are over.
  void check_records() {
    for (std::pair<std::string const, ExchangeRecord> const& each : records_) {
      ExchangeRecord const& entry = each.second;
      if (!entry.repeatable()) {
        EXPECT_LE(entry.runs, 1u) << entry.id << " of " << entry.route << " ran twice";
      }
      if (entry.status == 503 || entry.status == 429 || entry.status == 408 || entry.status == 421) {
        EXPECT_EQ(entry.runs, 0u) << entry.id << " of " << entry.route << " was refused and ran";
      }
    }
  }

  std::mt19937_64 random_;
  std::size_t const exchanges_;
  Fleet fleet_;
  std::map<std::string, ExchangeRecord> records_;
  std::vector<ScriptedCaller> callers_;
  std::vector<DelayedStep> delayed_;
  std::set<std::pair<std::shared_ptr<Line>, std::string>> early_;  ///< answered before the body was read
  std::map<std::shared_ptr<Line>, common::Moment> tainted_;        ///< connections with unrequested bytes, since when
  std::set<std::shared_ptr<Line>> partly_answered_;                ///< connections on which half an answer was sent
  std::map<std::string, std::uint64_t> tally_;
  std::size_t requests_sent_ = 0;
  std::uint64_t attempts_ = 0;
  std::uint64_t runs_ = 0;
};

TEST(ExchangeFuzz, EachAnswerIsItsOwnAndNothingRunsTwice) {
  std::size_t const exchanges = from_environment("FINCHLINK_EXCHANGES", 300);
  std::size_t const seeds = from_environment("FINCHLINK_SEEDS", 2);
  std::size_t const first = from_environment("FINCHLINK_FIRST_SEED", 1);
  for (std::size_t seed = first; seed < first + seeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    FuzzRun fuzz_run(seed, exchanges);
    fuzz_run.run();
    std::cout << "seed " << seed << ": " << fuzz_run.summary() << std::endl;
    if (::testing::Test::HasFailure()) {
      return;
    }
  }
}

}  // namespace
}  // namespace finchlink::relay_test
