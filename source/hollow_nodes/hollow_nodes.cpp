#include "hollow_nodes/hollow_nodes.hpp"

#include <algorithm>
#include <deque>
#include <iterator>

#include "common/constants.hpp"
#include "common/random/random.hpp"
#include "consensus/ballot/ballot.hpp"

namespace finchlink::hollow_nodes {

namespace constants = common::constants;

Hollow::Hollow(boost::asio::io_context& context, schema::Gourd const& gourd, std::uint64_t number, Tally& tally)
    : context_(context), gourd_(gourd), tally_(tally), caller_(context), contents_(context, caller_), number_(number) {
  std::map<std::string, std::string>::const_iterator const hall =
      std::next(gourd.halls.begin(), static_cast<std::ptrdiff_t>(number % gourd.halls.size()));
  region_ = hall->second;
  member_.name = "hollow-" + std::to_string(number);
  member_.incarnation = common::random_identity();
  member_.hall = hall->first;
  member_.address = "10.200." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1) + ":8161";
  member_.rooms = {"model", "plain"};
}

void Hollow::begin(common::Span delay) {
  common::start(context_, [this, delay](common::Yield yield) {
    common::pause(context_, delay, yield);
    converse(yield);
  });
}

schema::FurrowReport Hollow::report(std::uint64_t slice) const {
  schema::FurrowReport report;
  report.slice = slice;
  report.span = static_cast<double>(constants::report_span) / 1e6;
  for (std::uint64_t index = 0; index < gourd_.figures && !list_.list().workers.empty(); ++index) {
    schema::WorkerFigures figures;
    figures.worker = list_.list().workers[(number_ * gourd_.figures + index) % list_.list().workers.size()].id;
    figures.phase = "prefill";
    figures.queries = 1;
    report.figures.push_back(figures);
  }
  for (std::uint64_t index = 0; index < gourd_.samples && !list_.list().workers.empty(); ++index) {
    schema::Sample sample;
    sample.worker = list_.list().workers[(number_ * gourd_.samples + index) % list_.list().workers.size()].id;
    sample.seconds = 0.1;
    report.samples.push_back(sample);
  }
  return report;
}

void Hollow::stir(common::Moment now) {
  if (gourd_.stir_ms > 0 && now - stirred_ >= common::milliseconds(static_cast<std::int64_t>(gourd_.stir_ms))) {
    // The first time at a place of its own, so that furrows don't stir as one.
    bool const first = stirred_ == 0;
    stirred_ =
        first ? now - common::milliseconds(static_cast<std::int64_t>(common::random_number() % gourd_.stir_ms)) : now;
    member_.load = first ? member_.load : static_cast<double>((static_cast<std::uint64_t>(member_.load) + 1) % 10);
  }
}

void Hollow::take(schema::NewsAnswer const& answer, common::Moment asked) {
  common::Moment const now = common::boot_now();
  bool const lapsed = was_confirmed_ && !freshness_.confirmed(now);
  tally_.lapses += lapsed ? 1 : 0;
  for (schema::NamedValue const& update : freshness_.take(answer, asked, now)) {
    if (update.name == consensus::setup_register) {
      setup_ = update.content;
      tally_.adopted[update.revision].push_back(now);
    }
  }
  was_confirmed_ = freshness_.confirmed(now);
  member_.held = freshness_.held();
  (void)members_.take(answer);
  if (list_.take(membership::list_update(answer), answer.list_age, asked)) {
    member_.warm.clear();
    for (schema::WorkerEntry const& worker : list_.list().workers) {
      std::map<std::string, std::string>::const_iterator const hall = gourd_.halls.find(worker.zone);
      if (gourd_.warm && hall != gourd_.halls.end() && hall->second == region_) {
        member_.warm.push_back(worker.id + "@1");
      }
    }
  }
}

void Hollow::converse(common::Yield yield) {
  std::vector<std::string> const& controllers = gourd_.seeds;
  std::size_t turn = number_ % controllers.size();
  std::deque<schema::FurrowReport> reports;
  std::uint64_t slice = 0;
  common::Moment reported = common::boot_now();
  while (true) {
    common::Moment const asked = common::boot_now();
    if (asked - reported >= constants::report_span) {
      reports.push_back(report(++slice));
      reported = asked;
      if (reports.size() > 8) {
        reports.pop_front();
      }
    }
    stir(asked);
    schema::NewsAsk ask;
    ask.member = member_;
    ask.list_revision = list_.list().revision;
    ask.list_digest = gourd_.whole ? 0 : list_.digest();
    ask.members_digest = gourd_.whole ? 0 : members_.digest();
    ask.reports.assign(reports.begin(), reports.end());
    ++tally_.asks;
    absl::StatusOr<schema::Message> const answer = caller_.call(
        controllers[turn], ask, common::milliseconds(static_cast<std::int64_t>(gourd_.ask_deadline_ms)), yield);
    schema::NewsAnswer const* const update = answer.ok() ? std::get_if<schema::NewsAnswer>(&*answer) : nullptr;
    if (update != nullptr) {
      while (!reports.empty() && reports.front().slice <= update->reports_taken) {
        reports.pop_front();
      }
      take(contents_.completed(*update, controllers[turn]), asked);
    }
    if (update == nullptr || !update->confirmed) {
      ++(update == nullptr ? tally_.unanswered : tally_.unconfirmed);
      turn = (turn + 1) % controllers.size();
      if (common::boot_now() - asked < constants::ask_retry) {
        common::pause(context_, constants::ask_retry, yield);
      }
    } else {
      common::Span const left =
          common::milliseconds(static_cast<std::int64_t>(gourd_.ask_least_ms)) - (common::boot_now() - asked);
      if (left > 0) {
        common::pause(context_, left, yield);
      }
    }
  }
}

}  // namespace finchlink::hollow_nodes
