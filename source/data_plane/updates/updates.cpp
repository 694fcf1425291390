#include "data_plane/updates/updates.hpp"

#include <algorithm>
#include <deque>

#include "common/constants.hpp"
#include "common/random/random.hpp"
#include "data_plane/contents/content_fetcher.hpp"

namespace finchlink::data_plane {

namespace constants = common::constants;

void begin_updates(boost::asio::io_context& context, common::Caller& caller, ProxyState& field,
                   std::vector<std::string> seeds) {
  common::start(context, [&context, &caller, &field, seeds](common::Yield yield) {
    std::vector<std::string> controllers = seeds;
    std::size_t turn = common::random_number() % std::max<std::size_t>(1, seeds.size());
    ContentFetcher contents(context, caller);
    std::deque<schema::FurrowReport> reports;
    std::uint64_t slice = 0;
    common::Moment reported = common::boot_now();
    while (true) {
      common::Moment const now = common::boot_now();
      if (now - reported >= constants::report_span) {
        reports.push_back(field.take_report(++slice, static_cast<double>(now - reported) / 1e6));
        reported = now;
        if (reports.size() > 8) {
          reports.pop_front();  // figures only; what is lost is not made up
        }
      }
      schema::NewsAsk ask{field.self(), 0, 0, 0, {reports.begin(), reports.end()}};
      common::Moment const asked = common::boot_now();
      absl::StatusOr<schema::Message> const answer =
          caller.call(controllers[turn % controllers.size()], ask, constants::ask_deadline, yield);
      schema::NewsAnswer const* const update = answer.ok() ? std::get_if<schema::NewsAnswer>(&*answer) : nullptr;
      if (update != nullptr) {
        while (!reports.empty() && reports.front().slice <= update->reports_taken) {
          reports.pop_front();
        }
        field.take(contents.completed(*update, controllers[turn % controllers.size()]), asked);
      }
      if (update == nullptr || !update->confirmed) {
        ++turn;
        if (common::boot_now() - asked < constants::ask_retry) {
          common::pause(context, constants::ask_retry, yield);
        }
      } else {
        // Seeds stay in, for the day that all the others are gone.
        std::string const current = controllers[turn % controllers.size()];
        controllers = seeds;
        for (std::string const& peer : update->peers) {
          if (!peer.empty() && std::find(controllers.begin(), controllers.end(), peer) == controllers.end()) {
            controllers.push_back(peer);
          }
        }
        turn =
            static_cast<std::size_t>(std::find(controllers.begin(), controllers.end(), current) - controllers.begin());
        if (contents.busy()) {  // what is withheld counts as news, so asks are answered at once
          common::pause(context, constants::ask_retry, yield);
        }
      }
    }
  });
  common::start(context, [&context, &field](common::Yield yield) {
    while (true) {
      common::pause(context, constants::ask_retry, yield);
      field.reconcile();
    }
  });
}

}  // namespace finchlink::data_plane
