#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "common/constants.hpp"
#include "common/http/http.hpp"
#include "common/json/tree.hpp"
#include "common/settings/settings.hpp"
#include "fake_workers/worker/worker.hpp"
#include "schema/standin.hpp"
#include "schema/wire.hpp"

/// Stand-in workers and platform list (docs/operating/standins.md).
namespace {
using namespace finchlink;
namespace http = common::http;

common::Answer answer_list(std::vector<std::unique_ptr<fake_workers::Worker>> const& workers, std::uint64_t revision) {
  schema::PlatformList list;
  list.revision = revision;
  for (std::unique_ptr<fake_workers::Worker> const& worker : workers) {
    if (worker->listed()) {
      schema::BedWorker const& self = worker->self();
      list.workers.push_back(schema::WorkerEntry{self.id, self.address, self.zone, self.kind, worker->draining(),
                                                 self.labels, self.kind, worker->limit()});
    }
  }
  common::Tree const tree(schema::write(list));
  return common::answer_text(http::status::ok, common::print_tree(tree.get()));
}

/// POST /control/DEED/NAME: drain, restore, crash, revive, dark, light, unlist,
/// list, weights (of another version) for a worker or a whole zone; evacuated, retaken and only/RULE@REGION
/// for the ledger.
bool control(std::vector<std::unique_ptr<fake_workers::Worker>> const& workers, fake_workers::RegisterClient& ledger,
             std::string const& deed, std::string const& name) {
  if (deed == "evacuated" || deed == "retaken") {
    ledger.evacuated(name, deed == "evacuated", common::boot_now());
    return true;
  }
  if (deed == "recount") {
    return true;  // the platform was begun anew: its list counts from one again
  }
  if (deed == "slow") {
    for (std::unique_ptr<fake_workers::Worker> const& worker : workers) {
      worker->set_slow(std::max(1.0, std::atof(name.c_str())));
    }
    return true;
  }
  if (deed == "only") {
    std::size_t const at = name.find('@');
    ledger.only(name.substr(0, at), at == std::string::npos ? "" : name.substr(at + 1));
    return at != std::string::npos;
  }
  bool found = false;
  for (std::unique_ptr<fake_workers::Worker> const& worker : workers) {
    if (worker->self().id != name && worker->self().zone != name) {
      continue;
    }
    found = true;
    if (deed == "drain" || deed == "restore") {
      worker->set_draining(deed == "drain");
    } else if (deed == "crash" || deed == "revive") {
      worker->set_crashed(deed == "crash");
    } else if (deed == "dark" || deed == "light") {
      worker->set_dark(deed == "dark");
    } else if (deed == "weights") {
      worker->change_weights();
    } else if (deed == "unlist" || deed == "list") {
      worker->set_listed(deed == "list");
    } else {
      return false;
    }
  }
  return found;
}
}  // namespace

int main(int count, char** values) {
  if (count != 2 || std::string(values[1]) == "--help") {
    std::cerr << "seedbed FILE   (a bed: see schema/standin.json)\n";
    return count == 2 ? 0 : common::exit_usage;
  }
  std::ifstream file(values[1]);
  std::stringstream content;
  content << file.rdbuf();
  absl::StatusOr<common::Tree> const tree = common::read_tree(content.str());
  schema::Bed bed;
  std::vector<common::Fault> faults;
  if (!tree.ok()) {
    std::cerr << "seedbed: " << values[1] << ": " << tree.status().message() << "\n";
    return common::exit_usage;
  }
  schema::read(tree->get(), "", bed, faults);
  if (bed.model.prefill.size() != 4 || bed.model.decode.size() != 3) {
    faults.push_back(common::Fault{"/model", "needs four prefill and three decode terms"});
  }
  if (!faults.empty()) {
    std::cerr << "seedbed: " << common::describe(faults) << "\n";
    return common::exit_usage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(static_cast<int>(bed.threads));
  fake_workers::RegisterClient ledger;
  std::vector<std::unique_ptr<fake_workers::Worker>> workers;
  std::uint64_t seed = bed.seed;
  for (schema::BedWorker const& entry : bed.workers) {
    workers.push_back(std::make_unique<fake_workers::Worker>(context, bed, entry, ledger, bed.warm_at_start, ++seed));
    fake_workers::Worker* const worker = workers.back().get();
    worker->begin();
    absl::Status const status =
        common::listen(context, entry.listen.empty() ? entry.address : entry.listen, 4096,
                       [worker](common::Stream& stream, common::Yield yield) { worker->serve(stream, yield); });
    if (!status.ok()) {
      std::cerr << "seedbed: " << status.message() << "\n";
      return common::exit_listen;
    }
  }
  std::atomic<std::uint64_t> revision = 1;
  absl::Status const status =
      common::serve_asks(context, bed.list_address, 4096, 1u << 20u, [&](common::Ask const& ask, common::Yield) {
        std::string const target(ask.target());
        if (target == "/workers") {
          return answer_list(workers, revision);
        }
        if (target == "/ledger") {
          return common::answer_text(http::status::ok, ledger.print());
        }
        if (target == "/ledger/walls") {
          return common::answer_text(http::status::ok, ledger.print_isolation());
        }
        if (target == "/ledger/ran") {
          return common::answer_text(http::status::ok, ledger.ran_nonces(), "text/plain");
        }
        if (ask.method() == http::verb::post && target.rfind("/control/", 0) == 0) {
          std::string const rest = target.substr(9);
          std::size_t const slash = rest.find('/');
          bool const done =
              slash != std::string::npos && control(workers, ledger, rest.substr(0, slash), rest.substr(slash + 1));
          revision = done && rest == "recount/all" ? 1 : revision + 1;
          return common::answer_text(done ? http::status::ok : http::status::not_found,
                                     done ? "{\"done\":true}" : "{\"done\":false}");
        }
        return common::answer_error(http::status::not_found, "unknown_path", target);
      });
  if (!status.ok()) {
    std::cerr << "seedbed: " << status.message() << "\n";
    return common::exit_listen;
  }
  std::vector<std::thread> threads;
  for (std::uint64_t index = 1; index < bed.threads; ++index) {
    threads.emplace_back([&context] { context.run(); });
  }
  context.run();
  return 0;
}
