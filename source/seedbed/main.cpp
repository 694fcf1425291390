#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "loam/constants.hpp"
#include "loam/http/http.hpp"
#include "loam/json/tree.hpp"
#include "loam/settings/settings.hpp"
#include "schema/standin.hpp"
#include "schema/wire.hpp"
#include "seedbed/worker/worker.hpp"

/// Stand-in workers and platform list (docs/operating/standins.md).
namespace {
using namespace finchlink;
namespace http = loam::http;

loam::Answer answer_list(std::vector<std::unique_ptr<seedbed::Worker>> const& workers, std::uint64_t revision) {
  schema::PlatformList list;
  list.revision = revision;
  for (std::unique_ptr<seedbed::Worker> const& worker : workers) {
    if (worker->listed()) {
      schema::BedWorker const& self = worker->self();
      list.workers.push_back(schema::WorkerEntry{self.id, self.address, self.zone, self.kind, worker->draining(),
                                                 self.labels, self.kind, worker->limit()});
    }
  }
  loam::Tree const tree(schema::write(list));
  return loam::answer_text(http::status::ok, loam::print_tree(tree.get()));
}

/// POST /control/DEED/NAME: drain, restore, crash, revive, dark, light, unlist,
/// list, weights (of another version) for a worker or a whole zone; evacuated, retaken and only/RULE@REGION
/// for the ledger.
bool control(std::vector<std::unique_ptr<seedbed::Worker>> const& workers, seedbed::RegisterClient& ledger,
             std::string const& deed, std::string const& name) {
  if (deed == "evacuated" || deed == "retaken") {
    ledger.evacuated(name, deed == "evacuated", loam::boot_now());
    return true;
  }
  if (deed == "recount") {
    return true;  // the platform was begun anew: its list counts from one again
  }
  if (deed == "slow") {
    for (std::unique_ptr<seedbed::Worker> const& worker : workers) {
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
  for (std::unique_ptr<seedbed::Worker> const& worker : workers) {
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
    return count == 2 ? 0 : loam::exit_usage;
  }
  std::ifstream file(values[1]);
  std::stringstream content;
  content << file.rdbuf();
  absl::StatusOr<loam::Tree> const tree = loam::read_tree(content.str());
  schema::Bed bed;
  std::vector<loam::Fault> faults;
  if (!tree.ok()) {
    std::cerr << "seedbed: " << values[1] << ": " << tree.status().message() << "\n";
    return loam::exit_usage;
  }
  schema::read(tree->get(), "", bed, faults);
  if (bed.model.prefill.size() != 4 || bed.model.decode.size() != 3) {
    faults.push_back(loam::Fault{"/model", "needs four prefill and three decode terms"});
  }
  if (!faults.empty()) {
    std::cerr << "seedbed: " << loam::describe(faults) << "\n";
    return loam::exit_usage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(static_cast<int>(bed.threads));
  seedbed::RegisterClient ledger;
  std::vector<std::unique_ptr<seedbed::Worker>> workers;
  std::uint64_t seed = bed.seed;
  for (schema::BedWorker const& entry : bed.workers) {
    workers.push_back(std::make_unique<seedbed::Worker>(context, bed, entry, ledger, bed.warm_at_start, ++seed));
    seedbed::Worker* const worker = workers.back().get();
    worker->begin();
    absl::Status const status =
        loam::listen(context, entry.listen.empty() ? entry.address : entry.listen, 4096,
                     [worker](loam::Stream& stream, loam::Yield yield) { worker->serve(stream, yield); });
    if (!status.ok()) {
      std::cerr << "seedbed: " << status.message() << "\n";
      return loam::exit_listen;
    }
  }
  std::atomic<std::uint64_t> revision = 1;
  absl::Status const status =
      loam::serve_asks(context, bed.list_address, 4096, 1u << 20u, [&](loam::Ask const& ask, loam::Yield) {
        std::string const target(ask.target());
        if (target == "/workers") {
          return answer_list(workers, revision);
        }
        if (target == "/ledger") {
          return loam::answer_text(http::status::ok, ledger.print());
        }
        if (target == "/ledger/walls") {
          return loam::answer_text(http::status::ok, ledger.print_walls());
        }
        if (target == "/ledger/ran") {
          return loam::answer_text(http::status::ok, ledger.ran_nonces(), "text/plain");
        }
        if (ask.method() == http::verb::post && target.rfind("/control/", 0) == 0) {
          std::string const rest = target.substr(9);
          std::size_t const slash = rest.find('/');
          bool const done =
              slash != std::string::npos && control(workers, ledger, rest.substr(0, slash), rest.substr(slash + 1));
          revision = done && rest == "recount/all" ? 1 : revision + 1;
          return loam::answer_text(done ? http::status::ok : http::status::not_found,
                                   done ? "{\"done\":true}" : "{\"done\":false}");
        }
        return loam::answer_error(http::status::not_found, "unknown_path", target);
      });
  if (!status.ok()) {
    std::cerr << "seedbed: " << status.message() << "\n";
    return loam::exit_listen;
  }
  std::vector<std::thread> threads;
  for (std::uint64_t index = 1; index < bed.threads; ++index) {
    threads.emplace_back([&context] { context.run(); });
  }
  context.run();
  return 0;
}
