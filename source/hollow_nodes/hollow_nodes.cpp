#include "hollow_nodes/hollow_nodes.hpp"

#include <algorithm>
#include <deque>
#include <iterator>

#include "common/constants.hpp"
#include "common/random/random.hpp"
#include "consensus/ballot/ballot.hpp"

namespace finchlink::hollow_nodes {

namespace constants = common::constants;

HollowProxy::HollowProxy(boost::asio::io_context& context, schema::Gourd const& config, std::uint64_t number,
                         SessionCounts& counts)
    : context_(context),
      config_(config),
      counts_(counts),
      caller_(context),
      content_fetcher_(context, caller_),
      number_(number) {
  std::map<std::string, std::string>::const_iterator const zone =
      std::next(config.halls.begin(), static_cast<std::ptrdiff_t>(number % config.halls.size()));
  region_ = zone->second;
  member_.name = "hollow-" + std::to_string(number);
  member_.incarnation = common::random_identity();
  member_.hall = zone->first;
  member_.address = "10.200." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1) + ":8161";
  member_.rooms = {"model", "plain"};
}

void HollowProxy::start(common::Span delay) {
  common::start(context_, [this, delay](common::Yield yield) {
    common::pause(context_, delay, yield);
    run_session(yield);
  });
}

schema::FurrowReport HollowProxy::make_report(std::uint64_t interval) const {
  schema::FurrowReport report;
  report.slice = interval;
  report.span = static_cast<double>(constants::report_interval) / 1e6;
  for (std::uint64_t index = 0; index < config_.figures && !worker_list_.list().workers.empty(); ++index) {
    schema::WorkerFigures figures;
    figures.worker =
        worker_list_.list().workers[(number_ * config_.figures + index) % worker_list_.list().workers.size()].id;
    figures.phase = "prefill";
    figures.queries = 1;
    report.figures.push_back(figures);
  }
  for (std::uint64_t index = 0; index < config_.samples && !worker_list_.list().workers.empty(); ++index) {
    schema::Sample sample;
    sample.worker =
        worker_list_.list().workers[(number_ * config_.samples + index) % worker_list_.list().workers.size()].id;
    sample.seconds = 0.1;
    report.samples.push_back(sample);
  }
  return report;
}

void HollowProxy::update_load(common::Moment now) {
  if (config_.stir_ms > 0 &&
      now - load_updated_at_ >= common::milliseconds(static_cast<std::int64_t>(config_.stir_ms))) {
    // Starts at a random phase, so that the proxies don't all change their load at the same time.
    bool const first = load_updated_at_ == 0;
    load_updated_at_ =
        first ? now - common::milliseconds(static_cast<std::int64_t>(common::random_number() % config_.stir_ms)) : now;
    member_.load = first ? member_.load : static_cast<double>((static_cast<std::uint64_t>(member_.load) + 1) % 10);
  }
}

void HollowProxy::apply_response(schema::NewsAnswer const& response, common::Moment request_sent) {
  common::Moment const now = common::boot_now();
  bool const lease_expired = was_confirmed_ && !freshness_.confirmed(now);
  counts_.lease_expiries += lease_expired ? 1 : 0;
  for (schema::NamedValue const& update : freshness_.take(response, request_sent, now)) {
    if (update.name == consensus::setup_register) {
      setup_ = update.content;
      counts_.applied_at[update.revision].push_back(now);
    }
  }
  was_confirmed_ = freshness_.confirmed(now);
  member_.held = freshness_.held();
  (void)members_.take(response);
  if (worker_list_.take(membership::list_update(response), response.list_age, request_sent)) {
    member_.warm.clear();
    for (schema::WorkerEntry const& worker : worker_list_.list().workers) {
      std::map<std::string, std::string>::const_iterator const zone = config_.halls.find(worker.zone);
      if (config_.warm && zone != config_.halls.end() && zone->second == region_) {
        member_.warm.push_back(worker.id + "@1");
      }
    }
  }
}

void HollowProxy::run_session(common::Yield yield) {
  std::vector<std::string> const& controllers = config_.seeds;
  std::size_t controller = number_ % controllers.size();
  std::deque<schema::FurrowReport> reports;
  std::uint64_t interval = 0;
  common::Moment last_report = common::boot_now();
  while (true) {
    common::Moment const request_sent = common::boot_now();
    if (request_sent - last_report >= constants::report_interval) {
      reports.push_back(make_report(++interval));
      last_report = request_sent;
      if (reports.size() > 8) {
        reports.pop_front();
      }
    }
    update_load(request_sent);
    schema::NewsAsk request;
    request.member = member_;
    request.list_revision = worker_list_.list().revision;
    request.list_digest = config_.whole ? 0 : worker_list_.digest();
    request.members_digest = config_.whole ? 0 : members_.digest();
    request.reports.assign(reports.begin(), reports.end());
    ++counts_.requests;
    absl::StatusOr<schema::Message> const response =
        caller_.call(controllers[controller], request,
                     common::milliseconds(static_cast<std::int64_t>(config_.ask_deadline_ms)), yield);
    schema::NewsAnswer const* const updates = response.ok() ? std::get_if<schema::NewsAnswer>(&*response) : nullptr;
    if (updates != nullptr) {
      while (!reports.empty() && reports.front().slice <= updates->reports_taken) {
        reports.pop_front();
      }
      apply_response(content_fetcher_.with_fetched_contents(*updates, controllers[controller]), request_sent);
    }
    if (updates == nullptr || !updates->confirmed) {
      ++(updates == nullptr ? counts_.unanswered : counts_.unconfirmed);
      controller = (controller + 1) % controllers.size();
      if (common::boot_now() - request_sent < constants::ask_retry) {
        common::pause(context_, constants::ask_retry, yield);
      }
    } else {
      common::Span const remaining =
          common::milliseconds(static_cast<std::int64_t>(config_.ask_least_ms)) - (common::boot_now() - request_sent);
      if (remaining > 0) {
        common::pause(context_, remaining, yield);
      }
    }
  }
}

}  // namespace finchlink::hollow_nodes
