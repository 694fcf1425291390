/// Whole (not streamed) answers through the relay: refusals, invalid answers, reused connections, stalls and deadlines.
#include <gtest/gtest.h>

#include "tests/relay/fleet.hpp"

namespace finchlink::relay_test {
namespace {

std::string header_of(std::optional<Response> const& answer, std::string const& name) {
  return answer.has_value() ? std::string((*answer)[name]) : "no answer";
}
unsigned int status_of(std::optional<Response> const& answer) {
  return answer.has_value() ? answer->result_int() : 0;
}
std::string body_of(std::optional<Response> const& answer) {
  return answer.has_value() ? answer->body() : "no answer";
}
Arrival& last_arrival(Worker* worker) {
  return worker->arrivals.back();
}

TEST(RelayWhole, QueryAndAnswerGoThroughUnchanged) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller =
      fleet.call(query("/plain/a/b?c=d&e", "q1", "the body",
                       "X-Own: kept\r\nConnection: X-Hop\r\nX-Hop: this hop only\r\nFinchlink-Left: "
                       "2000\r\nFinchlink-Worker: forged\r\n"));
  ASSERT_TRUE(fleet.arrived(worker, 1));
  Arrival& arrival = last_arrival(&worker);
  EXPECT_EQ(arrival.request.method_string(), "POST");
  EXPECT_EQ(arrival.request.target(), "/plain/a/b?c=d&e");
  EXPECT_EQ(arrival.request.body(), "the body");
  EXPECT_EQ(arrival.header("Host"), "h.example");
  EXPECT_EQ(arrival.header("Finchlink-Query"), "q1");
  EXPECT_EQ(arrival.header("X-Own"), "kept");
  EXPECT_EQ(arrival.header("X-Hop"), "");
  EXPECT_EQ(arrival.header("Finchlink-Worker"), "w1");
  EXPECT_EQ(arrival.request.count("Finchlink-Worker"), 1u);
  int const left = std::stoi(arrival.header("Finchlink-Left"));
  EXPECT_GT(left, 1000);
  EXPECT_LE(left, 2000);
  arrival.line->send(success("q1", "the answer", "X-Worker: one\r\nKeep-Alive: timeout=5\r\n"));
  std::optional<Response> const answer = fleet.answer_on(caller);
  EXPECT_EQ(status_of(answer), 200u);
  EXPECT_EQ(body_of(answer), "the answer");
  EXPECT_EQ(header_of(answer, "Finchlink-Seal"), "seal-q1");
  EXPECT_EQ(header_of(answer, "Finchlink-Query"), "q1");
  EXPECT_EQ(header_of(answer, "X-Worker"), "one");
  EXPECT_EQ(header_of(answer, "Keep-Alive"), "");
  EXPECT_TRUE(answer->keep_alive());
  // The next one on the same connection.
  caller->send(query("/plain/next", "q2"));
  ASSERT_TRUE(fleet.arrived(worker, 2));
  last_arrival(&worker).line->send(success("q2", "second"));
  EXPECT_EQ(body_of(fleet.answer_on(caller)), "second");
}

TEST(RelayWhole, ChunkedBodiesGoThroughBothWays) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call("POST /once/a HTTP/1.1\r\nHost: h.example\r\n" + with_id("q1") +
                                                  "Transfer-Encoding: chunked\r\n\r\n" + chunk("first "));
  fleet.run_for(30);
  EXPECT_TRUE(worker.arrivals.empty());
  caller->send(chunk("second") + "0\r\n\r\n");
  ASSERT_TRUE(fleet.arrived(worker, 1));
  EXPECT_EQ(last_arrival(&worker).request.body(), "first second");
  last_arrival(&worker).line->send("HTTP/1.1 200 OK\r\n" + with_id("q1") +
                                   "Finchlink-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("one ") +
                                   chunk("two") + "0\r\n\r\n");
  EXPECT_EQ(body_of(fleet.answer_on(caller)), "one two");
}

TEST(RelayWhole, AHeadRequestIsAnsweredWithoutABody) {
  for (std::string const& more :
       {std::string("Content-Length: 10\r\n"), std::string("Transfer-Encoding: chunked\r\n"), std::string(),
        std::string("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")}) {
    Fleet fleet;
    Worker& worker = fleet.worker("w1");
    fleet.begin();
    std::shared_ptr<Line> const caller =
        fleet.call("HEAD /plain/a HTTP/1.1\r\nHost: h.example\r\n" + with_id("q1") + "\r\n");
    ASSERT_TRUE(fleet.arrived(worker, 1));
    EXPECT_EQ(last_arrival(&worker).request.method_string(), "HEAD");
    // The worker's connection stays open: that no body follows shows only from the method.
    last_arrival(&worker).line->send("HTTP/1.1 200 OK\r\n" + with_id("q1") + "Finchlink-Seal: seal-q1\r\n" + more +
                                     "\r\n");
    ASSERT_TRUE(fleet.until([&] { return caller->got.find("\r\n\r\n") != std::string::npos; })) << more;
    EXPECT_EQ(caller->got.rfind("HTTP/1.1 200 ", 0), 0u);
    EXPECT_NE(caller->got.find("Finchlink-Seal: seal-q1\r\n"), std::string::npos);
    EXPECT_EQ(caller->got.find("\r\nContent-Length: 10\r\n") != std::string::npos, more == "Content-Length: 10\r\n");
    EXPECT_EQ(caller->got.find("\r\n\r\n") + 4, caller->got.size());
    // Both connections can still be used.
    caller->got.clear();
    caller->send(query("/plain/b", "q2"));
    ASSERT_TRUE(fleet.arrived(worker, 2));
    EXPECT_EQ(worker.lines.size(), 1u);
    last_arrival(&worker).line->send(success("q2", "next"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "next");
  }
}

TEST(RelayWhole, AHeadRequestWithoutAWorkerIsRejectedWithoutABody) {
  Fleet fleet;
  fleet.begin();
  std::shared_ptr<Line> const caller =
      fleet.call("HEAD /plain/a HTTP/1.1\r\nHost: h.example\r\n" + with_id("q1") + "\r\n");
  ASSERT_TRUE(fleet.until([&] { return caller->got.find("\r\n\r\n") != std::string::npos; }));
  EXPECT_EQ(caller->got.rfind("HTTP/1.1 503 ", 0), 0u);
  EXPECT_NE(caller->got.find("\r\nRetry-After: "), std::string::npos);
  EXPECT_EQ(caller->got.find("\r\n\r\n") + 4, caller->got.size());
}

TEST(RelayWhole, ARefusedQueryGoesToAnotherWorkerOrGetsARetryAfter) {
  for (std::string const route : {"/plain/", "/once/"}) {
    for (std::string const status : {"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"}) {
      Fleet fleet;
      fleet.worker("w1");
      fleet.worker("w2");
      fleet.begin();
      std::shared_ptr<Line> const caller = fleet.call(query(route + "a", "q1", "x"));
      Worker* const first = fleet.worker_of(1);
      ASSERT_NE(first, nullptr);
      last_arrival(first).line->send(not_run("q1", status));
      Worker* const second = fleet.worker_of(2);
      ASSERT_NE(second, nullptr) << status;
      EXPECT_NE(second, first);
      last_arrival(second).line->send(success("q1", "good"));
      EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
      // Both workers refuse: the caller gets a 503 with Retry-After.
      std::shared_ptr<Line> const other = fleet.call(query(route + "b", "q2"));
      for (std::size_t count = 3; count <= 4; ++count) {
        Worker* const chosen = fleet.worker_of(count);
        if (chosen == nullptr) {
          break;  // one worker is still ejected
        }
        last_arrival(chosen).line->send(not_run("q2", status));
        if (count == 3 && fleet.until([&] { return !other->got.empty(); }, 300)) {
          break;
        }
      }
      std::optional<Response> const answer = fleet.answer_on(other);
      EXPECT_EQ(status_of(answer), 503u) << route << status;
      EXPECT_GT(std::stod(header_of(answer, "Retry-After")), 0);
      EXPECT_EQ(header_of(answer, "Finchlink-Query"), "q2");
    }
  }
}

TEST(RelayWhole, WithoutWorkersAQueryIsRejectedSoonWithARetryAfter) {
  Fleet fleet;
  fleet.begin();
  common::Moment const sent = common::boot_now();
  std::shared_ptr<Line> const caller = fleet.call(query("/once/a", "q1"));
  std::optional<Response> const answer = fleet.answer_on(caller);
  EXPECT_EQ(status_of(answer), 503u);
  EXPECT_GT(std::stod(header_of(answer, "Retry-After")), 0);
  EXPECT_LT(common::boot_now() - sent, common::milliseconds(300));  // a fraction of the set point, not the deadline
}

TEST(RelayWhole, AMisdirectedWorkerIsNotAskedAgain) {
  Fleet fleet;
  fleet.worker("w1");
  fleet.worker("w2");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
  Worker* const misdirected = fleet.worker_of(1);
  ASSERT_NE(misdirected, nullptr);
  last_arrival(misdirected).line->send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
  for (std::size_t count = 2; count < 8; ++count) {
    Worker* const chosen = fleet.worker_of(count);
    ASSERT_NE(chosen, nullptr);
    EXPECT_NE(chosen, misdirected);
    last_arrival(chosen).line->send(success("q" + std::to_string(count - 1), "good"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
    caller->send(query("/plain/a", "q" + std::to_string(count)));
  }
}

/// What a failing worker may send instead of a valid answer, and how its connection ends then.
struct BadAnswer {
  std::string text;
  bool reset = false;  ///< the connection is reset instead of closed in order
};
std::vector<BadAnswer> bad_answers() {
  std::string const sealed_head = "HTTP/1.1 200 OK\r\n" + with_id("q1") + "Finchlink-Seal: s\r\n";
  return {{""},
          {"no answer at all\r\n\r\n"},
          {std::string("\x16\x03\x01\x02\x00", 5)},
          {"HTTP/1.1 200 OK\r\nContent-Le"},
          {success("other", "another's answer")},
          {"HTTP/1.1 200 OK\r\n" + with_id("q1") + "Content-Length: 8\r\n\r\nunsealed"},
          {sealed_head + "Content-Length: 100\r\n\r\nbroken off"},
          {sealed_head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("broken off")},
          {sealed_head + "\r\nwithout a length", true},  // an orderly end would make it a complete answer
          {"HTTP/1.1 503 Busy\r\n" + with_id("q1") + "Content-Length: 0\r\n\r\n"},
          {"HTTP/1.1 100 Continue\r\n\r\n"},
          {sealed_head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"}};
}
void end_with(std::shared_ptr<Line> const& line, BadAnswer const& bad_answer) {
  line->send(bad_answer.text);
  bad_answer.reset ? line->reset() : line->close();
}

TEST(RelayWhole, AnInvalidAnswerNeverReachesTheCaller) {
  for (BadAnswer const& bad_answer : bad_answers()) {
    Fleet fleet;
    fleet.worker("w1");
    fleet.worker("w2");
    fleet.begin();
    std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1", "x"));
    Worker* const first = fleet.worker_of(1);
    ASSERT_NE(first, nullptr);
    end_with(last_arrival(first).line, bad_answer);
    Worker* const second = fleet.worker_of(2);
    ASSERT_NE(second, nullptr) << bad_answer.text;
    EXPECT_NE(second, first);
    EXPECT_TRUE(caller->got.empty());
    last_arrival(second).line->send(success("q1", "good"));
    std::optional<Response> const answer = fleet.answer_on(caller);
    EXPECT_EQ(status_of(answer), 200u) << bad_answer.text;
    EXPECT_EQ(body_of(answer), "good") << bad_answer.text;
    EXPECT_TRUE(caller->got.empty());
  }
}

/// What comes between the chunks of an answer, and behind them, has a limit (section 9.9).
TEST(RelayWhole, AWorkersTrailerOrExtensionWithoutEndIsNoAnswer) {
  for (std::string const& begin : {std::string("1\r\nx\r\n0\r\nLate: "), std::string("1;name=")}) {
    Fleet fleet;
    Worker& worker = fleet.worker("w1");
    fleet.begin();
    std::shared_ptr<Line> const caller = fleet.call(query("/once/a", "q1"));
    ASSERT_TRUE(fleet.arrived(worker, 1));
    std::string const head =
        "HTTP/1.1 200 OK\r\n" + with_id("q1") + "Finchlink-Seal: seal-q1\r\nTransfer-Encoding: chunked\r\n\r\n";
    last_arrival(&worker).line->send_long(head + begin + std::string(4u << 20u, 'v'));
    EXPECT_EQ(status_of(fleet.answer_on(caller)), 502u) << begin;
  }
}

/// Guards against a refusal whose body has no end: a query that may run once waited for it until its deadline.
TEST(RelayWhole, ARefusalWithoutEndIsLeftForAnotherWorker) {
  Fleet fleet;
  fleet.worker("w1");
  fleet.worker("w2");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/once/a", "q1", "x"));
  Worker* const first = fleet.worker_of(1);
  ASSERT_NE(first, nullptr);
  std::string const head =
      "HTTP/1.1 503 Busy\r\n" + with_id("q1") + "Finchlink-Refused: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
  last_arrival(first).line->send_long(head + chunk(std::string(2u << 20u, 'x')));
  Worker* const second = fleet.worker_of(2);
  ASSERT_NE(second, nullptr);
  EXPECT_NE(second, first);
  last_arrival(second).line->send(success("q1", "good"));
  EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
}

TEST(RelayWhole, AQueryThatMayNotBeRepeatedIsNeverSentTwice) {
  for (BadAnswer const& bad_answer : bad_answers()) {
    Fleet fleet;
    fleet.worker("w1");
    fleet.worker("w2");
    fleet.begin();
    std::shared_ptr<Line> const caller = fleet.call(query("/once/a", "q1", "x"));
    Worker* const first = fleet.worker_of(1);
    ASSERT_NE(first, nullptr);
    end_with(last_arrival(first).line, bad_answer);
    std::optional<Response> const answer = fleet.answer_on(caller);
    EXPECT_EQ(status_of(answer), 502u) << bad_answer.text;  // the worker did not promise that the query has not run
    EXPECT_EQ(header_of(answer, "Finchlink-Seal"), "");
    fleet.run_for(30);
    EXPECT_EQ(fleet.arrival_order.size(), 1u) << bad_answer.text;
  }
}

TEST(RelayWhole, AFailedConnectionDoesNotCountAsADispatch) {
  // The first worker received nothing, so even a query that may run only once is sent to the second.
  Fleet fleet;
  Worker& gone = fleet.worker("w1");
  gone.stop();
  fleet.worker("w2");
  fleet.begin();
  for (int round = 1; round <= 3; ++round) {
    std::string const id = "q" + std::to_string(round);
    std::shared_ptr<Line> const caller = fleet.call(query("/once/a", id));
    Worker* const chosen = fleet.worker_of(static_cast<std::size_t>(round));
    ASSERT_NE(chosen, nullptr);
    EXPECT_EQ(fleet.name_of(chosen), "w2");
    last_arrival(chosen).line->send(success(id, "good"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
  }
}

TEST(RelayWhole, AWorkersErrorIsRetriedElsewhereAndElsePassedOn) {
  std::string const failure = "HTTP/1.1 500 Internal\r\n" + with_id("q1") + "Content-Length: 4\r\n\r\noops";
  Fleet fleet;
  fleet.worker("w1");
  fleet.worker("w2");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
  for (std::size_t count = 1; count <= 2; ++count) {
    Worker* const chosen = fleet.worker_of(count);
    ASSERT_NE(chosen, nullptr);
    last_arrival(chosen).line->send(failure);
  }
  std::optional<Response> const answer = fleet.answer_on(caller);
  EXPECT_EQ(status_of(answer), 500u);
  EXPECT_EQ(body_of(answer), "oops");
  Fleet single;
  single.worker("w1");
  single.worker("w2");
  single.begin();
  std::shared_ptr<Line> const other = single.call(query("/once/a", "q1"));
  Worker* const chosen = single.worker_of(1);
  ASSERT_NE(chosen, nullptr);
  last_arrival(chosen).line->send(failure);
  EXPECT_EQ(status_of(single.answer_on(other)), 500u);
  EXPECT_EQ(single.arrival_order.size(), 1u);
}

TEST(RelayWhole, AWorkersClientErrorIsPassedOn) {
  Fleet fleet;
  fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
  Worker* const chosen = fleet.worker_of(1);
  ASSERT_NE(chosen, nullptr);
  last_arrival(chosen).line->send("HTTP/1.1 404 Not Found\r\n" + with_id("q1") + "Content-Length: 4\r\n\r\nnone");
  std::optional<Response> const answer = fleet.answer_on(caller);
  EXPECT_EQ(status_of(answer), 404u);
  EXPECT_EQ(body_of(answer), "none");
}

TEST(RelayKept, ASurplusAnswerNeverReachesAnybody) {
  for (int const when : {0, 1, 2}) {
    Fleet fleet;
    fleet.worker("w1");
    fleet.worker("w2");
    fleet.begin();
    std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
    Worker* const first = fleet.worker_of(1);
    ASSERT_NE(first, nullptr);
    std::shared_ptr<Line> const line = last_arrival(first).line;
    line->send(success("q1", "good") + (when == 0 ? success("q1", "surplus") : ""));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
    if (when == 1) {  // while the connection is idle
      line->send(success("q1", "surplus"));
      fleet.run_for(20);
    }
    caller->send(query("/plain/b", "q2"));
    Worker* chosen = fleet.worker_of(2);
    ASSERT_NE(chosen, nullptr);
    if (when < 2) {
      EXPECT_NE(last_arrival(chosen).line, line) << when;
    } else if (last_arrival(chosen).line == line) {  // where the next answer is expected
      line->send(success("q1", "surplus"));
      chosen = fleet.worker_of(3);
      ASSERT_NE(chosen, nullptr);
    }
    last_arrival(chosen).line->send(success("q2", "next"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "next");
    EXPECT_TRUE(caller->got.empty());
  }
}

TEST(RelayKept, ConnectionsAreReusedForRepeatableQueriesOnly) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
  for (int round = 1; round <= 3; ++round) {
    ASSERT_TRUE(fleet.arrived(worker, static_cast<std::size_t>(round)));
    last_arrival(&worker).line->send(success("q" + std::to_string(round), "good"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
    caller->send(query("/plain/a", "q" + std::to_string(round + 1)));
  }
  ASSERT_TRUE(fleet.arrived(worker, 4));
  EXPECT_EQ(worker.lines.size(), 1u);
  last_arrival(&worker).line->send(success("q4", "good"));
  EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
  caller->send(query("/once/a", "q5"));
  ASSERT_TRUE(fleet.arrived(worker, 5));
  EXPECT_EQ(worker.lines.size(), 2u);
}

TEST(RelayKept, AStaleConnectionIsNotTrusted) {
  for (bool const close_is_seen : {true, false}) {
    Fleet fleet;
    fleet.worker("w1");
    fleet.worker("w2");
    fleet.begin();
    std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
    Worker* const first = fleet.worker_of(1);
    ASSERT_NE(first, nullptr);
    std::shared_ptr<Line> const line = last_arrival(first).line;
    line->send(success("q1", "good"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
    if (close_is_seen) {
      line->close();
      fleet.run_for(20);
    }
    caller->send(query("/plain/b", "q2"));
    Worker* chosen = fleet.worker_of(2);
    ASSERT_NE(chosen, nullptr);
    if (!close_is_seen && last_arrival(chosen).line == line) {
      line->reset();
      chosen = fleet.worker_of(3);
      ASSERT_NE(chosen, nullptr);
    }
    EXPECT_NE(last_arrival(chosen).line, line);
    last_arrival(chosen).line->send(success("q2", "next"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "next");
  }
}

TEST(RelayKept, AWorkerThatClosesIsNotKept) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
  ASSERT_TRUE(fleet.arrived(worker, 1));
  last_arrival(&worker).line->send(success("q1", "good", "Connection: close\r\n"));
  std::optional<Response> const answer = fleet.answer_on(caller);
  EXPECT_EQ(body_of(answer), "good");
  EXPECT_TRUE(answer->keep_alive());  // the worker's connection is not the caller's
  caller->send(query("/plain/a", "q2"));
  ASSERT_TRUE(fleet.arrived(worker, 2));
  EXPECT_EQ(worker.lines.size(), 2u);
}

TEST(RelayStall, AStalledWorkerIsGivenUpWithARetryTokenAndAnotherWorker) {
  Fleet fleet;
  fleet.worker("w1");
  fleet.worker("w2");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
  Worker* const first = fleet.worker_of(1);
  ASSERT_NE(first, nullptr);
  Worker* const second = fleet.worker_of(2);
  ASSERT_NE(second, nullptr);
  EXPECT_NE(second, first);
  EXPECT_TRUE(fleet.until([&] { return last_arrival(first).line->ended; }));
  last_arrival(second).line->send(success("q1", "good"));
  EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
}

TEST(RelayStall, WithoutRetryTokenOtherWorkerOrRepeatabilityItIsWaitedFor) {
  for (int const missing : {0, 1, 2}) {
    Fleet fleet;
    fleet.worker("w1");
    if (missing == 0) {
      fleet.settings.bounds.retry_slack = 0;
    }
    if (missing != 1) {
      fleet.worker("w2");
    }
    fleet.begin();
    std::shared_ptr<Line> const caller = fleet.call(query(missing == 2 ? "/once/a" : "/plain/a", "q1"));
    Worker* const first = fleet.worker_of(1);
    ASSERT_NE(first, nullptr);
    fleet.run_for(700);  // more than twice the set point
    EXPECT_FALSE(last_arrival(first).line->ended) << missing;
    EXPECT_EQ(fleet.arrival_order.size(), 1u) << missing;
    last_arrival(first).line->send(success("q1", "late"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "late") << missing;
  }
}

/// A query with a prompt of which another worker would have to process 5,000 tokens.
std::string long_query(std::string const& id) {
  return query("/plain/a", id, "", std::string(data_plane::own_dialect().tokens) + ": 5000, 10\r\n");
}

TEST(RelayStall, ABusyWorkerWithALongPromptIsProbedAndWaitedFor) {
  Fleet fleet;
  fleet.worker("w1");
  fleet.worker("w2");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(long_query("q1"));
  Worker* const first = fleet.worker_of(1);
  ASSERT_NE(first, nullptr);
  EXPECT_TRUE(fleet.until([&] { return first->lines.size() >= 2; }));  // the probe at the first stall bound
  fleet.run_for(200);                                                  // and past the second bound
  EXPECT_FALSE(first->lines.front()->ended);
  EXPECT_EQ(fleet.arrival_order.size(), 1u);
  first->lines.front()->send(success("q1", "late"));
  EXPECT_EQ(body_of(fleet.answer_on(caller)), "late");
}

TEST(RelayStall, AnUnreachableWorkerWithALongPromptIsGivenUpWhenItsProbeFails) {
  Fleet fleet;
  fleet.worker("w1");
  fleet.worker("w2");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(long_query("q1"));
  Worker* const first = fleet.worker_of(1);
  ASSERT_NE(first, nullptr);
  first->stop();
  Worker* const second = fleet.worker_of(2);
  ASSERT_NE(second, nullptr);
  EXPECT_NE(second, first);
  last_arrival(second).line->send(success("q1", "good"));
  EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
}

TEST(RelayStall, TwoQueriesThatStallTogetherDontShareOneRetryToken) {
  Fleet fleet;
  for (std::string const id : {"w1", "w2", "w3", "w4"}) {
    fleet.worker(id);
  }
  fleet.settings.bounds.retry_slack = 0;  // at most one retry token, earned by arriving queries
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call("");
  std::size_t count = 0;
  while (count < 6) {
    ++count;
    caller->send(query("/plain/a", "q" + std::to_string(count)));
    Worker* const chosen = fleet.worker_of(count);
    ASSERT_NE(chosen, nullptr);
    last_arrival(chosen).line->send(success("q" + std::to_string(count), "good"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
  }
  std::shared_ptr<Line> const one = fleet.call(query("/plain/a", "one"));
  std::shared_ptr<Line> const two = fleet.call(query("/plain/a", "two"));
  ASSERT_NE(fleet.worker_of(count + 3), nullptr);  // one of them was retried
  fleet.run_for(500);
  EXPECT_EQ(fleet.arrival_order.size(), count + 3);  // the other was not
  EXPECT_TRUE(one->got.empty());
  EXPECT_TRUE(two->got.empty());
  std::size_t open = 0;
  for (std::pair<std::string const, std::unique_ptr<Worker>>& entry : fleet.workers) {
    for (Arrival& arrival : entry.second->arrivals) {
      std::string const id = arrival.header("Finchlink-Query");
      if ((id == "one" || id == "two") && !arrival.line->ended) {
        ++open;
        arrival.line->send(success(id, "good"));
      }
    }
  }
  EXPECT_EQ(open, 2u);
  EXPECT_EQ(body_of(fleet.answer_on(one)), "good");
  EXPECT_EQ(body_of(fleet.answer_on(two)), "good");
}

TEST(RelayTime, TheDeadlineEndsAQueryAndItsDispatch) {
  for (std::string const route : {"/plain/", "/once/"}) {
    Fleet fleet;
    Worker& worker = fleet.worker("w1");
    fleet.begin();
    common::Moment const sent = common::boot_now();
    std::shared_ptr<Line> const caller = fleet.call(query(route + "a", "q1", "", "Finchlink-Left: 400\r\n"));
    ASSERT_TRUE(fleet.arrived(worker, 1));
    std::optional<Response> const answer = fleet.answer_on(caller);
    EXPECT_EQ(status_of(answer), 504u);
    EXPECT_GE(common::boot_now() - sent, common::milliseconds(390));
    EXPECT_LT(common::boot_now() - sent, common::milliseconds(1500));
    EXPECT_TRUE(fleet.until([&] { return last_arrival(&worker).line->ended; }));
  }
}

TEST(RelayTime, TheRoutesDeadlineAppliesToo) {
  Fleet fleet;
  fleet.routing_config.lanes[1].deadline_ms = 300;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/once/a", "q1", "", "Finchlink-Left: 60000\r\n"));
  ASSERT_TRUE(fleet.arrived(worker, 1));
  EXPECT_LE(std::stoi(last_arrival(&worker).header("Finchlink-Left")), 300);
  EXPECT_EQ(status_of(fleet.answer_on(caller)), 504u);
}

TEST(RelayTime, WhenTheCallerGoesItsDispatchEnds) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/once/a", "q1"));
  ASSERT_TRUE(fleet.arrived(worker, 1));
  caller->close();
  EXPECT_TRUE(fleet.until([&] { return last_arrival(&worker).line->ended; }, 1000));
  EXPECT_TRUE(fleet.until([&] { return fleet.server->counters().outcomes["abandoned"] == 1; }, 1000));
  // The worker is not ejected for it.
  std::shared_ptr<Line> const next = fleet.call(query("/once/a", "q2"));
  ASSERT_TRUE(fleet.arrived(worker, 2, 150));
}

}  // namespace
}  // namespace finchlink::relay_test
