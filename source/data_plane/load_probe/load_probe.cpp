#include <set>

#include "common/constants.hpp"
#include "common/http/http.hpp"
#include "data_plane/updates/updates.hpp"
#include "data_plane/worker/contract.hpp"

namespace finchlink::data_plane {

namespace constants = common::constants;

namespace {
struct Watched {
  std::mutex lock;
  std::set<std::string> addresses;
};

/// Waits for the span, or until the other side closes the idle connection.
bool closed_within(common::Stream& stream, common::Span span, common::Yield yield) {
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
  return !error;  // readable without a question asked: closed
}

void watch(boost::asio::io_context& context, ProxyState& field, std::string const& pool, std::string const& id,
           std::string const& address, common::Yield yield) {
  std::unique_ptr<common::Stream> stream;
  boost::beast::flat_buffer buffer;
  while (true) {
    bool is_desired = false;
    std::shared_ptr<Plan const> const plan = field.plan();
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
      absl::StatusOr<std::unique_ptr<common::Stream>> fresh =
          common::connect(context, address, constants::load_pause, yield);
      if (fresh.ok()) {
        stream = std::move(*fresh);
      }
    }
    if (stream != nullptr) {
      load = ask_load(*stream, buffer, address, yield);
      if (!load.has_value()) {
        stream.reset();
      }
    }
    common::Moment const now = common::boot_now();
    field.with(pool, [&](scheduling::Placement& placement) {
      return load.has_value() ? placement.report_load(id, load->running, load->waiting, load->boot, now)
                              : placement.report_load_missed(id, now);
    });
    if (stream == nullptr) {
      common::pause(context, constants::load_pause, yield);
    } else if (closed_within(*stream, constants::load_pause, yield)) {
      // A worker that starts anew within one pause would look warm until the
      // next look; its closing connection tells at once (section 8.7).
      stream.reset();
      field.with(pool,
                 [&](scheduling::Placement& placement) { return placement.connection_lost(id, common::boot_now()); });
    }
  }
}
}  // namespace

void begin_watch(boost::asio::io_context& context, ProxyState& field) {
  std::shared_ptr<Watched> const watched = std::make_shared<Watched>();
  common::start(context, [&context, &field, watched](common::Yield yield) {
    while (true) {
      std::shared_ptr<Plan const> const plan = field.plan();
      for (std::pair<std::string const, std::vector<scheduling::DesiredWorker>> const& pool : plan->desired_workers) {
        for (scheduling::DesiredWorker const& desired : pool.second) {
          std::string const key = pool.first + " " + desired.id + " " + desired.address;
          std::lock_guard<std::mutex> const guard(watched->lock);
          if (watched->addresses.insert(key).second) {
            common::start(context, [&context, &field, watched, key, name = pool.first, id = desired.id,
                                    address = desired.address](common::Yield inner) {
              watch(context, field, name, id, address, inner);
              std::lock_guard<std::mutex> const done(watched->lock);
              watched->addresses.erase(key);
            });
          }
        }
      }
      common::pause(context, constants::load_pause, yield);
    }
  });
}

}  // namespace finchlink::data_plane
