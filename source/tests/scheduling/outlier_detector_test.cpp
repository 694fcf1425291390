#include <gtest/gtest.h>

#include "common/relay_constants.hpp"
#include "scheduling/outlier_detection/outlier_detector.hpp"

namespace finchlink {
namespace {

using namespace scheduling;
namespace constants = common::constants;

constexpr common::Moment start = common::seconds(1000);

WorkerInfo info(std::string const& worker) {
  return WorkerInfo{worker, "east/web", "north"};
}
bool available(OutlierDetector const& detector, OutlierDetector::Handle worker, common::Moment now) {
  return std::holds_alternative<Available>(detector.eligibility(worker, now));
}
bool on_probation(OutlierDetector const& detector, OutlierDetector::Handle worker, common::Moment now) {
  return std::holds_alternative<OnProbation>(detector.eligibility(worker, now));
}
bool unavailable(OutlierDetector const& detector, OutlierDetector::Handle worker, common::Moment now) {
  return std::holds_alternative<Unavailable>(detector.eligibility(worker, now));
}
/// When the worker becomes available again.
common::Moment unavailable_until(OutlierDetector const& detector, OutlierDetector::Handle worker, common::Moment now) {
  Eligibility const eligibility = detector.eligibility(worker, now);
  Unavailable const* const found = std::get_if<Unavailable>(&eligibility);
  return found == nullptr ? now : found->until;
}
bool reports_cache_loss(std::vector<OutlierAction> const& actions) {
  return actions.size() == 1 && std::holds_alternative<CacheMayBeLost>(actions.front());
}

TEST(OutlierDetector, AFailureEjectsThenProbationUntilBytesArrive) {
  for (Outcome const outcome : {Outcome::failure, Outcome::unreachable}) {
    OutlierDetector detector;
    OutlierDetector::Handle const worker = detector.add_worker(info("a"));
    EXPECT_TRUE(available(detector, worker, start));
    EXPECT_TRUE(reports_cache_loss(detector.record_evidence(worker, DispatchEnded{1, outcome}, start)));
    EXPECT_EQ(unavailable_until(detector, worker, start), start + constants::min_ejection_time);
    common::Moment const after = start + constants::min_ejection_time;
    EXPECT_TRUE(on_probation(detector, worker, after));
    EXPECT_TRUE(detector.record_evidence(worker, DispatchEnded{2, Outcome::abandoned}, after).empty());
    EXPECT_TRUE(on_probation(detector, worker, after));  // an abandoned query is no evidence
    EXPECT_TRUE(detector.record_evidence(worker, BytesReceived{}, after).empty());
    EXPECT_TRUE(available(detector, worker, after));
  }
}

TEST(OutlierDetector, RefusalsAndMisdirectionPauseWithoutProbation) {
  OutlierDetector detector;
  OutlierDetector::Handle const worker = detector.add_worker(info("a"));
  EXPECT_TRUE(detector.record_evidence(worker, DispatchEnded{1, Outcome::refused}, start).empty());
  EXPECT_EQ(unavailable_until(detector, worker, start), start + constants::refusal_cooldown);
  EXPECT_TRUE(available(detector, worker, start + constants::refusal_cooldown));
  EXPECT_TRUE(reports_cache_loss(detector.record_evidence(worker, DispatchEnded{2, Outcome::misdirected}, start)));
  EXPECT_EQ(unavailable_until(detector, worker, start), start + constants::max_ejection_time);
  EXPECT_TRUE(available(detector, worker, start + constants::max_ejection_time));
}

TEST(OutlierDetector, OverdueIsTheOldestDispatchWithoutAFirstToken) {
  OutlierDetector detector;
  OutlierDetector::Handle const worker = detector.add_worker(info("a"));
  common::Moment const due = start + common::seconds(1);
  EXPECT_TRUE(detector.record_evidence(worker, DispatchSent{1, due}, start).empty());
  EXPECT_TRUE(detector.record_evidence(worker, DispatchSent{2, due + common::seconds(1)}, start).empty());
  common::Moment const late = due + constants::overdue_slack + common::seconds(3);
  EXPECT_DOUBLE_EQ(detector.overdue(worker, start), 0);
  EXPECT_DOUBLE_EQ(detector.overdue(worker, late), 3);
  EXPECT_TRUE(detector.awaits_first_token(worker, 1));
  EXPECT_TRUE(detector.record_evidence(worker, FirstTokenReceived{1}, late).empty());
  EXPECT_FALSE(detector.awaits_first_token(worker, 1));
  EXPECT_DOUBLE_EQ(detector.overdue(worker, late), 2);
  EXPECT_TRUE(detector.record_evidence(worker, DispatchEnded{2, Outcome::success}, late).empty());
  EXPECT_DOUBLE_EQ(detector.overdue(worker, late), 0);
}

TEST(OutlierDetector, TwoUnreachableWorkersMakeTheirZoneSuspectUntilHeard) {
  for (bool const guarded : {true, false}) {
    OutlierDetector detector(OutlierGuards{.zone_suspicion = guarded});
    std::vector<OutlierDetector::Handle> workers;
    for (char const* const name : {"a", "b", "c", "d"}) {
      workers.push_back(detector.add_worker(info(name)));
    }
    OutlierDetector::Handle const other = detector.add_worker(WorkerInfo{"e", "east/web", "south"});
    (void)detector.record_evidence(workers[0], DispatchEnded{1, Outcome::unreachable}, start);
    EXPECT_FALSE(detector.zone_suspected(workers[2], start));
    (void)detector.record_evidence(workers[1], DispatchEnded{2, Outcome::unreachable}, start);
    (void)detector.record_evidence(workers[3], BytesReceived{}, start);
    EXPECT_EQ(detector.zone_suspected(workers[2], start + 1), guarded);
    EXPECT_FALSE(detector.zone_suspected(workers[3], start + 1));  // it sent bytes
    EXPECT_FALSE(detector.zone_suspected(other, start + 1));
    EXPECT_FALSE(detector.zone_suspected(workers[2], start + constants::unreachable_zone_memory));
    (void)detector.record_evidence(workers[2], DispatchEnded{3, Outcome::success}, start + 1);
    EXPECT_FALSE(detector.zone_suspected(workers[0], start + 1));  // a success in the zone ends the suspicion
  }
}

TEST(OutlierDetector, AHandleBelongsToAWorkerUntilItIsRemoved) {
  OutlierDetector detector;
  OutlierDetector::Handle const worker = detector.add_worker(info("a"));
  (void)detector.record_evidence(worker, DispatchEnded{1, Outcome::failure}, start);
  EXPECT_EQ(detector.add_worker(info("a")), worker);
  EXPECT_TRUE(unavailable(detector, worker, start));
  detector.remove_worker("a");
  detector.remove_worker("nobody");
  EXPECT_EQ(detector.add_worker(info("b")), worker);
  EXPECT_TRUE(available(detector, worker, start));  // no state of the previous worker is left
  EXPECT_TRUE(available(detector, detector.add_worker(info("a")), start));
}

TEST(OutlierDetector, AtMostTheEjectionShareOfAPoolIsEjectedAndTheLeastBadServe) {
  for (bool const guarded : {true, false}) {
    for (std::size_t const size : {3u, 6u, 10u, 51u}) {
      OutlierDetector detector(OutlierGuards{.ejection_bound = guarded});
      std::vector<OutlierDetector::Handle> workers;
      for (std::size_t index = 0; index < size; ++index) {
        workers.push_back(detector.add_worker(info("w" + std::to_string(index))));
      }
      OutlierDetector::Handle const elsewhere = detector.add_worker(WorkerInfo{"other", "west/web", "far"});
      // The first worker failed first, so its ejection ends first: it is the least bad.
      for (std::size_t index = 0; index < size; ++index) {
        (void)detector.record_evidence(workers[index], DispatchEnded{index, Outcome::failure},
                                       start + static_cast<common::Moment>(index));
      }
      common::Moment const now = start + static_cast<common::Moment>(size);
      std::size_t ejected_count = 0;
      for (OutlierDetector::Handle const worker : workers) {
        ejected_count += unavailable(detector, worker, now) ? 1 : 0;
        EXPECT_EQ(detector.ejected(worker, now), unavailable(detector, worker, now));
      }
      EXPECT_EQ(ejected_count,
                guarded ? static_cast<std::size_t>(constants::ejection_share * static_cast<double>(size)) : size)
          << size;
      EXPECT_EQ(on_probation(detector, workers.front(), now), guarded);
      EXPECT_TRUE(unavailable(detector, workers.back(), now));
      // A worker of another pool is evaluated by its own pool only.
      EXPECT_TRUE(available(detector, elsewhere, now));
      // A worker that stops serving makes the pool smaller, and no other worker worse.
      for (std::size_t index = 1; index < size; ++index) {
        (void)detector.add_worker(WorkerInfo{"w" + std::to_string(index), "east/web", "north", false});
      }
      EXPECT_TRUE(unavailable(detector, workers.front(), now));  // alone in its pool, it stays ejected
    }
  }
}

}  // namespace
}  // namespace finchlink
