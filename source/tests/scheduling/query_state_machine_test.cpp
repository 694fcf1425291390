#include <gtest/gtest.h>

#include <numeric>
#include <random>

#include "common/constants.hpp"
#include "common/relay_constants.hpp"
#include "scheduling/query_state/query_state_machine.hpp"
#include "scheduling/retry_budget/retry_budget.hpp"

namespace finchlink {
namespace {

using namespace scheduling;
namespace constants = common::constants;

QueryStateMachine state_machine(QueryTerms terms, bool budget = true) {
  return QueryStateMachine(terms, [budget](common::Moment) { return budget; });
}
template <class Kind>
bool only(std::vector<QueryAction> const& actions) {
  return actions.size() == 1 && std::holds_alternative<Kind>(actions.front());
}

TEST(QueryStateMachine, NotRepeatableHasOneDispatchOnceBytesMayHaveGone) {
  QueryStateMachine query = state_machine(QueryTerms{});
  (void)query.advance(Placed{"a"}, 0);
  EXPECT_TRUE(only<Place>(query.advance(ConnectFailure{}, 0)));  // no byte was sent: may go to another worker
  (void)query.advance(Placed{"b"}, 0);
  (void)query.advance(Connected{}, 0);
  std::vector<QueryAction> const actions = query.advance(WorkerFailure{"no_answer"}, 0);
  ASSERT_TRUE(only<FailUncertain>(actions));
  EXPECT_TRUE(std::get<FailUncertain>(actions.front()).may_have_run);
  EXPECT_EQ(std::get<FailUncertain>(actions.front()).status, 502);
}

TEST(QueryStateMachine, RefusalIsNeverReportedOnceADispatchMayHaveRun) {
  QueryTerms terms;
  terms.repeatable = true;
  QueryStateMachine query = state_machine(terms);
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(only<Place>(query.advance(WorkerFailure{"cut"}, 0)));
  std::vector<QueryAction> const actions = query.advance(NoCapacity{}, 0);
  ASSERT_TRUE(only<FailUncertain>(actions));
  EXPECT_TRUE(std::get<FailUncertain>(actions.front()).may_have_run);
  EXPECT_NE(std::get<FailUncertain>(actions.front()).status, 503);
}

TEST(QueryStateMachine, RefusalByAWorkerMayGoElsewhereAndIsCertain) {
  QueryStateMachine query = state_machine(QueryTerms{});
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(only<Place>(query.advance(WorkerRefused{}, 0)));
  EXPECT_TRUE(only<RejectQuery>(query.advance(DeadlinePassed{}, 0)));
}

TEST(QueryStateMachine, ARefusalByAWorkerIsNoDispatchOfTheRoute) {
  QueryTerms terms;
  terms.max_dispatches = 1;
  QueryStateMachine query = state_machine(terms);
  for (int refusals = 0; refusals < common::constants::max_refusals; ++refusals) {
    (void)query.advance(Placed{"a"}, 0);
    (void)query.advance(Connected{}, 0);
    EXPECT_TRUE(only<Place>(query.advance(WorkerRefused{}, 0))) << refusals;
  }
  // Only up to a limit, and never again once a dispatch may have run.
  (void)query.advance(Placed{"b"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(only<RejectQuery>(query.advance(WorkerRefused{}, 0)));

  QueryStateMachine ran = state_machine(terms);
  (void)ran.advance(Placed{"a"}, 0);
  (void)ran.advance(Connected{}, 0);
  EXPECT_TRUE(only<Place>(ran.advance(WorkerRefused{}, 0)));
  (void)ran.advance(Placed{"b"}, 0);
  (void)ran.advance(Connected{}, 0);
  EXPECT_TRUE(only<FailUncertain>(ran.advance(WorkerFailure{"cut"}, 0)));
}

TEST(QueryStateMachine, WithoutBudgetTheFirstRefusalIsFinal) {
  QueryStateMachine query = state_machine(QueryTerms{}, false);
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(only<RejectQuery>(query.advance(WorkerRefused{}, 0)));
}

TEST(QueryStateMachine, StreamNeverSkipsRepeatsOrSplices) {
  QueryTerms terms;
  terms.stream = true;
  terms.repeatable = true;
  for (bool const resumable : {false, true}) {
    terms.resumable = resumable;
    QueryStateMachine query = state_machine(terms);
    (void)query.advance(Placed{"a"}, 0);
    (void)query.advance(Connected{}, 0);
    EXPECT_TRUE(only<SendEvent>(query.advance(Event{1, false}, 0)));
    EXPECT_TRUE(only<SendEvent>(query.advance(Event{2, false}, 0)));
    std::vector<QueryAction> const actions = query.advance(Event{4, false}, 0);
    EXPECT_TRUE(resumable ? only<Place>(actions) : only<EndWithError>(actions));
    EXPECT_EQ(query.last_event(), 2u);  // the event after which a resumed dispatch continues
  }
}

TEST(QueryStateMachine, DeadlineReportsWhetherItMayHaveRun) {
  QueryStateMachine waiting = state_machine(QueryTerms{});
  EXPECT_TRUE(only<RejectQuery>(waiting.advance(DeadlinePassed{}, 0)));
  QueryStateMachine request_sent = state_machine(QueryTerms{});
  (void)request_sent.advance(Placed{"a"}, 0);
  (void)request_sent.advance(Connected{}, 0);
  std::vector<QueryAction> const actions = request_sent.advance(DeadlinePassed{}, 0);
  ASSERT_TRUE(only<FailUncertain>(actions));
  EXPECT_EQ(std::get<FailUncertain>(actions.front()).status, 504);
}

TEST(QueryStateMachine, IsForwardedAtMostOnceAndNeverAfterADispatch) {
  QueryTerms terms;
  terms.may_forward = true;
  QueryStateMachine query = state_machine(terms);
  EXPECT_TRUE(only<ForwardToRegion>(query.advance(NoCapacity{}, 0)));
  EXPECT_TRUE(only<RejectQuery>(query.advance(NoCapacity{}, 0)));
  QueryStateMachine dispatched = state_machine(terms);
  (void)dispatched.advance(Placed{"a"}, 0);
  (void)dispatched.advance(ConnectFailure{}, 0);
  EXPECT_TRUE(only<RejectQuery>(dispatched.advance(NoCapacity{}, 0)));
}

TEST(QueryStateMachine, AWithdrawnPlacementIsNoRetry) {
  QueryStateMachine query = state_machine(QueryTerms{}, false);  // no retry token at all
  (void)query.advance(Placed{"a"}, 0);
  EXPECT_TRUE(only<Place>(query.advance(PlacementWithdrawn{}, 0)));
  EXPECT_EQ(query.dispatches(), 0);
  (void)query.advance(Placed{"b"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(query.advance(PlacementWithdrawn{}, 0).empty());  // too late: bytes may have been sent
}

TEST(QueryStateMachine, ARelayedStreamEndsWhereItsWorkerEndedItOrVisiblyBroken) {
  QueryTerms terms;
  terms.stream = true;
  for (bool const resumable : {false, true}) {
    for (bool const has_token : {false, true}) {
      terms.resumable = resumable;
      terms.repeatable = resumable;
      QueryStateMachine query = state_machine(terms, has_token);
      (void)query.advance(Placed{"a"}, 0);
      (void)query.advance(Connected{}, 0);
      EXPECT_TRUE(only<SendEvent>(query.advance(Event{1, false}, 0)));
      std::vector<QueryAction> const actions = query.advance(WorkerFailure{"cut_stream"}, 0);
      if (!resumable || !has_token) {
        EXPECT_TRUE(only<EndWithError>(actions));  // neither a 502 nor a rejection: the response head was sent
        EXPECT_TRUE(query.settled());
        continue;
      }
      ASSERT_TRUE(only<Place>(actions));
      (void)query.advance(Placed{"b"}, 0);
      (void)query.advance(Connected{}, 0);
      EXPECT_TRUE(only<SendEvent>(query.advance(Event{2, false}, 0)));
      EXPECT_TRUE(query.advance(WholeResponse{}, 0).empty());  // all of it was sent already
      EXPECT_TRUE(query.settled());
      EXPECT_EQ(std::get<Settled>(query.state()).how, "complete");
    }
  }
}

TEST(QueryStateMachine, AStreamThatBeganIsNeitherRejectedNorRedirectedHome) {
  QueryTerms terms;
  terms.stream = true;
  terms.resumable = true;
  terms.repeatable = true;
  std::vector<QueryMessage> const ends{DeadlinePassed{}, NoCapacity{}, WorkerRefused{},
                                       ConfigReevaluated{true, true, true, ServingDecision::none}};
  for (std::size_t index = 0; index < ends.size(); ++index) {
    QueryStateMachine query = state_machine(terms);
    (void)query.advance(Placed{"a"}, 0);
    (void)query.advance(Connected{}, 0);
    (void)query.advance(Event{1, false}, 0);
    if (index > 0) {
      ASSERT_TRUE(only<Place>(query.advance(WorkerFailure{"cut_stream"}, 0)));
    }
    std::vector<QueryAction> actions;
    if (index == 2) {  // the worker that should resume it refuses, and no dispatch is left
      for (int dispatch = 1; dispatch < terms.max_dispatches + constants::max_refusals; ++dispatch) {
        (void)query.advance(Placed{"b"}, 0);
        (void)query.advance(Connected{}, 0);
        EXPECT_FALSE(query.settled());
        actions = query.advance(ends[index], 0);
      }
    } else {
      actions = query.advance(ends[index], 0);
    }
    EXPECT_TRUE(only<EndWithError>(actions)) << index;
  }
}

TEST(QueryStateMachine, NoWholeAnswerFollowsPartOfAStream) {
  QueryTerms terms;
  terms.stream = true;
  terms.resumable = true;
  terms.repeatable = true;
  for (bool const has_token : {true, false}) {
    int asked = 0;
    QueryStateMachine query(terms, [&asked, has_token](common::Moment) { return ++asked == 1 || has_token; });
    (void)query.advance(Placed{"a"}, 0);
    (void)query.advance(Connected{}, 0);
    (void)query.advance(Event{1, false}, 0);
    (void)query.advance(WorkerFailure{"cut_stream"}, 0);
    (void)query.advance(Placed{"b"}, 0);
    (void)query.advance(Connected{}, 0);
    std::vector<QueryAction> const actions = query.advance(WholeResponse{}, 0);
    EXPECT_TRUE(has_token ? only<Place>(actions) : only<EndWithError>(actions));
  }
}

TEST(QueryStateMachine, IsReevaluatedByTheRuleInForce) {
  for (ServingDecision const decision : {ServingDecision::home, ServingDecision::none}) {
    // While it waits or is about to be sent, nothing ran: redirected home or rejected.
    QueryStateMachine waiting = state_machine(QueryTerms{});
    std::vector<QueryAction> const turned = waiting.advance(ConfigReevaluated{false, false, false, decision}, 0);
    EXPECT_TRUE(decision == ServingDecision::home ? only<RedirectHome>(turned) : only<RejectQuery>(turned));
    QueryStateMachine about = state_machine(QueryTerms{});
    (void)about.advance(Placed{"a"}, 0);
    EXPECT_TRUE(about.advance(ConfigReevaluated{false, false, false, decision}, 0).empty());
    EXPECT_FALSE(only<Place>(about.advance(PlacementWithdrawn{}, 0)));
    EXPECT_TRUE(about.settled());
    // What may have run ends as uncertain failure (502), never with a rejection or a 307.
    QueryTerms terms;
    terms.repeatable = true;
    QueryStateMachine ran = state_machine(terms);
    (void)ran.advance(Placed{"a"}, 0);
    (void)ran.advance(Connected{}, 0);
    EXPECT_TRUE(ran.advance(ConfigReevaluated{true, false, false, decision}, 0).empty());
    EXPECT_TRUE(only<FailUncertain>(ran.advance(WorkerFailure{"cut"}, 0)));
  }
  // No longer repeatable: a query that was sent while it was repeatable is not sent again.
  QueryTerms terms;
  terms.repeatable = true;
  QueryStateMachine query = state_machine(terms);
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  (void)query.advance(ConfigReevaluated{false, false, false, ServingDecision::serve}, 0);
  EXPECT_TRUE(only<FailUncertain>(query.advance(WorkerFailure{"cut"}, 0)));
  // Nor is one that already waits to be sent again.
  QueryStateMachine waits = state_machine(terms);
  (void)waits.advance(Placed{"a"}, 0);
  (void)waits.advance(Connected{}, 0);
  EXPECT_TRUE(only<Place>(waits.advance(WorkerFailure{"cut"}, 0)));
  EXPECT_TRUE(only<FailUncertain>(waits.advance(ConfigReevaluated{false, false, false, ServingDecision::serve}, 0)));
}

TEST(QueryStateMachine, ARuleThatAllowsMoreDoesNotApplyToWhatRunsAlready) {
  // Sent while it might run only once: it isn't sent again, although the rule allows it now.
  QueryStateMachine sent = state_machine(QueryTerms{});
  (void)sent.advance(Placed{"a"}, 0);
  (void)sent.advance(Connected{}, 0);
  (void)sent.advance(ConfigReevaluated{true, true, false, ServingDecision::serve}, 0);
  EXPECT_FALSE(sent.may_repeat());
  EXPECT_TRUE(only<FailUncertain>(sent.advance(WorkerFailure{"cut"}, 0)));
  // Nothing ran yet: only the latest rule counts.
  QueryStateMachine waits = state_machine(QueryTerms{});
  (void)waits.advance(ConfigReevaluated{true, false, false, ServingDecision::serve}, 0);
  (void)waits.advance(Placed{"a"}, 0);
  (void)waits.advance(Connected{}, 0);
  EXPECT_TRUE(only<Place>(waits.advance(WorkerFailure{"cut"}, 0)));
}

TEST(QueryStateMachine, ResumingAfterTheLastEventMayOnlyEndTheStream) {
  QueryTerms terms;
  terms.stream = terms.resumable = terms.repeatable = true;
  QueryStateMachine query = state_machine(terms);
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  (void)query.advance(Event{1, false}, 0);
  EXPECT_TRUE(only<Place>(query.advance(WorkerFailure{"cut"}, 0)));
  (void)query.advance(Placed{"b"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(query.advance(StreamEnded{}, 0).empty());
  EXPECT_TRUE(query.settled());
}

TEST(QueryStateMachine, AStreamWithUnknownPositionIsNotResumed) {
  for (bool const position_known : {true, false}) {
    QueryTerms terms;
    terms.stream = terms.resumable = terms.repeatable = true;
    QueryStateMachine query = state_machine(terms);
    (void)query.advance(Placed{"a"}, 0);
    (void)query.advance(Connected{}, 0);
    (void)query.advance(Event{1, false, position_known}, 0);
    EXPECT_EQ(query.may_repeat(), position_known);
    std::vector<QueryAction> const actions = query.advance(WorkerFailure{"cut"}, 0);
    EXPECT_TRUE(position_known ? only<Place>(actions) : only<EndWithError>(actions));
  }
}

TEST(QueryStateMachine, ReturnsToTheSetAsideWorkerFromEachState) {
  for (int const stage : {0, 1, 2}) {
    QueryTerms terms;
    terms.stream = terms.resumable = terms.repeatable = true;
    QueryStateMachine query = state_machine(terms);
    (void)query.advance(Placed{"a"}, 0);
    (void)query.advance(Connected{}, 0);
    (void)query.advance(Event{1, false}, 0);
    EXPECT_TRUE(only<Place>(query.advance(WorkerFailure{"silent"}, 0)));
    if (stage > 0) {
      (void)query.advance(Placed{"b"}, 0);
    }
    if (stage > 1) {
      (void)query.advance(Connected{}, 0);
    }
    EXPECT_TRUE(query.advance(WorkerResumed{"a"}, 0).empty());
    // What runs there finishes, although the rule now says otherwise.
    EXPECT_TRUE(query.advance(ConfigReevaluated{false, false, true, ServingDecision::none}, 0).empty());
    EXPECT_TRUE(only<SendEvent>(query.advance(Event{2, false}, 0)));
    QueryStateMachine ends = query;
    (void)ends.advance(WholeResponse{}, 0);
    EXPECT_TRUE(ends.settled());
    EXPECT_TRUE(only<EndWithError>(query.advance(WorkerFailure{"cut"}, 0)));
  }
}

TEST(QueryStateMachine, IsNotForwardedOnceItsPrefillRan) {
  QueryTerms terms;
  terms.may_forward = true;
  QueryStateMachine query = state_machine(terms);
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(only<Place>(query.advance(PrefillDone{}, 0)));
  EXPECT_TRUE(only<FailUncertain>(query.advance(NoCapacity{}, 0)));
}

/// Result of a simulated run: the worst share of retries over all windows of ten seconds
/// with at least twenty queries (section 9.5), and the number of retries.
struct RetryLoad {
  double worst = 0;
  int retries = 0;
  int after_the_end = 0;  ///< retries after the last arrival
};
/// Simulates twelve proxies that retry as often as their budgets allow while `failing`, without coordination.
/// Traffic comes in slots of 100 ms.
RetryLoad simulate_retries(std::uint64_t seed, std::function<double(int slot)> const& rate,
                           std::function<bool(int slot)> const& failing,
                           std::function<bool(int slot, std::size_t proxy)> const& killed = nullptr) {
  constexpr int slots = 900;
  std::mt19937_64 random(seed);
  std::vector<RetryBudget> proxies(12);
  std::vector<int> arrivals(slots, 0);
  std::vector<int> retries(slots, 0);
  RetryLoad result;
  for (int slot = 0; slot < slots; ++slot) {
    common::Moment const now = common::milliseconds(100) * (slot + 1);
    std::poisson_distribution<int> count(std::max(1e-9, rate(slot) / 10));
    int const queries = rate(slot) > 0 ? count(random) : 0;
    for (int query = 0; query < queries; ++query) {
      proxies[random() % proxies.size()].arrived(now);
      ++arrivals[static_cast<std::size_t>(slot)];
    }
    for (std::size_t proxy = 0; proxy < proxies.size(); ++proxy) {
      if (killed && killed(slot, proxy)) {
        proxies[proxy] = RetryBudget();
      }
      while (failing(slot) && proxies[proxy].take(now, proxy < constants::max_reserve_token_holders)) {
        ++retries[static_cast<std::size_t>(slot)];
        result.after_the_end += rate(slot) > 0 ? 0 : 1;
      }
    }
  }
  for (std::size_t from = 0; from + 100 <= slots; ++from) {
    int const queries = std::accumulate(arrivals.begin() + static_cast<std::ptrdiff_t>(from),
                                        arrivals.begin() + static_cast<std::ptrdiff_t>(from) + 100, 0);
    int const again = std::accumulate(retries.begin() + static_cast<std::ptrdiff_t>(from),
                                      retries.begin() + static_cast<std::ptrdiff_t>(from) + 100, 0);
    result.retries += again;
    result.worst = queries >= 20 ? std::max(result.worst, static_cast<double>(again) / queries) : result.worst;
  }
  return result;
}

TEST(RetryBudget, RetriesStayUnderAFifthThroughTrafficSwingsStartsAndKills) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (double const full : {230.0, 155.0, 65.0, 30.0, 20.0}) {
      std::function<bool(int)> const always = [](int) { return true; };
      RetryLoad const steady = simulate_retries(
          seed, [full](int) { return full; }, always);
      EXPECT_LT(steady.worst, 0.2) << full;
      EXPECT_GT(steady.retries, 0) << "small services retry too: " << full;
      // Retry tokens pile up while all is well; failures begin just when the traffic falls.
      std::function<bool(int)> const low = [](int slot) { return slot / 200 % 2 == 1; };
      RetryLoad const tenth = simulate_retries(
          seed, [full, low](int slot) { return low(slot) ? full / 10 : full; }, low);
      EXPECT_LT(tenth.worst, 0.2) << "falls to a tenth of " << full;
      RetryLoad const burst = simulate_retries(
          seed, [full, low](int slot) { return low(slot) ? full / 3 : full * 3; }, low);
      EXPECT_LT(burst.worst, 0.2) << "bursts of " << full;
      RetryLoad const starts = simulate_retries(
          seed, [full](int slot) { return slot < 300 ? 0.0 : full; }, always);
      EXPECT_LT(starts.worst, 0.2) << "starts with " << full;
      RetryLoad const kills = simulate_retries(
          seed, [full](int) { return full; }, always,
          [](int slot, std::size_t proxy) { return slot % 40 == static_cast<int>(proxy); });
      EXPECT_LT(kills.worst, 0.2) << "killed proxies at " << full;
    }
  }
}

TEST(RetryBudget, AfterTheLastQueryFewRetriesAreLeft) {
  // A window without traffic has no share of retries, so their number is limited: the
  // unexpired tokens of one second and those in reserve for a moment.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::function<bool(int)> const over = [](int slot) { return slot >= 400; };
    RetryLoad const ended = simulate_retries(
        seed, [over](int slot) { return over(slot) ? 0.0 : 230.0; }, over);
    EXPECT_LE(ended.after_the_end, 24);
  }
}

TEST(RetryBudget, TokensExpireQuicklyAndThereIsNoFreeMinimum) {
  RetryBudget budget(0.1, common::milliseconds(500));
  EXPECT_FALSE(budget.take(0, true));
  for (int query = 0; query < 9; ++query) {
    budget.arrived(0);
  }
  EXPECT_FALSE(budget.take(0, true));
  budget.arrived(common::milliseconds(400));
  EXPECT_TRUE(budget.take(common::milliseconds(400), true));
  for (int query = 0; query < 30; ++query) {
    budget.arrived(common::seconds(2));
  }
  EXPECT_FALSE(budget.take(common::milliseconds(2600), false));  // not in this proxy: three proxies keep one,
  EXPECT_TRUE(budget.take(common::milliseconds(2600), true));    // one is kept while there were recent arrivals,
  EXPECT_FALSE(budget.take(common::milliseconds(2600), true));   // and only one
  for (int query = 0; query < 30; ++query) {
    budget.arrived(common::seconds(4));
  }
  EXPECT_FALSE(budget.take(common::milliseconds(6100), true));  // no arrivals for two seconds
}

}  // namespace
}  // namespace finchlink
