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

/// The network between the machines of a fleet on one machine: passes bytes on,
/// with hops, and cuts (docs/operating/standins.md). What is held by a cut goes
/// on when it heals, as a network's repeats would.
namespace {
using namespace finchlink;
namespace http = common::http;
using boost::system::error_code;

struct Net {
  schema::Stile stile;
  std::map<std::string, schema::StileMachine> machines;  ///< by IP
  std::mutex lock;
  std::set<std::pair<std::string, std::string>> cuts;    ///< from and to, names of machines
  std::set<std::pair<std::string, std::string>> losses;  ///< answers from one to the other are lost
  std::atomic<std::uint64_t> passed = 0;
  std::atomic<std::uint64_t> lost = 0;  ///< answers that were dropped
  std::atomic<std::uint64_t> held = 0;  ///< pieces and connections held by a cut

  [[nodiscard]] std::vector<std::string> named(std::string const& word) const {
    std::vector<std::string> names;
    for (std::pair<std::string const, schema::StileMachine> const& entry : machines) {
      if (word == "all" || word == entry.second.name || word == entry.second.hall || word == entry.second.region) {
        names.push_back(entry.second.name);
      }
    }
    return names;
  }
  [[nodiscard]] std::string name(std::string const& ip) const {
    std::map<std::string, schema::StileMachine>::const_iterator const found = machines.find(ip);
    return found == machines.end() ? "" : found->second.name;
  }
  [[nodiscard]] common::Span hop(std::string const& from, std::string const& to) const {
    std::map<std::string, schema::StileMachine>::const_iterator const left = machines.find(from);
    std::map<std::string, schema::StileMachine>::const_iterator const right = machines.find(to);
    bool const far = left != machines.end() && right != machines.end() && left->second.region != right->second.region;
    return far && !left->second.region.empty() && !right->second.region.empty()
               ? static_cast<common::Span>(stile.hop_ms * 1000)
               : 0;
  }
  [[nodiscard]] bool cut(std::string const& from, std::string const& to) {
    std::lock_guard<std::mutex> const guard(lock);
    return cuts.count({name(from), name(to)}) > 0;
  }
  [[nodiscard]] bool loses(std::string const& from, std::string const& to) {
    std::lock_guard<std::mutex> const guard(lock);
    return losses.count({name(from), name(to)}) > 0;
  }
  void hold(boost::asio::io_context& context, std::string const& from, std::string const& to, common::Yield yield) {
    bool counted = false;
    while (cut(from, to)) {
      held += counted ? 0 : 1;
      counted = true;
      common::pause(context, common::milliseconds(10), yield);
    }
  }
};

/// One way of a connection; `answers`: that of the machine that was connected to.
void pump(boost::asio::io_context& context, Net& net, common::Stream& from, common::Stream& to,
          std::string const& from_ip, std::string const& to_ip, bool answers, common::Yield yield) {
  std::vector<char> piece(65536);
  common::Span const hop = net.hop(from_ip, to_ip);
  error_code error;
  while (!error) {
    std::size_t const count = from.socket().async_read_some(boost::asio::buffer(piece), yield[error]);
    if (hop > 0) {
      common::pause(context, hop, yield);
    }
    net.hold(context, from_ip, to_ip, yield);
    if (count > 0 && answers && net.loses(from_ip, to_ip)) {
      ++net.lost;
      error = boost::asio::error::connection_reset;
    } else if (count > 0) {
      error_code writing;
      boost::asio::async_write(to.socket(), boost::asio::buffer(piece.data(), count), yield[writing]);
      ++net.passed;
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

void carry(boost::asio::io_context& context, Net& net, std::string const& target, common::Stream& near,
           common::Yield yield) {
  error_code error;
  std::string const from = near.socket().remote_endpoint(error).address().to_string();
  std::string const to = target.substr(0, target.rfind(':'));
  common::pause(context, net.hop(from, to), yield);
  net.hold(context, from, to, yield);
  absl::StatusOr<std::unique_ptr<common::Stream>> const far =
      common::connect(context, target, common::seconds(2), yield);
  if (!far.ok()) {
    return;
  }
  near.expires_never();
  (*far)->expires_never();
  std::shared_ptr<bool> const back = std::make_shared<bool>(false);
  boost::asio::steady_timer done(yield.get_executor());
  done.expires_at(std::chrono::steady_clock::time_point::max());
  boost::asio::spawn(
      yield.get_executor(),
      [&, back](common::Yield inner) {
        pump(context, net, **far, near, to, from, true, inner);
        *back = true;
        done.cancel();
      },
      [](std::exception_ptr thrown) {
        if (thrown) {
          std::rethrow_exception(thrown);
        }
      });
  pump(context, net, near, **far, from, to, false, yield);
  while (!*back) {
    done.async_wait(yield[error]);
  }
}

/// POST /cut/FROM/TO, /lose/FROM/TO, /heal/FROM/TO: a machine, a hall, a region or all, one way. What is lost are
/// answers on connections that TO opened; the connection is closed behind them.
common::Answer control(Net& net, common::Ask const& ask) {
  std::string const target(ask.target());
  std::stringstream words(target);
  std::string word;
  std::vector<std::string> parts;
  while (std::getline(words, word, '/')) {
    parts.push_back(word);
  }
  if (target == "/counts") {
    std::string counts = "{\"passed\":" + std::to_string(net.passed);
    counts += ",\"held\":" + std::to_string(net.held);
    counts += ",\"lost\":" + std::to_string(net.lost) + "}";
    return common::answer_text(http::status::ok, counts);
  }
  bool const known = parts.size() == 4 && (parts[1] == "cut" || parts[1] == "lose" || parts[1] == "heal");
  if (ask.method() != http::verb::post || !known) {
    return common::answer_error(http::status::not_found, "unknown_path", target);
  }
  std::lock_guard<std::mutex> const guard(net.lock);
  std::size_t pairs = 0;
  for (std::string const& from : net.named(parts[2])) {
    for (std::string const& to : net.named(parts[3])) {
      if (from == to) {
        continue;
      }
      ++pairs;
      if (parts[1] == "cut") {
        net.cuts.insert({from, to});
      } else if (parts[1] == "lose") {
        net.losses.insert({from, to});
      } else {
        net.cuts.erase({from, to});
        net.losses.erase({from, to});
      }
    }
  }
  return common::answer_text(pairs > 0 ? http::status::ok : http::status::not_found,
                             "{\"pairs\":" + std::to_string(pairs) + "}");
}
}  // namespace

int main(int count, char** values) {
  if (count != 2 || std::string(values[1]) == "--help") {
    std::cerr << "stile FILE   (routes and machines: see schema/standin.json)\n";
    return count == 2 ? 0 : common::exit_usage;
  }
  Net net;
  std::ifstream file(values[1]);
  std::stringstream content;
  content << file.rdbuf();
  absl::StatusOr<common::Tree> const tree = common::read_tree(content.str());
  std::vector<common::Fault> faults;
  if (tree.ok()) {
    schema::read(tree->get(), "", net.stile, faults);
  }
  if (!tree.ok() || !faults.empty()) {
    std::cerr << "stile: " << values[1] << ": "
              << (tree.ok() ? common::describe(faults) : std::string(tree.status().message())) << "\n";
    return common::exit_usage;
  }
  for (schema::StileMachine const& machine : net.stile.machines) {
    net.machines[machine.ip] = machine;
  }
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(4);
  for (schema::StileRoute const& route : net.stile.routes) {
    absl::Status const status = common::listen(
        context, route.listen, 100000, [&context, &net, to = route.to](common::Stream& stream, common::Yield yield) {
          carry(context, net, to, stream, yield);
        });
    if (!status.ok()) {
      std::cerr << "stile: " << status.message() << "\n";
      return common::exit_listen;
    }
  }
  absl::Status const status =
      common::serve_asks(context, net.stile.control, 64, 4096,
                         [&net](common::Ask const& ask, common::Yield) { return control(net, ask); });
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
