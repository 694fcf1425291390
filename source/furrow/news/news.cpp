#include "furrow/news/news.hpp"

#include <algorithm>
#include <deque>

#include "furrow/contents/content_fetcher.hpp"
#include "loam/constants.hpp"
#include "loam/random/random.hpp"

namespace finchlink::furrow {

namespace constants = loam::constants;

void begin_news(boost::asio::io_context& context, loam::Caller& caller, Field& field, std::vector<std::string> seeds) {
  loam::start(context, [&context, &caller, &field, seeds](loam::Yield yield) {
    std::vector<std::string> trellises = seeds;
    std::size_t turn = loam::random_number() % std::max<std::size_t>(1, seeds.size());
    ContentFetcher contents(context, caller);
    std::deque<schema::FurrowReport> reports;
    std::uint64_t slice = 0;
    loam::Moment reported = loam::boot_now();
    while (true) {
      loam::Moment const now = loam::boot_now();
      if (now - reported >= constants::report_span) {
        reports.push_back(field.take_report(++slice, static_cast<double>(now - reported) / 1e6));
        reported = now;
        if (reports.size() > 8) {
          reports.pop_front();  // figures only; what is lost is not made up
        }
      }
      schema::NewsAsk ask{field.self(), 0, 0, 0, {reports.begin(), reports.end()}};
      loam::Moment const asked = loam::boot_now();
      absl::StatusOr<schema::Message> const answer =
          caller.call(trellises[turn % trellises.size()], ask, constants::ask_deadline, yield);
      schema::NewsAnswer const* const news = answer.ok() ? std::get_if<schema::NewsAnswer>(&*answer) : nullptr;
      if (news != nullptr) {
        while (!reports.empty() && reports.front().slice <= news->reports_taken) {
          reports.pop_front();
        }
        field.take(contents.completed(*news, trellises[turn % trellises.size()]), asked);
      }
      if (news == nullptr || !news->vouched) {
        ++turn;
        if (loam::boot_now() - asked < constants::ask_retry) {
          loam::pause(context, constants::ask_retry, yield);
        }
      } else {
        // Seeds stay in, for the day that all the others are gone.
        std::string const current = trellises[turn % trellises.size()];
        trellises = seeds;
        for (std::string const& colleague : news->colleagues) {
          if (!colleague.empty() && std::find(trellises.begin(), trellises.end(), colleague) == trellises.end()) {
            trellises.push_back(colleague);
          }
        }
        turn = static_cast<std::size_t>(std::find(trellises.begin(), trellises.end(), current) - trellises.begin());
        if (contents.busy()) {  // what is withheld counts as news, so asks are answered at once
          loam::pause(context, constants::ask_retry, yield);
        }
      }
    }
  });
  loam::start(context, [&context, &field](loam::Yield yield) {
    while (true) {
      loam::pause(context, constants::ask_retry, yield);
      field.reconcile();
    }
  });
}

}  // namespace finchlink::furrow
