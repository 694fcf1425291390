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

/// The program seedbed: fake workers, the platform's worker list and the ledger of what ran, for test fleets
/// (docs/operating/standins.md).
namespace {
using namespace finchlink;
namespace http = common::http;

/// The worker list as the platform serves it.
common::Response answer_worker_list(std::vector<std::unique_ptr<fake_workers::Worker>> const& workers,
                                    std::uint64_t revision) {
  schema::PlatformList list;
  list.revision = revision;
  for (std::unique_ptr<fake_workers::Worker> const& worker : workers) {
    if (worker->listed()) {
      schema::BedWorker const& spec = worker->spec();
      list.workers.push_back(schema::WorkerEntry{spec.id, spec.address, spec.zone, spec.kind, worker->draining(),
                                                 spec.labels, spec.kind, worker->limit()});
    }
  }
  common::Tree const tree(schema::write(list));
  return common::text_response(http::status::ok, common::print_tree(tree.get()));
}

/// POST /control/COMMAND/NAME: drain, restore, crash, revive, dark (unreachable), light (reachable again), unlist, list
/// and weights (another version) for a worker or a whole zone; slow/FACTOR for all workers; recount/all for the list;
/// evacuated and retaken (a zone was drained or restored) and only/RULE@REGION for the ledger. Returns whether the
/// command is known and its target exists.
bool apply_command(std::vector<std::unique_ptr<fake_workers::Worker>> const& workers, fake_workers::RunLedger& ledger,
                   std::string const& command, std::string const& name) {
  if (command == "evacuated" || command == "retaken") {
    ledger.set_zone_drained(name, command == "evacuated", common::boot_now());
    return true;
  }
  if (command == "recount") {
    return true;  // simulates a restart of the platform: main() resets the list's revision to one
  }
  if (command == "slow") {
    for (std::unique_ptr<fake_workers::Worker> const& worker : workers) {
      worker->set_slowdown(std::max(1.0, std::atof(name.c_str())));
    }
    return true;
  }
  if (command == "only") {
    std::size_t const at = name.find('@');
    ledger.restrict_rule(name.substr(0, at), at == std::string::npos ? "" : name.substr(at + 1));
    return at != std::string::npos;
  }
  bool found = false;
  for (std::unique_ptr<fake_workers::Worker> const& worker : workers) {
    if (worker->spec().id != name && worker->spec().zone != name) {
      continue;
    }
    found = true;
    if (command == "drain" || command == "restore") {
      worker->set_draining(command == "drain");
    } else if (command == "crash" || command == "revive") {
      worker->set_crashed(command == "crash");
    } else if (command == "dark" || command == "light") {
      worker->set_unreachable(command == "dark");
    } else if (command == "weights") {
      worker->change_weights();
    } else if (command == "unlist" || command == "list") {
      worker->set_listed(command == "list");
    } else {
      return false;
    }
  }
  return found;
}
}  // namespace

int main(int count, char** values) {
  if (count != 2 || std::string(values[1]) == "--help") {
    std::cerr << "seedbed FILE   (fake workers and their list: see schema/standin.json)\n";
    return count == 2 ? 0 : common::exit_usage;
  }
  std::ifstream file(values[1]);
  std::stringstream content;
  content << file.rdbuf();
  absl::StatusOr<common::Tree> const tree = common::read_tree(content.str());
  schema::Bed config;
  std::vector<common::Fault> faults;
  if (!tree.ok()) {
    std::cerr << "seedbed: " << values[1] << ": " << tree.status().message() << "\n";
    return common::exit_usage;
  }
  schema::read(tree->get(), "", config, faults);
  if (config.model.prefill.size() != 4 || config.model.decode.size() != 3) {
    faults.push_back(common::Fault{"/model", "needs four prefill and three decode coefficients"});
  }
  if (!faults.empty()) {
    std::cerr << "seedbed: " << common::describe(faults) << "\n";
    return common::exit_usage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(static_cast<int>(config.threads));
  fake_workers::RunLedger ledger;
  std::vector<std::unique_ptr<fake_workers::Worker>> workers;
  std::uint64_t seed = config.seed;
  for (schema::BedWorker const& entry : config.workers) {
    workers.push_back(
        std::make_unique<fake_workers::Worker>(context, config, entry, ledger, config.warm_at_start, ++seed));
    fake_workers::Worker* const worker = workers.back().get();
    worker->start();
    absl::Status const status =
        common::listen(context, common::counted_address(entry.listen.empty() ? entry.address : entry.listen, 4096),
                       [worker](common::AcceptedStream const& connection, common::Yield yield) {
                         worker->serve(connection.stream, yield);
                       });
    if (!status.ok()) {
      std::cerr << "seedbed: " << status.message() << "\n";
      return common::exit_listen;
    }
  }
  std::atomic<std::uint64_t> revision = 1;
  absl::Status const status = common::serve_requests(
      context, common::counted_address(config.list_address, 4096), 1u << 20u,
      [&](common::Request const& ask, common::Yield) {
        std::string const target(ask.target());
        if (target == "/workers") {
          return answer_worker_list(workers, revision);
        }
        if (target == "/ledger") {
          return common::text_response(http::status::ok, ledger.to_json());
        }
        if (target == "/ledger/walls") {
          return common::text_response(http::status::ok, ledger.isolation_to_json());
        }
        if (target == "/ledger/ran") {
          return common::text_response(http::status::ok, ledger.ran_nonces(), "text/plain");
        }
        if (ask.method() == http::verb::post && target.rfind("/control/", 0) == 0) {
          std::string const rest = target.substr(9);
          std::size_t const slash = rest.find('/');
          bool const done = slash != std::string::npos &&
                            apply_command(workers, ledger, rest.substr(0, slash), rest.substr(slash + 1));
          revision = done && rest == "recount/all" ? 1 : revision + 1;
          return common::text_response(done ? http::status::ok : http::status::not_found,
                                       done ? "{\"done\":true}" : "{\"done\":false}");
        }
        return common::error_response(http::status::not_found, "unknown_path", target);
      });
  if (!status.ok()) {
    std::cerr << "seedbed: " << status.message() << "\n";
    return common::exit_listen;
  }
  std::vector<std::thread> threads;
  for (std::uint64_t index = 1; index < config.threads; ++index) {
    threads.emplace_back([&context] { context.run(); });
  }
  context.run();
  return 0;
}
