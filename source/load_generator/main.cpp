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

/// Stand-in callers: an open stream of queries by the mixes, each answer
/// checked for owner, completeness and numbering (docs/operating/standins.md).
namespace {
using namespace finchlink;
namespace http = common::http;
using boost::system::error_code;

struct Tally {
  std::uint64_t sent = 0;
  std::uint64_t good = 0;
  std::uint64_t refused = 0;       ///< 503 or 429: told that nothing ran
  std::uint64_t without_hint = 0;  ///< of these, without Retry-After
  std::uint64_t may_have_run = 0;
  std::uint64_t broken = 0;     ///< streams that ended with an error event or were cut
  std::uint64_t unreached = 0;  ///< no answer in any try
  std::uint64_t other = 0;
  std::uint64_t wrong_owner = 0;
  std::uint64_t wrong_number = 0;
  std::uint64_t looked_whole = 0;  ///< ended well but incomplete
  std::uint64_t redirects = 0;
  std::vector<double> first;
  std::vector<double> whole;
};

struct Book {
  std::mutex lock;
  std::map<std::string, Tally> tallies;
  std::set<std::string> refused;
  std::map<std::int64_t, std::pair<std::uint64_t, std::uint64_t>> by_second;  ///< good and not good
  std::atomic<std::int64_t> open = 0;
};

std::string filler(std::uint64_t seed, std::size_t size) {
  static char const letters[] = "abcdefghijklmnopqrstuvwxyz 0123456789:/._-";
  std::mt19937_64 random(seed);
  std::string text(size, ' ');
  for (char& letter : text) {
    letter = letters[random() % (sizeof(letters) - 1)];
  }
  return text;
}

struct Call {
  schema::Mix mix;
  std::string target;
  std::string nonce;
  std::string home;
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields;  ///< more of its header
};

struct Seen {
  int status = 0;
  bool hint = false;
  bool ran_no = false;
  std::string location;
  std::string text;
  bool stream = false;
  bool complete = false;
  bool ended = false;
  bool numbered = true;
  double first = 0;
};

Seen talk(boost::asio::io_context& context, Call const& call, std::string const& address, common::Moment until,
          common::Yield yield) {
  Seen seen;
  common::Moment const began = common::boot_now();
  absl::StatusOr<std::unique_ptr<common::Stream>> const connection =
      common::connect(context, address, common::seconds(2), yield);
  if (!connection.ok()) {
    return seen;
  }
  common::Stream& stream = **connection;
  common::Ask ask{http::string_to_verb(call.mix.method), call.mix.path, 11};
  ask.set(http::field::host, call.mix.host.empty() ? address : call.mix.host);
  ask.set(http::field::content_type, "application/json");
  if (!call.home.empty()) {
    ask.set("Finchlink-Home", call.home);
  }
  for (std::pair<std::string, std::string> const& field : call.fields) {
    ask.set(field.first, field.second);
  }
  ask.body() = call.body;
  ask.keep_alive(false);
  ask.prepare_payload();
  error_code error;
  stream.expires_after(common::duration(std::max<common::Span>(until - began, 1000)));
  http::async_write(stream, ask, yield[error]);
  boost::beast::flat_buffer buffer;
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);
  http::async_read_header(stream, buffer, parser, yield[error]);
  if (error) {
    return seen;
  }
  seen.status = static_cast<int>(parser.get().result_int());
  seen.hint = !parser.get()[http::field::retry_after].empty();
  seen.ran_no = parser.get()["Finchlink-May-Have-Run"] == "no";
  seen.location = std::string(parser.get()[http::field::location]);
  seen.stream = parser.get()[http::field::content_type].starts_with("text/event-stream");
  data_plane::EventReader reader(4);
  std::uint64_t expected = 1;
  while (!parser.is_done()) {
    char piece[16384];
    parser.get().body().data = piece;
    parser.get().body().size = sizeof(piece);
    http::async_read_some(stream, buffer, parser, yield[error]);
    if (error && error != http::error::need_buffer) {
      return seen;
    }
    std::string_view const bytes(piece, sizeof(piece) - parser.get().body().size);
    if (seen.first == 0) {
      seen.first = static_cast<double>(common::boot_now() - began) / 1e6;
    }
    if (!seen.stream) {
      seen.text.append(bytes);
      continue;
    }
    std::vector<data_plane::StreamEvent> events;
    (void)reader.feed(bytes, events);  // an error event has no number
    for (data_plane::StreamEvent const& event : events) {
      seen.numbered = seen.numbered && event.number == expected++ && !seen.complete;
      seen.complete = seen.complete || event.last;
      seen.text += event.text;
    }
  }
  seen.ended = true;
  return seen;
}

void judge(Book& book, Call const& call, Seen const& seen, common::Moment began, int redirects) {
  double const took = static_cast<double>(common::boot_now() - began) / 1e6;
  std::lock_guard<std::mutex> const guard(book.lock);
  Tally& tally = book.tallies[call.mix.name];
  tally.redirects += static_cast<std::uint64_t>(redirects);
  bool good = false;
  if (seen.status == 200) {
    bool const owner = seen.text.find(call.nonce) != std::string::npos;
    tally.wrong_number += seen.numbered ? 0 : 1;
    if (!seen.ended) {
      ++tally.broken;
    } else if (seen.stream && !seen.complete) {
      ++tally.looked_whole;
    } else if (!owner) {
      ++tally.wrong_owner;
    } else {
      std::size_t const least = call.mix.plain ? 0 : static_cast<std::size_t>(call.mix.outputs);
      if (seen.text.size() < least) {
        ++tally.looked_whole;
      } else {
        good = true;
        ++tally.good;
        tally.first.push_back(seen.first);
        tally.whole.push_back(took);
      }
    }
  } else if (seen.status == 503 || seen.status == 429) {
    ++tally.refused;
    tally.without_hint += seen.hint ? 0 : 1;
    book.refused.insert(call.nonce);
  } else if (seen.status == 502 || seen.status == 504) {
    ++tally.may_have_run;
  } else if (seen.status == 0) {
    ++tally.unreached;
  } else {
    ++tally.other;
  }
  std::pair<std::uint64_t, std::uint64_t>& second = book.by_second[began / 1000000];
  (good ? second.first : second.second) += 1;
}

/// Whose query it is, and its prompt in parts. All tenants send the same parts;
/// only the last is a query's own. Stand-in workers are told the true tenant,
/// and how many parts are truly nobody's, beside what the relay makes of it.
void name_tenant(Call& call, std::string const& run, std::uint64_t number, std::mt19937_64& random) {
  schema::Mix const& mix = call.mix;
  std::uint64_t const drawn = mix.in_turn ? number % mix.tenants : random() % mix.tenants;
  std::string const digits = std::to_string(mix.first_tenant + drawn);
  std::string const tenant = "tenant-" + std::string(6 - std::min<std::size_t>(6, digits.size()), '0') + digits;
  std::uint64_t tokens = 0;
  std::string parts;
  std::function<void(std::string const&, std::uint64_t)> const add = [&](std::string const& id, std::uint64_t count) {
    parts += (parts.empty() ? "" : ",") + id + ":" + std::to_string(count);
    tokens += count;
  };
  if (!mix.public_part.empty()) {
    add(mix.public_part, mix.public_tokens);
  }
  add("a" + std::to_string(random() % std::max<std::uint64_t>(1, mix.prefixes)), mix.prefix_bytes / 4);
  if (mix.endings > 0) {
    add("b" + std::to_string(random() % mix.endings), mix.ending_tokens);
  }
  std::stringstream own;
  own << "f" << std::hex << std::hash<std::string>()(run + mix.name) << number;
  add(own.str(), mix.own_tokens);
  call.fields = {{"Finchlink-Query", call.nonce},
                 {"Finchlink-Model", "m"},
                 {"Finchlink-Tokens", std::to_string(tokens) + "," + std::to_string(mix.outputs)},
                 {"Finchlink-Parts", parts},
                 {"Finchlink-Standin-Tenant", tenant},
                 {"Finchlink-Standin-Public", mix.public_part.empty() ? "0" : "1"}};
  if (!mix.tenant_header.empty()) {
    call.fields.emplace_back(mix.tenant_header, tenant);
  }
  std::size_t const place = call.mix.path.find("{tenant}");
  if (place != std::string::npos) {
    call.mix.path.replace(place, std::string("{tenant}").size(), tenant);
  }
}

void run_call(boost::asio::io_context& context, Book& book, Call const& call, std::string address,
              std::vector<std::string> const& others, common::Span deadline, common::Yield yield) {
  common::Moment const began = common::boot_now();
  Seen seen;
  int redirects = 0;
  // A tenant's caller knows all furrows and asks another when one is gone or full.
  for (int tries = 1; call.mix.tenants > 0 && tries <= 3; ++tries) {
    seen = talk(context, call, address, began + deadline, yield);
    if ((seen.status != 0 && seen.status != 503) || tries == 3) {
      break;
    }
    common::pause(context, seen.status == 503 ? common::milliseconds(300) : common::milliseconds(20), yield);
    address = others[common::random_number() % others.size()];
  }
  for (; call.mix.tenants == 0 && redirects < 3; ++redirects) {
    seen = talk(context, call, address, began + deadline, yield);
    if (seen.status != 307 || seen.location.rfind("http://", 0) != 0) {
      break;
    }
    std::string const rest = seen.location.substr(7);
    address = rest.substr(0, rest.find('/'));
  }
  judge(book, call, seen, began, redirects);
  --book.open;
}

double percentile(std::vector<double>& values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

std::string report(Book& book, std::string const& ran) {
  std::lock_guard<std::mutex> const guard(book.lock);
  common::Tree object(cJSON_CreateObject());
  std::uint64_t refused_ran = 0;
  std::stringstream lines(ran);
  std::string nonce;
  while (std::getline(lines, nonce)) {
    refused_ran += book.refused.count(nonce);
  }
  cJSON_AddNumberToObject(object.get(), "refused_but_ran", static_cast<double>(refused_ran));
  std::uint64_t worst_gap = 0;
  std::uint64_t gap = 0;
  for (std::pair<std::int64_t const, std::pair<std::uint64_t, std::uint64_t>> const& second : book.by_second) {
    gap = second.second.first == 0 ? gap + 1 : 0;
    worst_gap = std::max(worst_gap, gap);
  }
  cJSON_AddNumberToObject(object.get(), "longest_seconds_without_a_good_answer", static_cast<double>(worst_gap));
  for (std::pair<std::string const, Tally>& entry : book.tallies) {
    Tally& tally = entry.second;
    cJSON* const part = cJSON_AddObjectToObject(object.get(), entry.first.c_str());
    std::vector<std::pair<char const*, std::uint64_t>> const numbers{
        {"sent", tally.sent},
        {"good", tally.good},
        {"refused", tally.refused},
        {"refused_without_retry_after", tally.without_hint},
        {"may_have_run", tally.may_have_run},
        {"unreached", tally.unreached},
        {"broken", tally.broken},
        {"other", tally.other},
        {"wrong_owner", tally.wrong_owner},
        {"wrong_number", tally.wrong_number},
        {"cut_but_looked_whole", tally.looked_whole},
        {"redirects", tally.redirects}};
    for (std::pair<char const*, std::uint64_t> const& number : numbers) {
      cJSON_AddNumberToObject(part, number.first, static_cast<double>(number.second));
    }
    cJSON_AddNumberToObject(part, "first_byte_p50_ms", std::round(percentile(tally.first, 0.5) * 10000) / 10);
    cJSON_AddNumberToObject(part, "first_byte_p99_ms", std::round(percentile(tally.first, 0.99) * 10000) / 10);
    cJSON_AddNumberToObject(part, "whole_p50_ms", std::round(percentile(tally.whole, 0.5) * 10000) / 10);
    cJSON_AddNumberToObject(part, "whole_p99_ms", std::round(percentile(tally.whole, 0.99) * 10000) / 10);
  }
  return common::print_tree(object.get(), true);
}
}  // namespace

int main(int count, char** values) {
  if (count < 2 || count > 3 || std::string(values[1]) == "--help") {
    std::cerr << "gleaner FILE [SECONDS]   (a harvest: see schema/standin.json)\n";
    return count == 2 ? 0 : common::exit_usage;
  }
  std::ifstream file(values[1]);
  std::stringstream content;
  content << file.rdbuf();
  absl::StatusOr<common::Tree> const tree = common::read_tree(content.str());
  schema::Harvest harvest;
  std::vector<common::Fault> faults;
  if (!tree.ok()) {
    std::cerr << "gleaner: " << values[1] << ": " << tree.status().message() << "\n";
    return common::exit_usage;
  }
  schema::read(tree->get(), "", harvest, faults);
  if (!faults.empty() || harvest.targets.empty()) {
    std::cerr << "gleaner: " << common::describe(faults) << "\n";
    return common::exit_usage;
  }
  if (count == 3) {
    harvest.seconds = std::atof(values[2]);
  }
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(static_cast<int>(harvest.threads));
  Book book;
  std::atomic<std::size_t> mixes_left = harvest.mixes.size();
  std::string const run = std::to_string(common::random_identity());
  common::Moment const start_of_run = common::boot_now();
  std::uint64_t seed = harvest.seed;
  for (schema::Mix const& mix : harvest.mixes) {
    common::start(context, [&, mix, mix_seed = ++seed](common::Yield yield) {
      std::mt19937_64 random(mix_seed);
      std::exponential_distribution<double> gap(std::max(0.001, mix.rate * harvest.scale));
      common::Moment next = common::boot_now();
      common::Moment const until = next + static_cast<common::Span>(harvest.seconds * 1e6);
      std::uint64_t number = 0;
      while (next < until) {
        next += static_cast<common::Span>(gap(random) * 1e6);
        common::Moment const now = common::boot_now();
        if (next > now) {
          common::pause(context, next - now, yield);
        }
        Call call;
        call.mix = mix;
        if (harvest.swing_seconds > 0 &&
            common::boot_now() - start_of_run > static_cast<common::Span>(harvest.swing_seconds * 1e6)) {
          std::swap(call.mix.outputs, call.mix.own_bytes);
        }
        call.nonce = run + "-" + mix.name + "-" + std::to_string(++number);
        call.home = mix.homes.empty() ? "" : mix.homes[random() % mix.homes.size()];
        std::uint64_t const prefix = mix.prefixes == 0 ? 0 : random() % mix.prefixes;
        if (mix.tenants > 0) {
          call.body =
              "{\"nonce\":\"" + call.nonce + "\",\"repeatable\":true,\"outputs\":" + std::to_string(mix.outputs) + "}";
          name_tenant(call, run, number - 1, random);
        } else if (mix.method == "GET") {
          call.mix.path += "?nonce=" + call.nonce;
        } else {
          call.body = "{\"prompt\":\"" + filler(mix_seed * 1000003 + prefix, mix.prefix_bytes) +
                      filler(random(), call.mix.own_bytes) + "\",\"nonce\":\"" + call.nonce +
                      "\",\"repeatable\":" + (mix.repeatable ? "true" : "false") +
                      ",\"outputs\":" + std::to_string(call.mix.outputs) +
                      (call.home.empty() ? "" : ",\"home\":\"" + call.home + "\"") + "}";
        }
        std::string const address = harvest.targets[random() % harvest.targets.size()];
        {
          std::lock_guard<std::mutex> const guard(book.lock);
          ++book.tallies[mix.name].sent;
        }
        if (book.open >= static_cast<std::int64_t>(harvest.most_open)) {
          continue;
        }
        ++book.open;
        common::start(context, [&context, &book, &harvest, call, address](common::Yield inner) {
          run_call(context, book, call, address, harvest.targets,
                   common::milliseconds(static_cast<std::int64_t>(harvest.deadline_ms)), inner);
        });
      }
      --mixes_left;
    });
  }
  common::start(context, [&](common::Yield yield) {
    while (mixes_left > 0 || book.open > 0) {
      common::pause(context, common::milliseconds(50), yield);
    }
    std::string ran;
    if (!harvest.ledger.empty()) {
      common::Ask ask{http::verb::get, "/ledger/ran", 11};
      absl::StatusOr<common::Answer> const answer =
          common::ask_once(context, harvest.ledger, ask, common::seconds(10), 1u << 30u, yield);
      if (!answer.ok()) {
        std::cerr << "gleaner: the ledger can't be read: " << answer.status().message() << "\n";
      } else {
        ran = answer->body();
      }
    }
    std::cout << report(book, ran) << std::endl;
    context.stop();
  });
  std::vector<std::thread> threads;
  for (std::uint64_t index = 1; index < harvest.threads; ++index) {
    threads.emplace_back([&context] { context.run(); });
  }
  context.run();
  for (std::thread& thread : threads) {
    thread.join();
  }
  return 0;
}
