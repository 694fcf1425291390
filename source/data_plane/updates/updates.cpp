#include "data_plane/updates/updates.hpp"

#include <algorithm>
#include <deque>

#include "common/constants.hpp"
#include "common/random/random.hpp"
#include "data_plane/contents/content_fetcher.hpp"

namespace finchlink::data_plane {

namespace constants = common::constants;

void start_updates(boost::asio::io_context& context, common::FrameClient& caller, ProxyState& proxy,
                   std::vector<std::string> seeds) {
  common::start(context, [&context, &caller, &proxy, seeds](common::Yield yield) {
    std::vector<std::string> controllers = seeds;
    std::size_t next_controller = common::random_number() % std::max<std::size_t>(1, seeds.size());
    ContentFetcher content_fetcher(context, caller);
    std::deque<schema::FurrowReport> reports;
    std::uint64_t interval = 0;
    common::Moment reported_at = common::boot_now();
    while (true) {
      common::Moment const now = common::boot_now();
      if (now - reported_at >= constants::report_interval) {
        reports.push_back(proxy.take_report(++interval, static_cast<double>(now - reported_at) / 1e6));
        reported_at = now;
        if (reports.size() > 8) {
          reports.pop_front();  // statistics only: lost reports aren't replaced
        }
      }
      schema::NewsAsk request{proxy.self(), 0, 0, 0, {reports.begin(), reports.end()}};
      common::Moment const requested_at = common::boot_now();
      absl::StatusOr<schema::Message> const response =
          caller.call(controllers[next_controller % controllers.size()], request, constants::ask_deadline, yield);
      schema::NewsAnswer const* const update = response.ok() ? std::get_if<schema::NewsAnswer>(&*response) : nullptr;
      if (update != nullptr) {
        while (!reports.empty() && reports.front().slice <= update->reports_taken) {
          reports.pop_front();
        }
        proxy.apply_updates(
            content_fetcher.with_fetched_contents(*update, controllers[next_controller % controllers.size()]),
            requested_at);
      }
      if (update == nullptr || !update->confirmed) {
        ++next_controller;
        if (common::boot_now() - requested_at < constants::ask_retry) {
          common::pause(context, constants::ask_retry, yield);
        }
      } else {
        // Seeds stay in the list, in case all other controllers are gone.
        std::string const current = controllers[next_controller % controllers.size()];
        controllers = seeds;
        for (std::string const& peer : update->peers) {
          if (!peer.empty() && std::find(controllers.begin(), controllers.end(), peer) == controllers.end()) {
            controllers.push_back(peer);
          }
        }
        next_controller =
            static_cast<std::size_t>(std::find(controllers.begin(), controllers.end(), current) - controllers.begin());
        if (content_fetcher.busy()) {  // withheld contents count as updates: requests are answered without a wait
          common::pause(context, constants::ask_retry, yield);
        }
      }
    }
  });
  common::start(context, [&context, &proxy](common::Yield yield) {
    while (true) {
      common::pause(context, constants::ask_retry, yield);
      proxy.reconcile();
    }
  });
}

}  // namespace finchlink::data_plane
