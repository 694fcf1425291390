#include <gtest/gtest.h>

#include "tests/relay/fleet.hpp"

namespace finchlink::relay_test {
namespace {

std::string text_of(std::optional<Response> const& answer, std::string const& name) {
  return answer.has_value() ? std::string((*answer)[name]) : "no answer";
}
unsigned int status_of(std::optional<Response> const& answer) {
  return answer.has_value() ? answer->result_int() : 0;
}
std::string body_of(std::optional<Response> const& answer) {
  return answer.has_value() ? answer->body() : "no answer";
}
Arrival& last(Worker* worker) {
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
  Arrival& arrival = last(&worker);
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
  EXPECT_EQ(text_of(answer, "Finchlink-Seal"), "seal-q1");
  EXPECT_EQ(text_of(answer, "Finchlink-Query"), "q1");
  EXPECT_EQ(text_of(answer, "X-Worker"), "one");
  EXPECT_EQ(text_of(answer, "Keep-Alive"), "");
  EXPECT_TRUE(answer->keep_alive());
  // The next one on the same connection.
  caller->send(query("/plain/next", "q2"));
  ASSERT_TRUE(fleet.arrived(worker, 2));
  last(&worker).line->send(success("q2", "second"));
  EXPECT_EQ(body_of(fleet.answer_on(caller)), "second");
}

TEST(RelayWhole, ChunkedBodiesGoThroughBothWays) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call("POST /once/a HTTP/1.1\r\nHost: h.example\r\n" + with_id("q1") +
                                                  "Transfer-Encoding: chunked\r\n\r\n" + chunk("first "));
  fleet.rest(30);
  EXPECT_TRUE(worker.arrivals.empty());
  caller->send(chunk("second") + "0\r\n\r\n");
  ASSERT_TRUE(fleet.arrived(worker, 1));
  EXPECT_EQ(last(&worker).request.body(), "first second");
  last(&worker).line->send("HTTP/1.1 200 OK\r\n" + with_id("q1") +
                           "Finchlink-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("one ") + chunk("two") +
                           "0\r\n\r\n");
  EXPECT_EQ(body_of(fleet.answer_on(caller)), "one two");
}

TEST(RelayWhole, AHeadIsAnsweredWithoutABody) {
  for (std::string const& more :
       {std::string("Content-Length: 10\r\n"), std::string("Transfer-Encoding: chunked\r\n"), std::string(),
        std::string("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")}) {
    Fleet fleet;
    Worker& worker = fleet.worker("w1");
    fleet.begin();
    std::shared_ptr<Line> const caller =
        fleet.call("HEAD /plain/a HTTP/1.1\r\nHost: h.example\r\n" + with_id("q1") + "\r\n");
    ASSERT_TRUE(fleet.arrived(worker, 1));
    EXPECT_EQ(last(&worker).request.method_string(), "HEAD");
    // The worker's connection stays open: only the method tells that no body comes.
    last(&worker).line->send("HTTP/1.1 200 OK\r\n" + with_id("q1") + "Finchlink-Seal: seal-q1\r\n" + more + "\r\n");
    ASSERT_TRUE(fleet.until([&] { return caller->got.find("\r\n\r\n") != std::string::npos; })) << more;
    EXPECT_EQ(caller->got.rfind("HTTP/1.1 200 ", 0), 0u);
    EXPECT_NE(caller->got.find("Finchlink-Seal: seal-q1\r\n"), std::string::npos);
    EXPECT_EQ(caller->got.find("\r\nContent-Length: 10\r\n") != std::string::npos, more == "Content-Length: 10\r\n");
    EXPECT_EQ(caller->got.find("\r\n\r\n") + 4, caller->got.size());
    // Both connections are as good as before.
    caller->got.clear();
    caller->send(query("/plain/b", "q2"));
    ASSERT_TRUE(fleet.arrived(worker, 2));
    EXPECT_EQ(worker.lines.size(), 1u);
    last(&worker).line->send(success("q2", "next"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "next");
  }
}

TEST(RelayWhole, AHeadThatFindsNoPlaceIsRefusedWithoutABody) {
  Fleet fleet;
  fleet.begin();
  std::shared_ptr<Line> const caller =
      fleet.call("HEAD /plain/a HTTP/1.1\r\nHost: h.example\r\n" + with_id("q1") + "\r\n");
  ASSERT_TRUE(fleet.until([&] { return caller->got.find("\r\n\r\n") != std::string::npos; }));
  EXPECT_EQ(caller->got.rfind("HTTP/1.1 503 ", 0), 0u);
  EXPECT_NE(caller->got.find("\r\nRetry-After: "), std::string::npos);
  EXPECT_EQ(caller->got.find("\r\n\r\n") + 4, caller->got.size());
}

TEST(RelayWhole, ARefusalGoesToAnotherWorkerOrBackWithATime) {
  for (std::string const route : {"/plain/", "/once/"}) {
    for (std::string const status : {"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"}) {
      Fleet fleet;
      fleet.worker("w1");
      fleet.worker("w2");
      fleet.begin();
      std::shared_ptr<Line> const caller = fleet.call(query(route + "a", "q1", "x"));
      Worker* const first = fleet.holder(1);
      ASSERT_NE(first, nullptr);
      last(first).line->send(not_run("q1", status));
      Worker* const second = fleet.holder(2);
      ASSERT_NE(second, nullptr) << status;
      EXPECT_NE(second, first);
      last(second).line->send(success("q1", "good"));
      EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
      // Both say no: told so, with the time to come back at.
      std::shared_ptr<Line> const other = fleet.call(query(route + "b", "q2"));
      for (std::size_t count = 3; count <= 4; ++count) {
        Worker* const holder = fleet.holder(count);
        if (holder == nullptr) {
          break;  // one rests still
        }
        last(holder).line->send(not_run("q2", status));
        if (count == 3 && fleet.until([&] { return !other->got.empty(); }, 300)) {
          break;
        }
      }
      std::optional<Response> const answer = fleet.answer_on(other);
      EXPECT_EQ(status_of(answer), 503u) << route << status;
      EXPECT_GT(std::stod(text_of(answer, "Retry-After")), 0);
      EXPECT_EQ(text_of(answer, "Finchlink-Query"), "q2");
    }
  }
}

TEST(RelayWhole, WithoutWorkersItIsRefusedSoonAndNeverHeldBack) {
  Fleet fleet;
  fleet.begin();
  common::Moment const sent = common::boot_now();
  std::shared_ptr<Line> const caller = fleet.call(query("/once/a", "q1"));
  std::optional<Response> const answer = fleet.answer_on(caller);
  EXPECT_EQ(status_of(answer), 503u);
  EXPECT_GT(std::stod(text_of(answer, "Retry-After")), 0);
  EXPECT_LT(common::boot_now() - sent, common::milliseconds(300));  // a part of its set point, not its deadline
}

TEST(RelayWhole, AMisdirectedWorkerIsNotAskedAgain) {
  Fleet fleet;
  fleet.worker("w1");
  fleet.worker("w2");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
  Worker* const wrong = fleet.holder(1);
  ASSERT_NE(wrong, nullptr);
  last(wrong).line->send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
  for (std::size_t count = 2; count < 8; ++count) {
    Worker* const holder = fleet.holder(count);
    ASSERT_NE(holder, nullptr);
    EXPECT_NE(holder, wrong);
    last(holder).line->send(success("q" + std::to_string(count - 1), "good"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
    caller->send(query("/plain/a", "q" + std::to_string(count)));
  }
}

/// What a worker in trouble may say instead of its answer, and how its connection ends then.
struct BadAnswer {
  std::string text;
  bool reset = false;
};
std::vector<BadAnswer> bad_answers() {
  std::string const sealed = "HTTP/1.1 200 OK\r\n" + with_id("q1") + "Finchlink-Seal: s\r\n";
  return {{""},
          {"no answer at all\r\n\r\n"},
          {std::string("\x16\x03\x01\x02\x00", 5)},
          {"HTTP/1.1 200 OK\r\nContent-Le"},
          {success("other", "another's answer")},
          {"HTTP/1.1 200 OK\r\n" + with_id("q1") + "Content-Length: 8\r\n\r\nunsealed"},
          {sealed + "Content-Length: 100\r\n\r\nbroken off"},
          {sealed + "Transfer-Encoding: chunked\r\n\r\n" + chunk("broken off")},
          {sealed + "\r\nwithout a length", true},  // an orderly end would make it whole
          {"HTTP/1.1 503 Busy\r\n" + with_id("q1") + "Content-Length: 0\r\n\r\n"},
          {"HTTP/1.1 100 Continue\r\n\r\n"},
          {sealed + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"}};
}
void end_with(std::shared_ptr<Line> const& line, BadAnswer const& bad) {
  line->send(bad.text);
  bad.reset ? line->reset() : line->close();
}

TEST(RelayWhole, WhatIsNoAnswerNeverReachesTheCaller) {
  for (BadAnswer const& bad : bad_answers()) {
    Fleet fleet;
    fleet.worker("w1");
    fleet.worker("w2");
    fleet.begin();
    std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1", "x"));
    Worker* const first = fleet.holder(1);
    ASSERT_NE(first, nullptr);
    end_with(last(first).line, bad);
    Worker* const second = fleet.holder(2);
    ASSERT_NE(second, nullptr) << bad.text;
    EXPECT_NE(second, first);
    EXPECT_TRUE(caller->got.empty());
    last(second).line->send(success("q1", "good"));
    std::optional<Response> const answer = fleet.answer_on(caller);
    EXPECT_EQ(status_of(answer), 200u) << bad.text;
    EXPECT_EQ(body_of(answer), "good") << bad.text;
    EXPECT_TRUE(caller->got.empty());
  }
}

TEST(RelayWhole, WhatMayNotBeRepeatedIsNeverSentTwice) {
  for (BadAnswer const& bad : bad_answers()) {
    Fleet fleet;
    fleet.worker("w1");
    fleet.worker("w2");
    fleet.begin();
    std::shared_ptr<Line> const caller = fleet.call(query("/once/a", "q1", "x"));
    Worker* const first = fleet.holder(1);
    ASSERT_NE(first, nullptr);
    end_with(last(first).line, bad);
    std::optional<Response> const answer = fleet.answer_on(caller);
    EXPECT_EQ(status_of(answer), 502u) << bad.text;  // no promise that it has not run
    EXPECT_EQ(text_of(answer, "Finchlink-Seal"), "");
    fleet.rest(30);
    EXPECT_EQ(fleet.order.size(), 1u) << bad.text;
  }
}

TEST(RelayWhole, AConnectionThatNeverCameUpIsNoDispatch) {
  // Nothing reached the first; the second takes even what may run only once.
  Fleet fleet;
  Worker& gone = fleet.worker("w1");
  gone.stop();
  fleet.worker("w2");
  fleet.begin();
  for (int round = 1; round <= 3; ++round) {
    std::string const id = "q" + std::to_string(round);
    std::shared_ptr<Line> const caller = fleet.call(query("/once/a", id));
    Worker* const holder = fleet.holder(static_cast<std::size_t>(round));
    ASSERT_NE(holder, nullptr);
    EXPECT_EQ(fleet.name_of(holder), "w2");
    last(holder).line->send(success(id, "good"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
  }
}

TEST(RelayWhole, AWorkersOwnFailureIsTriedElsewhereAndElseTold) {
  std::string const failure = "HTTP/1.1 500 Internal\r\n" + with_id("q1") + "Content-Length: 4\r\n\r\noops";
  Fleet fleet;
  fleet.worker("w1");
  fleet.worker("w2");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
  for (std::size_t count = 1; count <= 2; ++count) {
    Worker* const holder = fleet.holder(count);
    ASSERT_NE(holder, nullptr);
    last(holder).line->send(failure);
  }
  std::optional<Response> const answer = fleet.answer_on(caller);
  EXPECT_EQ(status_of(answer), 500u);
  EXPECT_EQ(body_of(answer), "oops");
  Fleet single;
  single.worker("w1");
  single.worker("w2");
  single.begin();
  std::shared_ptr<Line> const other = single.call(query("/once/a", "q1"));
  Worker* const holder = single.holder(1);
  ASSERT_NE(holder, nullptr);
  last(holder).line->send(failure);
  EXPECT_EQ(status_of(single.answer_on(other)), 500u);
  EXPECT_EQ(single.order.size(), 1u);
}

TEST(RelayWhole, AWorkersOwnNoIsPassedOn) {
  Fleet fleet;
  fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
  Worker* const holder = fleet.holder(1);
  ASSERT_NE(holder, nullptr);
  last(holder).line->send("HTTP/1.1 404 Not Found\r\n" + with_id("q1") + "Content-Length: 4\r\n\r\nnone");
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
    Worker* const first = fleet.holder(1);
    ASSERT_NE(first, nullptr);
    std::shared_ptr<Line> const line = last(first).line;
    line->send(success("q1", "good") + (when == 0 ? success("q1", "surplus") : ""));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
    if (when == 1) {  // while the connection rests
      line->send(success("q1", "surplus"));
      fleet.rest(20);
    }
    caller->send(query("/plain/b", "q2"));
    Worker* holder = fleet.holder(2);
    ASSERT_NE(holder, nullptr);
    if (when < 2) {
      EXPECT_NE(last(holder).line, line) << when;
    } else if (last(holder).line == line) {  // in the place of the next answer
      line->send(success("q1", "surplus"));
      holder = fleet.holder(3);
      ASSERT_NE(holder, nullptr);
    }
    last(holder).line->send(success("q2", "next"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "next");
    EXPECT_TRUE(caller->got.empty());
  }
}

TEST(RelayKept, ConnectionsAreKeptForWhatMayBeRepeatedOnly) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
  for (int round = 1; round <= 3; ++round) {
    ASSERT_TRUE(fleet.arrived(worker, static_cast<std::size_t>(round)));
    last(&worker).line->send(success("q" + std::to_string(round), "good"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
    caller->send(query("/plain/a", "q" + std::to_string(round + 1)));
  }
  ASSERT_TRUE(fleet.arrived(worker, 4));
  EXPECT_EQ(worker.lines.size(), 1u);
  last(&worker).line->send(success("q4", "good"));
  EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
  caller->send(query("/once/a", "q5"));
  ASSERT_TRUE(fleet.arrived(worker, 5));
  EXPECT_EQ(worker.lines.size(), 2u);
}

TEST(RelayKept, AStaleConnectionIsNotTrusted) {
  for (bool const seen : {true, false}) {
    Fleet fleet;
    fleet.worker("w1");
    fleet.worker("w2");
    fleet.begin();
    std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
    Worker* const first = fleet.holder(1);
    ASSERT_NE(first, nullptr);
    std::shared_ptr<Line> const line = last(first).line;
    line->send(success("q1", "good"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
    if (seen) {
      line->close();
      fleet.rest(20);
    }
    caller->send(query("/plain/b", "q2"));
    Worker* holder = fleet.holder(2);
    ASSERT_NE(holder, nullptr);
    if (!seen && last(holder).line == line) {
      line->reset();
      holder = fleet.holder(3);
      ASSERT_NE(holder, nullptr);
    }
    EXPECT_NE(last(holder).line, line);
    last(holder).line->send(success("q2", "next"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "next");
  }
}

TEST(RelayKept, AWorkerThatClosesIsNotKept) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
  ASSERT_TRUE(fleet.arrived(worker, 1));
  last(&worker).line->send(success("q1", "good", "Connection: close\r\n"));
  std::optional<Response> const answer = fleet.answer_on(caller);
  EXPECT_EQ(body_of(answer), "good");
  EXPECT_TRUE(answer->keep_alive());  // its connection is not ours
  caller->send(query("/plain/a", "q2"));
  ASSERT_TRUE(fleet.arrived(worker, 2));
  EXPECT_EQ(worker.lines.size(), 2u);
}

TEST(RelaySilence, ASilentWorkerIsGivenUpWithARightAndAPlaceElsewhere) {
  Fleet fleet;
  fleet.worker("w1");
  fleet.worker("w2");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
  Worker* const first = fleet.holder(1);
  ASSERT_NE(first, nullptr);
  Worker* const second = fleet.holder(2);
  ASSERT_NE(second, nullptr);
  EXPECT_NE(second, first);
  EXPECT_TRUE(fleet.until([&] { return last(first).line->ended; }));
  last(second).line->send(success("q1", "good"));
  EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
}

TEST(RelaySilence, WithoutRightPlaceOrLeaveItMayTakeItsTime) {
  for (int const lacks : {0, 1, 2}) {
    Fleet fleet;
    fleet.worker("w1");
    if (lacks == 0) {
      fleet.settings.bounds.retry_slack = 0;
    }
    if (lacks != 1) {
      fleet.worker("w2");
    }
    fleet.begin();
    std::shared_ptr<Line> const caller = fleet.call(query(lacks == 2 ? "/once/a" : "/plain/a", "q1"));
    Worker* const first = fleet.holder(1);
    ASSERT_NE(first, nullptr);
    fleet.rest(700);  // more than twice its set point
    EXPECT_FALSE(last(first).line->ended) << lacks;
    EXPECT_EQ(fleet.order.size(), 1u) << lacks;
    last(first).line->send(success("q1", "late"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "late") << lacks;
  }
}

/// A prompt of which another worker would read 5,000 tokens.
std::string long_query(std::string const& id) {
  return query("/plain/a", id, "", std::string(data_plane::own_dialect().tokens) + ": 5000, 10\r\n");
}

TEST(RelaySilence, ABusyWorkerOfALongPromptIsConnectedToAndWaitedFor) {
  Fleet fleet;
  fleet.worker("w1");
  fleet.worker("w2");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(long_query("q1"));
  Worker* const first = fleet.holder(1);
  ASSERT_NE(first, nullptr);
  EXPECT_TRUE(fleet.until([&] { return first->lines.size() >= 2; }));  // the probe of its first bound
  fleet.rest(200);                                                     // and over the second one
  EXPECT_FALSE(first->lines.front()->ended);
  EXPECT_EQ(fleet.order.size(), 1u);
  first->lines.front()->send(success("q1", "late"));
  EXPECT_EQ(body_of(fleet.answer_on(caller)), "late");
}

TEST(RelaySilence, ALostWorkerOfALongPromptIsGivenUpWhenItTakesNoConnection) {
  Fleet fleet;
  fleet.worker("w1");
  fleet.worker("w2");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(long_query("q1"));
  Worker* const first = fleet.holder(1);
  ASSERT_NE(first, nullptr);
  first->stop();
  Worker* const second = fleet.holder(2);
  ASSERT_NE(second, nullptr);
  EXPECT_NE(second, first);
  last(second).line->send(success("q1", "good"));
  EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
}

TEST(RelaySilence, TwoThatFallSilentTogetherDontCountOnOneRight) {
  Fleet fleet;
  for (std::string const id : {"w1", "w2", "w3", "w4"}) {
    fleet.worker(id);
  }
  fleet.settings.bounds.retry_slack = 0;  // one right at most, earned by arrivals
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call("");
  std::size_t count = 0;
  while (count < 6) {
    ++count;
    caller->send(query("/plain/a", "q" + std::to_string(count)));
    Worker* const holder = fleet.holder(count);
    ASSERT_NE(holder, nullptr);
    last(holder).line->send(success("q" + std::to_string(count), "good"));
    EXPECT_EQ(body_of(fleet.answer_on(caller)), "good");
  }
  std::shared_ptr<Line> const one = fleet.call(query("/plain/a", "one"));
  std::shared_ptr<Line> const two = fleet.call(query("/plain/a", "two"));
  ASSERT_NE(fleet.holder(count + 3), nullptr);  // one of them went on
  fleet.rest(500);
  EXPECT_EQ(fleet.order.size(), count + 3);  // the other did not
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
    EXPECT_TRUE(fleet.until([&] { return last(&worker).line->ended; }));
  }
}

TEST(RelayTime, TheLanesDeadlineBindsToo) {
  Fleet fleet;
  fleet.routing_config.lanes[1].deadline_ms = 300;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/once/a", "q1", "", "Finchlink-Left: 60000\r\n"));
  ASSERT_TRUE(fleet.arrived(worker, 1));
  EXPECT_LE(std::stoi(last(&worker).header("Finchlink-Left")), 300);
  EXPECT_EQ(status_of(fleet.answer_on(caller)), 504u);
}

TEST(RelayTime, WhenTheCallerGoesItsDispatchEnds) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/once/a", "q1"));
  ASSERT_TRUE(fleet.arrived(worker, 1));
  caller->close();
  EXPECT_TRUE(fleet.until([&] { return last(&worker).line->ended; }, 1000));
  EXPECT_TRUE(fleet.until([&] { return fleet.station->tally().outcomes["abandoned"] == 1; }, 1000));
  // The worker is not blamed for it.
  std::shared_ptr<Line> const next = fleet.call(query("/once/a", "q2"));
  ASSERT_TRUE(fleet.arrived(worker, 2, 150));
}

}  // namespace
}  // namespace finchlink::relay_test
