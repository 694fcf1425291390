#include <gtest/gtest.h>

#include "tilth/budget/budget.hpp"
#include "tilth/chart/chart.hpp"

namespace finchlink {
namespace {

using namespace tilth;

Chart chart(QueryTerms terms, bool budget = true) {
  return Chart(terms, [budget](loam::Moment) { return budget; });
}
template <class Kind>
bool only(std::vector<QueryAction> const& actions) {
  return actions.size() == 1 && std::holds_alternative<Kind>(actions.front());
}

TEST(Chart, NotRepeatableHasOneDispatchOnceBytesMayHaveGone) {
  Chart query = chart(QueryTerms{});
  (void)query.advance(Placed{"a"}, 0);
  EXPECT_TRUE(only<Place>(query.advance(ConnectDefect{}, 0)));  // no byte went: may go elsewhere
  (void)query.advance(Placed{"b"}, 0);
  (void)query.advance(Connected{}, 0);
  std::vector<QueryAction> const actions = query.advance(WorkerDefect{"no_answer"}, 0);
  ASSERT_TRUE(only<Apologise>(actions));
  EXPECT_TRUE(std::get<Apologise>(actions.front()).may_have_run);
  EXPECT_EQ(std::get<Apologise>(actions.front()).status, 502);
}

TEST(Chart, RefusalIsNeverReportedOnceADispatchMayHaveRun) {
  QueryTerms terms;
  terms.repeatable = true;
  Chart query = chart(terms);
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(only<Place>(query.advance(WorkerDefect{"cut"}, 0)));
  std::vector<QueryAction> const actions = query.advance(NoRoom{}, 0);
  ASSERT_TRUE(only<Apologise>(actions));
  EXPECT_TRUE(std::get<Apologise>(actions.front()).may_have_run);
  EXPECT_NE(std::get<Apologise>(actions.front()).status, 503);
}

TEST(Chart, RefusalByAWorkerMayGoElsewhereAndIsCertain) {
  Chart query = chart(QueryTerms{});
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(only<Place>(query.advance(WorkerRefused{}, 0)));
  EXPECT_TRUE(only<Refuse>(query.advance(DeadlinePassed{}, 0)));
}

TEST(Chart, WithoutBudgetTheFirstNoIsFinal) {
  Chart query = chart(QueryTerms{}, false);
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(only<Refuse>(query.advance(WorkerRefused{}, 0)));
}

TEST(Chart, StreamNeverSkipsRepeatsOrSplices) {
  QueryTerms terms;
  terms.stream = true;
  terms.repeatable = true;
  for (bool const resumable : {false, true}) {
    terms.resumable = resumable;
    Chart query = chart(terms);
    (void)query.advance(Placed{"a"}, 0);
    (void)query.advance(Connected{}, 0);
    EXPECT_TRUE(only<Forward>(query.advance(Event{1, false}, 0)));
    EXPECT_TRUE(only<Forward>(query.advance(Event{2, false}, 0)));
    std::vector<QueryAction> const actions = query.advance(Event{4, false}, 0);
    EXPECT_TRUE(resumable ? only<Place>(actions) : only<EndBroken>(actions));
    EXPECT_EQ(query.last_event(), 2u);  // what a resumed dispatch goes on from
  }
}

TEST(Chart, DeadlineTellsWhetherItMayHaveRun) {
  Chart waiting = chart(QueryTerms{});
  EXPECT_TRUE(only<Refuse>(waiting.advance(DeadlinePassed{}, 0)));
  Chart exposed = chart(QueryTerms{});
  (void)exposed.advance(Placed{"a"}, 0);
  (void)exposed.advance(Connected{}, 0);
  std::vector<QueryAction> const actions = exposed.advance(DeadlinePassed{}, 0);
  ASSERT_TRUE(only<Apologise>(actions));
  EXPECT_EQ(std::get<Apologise>(actions.front()).status, 504);
}

TEST(Chart, OnePassAtMostAndNoneAfterADispatch) {
  QueryTerms terms;
  terms.may_pass = true;
  Chart query = chart(terms);
  EXPECT_TRUE(only<PassOn>(query.advance(NoRoom{}, 0)));
  EXPECT_TRUE(only<Refuse>(query.advance(NoRoom{}, 0)));
  Chart dispatched = chart(terms);
  (void)dispatched.advance(Placed{"a"}, 0);
  (void)dispatched.advance(ConnectDefect{}, 0);
  EXPECT_TRUE(only<Refuse>(dispatched.advance(NoRoom{}, 0)));
}

TEST(Chart, WithdrawnPlaceIsNoRetry) {
  Chart query = chart(QueryTerms{}, false);  // no right to retry at all
  (void)query.advance(Placed{"a"}, 0);
  EXPECT_TRUE(only<Place>(query.advance(Withdrawn{}, 0)));
  EXPECT_EQ(query.dispatches(), 0);
  (void)query.advance(Placed{"b"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(query.advance(Withdrawn{}, 0).empty());  // too late: bytes may have gone
}

TEST(Chart, IsDecidedAnewByTheRuleInForce) {
  for (Standing const standing : {Standing::home, Standing::none}) {
    // While it waits, or is about to go, nothing ran: home, or a true refusal.
    Chart waiting = chart(QueryTerms{});
    std::vector<QueryAction> const turned = waiting.advance(Decided{false, false, false, standing}, 0);
    EXPECT_TRUE(standing == Standing::home ? only<SendHome>(turned) : only<Refuse>(turned));
    Chart about = chart(QueryTerms{});
    (void)about.advance(Placed{"a"}, 0);
    EXPECT_TRUE(about.advance(Decided{false, false, false, standing}, 0).empty());
    EXPECT_FALSE(only<Place>(about.advance(Withdrawn{}, 0)));
    EXPECT_TRUE(about.settled());
    // What may have run ends with an apology, never with a refusal or a 307.
    QueryTerms terms;
    terms.repeatable = true;
    Chart ran = chart(terms);
    (void)ran.advance(Placed{"a"}, 0);
    (void)ran.advance(Connected{}, 0);
    EXPECT_TRUE(ran.advance(Decided{true, false, false, standing}, 0).empty());
    EXPECT_TRUE(only<Apologise>(ran.advance(WorkerDefect{"cut"}, 0)));
  }
  // No longer repeatable: what was sent while it was is not sent again.
  QueryTerms terms;
  terms.repeatable = true;
  Chart query = chart(terms);
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  (void)query.advance(Decided{false, false, false, Standing::serve}, 0);
  EXPECT_TRUE(only<Apologise>(query.advance(WorkerDefect{"cut"}, 0)));
}

TEST(Chart, IsNotPassedOnOnceItsFirstLegRan) {
  QueryTerms terms;
  terms.may_pass = true;
  Chart query = chart(terms);
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(only<Place>(query.advance(LegDone{}, 0)));
  EXPECT_TRUE(only<Apologise>(query.advance(NoRoom{}, 0)));
}

TEST(Budget, RetriesStayUnderAFifthOfTrafficInEveryTenSeconds) {
  // Furrows with uneven, changing traffic that retry whenever they may; the
  // sum over all is checked in every window, with no talk between them.
  std::vector<Budget> furrows(12, Budget(0.1, loam::seconds(5)));
  std::vector<int> arrivals(1200, 0);
  std::vector<int> retries(1200, 0);
  std::uint64_t state = 1;
  for (int slot = 0; slot < 1200; ++slot) {  // slots of 100 ms
    loam::Moment const now = loam::milliseconds(100) * slot;
    for (std::size_t furrow = 0; furrow < furrows.size(); ++furrow) {
      state = state * 6364136223846793005u + 1442695040888963407u;
      int const count = static_cast<int>((state >> 33u) % (2 + furrow % 4)) * (slot % 300 < 200 ? 2 : 1);
      for (int query = 0; query < count; ++query) {
        furrows[furrow].arrived(now);
        ++arrivals[static_cast<std::size_t>(slot)];
      }
      while (furrows[furrow].take(now)) {
        ++retries[static_cast<std::size_t>(slot)];
      }
    }
  }
  int total = 0;
  for (std::size_t from = 0; from + 100 <= 1200; ++from) {
    int queries = 0;
    int again = 0;
    for (std::size_t slot = from; slot < from + 100; ++slot) {
      queries += arrivals[slot];
      again += retries[slot];
    }
    total += again;
    EXPECT_LE(again, 0.2 * queries) << "window at " << from;
  }
  EXPECT_GT(total, 0);
}

TEST(Budget, RightsAreLostWhenOldAndThereIsNoFreeMinimum) {
  Budget budget(0.1, loam::seconds(5));
  EXPECT_FALSE(budget.take(0));
  for (int query = 0; query < 9; ++query) {
    budget.arrived(0);
  }
  EXPECT_FALSE(budget.take(0));
  budget.arrived(loam::seconds(1));
  EXPECT_TRUE(budget.take(loam::seconds(1)));
  for (int query = 0; query < 10; ++query) {
    budget.arrived(loam::seconds(2));
  }
  EXPECT_FALSE(budget.take(loam::seconds(7)));
}

}  // namespace
}  // namespace finchlink
