#include <algorithm>
#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <cmath>
#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <thread>

#include "common/constants.hpp"
#include "common/http/http.hpp"
#include "common/json/tree.hpp"
#include "common/random/random.hpp"
#include "common/settings/settings.hpp"
#include "data_plane/worker/contract.hpp"
#include "schema/standin.hpp"

/// The program gleaner: a load generator. It sends queries at the rates of the configured mixes, whether or not earlier
/// ones were answered, and checks that each response belongs to its query, is complete and numbers its events in order
/// (docs/operating/standins.md).
namespace {
using namespace finchlink;
namespace http = common::http;
using boost::system::error_code;

/// Outcomes of the queries of one mix.
struct MixCounts {
  std::uint64_t sent = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t rejected = 0;             ///< status 503 or 429, which state that nothing ran
  std::uint64_t without_retry_after = 0;  ///< rejected without the header Retry-After
  std::uint64_t may_have_run = 0;         ///< status 502 or 504
  std::uint64_t interrupted = 0;          ///< streams that ended with an error event or were cut
  std::uint64_t unanswered = 0;           ///< no response in any attempt
  std::uint64_t other_status = 0;
  std::uint64_t wrong_owner = 0;            ///< responses without the nonce of their query
  std::uint64_t wrong_number = 0;           ///< streams with events missing, repeated or after the last one
  std::uint64_t undetected_incomplete = 0;  ///< ended without an error but incomplete
  std::uint64_t redirects = 0;
  std::vector<double> first_byte_seconds;  ///< seconds to the first byte, of successful queries
  std::vector<double> total_seconds;       ///< seconds to the end, of successful queries
};

/// Outcomes of all queries; shared by all threads.
struct Results {
  std::mutex lock;  ///< guards all fields but `open`
  std::map<std::string, MixCounts> by_mix;
  std::set<std::string> rejected;  ///< nonces
  /// Counts of succeeded and failed queries by the second in which they started.
  std::map<std::int64_t, std::pair<std::uint64_t, std::uint64_t>> by_second;
  std::atomic<std::int64_t> open = 0;  ///< queries in flight
};

/// Text that depends on the seed alone, so that equal seeds give equal prompt prefixes.
std::string random_text(std::uint64_t seed, std::size_t size) {
  static char const letters[] = "abcdefghijklmnopqrstuvwxyz 0123456789:/._-";
  std::mt19937_64 random(seed);
  std::string text(size, ' ');
  for (char& letter : text) {
    letter = letters[random() % (sizeof(letters) - 1)];
  }
  return text;
}

/// One query to send.
struct Request {
  schema::Mix mix;
  std::string target;
  std::string nonce;
  std::string home;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;  ///< additional HTTP headers
};

/// What came back for one attempt.
struct Response {
  int status = 0;                ///< HTTP status; 0: no response
  bool has_retry_after = false;  ///< the header Retry-After is there
  bool says_not_run = false;     ///< Finchlink-May-Have-Run: no
  std::string location;
  std::string text;
  bool stream = false;
  bool complete = false;         ///< the last event arrived
  bool ended = false;            ///< the body was read to its end
  bool numbers_in_order = true;  ///< event numbers are 1, 2, 3, ...
  double first_byte_seconds = 0;
};

/// Sends the request to `address` and reads the response until it ends or `until` has passed.
Response send_request(boost::asio::io_context& context, Request const& request, std::string const& address,
                      common::Moment until, common::Yield yield) {
  Response response;
  common::Moment const start_time = common::boot_now();
  absl::StatusOr<std::unique_ptr<common::Stream>> const connection =
      common::connect(context, address, common::seconds(2), yield);
  if (!connection.ok()) {
    return response;
  }
  common::Stream& stream = **connection;
  common::Request message{http::string_to_verb(request.mix.method), request.mix.path, 11};
  message.set(http::field::host, request.mix.host.empty() ? address : request.mix.host);
  message.set(http::field::content_type, "application/json");
  if (!request.home.empty()) {
    message.set("Finchlink-Home", request.home);
  }
  for (std::pair<std::string, std::string> const& header : request.headers) {
    message.set(header.first, header.second);
  }
  message.body() = request.body;
  message.keep_alive(false);
  message.prepare_payload();
  error_code error;
  stream.expires_after(common::duration(std::max<common::Span>(until - start_time, 1000)));
  http::async_write(stream, message, yield[error]);
  boost::beast::flat_buffer buffer;
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);
  http::async_read_header(stream, buffer, parser, yield[error]);
  if (error) {
    return response;
  }
  response.status = static_cast<int>(parser.get().result_int());
  response.has_retry_after = !parser.get()[http::field::retry_after].empty();
  response.says_not_run = parser.get()["Finchlink-May-Have-Run"] == "no";
  response.location = std::string(parser.get()[http::field::location]);
  response.stream = parser.get()[http::field::content_type].starts_with("text/event-stream");
  data_plane::EventReader reader(4);
  std::uint64_t expected = 1;
  while (!parser.is_done()) {
    char chunk[16384];
    parser.get().body().data = chunk;
    parser.get().body().size = sizeof(chunk);
    http::async_read_some(stream, buffer, parser, yield[error]);
    if (error && error != http::error::need_buffer) {
      return response;
    }
    std::string_view const bytes(chunk, sizeof(chunk) - parser.get().body().size);
    if (response.first_byte_seconds == 0) {
      response.first_byte_seconds = static_cast<double>(common::boot_now() - start_time) / 1e6;
    }
    if (!response.stream) {
      response.text.append(bytes);
      continue;
    }
    std::vector<data_plane::StreamEvent> events;
    (void)reader.feed(bytes, events);  // an error event has no number
    for (data_plane::StreamEvent const& event : events) {
      response.numbers_in_order = response.numbers_in_order && event.number == expected++ && !response.complete;
      response.complete = response.complete || event.last;
      response.text += event.text;
    }
  }
  response.ended = true;
  return response;
}

/// Classifies the outcome of a query, from its last response.
void record_outcome(Results& results, Request const& request, Response const& response, common::Moment start_time,
                    int redirects) {
  double const seconds = static_cast<double>(common::boot_now() - start_time) / 1e6;
  std::lock_guard<std::mutex> const guard(results.lock);
  MixCounts& counts = results.by_mix[request.mix.name];
  counts.redirects += static_cast<std::uint64_t>(redirects);
  bool succeeded = false;
  if (response.status == 200) {
    bool const owner = response.text.find(request.nonce) != std::string::npos;
    counts.wrong_number += response.numbers_in_order ? 0 : 1;
    if (!response.ended) {
      ++counts.interrupted;
    } else if (response.stream && !response.complete) {
      ++counts.undetected_incomplete;
    } else if (!owner) {
      ++counts.wrong_owner;
    } else {
      std::size_t const least_size = request.mix.plain ? 0 : static_cast<std::size_t>(request.mix.outputs);
      if (response.text.size() < least_size) {
        ++counts.undetected_incomplete;
      } else {
        succeeded = true;
        ++counts.succeeded;
        counts.first_byte_seconds.push_back(response.first_byte_seconds);
        counts.total_seconds.push_back(seconds);
      }
    }
  } else if (response.status == 503 || response.status == 429) {
    ++counts.rejected;
    counts.without_retry_after += response.has_retry_after ? 0 : 1;
    results.rejected.insert(request.nonce);
  } else if (response.status == 502 || response.status == 504) {
    ++counts.may_have_run;
  } else if (response.status == 0) {
    ++counts.unanswered;
  } else {
    ++counts.other_status;
  }
  std::pair<std::uint64_t, std::uint64_t>& second = results.by_second[start_time / 1000000];
  (succeeded ? second.first : second.second) += 1;
}

/// Picks the tenant of a query and adds the headers with the tenant and the prompt parts. All tenants send the same
/// parts; only the last part is unique to the query. The Finchlink-Standin-* headers tell fake workers the true tenant
/// and how many parts belong to no tenant, independently of what the relay derives.
void add_tenant_headers(Request& request, std::string const& run_id, std::uint64_t number, std::mt19937_64& random) {
  schema::Mix const& mix = request.mix;
  std::uint64_t const tenant_index = mix.in_turn ? number % mix.tenants : random() % mix.tenants;
  std::string const digits = std::to_string(mix.first_tenant + tenant_index);
  std::string const tenant = "tenant-" + std::string(6 - std::min<std::size_t>(6, digits.size()), '0') + digits;
  std::uint64_t tokens = 0;
  std::string parts;
  std::function<void(std::string const&, std::uint64_t)> const add_part = [&](std::string const& id,
                                                                              std::uint64_t count) {
    parts += (parts.empty() ? "" : ",") + id + ":" + std::to_string(count);
    tokens += count;
  };
  if (!mix.public_part.empty()) {
    add_part(mix.public_part, mix.public_tokens);
  }
  add_part("a" + std::to_string(random() % std::max<std::uint64_t>(1, mix.prefixes)), mix.prefix_bytes / 4);
  if (mix.endings > 0) {
    add_part("b" + std::to_string(random() % mix.endings), mix.ending_tokens);
  }
  std::stringstream own_id;
  own_id << "f" << std::hex << std::hash<std::string>()(run_id + mix.name) << number;
  add_part(own_id.str(), mix.own_tokens);
  request.headers = {{"Finchlink-Query", request.nonce},
                     {"Finchlink-Model", "m"},
                     {"Finchlink-Tokens", std::to_string(tokens) + "," + std::to_string(mix.outputs)},
                     {"Finchlink-Parts", parts},
                     {"Finchlink-Standin-Tenant", tenant},
                     {"Finchlink-Standin-Public", mix.public_part.empty() ? "0" : "1"}};
  if (!mix.tenant_header.empty()) {
    request.headers.emplace_back(mix.tenant_header, tenant);
  }
  std::size_t const placeholder = request.mix.path.find("{tenant}");
  if (placeholder != std::string::npos) {
    request.mix.path.replace(placeholder, std::string("{tenant}").size(), tenant);
  }
}

/// Sends one query, with retries (tenants) or redirects (others), and records its outcome.
void run_request(boost::asio::io_context& context, Results& results, Request const& request, std::string address,
                 std::vector<std::string> const& targets, common::Span deadline, common::Yield yield) {
  common::Moment const start_time = common::boot_now();
  Response response;
  int redirects = 0;
  // A tenant's client knows all proxies and tries another when one is unreachable or full.
  for (int attempt = 1; request.mix.tenants > 0 && attempt <= 3; ++attempt) {
    response = send_request(context, request, address, start_time + deadline, yield);
    if ((response.status != 0 && response.status != 503) || attempt == 3) {
      break;
    }
    common::pause(context, response.status == 503 ? common::milliseconds(300) : common::milliseconds(20), yield);
    address = targets[common::random_number() % targets.size()];
  }
  for (; request.mix.tenants == 0 && redirects < 3; ++redirects) {
    response = send_request(context, request, address, start_time + deadline, yield);
    if (response.status != 307 || response.location.rfind("http://", 0) != 0) {
      break;
    }
    std::string const rest = response.location.substr(7);
    address = rest.substr(0, rest.find('/'));
  }
  record_outcome(results, request, response, start_time, redirects);
  --results.open;
}

/// The value at `fraction` (0 to 1) of the sorted values, 0 if there are none; sorts them in place.
double percentile(std::vector<double>& values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

/// The outcomes as JSON. `ran_nonces`: nonces of the queries that ran, one per line, from the ledger of the fake
/// workers.
std::string to_json(Results& results, std::string const& ran_nonces) {
  std::lock_guard<std::mutex> const guard(results.lock);
  common::Tree object(cJSON_CreateObject());
  std::uint64_t rejected_but_ran = 0;
  std::stringstream lines(ran_nonces);
  std::string nonce;
  while (std::getline(lines, nonce)) {
    rejected_but_ran += results.rejected.count(nonce);
  }
  cJSON_AddNumberToObject(object.get(), "refused_but_ran", static_cast<double>(rejected_but_ran));
  std::uint64_t worst_gap = 0;
  std::uint64_t gap = 0;
  for (std::pair<std::int64_t const, std::pair<std::uint64_t, std::uint64_t>> const& second : results.by_second) {
    gap = second.second.first == 0 ? gap + 1 : 0;
    worst_gap = std::max(worst_gap, gap);
  }
  cJSON_AddNumberToObject(object.get(), "longest_seconds_without_a_good_answer", static_cast<double>(worst_gap));
  for (std::pair<std::string const, MixCounts>& entry : results.by_mix) {
    MixCounts& counts = entry.second;
    cJSON* const counts_object = cJSON_AddObjectToObject(object.get(), entry.first.c_str());
    std::vector<std::pair<char const*, std::uint64_t>> const numbers{
        {"sent", counts.sent},
        {"good", counts.succeeded},
        {"refused", counts.rejected},
        {"refused_without_retry_after", counts.without_retry_after},
        {"may_have_run", counts.may_have_run},
        {"unreached", counts.unanswered},
        {"broken", counts.interrupted},
        {"other", counts.other_status},
        {"wrong_owner", counts.wrong_owner},
        {"wrong_number", counts.wrong_number},
        {"cut_but_looked_whole", counts.undetected_incomplete},
        {"redirects", counts.redirects}};
    for (std::pair<char const*, std::uint64_t> const& number : numbers) {
      cJSON_AddNumberToObject(counts_object, number.first, static_cast<double>(number.second));
    }
    cJSON_AddNumberToObject(counts_object, "first_byte_p50_ms",
                            std::round(percentile(counts.first_byte_seconds, 0.5) * 10000) / 10);
    cJSON_AddNumberToObject(counts_object, "first_byte_p99_ms",
                            std::round(percentile(counts.first_byte_seconds, 0.99) * 10000) / 10);
    cJSON_AddNumberToObject(counts_object, "whole_p50_ms",
                            std::round(percentile(counts.total_seconds, 0.5) * 10000) / 10);
    cJSON_AddNumberToObject(counts_object, "whole_p99_ms",
                            std::round(percentile(counts.total_seconds, 0.99) * 10000) / 10);
  }
  return common::print_tree(object.get(), true);
}
}  // namespace

int main(int count, char** arguments) {
  if (count < 2 || count > 3 || std::string(arguments[1]) == "--help") {
    std::cerr << "gleaner FILE [SECONDS]   (a load run: see schema/standin.json)\n";
    return count == 2 ? 0 : common::exit_usage;
  }
  std::ifstream file(arguments[1]);
  std::stringstream content;
  content << file.rdbuf();
  absl::StatusOr<common::Tree> const tree = common::read_tree(content.str());
  schema::Harvest config;
  std::vector<common::Fault> faults;
  if (!tree.ok()) {
    std::cerr << "gleaner: " << arguments[1] << ": " << tree.status().message() << "\n";
    return common::exit_usage;
  }
  schema::read(tree->get(), "", config, faults);
  if (!faults.empty() || config.targets.empty()) {
    std::cerr << "gleaner: " << common::describe(faults) << "\n";
    return common::exit_usage;
  }
  if (count == 3) {
    config.seconds = std::atof(arguments[2]);
  }
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(static_cast<int>(config.threads));
  Results results;
  std::atomic<std::size_t> active_mixes = config.mixes.size();
  std::string const run_id = std::to_string(common::random_identity());
  common::Moment const run_started = common::boot_now();
  std::uint64_t seed = config.seed;
  for (schema::Mix const& mix : config.mixes) {
    common::start(context, [&, mix, mix_seed = ++seed](common::Yield yield) {
      std::mt19937_64 random(mix_seed);
      std::exponential_distribution<double> gap(std::max(0.001, mix.rate * config.scale));
      common::Moment next = common::boot_now();
      common::Moment const until = next + static_cast<common::Span>(config.seconds * 1e6);
      std::uint64_t number = 0;
      while (next < until) {
        next += static_cast<common::Span>(gap(random) * 1e6);
        common::Moment const now = common::boot_now();
        if (next > now) {
          common::pause(context, next - now, yield);
        }
        Request request;
        request.mix = mix;
        if (config.swing_seconds > 0 &&
            common::boot_now() - run_started > static_cast<common::Span>(config.swing_seconds * 1e6)) {
          std::swap(request.mix.outputs, request.mix.own_bytes);
        }
        request.nonce = run_id + "-" + mix.name + "-" + std::to_string(++number);
        request.home = mix.homes.empty() ? "" : mix.homes[random() % mix.homes.size()];
        std::uint64_t const prefix = mix.prefixes == 0 ? 0 : random() % mix.prefixes;
        if (mix.tenants > 0) {
          request.body = "{\"nonce\":\"" + request.nonce +
                         "\",\"repeatable\":true,\"outputs\":" + std::to_string(mix.outputs) + "}";
          add_tenant_headers(request, run_id, number - 1, random);
        } else if (mix.method == "GET") {
          request.mix.path += "?nonce=" + request.nonce;
        } else {
          request.body = "{\"prompt\":\"" + random_text(mix_seed * 1000003 + prefix, mix.prefix_bytes) +
                         random_text(random(), request.mix.own_bytes) + "\",\"nonce\":\"" + request.nonce +
                         "\",\"repeatable\":" + (mix.repeatable ? "true" : "false") +
                         ",\"outputs\":" + std::to_string(request.mix.outputs) +
                         (request.home.empty() ? "" : ",\"home\":\"" + request.home + "\"") + "}";
        }
        std::string const address = config.targets[random() % config.targets.size()];
        {
          std::lock_guard<std::mutex> const guard(results.lock);
          ++results.by_mix[mix.name].sent;
        }
        if (results.open >= static_cast<std::int64_t>(config.most_open)) {
          continue;
        }
        ++results.open;
        common::start(context, [&context, &results, &config, request, address](common::Yield inner) {
          run_request(context, results, request, address, config.targets,
                      common::milliseconds(static_cast<std::int64_t>(config.deadline_ms)), inner);
        });
      }
      --active_mixes;
    });
  }
  common::start(context, [&](common::Yield yield) {
    while (active_mixes > 0 || results.open > 0) {
      common::pause(context, common::milliseconds(50), yield);
    }
    std::string ran_nonces;
    if (!config.ledger.empty()) {
      common::Request message{http::verb::get, "/ledger/ran", 11};
      absl::StatusOr<common::Response> const answer =
          common::send_request(context, config.ledger, message, common::seconds(10), 1u << 30u, yield);
      if (!answer.ok()) {
        std::cerr << "gleaner: cannot read the ledger at " << config.ledger << ": " << answer.status().message()
                  << "\n";
      } else {
        ran_nonces = answer->body();
      }
    }
    std::cout << to_json(results, ran_nonces) << std::endl;
    context.stop();
  });
  std::vector<std::thread> threads;
  for (std::uint64_t index = 1; index < config.threads; ++index) {
    threads.emplace_back([&context] { context.run(); });
  }
  context.run();
  for (std::thread& thread : threads) {
    thread.join();
  }
  return 0;
}
