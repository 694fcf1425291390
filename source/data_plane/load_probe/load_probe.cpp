/// Probes the load of each desired worker, with one coroutine and one connection per worker (section 8.5).
#include <set>

#include "common/constants.hpp"
#include "common/http/http.hpp"
#include "data_plane/updates/updates.hpp"
#include "data_plane/worker/contract.hpp"

namespace finchlink::data_plane {

namespace constants = common::constants;

namespace {
/// Workers that are being probed.
struct ProbedWorkers {
  std::mutex lock;
  std::set<std::string> keys;  ///< pool, id and address, separated by spaces
};

/// Waits for the span, or until the peer closes the idle connection; true if it was closed.
bool closes_within(common::Stream& stream, common::Span span, common::Yield yield) {
  std::shared_ptr<bool> const waiting = std::make_shared<bool>(true);
  boost::asio::steady_timer timer(yield.get_executor(), common::duration(span));
  timer.async_wait([waiting, &stream](boost::system::error_code const& error) {
    if (!error && *waiting) {
      stream.socket().cancel();
    }
  });
  boost::system::error_code error;
  stream.socket().async_wait(boost::asio::ip::tcp::socket::wait_read, yield[error]);
  *waiting = false;
  timer.cancel();
  return !error;  // readable without a pending request: closed
}

/// Probes one worker until it isn't desired any more.
void probe_worker(boost::asio::io_context& context, ProxyState& proxy, std::string const& pool, std::string const& id,
                  std::string const& address, common::Yield yield) {
  std::unique_ptr<common::Stream> stream;
  boost::beast::flat_buffer buffer;
  while (true) {
    bool is_desired = false;
    std::shared_ptr<Plan const> const plan = proxy.plan();
    std::map<std::string, std::vector<scheduling::DesiredWorker>>::const_iterator const desired_workers =
        plan->desired_workers.find(pool);
    if (desired_workers != plan->desired_workers.end()) {
      for (scheduling::DesiredWorker const& desired : desired_workers->second) {
        is_desired = is_desired || (desired.id == id && desired.address == address);
      }
    }
    if (!is_desired) {
      return;
    }
    std::optional<WorkerLoad> load;
    if (stream == nullptr) {
      buffer.clear();
      absl::StatusOr<std::unique_ptr<common::Stream>> connection =
          common::connect(context, address, constants::load_pause, yield);
      if (connection.ok()) {
        stream = std::move(*connection);
      }
    }
    if (stream != nullptr) {
      load = fetch_load(*stream, buffer, address, yield);
      if (!load.has_value()) {
        stream.reset();
      }
    }
    common::Moment const now = common::boot_now();
    proxy.with_placement(pool, [&](scheduling::Placement& placement) {
      return load.has_value() ? placement.report_load(id, load->running, load->waiting, load->start_id, now)
                              : placement.report_load_missed(id, now);
    });
    if (stream == nullptr) {
      common::pause(context, constants::load_pause, yield);
    } else if (closes_within(*stream, constants::load_pause, yield)) {
      // A worker that restarts within one pause would seem warm until the next probe; the closed connection shows the
      // restart at once (section 8.7).
      stream.reset();
      proxy.with_placement(
          pool, [&](scheduling::Placement& placement) { return placement.connection_lost(id, common::boot_now()); });
    }
  }
}
}  // namespace

void start_load_probes(boost::asio::io_context& context, ProxyState& proxy) {
  std::shared_ptr<ProbedWorkers> const probed = std::make_shared<ProbedWorkers>();
  common::start(context, [&context, &proxy, probed](common::Yield yield) {
    while (true) {
      std::shared_ptr<Plan const> const plan = proxy.plan();
      for (std::pair<std::string const, std::vector<scheduling::DesiredWorker>> const& pool : plan->desired_workers) {
        for (scheduling::DesiredWorker const& desired : pool.second) {
          std::string const key = pool.first + " " + desired.id + " " + desired.address;
          std::lock_guard<std::mutex> const guard(probed->lock);
          if (probed->keys.insert(key).second) {
            common::start(context, [&context, &proxy, probed, key, name = pool.first, id = desired.id,
                                    address = desired.address](common::Yield inner) {
              probe_worker(context, proxy, name, id, address, inner);
              std::lock_guard<std::mutex> const done(probed->lock);
              probed->keys.erase(key);
            });
          }
        }
      }
      common::pause(context, constants::load_pause, yield);
    }
  });
}

}  // namespace finchlink::data_plane
