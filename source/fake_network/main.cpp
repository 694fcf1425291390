#include <atomic>
#include <boost/asio/write.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

#include "common/constants.hpp"
#include "common/http/http.hpp"
#include "common/json/tree.hpp"
#include "common/settings/settings.hpp"
#include "schema/standin.hpp"

/// The program stile: a fake network between the simulated machines of a fleet that runs on one machine
/// (docs/operating/standins.md). It forwards TCP connections, adds a delay between regions and cuts links on command.
/// Bytes held back by a cut are forwarded when it heals, as the retransmissions of a network would be.
namespace {
using namespace finchlink;
namespace http = common::http;
using boost::system::error_code;

/// Machines and link faults; shared by all connections.
struct Network {
  schema::Stile config;
  std::map<std::string, schema::StileMachine> machines;           ///< by IP
  std::mutex lock;                                                ///< guards `cuts` and `response_losses`
  std::set<std::pair<std::string, std::string>> cuts;             ///< names of machines: from, to
  std::set<std::pair<std::string, std::string>> response_losses;  ///< names of machines: responses from, to
  std::atomic<std::uint64_t> forwarded_chunks = 0;                ///< chunks of bytes
  std::atomic<std::uint64_t> dropped_responses = 0;               ///< chunks that were dropped
  std::atomic<std::uint64_t> held_back = 0;                       ///< chunks and connections held back by a cut

  /// Names of the machines that `segment` selects: "all", a machine, a zone or a region.
  [[nodiscard]] std::vector<std::string> matching_machines(std::string const& segment) const {
    std::vector<std::string> names;
    for (std::pair<std::string const, schema::StileMachine> const& entry : machines) {
      if (segment == "all" || segment == entry.second.name || segment == entry.second.hall ||
          segment == entry.second.region) {
        names.push_back(entry.second.name);
      }
    }
    return names;
  }
  /// Name of the machine with this IP; empty: unknown.
  [[nodiscard]] std::string machine_name(std::string const& ip) const {
    std::map<std::string, schema::StileMachine>::const_iterator const found = machines.find(ip);
    return found == machines.end() ? "" : found->second.name;
  }
  /// One-way delay between two IPs: zero within a region or if a region is unknown.
  [[nodiscard]] common::Span hop_delay(std::string const& from, std::string const& to) const {
    std::map<std::string, schema::StileMachine>::const_iterator const source = machines.find(from);
    std::map<std::string, schema::StileMachine>::const_iterator const destination = machines.find(to);
    bool const other_region = source != machines.end() && destination != machines.end() &&
                              source->second.region != destination->second.region;
    return other_region && !source->second.region.empty() && !destination->second.region.empty()
               ? static_cast<common::Span>(config.hop_ms * 1000)
               : 0;
  }
  [[nodiscard]] bool is_cut(std::string const& from, std::string const& to) {
    std::lock_guard<std::mutex> const guard(lock);
    return cuts.count({machine_name(from), machine_name(to)}) > 0;
  }
  [[nodiscard]] bool loses_responses(std::string const& from, std::string const& to) {
    std::lock_guard<std::mutex> const guard(lock);
    return response_losses.count({machine_name(from), machine_name(to)}) > 0;
  }
  /// Returns when the link isn't cut.
  void wait_while_cut(boost::asio::io_context& context, std::string const& from, std::string const& to,
                      common::Yield yield) {
    bool counted = false;
    while (is_cut(from, to)) {
      held_back += counted ? 0 : 1;
      counted = true;
      common::pause(context, common::milliseconds(10), yield);
    }
  }
};

/// Forwards one direction of a connection until it ends. `carries_responses`: the direction from the machine that
/// accepted the connection.
void forward_bytes(boost::asio::io_context& context, Network& network, common::Stream& from, common::Stream& to,
                   std::string const& from_ip, std::string const& to_ip, bool carries_responses, common::Yield yield) {
  std::vector<char> chunk(65536);
  common::Span const hop_delay = network.hop_delay(from_ip, to_ip);
  error_code error;
  while (!error) {
    std::size_t const count = from.socket().async_read_some(boost::asio::buffer(chunk), yield[error]);
    if (hop_delay > 0) {
      common::pause(context, hop_delay, yield);
    }
    network.wait_while_cut(context, from_ip, to_ip, yield);
    if (count > 0 && carries_responses && network.loses_responses(from_ip, to_ip)) {
      ++network.dropped_responses;
      error = boost::asio::error::connection_reset;
    } else if (count > 0) {
      error_code writing;
      boost::asio::async_write(to.socket(), boost::asio::buffer(chunk.data(), count), yield[writing]);
      ++network.forwarded_chunks;
      error = error ? error : writing;
    }
  }
  error_code ignored;
  if (error == boost::asio::error::eof) {
    to.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  } else {
    to.socket().close(ignored);
    from.socket().close(ignored);
  }
}

/// Connects to `target` on behalf of the client and forwards both directions.
void proxy_connection(boost::asio::io_context& context, Network& network, std::string const& target,
                      common::Stream& client, common::Yield yield) {
  error_code error;
  std::string const from = client.socket().remote_endpoint(error).address().to_string();
  std::string const to = target.substr(0, target.rfind(':'));
  common::pause(context, network.hop_delay(from, to), yield);
  network.wait_while_cut(context, from, to, yield);
  absl::StatusOr<std::unique_ptr<common::Stream>> const server =
      common::connect(context, target, common::seconds(2), yield);
  if (!server.ok()) {
    return;
  }
  client.expires_never();
  (*server)->expires_never();
  std::shared_ptr<bool> const responses_done = std::make_shared<bool>(false);
  boost::asio::steady_timer done(yield.get_executor());
  done.expires_at(std::chrono::steady_clock::time_point::max());
  boost::asio::spawn(
      yield.get_executor(),
      [&, responses_done](common::Yield inner) {
        forward_bytes(context, network, **server, client, to, from, true, inner);
        *responses_done = true;
        done.cancel();
      },
      [](std::exception_ptr thrown) {
        if (thrown) {
          std::rethrow_exception(thrown);
        }
      });
  forward_bytes(context, network, client, **server, from, to, false, yield);
  while (!*responses_done) {
    done.async_wait(yield[error]);
  }
}

/// POST /cut/FROM/TO, /lose/FROM/TO, /heal/FROM/TO: change one direction between machines; FROM and TO are a machine, a
/// zone, a region or "all". "lose" drops responses on connections that TO opened and then closes the connection.
/// GET /counts returns what was forwarded, held back and dropped.
common::Response control(Network& network, common::Request const& ask) {
  std::string const target(ask.target());
  std::stringstream segments(target);
  std::string segment;
  std::vector<std::string> parts;
  while (std::getline(segments, segment, '/')) {
    parts.push_back(segment);
  }
  if (target == "/counts") {
    std::string counts = "{\"passed\":" + std::to_string(network.forwarded_chunks);
    counts += ",\"held\":" + std::to_string(network.held_back);
    counts += ",\"lost\":" + std::to_string(network.dropped_responses) + "}";
    return common::text_response(http::status::ok, counts);
  }
  bool const known = parts.size() == 4 && (parts[1] == "cut" || parts[1] == "lose" || parts[1] == "heal");
  if (ask.method() != http::verb::post || !known) {
    return common::error_response(http::status::not_found, "unknown_path", target);
  }
  std::lock_guard<std::mutex> const guard(network.lock);
  std::size_t pairs = 0;
  for (std::string const& from : network.matching_machines(parts[2])) {
    for (std::string const& to : network.matching_machines(parts[3])) {
      if (from == to) {
        continue;
      }
      ++pairs;
      if (parts[1] == "cut") {
        network.cuts.insert({from, to});
      } else if (parts[1] == "lose") {
        network.response_losses.insert({from, to});
      } else {
        network.cuts.erase({from, to});
        network.response_losses.erase({from, to});
      }
    }
  }
  return common::text_response(pairs > 0 ? http::status::ok : http::status::not_found,
                               "{\"pairs\":" + std::to_string(pairs) + "}");
}
}  // namespace

int main(int count, char** arguments) {
  if (count != 2 || std::string(arguments[1]) == "--help") {
    std::cerr << "stile FILE   (routes and machines: see schema/standin.json)\n";
    return count == 2 ? 0 : common::exit_usage;
  }
  Network network;
  std::ifstream file(arguments[1]);
  std::stringstream content;
  content << file.rdbuf();
  absl::StatusOr<common::Tree> const tree = common::read_tree(content.str());
  std::vector<common::Fault> faults;
  if (tree.ok()) {
    schema::read(tree->get(), "", network.config, faults);
  }
  if (!tree.ok() || !faults.empty()) {
    std::cerr << "stile: " << arguments[1] << ": "
              << (tree.ok() ? common::describe(faults) : std::string(tree.status().message())) << "\n";
    return common::exit_usage;
  }
  for (schema::StileMachine const& machine : network.config.machines) {
    network.machines[machine.ip] = machine;
  }
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(4);
  for (schema::StileRoute const& route : network.config.routes) {
    absl::Status const status = common::listen(
        context, common::counted_address(route.listen, 100000),
        [&context, &network, to = route.to](common::AcceptedStream const& connection, common::Yield yield) {
          proxy_connection(context, network, to, connection.stream, yield);
        });
    if (!status.ok()) {
      std::cerr << "stile: " << status.message() << "\n";
      return common::exit_listen;
    }
  }
  absl::Status const status =
      common::serve_requests(context, common::counted_address(network.config.control, 64), 4096,
                             [&network](common::Request const& ask, common::Yield) { return control(network, ask); });
  if (!status.ok()) {
    std::cerr << "stile: " << status.message() << "\n";
    return common::exit_listen;
  }
  std::vector<std::thread> threads;
  for (int index = 1; index < 4; ++index) {
    threads.emplace_back([&context] { context.run(); });
  }
  context.run();
  return 0;
}
