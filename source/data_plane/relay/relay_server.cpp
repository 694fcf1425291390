#include "data_plane/relay/relay_server.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/context/fixedsize_stack.hpp>
#include <cstring>
#include <sstream>

#include "common/invariant/invariant.hpp"
#include "common/json/tree.hpp"
#include "common/log/log.hpp"
#include "common/prompt_isolation_constants.hpp"
#include "common/random/random.hpp"
#include "common/relay_constants.hpp"
#include "config/evacuation/proposal.hpp"
#include "config/routing/proposal.hpp"
#include "consensus/ballot/ballot.hpp"
#include "data_plane/relay/adopted_checks.hpp"
#include "data_plane/relay/prompt_isolation.hpp"
#include "scheduling/scaler/pools.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;
namespace http = boost::beast::http;
using boost::system::error_code;

void start_small(asio::io_context& context, std::function<void(common::Yield)> body) {
  asio::spawn(
      context, std::allocator_arg, boost::context::fixedsize_stack(constants::relay_stack),
      [body = std::move(body)](common::Yield yield) { body(yield); },
      [](std::exception_ptr error) {
        if (error) {
          std::rethrow_exception(error);
        }
      });
}

void Alarm::set(common::Moment due) {
  due_ = due;
  if (armed_for_ == 0 || due_ < armed_for_) {
    arm();
  }
}

void Alarm::stop() {
  over_ = true;
  timer_.cancel();
}

void Alarm::arm() {
  armed_for_ = due_;
  timer_.expires_after(common::duration(std::max<common::Span>(due_ - common::boot_now(), 0)));
  timer_.async_wait([self = shared_from_this()](error_code const& error) {
    if (error || self->over_) {
      return;
    }
    self->armed_for_ = 0;
    if (common::boot_now() < self->due_) {
      self->arm();
    } else {
      self->ring_();
    }
  });
}

std::string Tally::print() const {
  std::stringstream text;
  text << "# TYPE relay_queries_total counter\n";
  for (std::pair<std::string const, std::uint64_t> const& entry : outcomes) {
    text << "relay_queries_total{outcome=\"" << entry.first << "\"} " << entry.second << "\n";
  }
  text << "relay_retries_total " << retries << "\nrelay_resumed_total " << resumed << "\nrelay_connects_total "
       << connects << "\nrelay_probes_total " << probes << "\nrelay_dispatches_total " << dispatches << "\n";
  return text.str();
}

Station::Station(asio::io_context& context, schema::Settings const& settings, Dialect dialect,
                 config::Notation notation, ListReader list_reader, std::uint64_t identity)
    : context_(context),
      settings_(settings),
      dialect_(std::move(dialect)),
      notation_(std::move(notation)),
      list_reader_(std::move(list_reader)),
      identity_(identity),
      caller_(context),
      contents_(context, caller_),
      trellises_(settings.seeds) {}

absl::Status Station::begin() {
  begun_at_ = common::boot_now();
  absl::StatusOr<scheduling::Mechanisms> const mechanisms = scheduling::mechanisms_without(settings_.without);
  if (!mechanisms.ok()) {
    return mechanisms.status();
  }
  mechanisms_ = *mechanisms;
  grove_ = scheduling::Grove(mechanisms_.grove);
  absl::Status status = listen(
      settings_.http_address,
      [this](std::shared_ptr<Socket> const& socket, common::Yield yield) { serve_caller(*this, socket, yield); });
  for (std::string const& address : {settings_.ready_address, settings_.directory_address}) {
    if (status.ok() && !address.empty()) {
      status = listen(
          address, [this](std::shared_ptr<Socket> const& socket, common::Yield yield) { serve_small(socket, yield); });
    }
  }
  if (!status.ok()) {
    return status;
  }
  start_small(context_, [this](common::Yield yield) { ask_news(yield); });
  start_small(context_, [this](common::Yield yield) { read_own_list(yield); });
  if (!settings_.secrets_file.empty()) {
    start_small(context_, [this](common::Yield yield) { follow_secrets(yield); });
  }
  return absl::OkStatus();
}

absl::Status Station::listen(std::string const& address,
                             std::function<void(std::shared_ptr<Socket>, common::Yield)> session) {
  absl::StatusOr<common::Endpoint> endpoint = common::read_endpoint(address);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  *endpoint = common::own_endpoint(*endpoint);
  std::shared_ptr<Acceptor> const held = std::make_shared<Acceptor>(Acceptor{asio::ip::tcp::acceptor(context_)});
  error_code error;
  held->acceptor.open(endpoint->protocol(), error);
  if (!error) {
    held->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    held->acceptor.bind(*endpoint, error);
  }
  if (!error) {
    held->acceptor.listen(1024, error);
  }
  if (error) {
    return absl::UnavailableError("relay: " + address + ": " + error.message());
  }
  acceptors_.push_back(held);
  start_small(context_, [this, held, session](common::Yield yield) {
    while (held->acceptor.is_open()) {
      std::shared_ptr<Socket> const socket = std::make_shared<Socket>(context_);
      error_code defect;
      held->acceptor.async_accept(*socket, yield[defect]);
      if (defect) {
        if (!held->acceptor.is_open() || defect == asio::error::operation_aborted) {
          return;
        }
        common::pause(context_, common::milliseconds(20), yield);
        continue;
      }
      error_code ignored;
      socket->set_option(asio::ip::tcp::no_delay(true), ignored);
      start_small(context_, [socket, session](common::Yield inner) {
        session(socket, inner);
        error_code closing;
        socket->close(closing);
      });
    }
  });
  return absl::OkStatus();
}

scheduling::Rights& Station::rights(std::string const& service) {
  scheduling::Rights& rights = rights_[service];
  rights.bound(settings_.bounds.retry_ratio, settings_.bounds.retry_slack,
               static_cast<double>(std::max<std::size_t>(1, census_.furrows(common::boot_now()).size())));
  return rights;
}

std::unique_ptr<Socket> Station::kept(std::string const& worker) {
  std::map<std::string, std::deque<Kept>>::iterator const found = kept_.find(worker);
  if (found == kept_.end()) {
    return nullptr;
  }
  common::Moment const now = common::boot_now();
  while (!found->second.empty()) {
    Kept entry = std::move(found->second.back());
    found->second.pop_back();
    if (now >= entry.until) {
      continue;
    }
    char byte = 0;
    ssize_t const count = recv(entry.socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return std::move(entry.socket);  // neither closed nor bytes that nobody asked for
    }
  }
  return nullptr;
}

void Station::keep(std::string const& worker, std::unique_ptr<Socket> socket, common::Span longest) {
  std::deque<Kept>& idle = kept_[worker];
  common::Moment const now = common::boot_now();
  while (!idle.empty() && (idle.size() >= constants::worker_idle_most || now >= idle.front().until)) {
    idle.pop_front();
  }
  idle.push_back(Kept{std::move(socket), now + std::min(longest, constants::worker_idle)});
}

void Station::drain() {
  draining_ = true;
  leaving_since_ = common::boot_now();
  start_small(context_, [this](common::Yield yield) {
    schema::NewsAsk const asked = ask({});
    // A copy: news that come meanwhile replace the list that is walked here.
    std::vector<std::string> const told = trellises_;
    for (std::size_t index = 0; index < std::min(constants::lost_asks, told.size()); ++index) {
      if (caller_
              .call(told[index], asked,
                    common::milliseconds(static_cast<std::int64_t>(settings_.bounds.ask_deadline_ms)), yield)
              .ok()) {
        break;
      }
    }
  });
}

bool Station::busy() const {
  common::Moment const now = common::boot_now();
  common::Span const grace = common::milliseconds(static_cast<std::int64_t>(settings_.bounds.grace_ms));
  if (now - leaving_since_ < std::min(constants::leave_linger, grace / 2)) {
    return true;
  }
  for (std::shared_ptr<Acceptor> const& held : acceptors_) {
    error_code ignored;
    held->acceptor.close(ignored);
  }
  return open_ > 0 && now - leaving_since_ < grace - constants::leave_reserve;
}

schema::Member Station::self() const {
  schema::Member member;
  member.name = settings_.name;
  member.incarnation = identity_;
  member.hall = settings_.hall;
  member.address = settings_.http_address;
  member.held = vouch_.held();
  member.ready = ready();
  return member;
}

schema::NewsAsk Station::ask(std::vector<schema::FurrowReport> reports) const {
  return schema::NewsAsk{self(), 0, list_.digest(), members_.digest(), std::move(reports)};
}

void Station::ask_news(common::Yield yield) {
  std::size_t turn = common::random_number() % std::max<std::size_t>(1, trellises_.size());
  while (true) {
    common::Moment const asked = common::boot_now();
    bool const was_ready = ready();
    schema::NewsAsk const query = ask(reports(asked));
    std::string from;
    common::Span const patience = common::milliseconds(static_cast<std::int64_t>(settings_.bounds.ask_deadline_ms));
    if (lost_) {
      // Some may be down, and say nothing: a few are asked, the first who is sure
      // counts. More would each send the whole charter to a furrow without one.
      std::vector<std::pair<std::string, schema::Message>> calls;
      for (std::size_t index = 0; index < std::min(constants::lost_asks, trellises_.size()); ++index) {
        calls.emplace_back(trellises_[(turn + index) % trellises_.size()], query);
      }
      turn += 1;
      common::Gather::run(
          context_, caller_, calls, std::min(patience, lost_patience),
          [&](std::size_t index, absl::StatusOr<schema::Message> const& answer) {
            schema::NewsAnswer const* const news = answer.ok() ? std::get_if<schema::NewsAnswer>(&*answer) : nullptr;
            if (news == nullptr) {
              return false;
            }
            take(contents_.completed(*news, calls[index].first), asked);
            if (!news->vouched) {
              know_more_trellises(news->colleagues);
              return false;
            }
            from = calls[index].first;
            heard_from(*news);
            return true;
          },
          yield, constants::ask_retry);
    } else {
      std::string const address = trellises_[turn % trellises_.size()];
      absl::StatusOr<schema::Message> const answer = caller_.call(address, query, patience, yield);
      schema::NewsAnswer const* const news = answer.ok() ? std::get_if<schema::NewsAnswer>(&*answer) : nullptr;
      if (news != nullptr) {
        take(contents_.completed(*news, address), asked);
      }
      if (news != nullptr && news->vouched) {
        from = address;
        heard_from(*news);
      } else if (news != nullptr) {
        know_more_trellises(news->colleagues);
      }
    }
    lost_ = from.empty();
    common::Span const spent = common::boot_now() - asked;
    if (lost_) {
      turn += 1;
      if (spent < constants::ask_retry) {
        common::pause(context_, constants::ask_retry, yield);
      }
      continue;
    }
    turn = static_cast<std::size_t>(std::find(trellises_.begin(), trellises_.end(), from) - trellises_.begin());
    if (ready() == was_ready && spent < constants::ask_least) {
      common::pause(context_, constants::ask_least - spent, yield);
    }
  }
}

void Station::heard_from(schema::NewsAnswer const& news) {
  heard_ = true;
  heard_at_ = common::boot_now();
  know_trellises(news.colleagues);
}

void Station::know_trellises(std::vector<std::string> const& told) {
  std::vector<std::string> known;
  for (std::vector<std::string> const* const addresses :
       std::initializer_list<std::vector<std::string> const*>{&told, &settings_.seeds}) {
    for (std::string const& address : *addresses) {
      if (!address.empty() && std::find(known.begin(), known.end(), address) == known.end()) {
        known.push_back(address);
      }
    }
  }
  trellises_ = std::move(known);
}

void Station::know_more_trellises(std::vector<std::string> const& told) {
  for (std::string const& address : told) {
    if (!address.empty() && std::find(trellises_.begin(), trellises_.end(), address) == trellises_.end()) {
      trellises_.push_back(address);
    }
  }
}

void Station::renew(schema::Settings const& settings) {
  // In touch, the order as told stays; out of touch the new seeds come first.
  std::vector<std::string> known = lost_ ? settings.seeds : trellises_;
  known.insert(known.end(), trellises_.begin(), trellises_.end());
  settings_ = settings;
  know_trellises(known);
}

void Station::read_own_list(common::Yield yield) {
  while (true) {
    common::pause(context_, constants::own_list_after / 4, yield);
    common::Moment const now = common::boot_now();
    if (list_reader_ == nullptr || book_ == nullptr ||
        now - std::max(list_.as_of(), heard_at_) < constants::own_list_after) {
      continue;
    }
    // No trellis tells of workers: one look of its own, spread over the furrows.
    common::pause(
        context_,
        static_cast<common::Span>(common::random_number() % static_cast<std::uint64_t>(constants::own_list_after)),
        yield);
    common::Moment const asked = common::boot_now();
    if (asked - std::max(list_.as_of(), heard_at_) < constants::own_list_after) {
      continue;
    }
    absl::StatusOr<schema::PlatformList> const list = list_reader_(settings_.platform_address, yield);
    if (list.ok()) {
      list_.put(*list, asked);
      take_list();
      settle();
    }
  }
}

void Station::take(schema::NewsAnswer const& answer, common::Moment asked) {
  report_ms_ = answer.report_ms;
  while (!reports_.empty() && reports_.front().slice <= answer.reports_taken) {
    reports_.pop_front();
  }
  bool changed = false;
  for (schema::NamedValue const& news : vouch_.take(answer, asked, common::boot_now())) {
    changed = true;
    if (news.name == config::charter_register) {
      take_charter(news);
      common::note(common::Event::RevisionAdopted, "charter revision " + std::to_string(news.revision));
    } else if (news.name == config::evacuated_register) {
      check_evacuations(news);
      std::vector<std::string> const zones = config::evacuated_zones(news.content);
      evacuated_ = decltype(evacuated_)(zones.begin(), zones.end());
      common::note(common::Event::RevisionAdopted, "evacuated " + news.content);
    } else if (news.name.rfind(consensus::split_prefix, 0) == 0) {
      take_split(news);
    }
  }
  if (members_.take(answer)) {
    std::vector<std::string> names;
    for (schema::Member const& member : members_.members()) {
      names.push_back(member.name);
    }
    census_.told(names, common::boot_now());
    changed = true;
  }
  if (list_.take(membership::list_news(answer), answer.list_age, asked)) {
    take_list();
    changed = true;
  }
  if (changed) {
    settle();
  }
}

void Station::take_charter(schema::NamedValue const& news) {
  config::CharterReading reading = notation_.read(news.content);
  check_charter(news, reading);
  if (!reading.good()) {
    return;  // the one before stays
  }
  book_ = std::make_shared<scheduling::LaneBook const>(std::move(reading.charter));
  check_routes(news.revision, *book_);
}

void Station::take_split(schema::NamedValue const& news) {
  absl::StatusOr<schema::Split> split = scheduling::read_split(news.content);
  if (!split.ok()) {
    return;  // the one before stays: it is whole
  }
  splits_[news.name.substr(std::strlen(consensus::split_prefix))] = std::move(*split);
  std::set<std::string> frozen;
  for (std::pair<std::string const, schema::Split> const& entry : splits_) {
    if (entry.second.frozen) {
      frozen.insert(entry.first);
    }
  }
  observer_.freeze(std::move(frozen));
  common::note(common::Event::RevisionAdopted, news.name + " revision " + std::to_string(news.revision));
}

std::string Station::phase_of(schema::WorkerEntry const& entry, std::string const& region) const {
  if (!entry.phase.empty()) {
    return entry.phase;
  }
  std::map<std::string, schema::Split>::const_iterator const split =
      splits_.find(scheduling::pool_name(region, entry.service));
  if (split == splits_.end() || split->second.phases.empty()) {
    return "";
  }
  std::map<std::string, std::string>::const_iterator const phase = split->second.phases.find(entry.id);
  return phase == split->second.phases.end() ? "both" : phase->second;
}

std::vector<schema::FurrowReport> Station::reports(common::Moment now) {
  if (report_ms_ == 0) {
    reports_.clear();
    return {};
  }
  schema::FurrowReport report;
  if (now - reported_at_ >= common::milliseconds(static_cast<std::int64_t>(report_ms_)) &&
      observer_.take(report_slice_ + 1, now - reported_at_, report)) {
    ++report_slice_;
    reported_at_ = now;
    reports_.push_back(std::move(report));
    if (reports_.size() > constants::reports_most) {
      reports_.pop_front();  // figures only; what is lost is not made up
    }
  }
  return {reports_.begin(), reports_.end()};
}

void Station::saw(scheduling::Sighting sighting, scheduling::Spot const& spot, scheduling::Wanted const& wanted) {
  if (report_ms_ == 0) {
    return;
  }
  common::Moment const now = common::boot_now();
  sighting.worker = spot.worker;
  sighting.pool = grove_.pool_of(spot.worker);
  sighting.long_prompt = wanted.tokens >= constants::owned_tokens;
  sighting.alone = spot.alone;
  sighting.sure = spot.sure;
  sighting.uncached = spot.uncached;
  sighting.cached = std::max(0.0, wanted.tokens - spot.uncached);
  sighting.running = (spot.running + 1 + grove_.running_on(spot.worker, now)) / 2;
  std::size_t const slash = sighting.pool.find('/');
  schema::Service const* const service =
      book_ == nullptr || slash == std::string::npos ? nullptr : book_->service(sighting.pool.substr(slash + 1));
  observer_.saw(sighting, service == nullptr ? 1 : static_cast<double>(service->stride),
                schema::ScalerAims().experts_share);
}

void Station::take_list() {
  std::map<std::string, common::Moment> cold;
  for (schema::WorkerEntry const& entry : list_.list().workers) {
    if (entry.cold_ms > 0) {
      cold[entry.id] = common::boot_now() + common::milliseconds(static_cast<std::int64_t>(entry.cold_ms));
    }
  }
  cold_until_.swap(cold);
}

void Station::settle() {
  if (book_ == nullptr) {
    return;
  }
  std::vector<scheduling::Stand> stands;
  std::set<std::string> listed;
  for (schema::WorkerEntry const& entry : list_.list().workers) {
    schema::Service const* const service = book_->service(entry.service);
    if (service == nullptr) {
      continue;
    }
    listed.insert(entry.id);
    scheduling::Stand stand;
    stand.id = entry.id;
    stand.address = entry.address;
    stand.service = entry.service;
    stand.hall = entry.zone;
    std::map<std::string, std::string>::const_iterator const region = settings_.regions.find(entry.zone);
    stand.region = region == settings_.regions.end() ? "" : region->second;
    stand.model = service->model;
    stand.phase = stand.model ? phase_of(entry, stand.region) : "";
    stand.draining = entry.draining;
    stand.evacuated = evacuated_.count(entry.zone) > 0;
    stand.capacity = std::max<std::uint64_t>(1, entry.capacity);
    stand.connections = service->connections;
    stand.cold_rate = service->cold_rate;
    stand.kept_tokens = static_cast<double>(service->kept_tokens);
    std::map<std::string, common::Moment>::const_iterator const cold = cold_until_.find(entry.id);
    stand.cold_until = cold == cold_until_.end() ? 0 : cold->second;
    stands.push_back(std::move(stand));
  }
  scheduling::GroveTerms terms;
  terms.hall = settings_.hall;
  terms.region = settings_.region;
  terms.self = settings_.name;
  terms.cold_overshoot = settings_.bounds.cold_overshoot;
  terms.cold_slack = settings_.bounds.cold_slack;
  terms.claims = book_->claims();
  terms.keep_long_apart = constants::keep_long_apart;
  terms.furrows = census_.furrows(common::boot_now());
  if (terms.furrows.empty()) {
    terms.furrows.push_back(settings_.name);
  }
  grove_.update(stands, terms, common::boot_now());
  walls_.keep_only([&listed](std::string const& worker) { return listed.count(worker) > 0; });
  std::erase_if(kept_, [&listed](std::pair<std::string const, std::deque<Kept>> const& entry) {
    return listed.count(entry.first) == 0;
  });
}

std::string Station::directory(std::string const& hall, std::string const& region) {
  std::vector<std::string> same_hall;
  std::vector<std::string> same_region;
  std::vector<std::string> others;
  bool self_there = false;
  for (schema::Member const& member : members_.members()) {
    bool const own = member.name == settings_.name;
    self_there = self_there || own;
    if ((own && !ready()) || (!own && !member.ready)) {
      continue;
    }
    std::map<std::string, std::string>::const_iterator const found = settings_.regions.find(member.hall);
    bool const here = found != settings_.regions.end() && found->second == region;
    (member.hall == hall ? same_hall : here ? same_region : others).push_back(member.address);
  }
  if (!self_there && ready()) {
    (settings_.hall == hall       ? same_hall
     : settings_.region == region ? same_region
                                  : others)
        .push_back(settings_.http_address);
  }
  std::vector<std::string> addresses = same_hall;
  if (addresses.size() < constants::directory_least) {
    addresses.insert(addresses.end(), same_region.begin(), same_region.end());
  }
  if (addresses.empty()) {
    addresses = others;
  }
  if (addresses.size() > constants::directory_most) {
    addresses.resize(constants::directory_most);
  }
  return dialect_.print_directory(addresses, static_cast<double>(settings_.bounds.directory_ttl_ms) / 1000);
}

void Station::serve_small(std::shared_ptr<Socket> const& socket, common::Yield yield) {
  boost::beast::flat_buffer buffer;
  std::shared_ptr<Alarm> const alarm = std::make_shared<Alarm>(context_, [socket] {
    error_code ignored;
    socket->close(ignored);
  });
  while (true) {
    alarm->set(common::boot_now() + constants::caller_idle);
    error_code error;
    http::request_parser<http::empty_body> parser;
    parser.header_limit(constants::header_limit);
    http::async_read(*socket, buffer, parser, yield[error]);
    if (error) {
      break;
    }
    std::string const target(parser.get().target());
    std::string const path = target.substr(0, target.find('?'));
    std::string status = "404 Not Found";
    std::string body = "{\"error\":\"unknown_path\"}";
    if (path == dialect_.ready_path) {
      status = ready() ? "200 OK" : "503 Service Unavailable";
      body = ready() ? "{\"ready\":true}" : "{\"ready\":false}";
    } else if (path == dialect_.directory_path) {
      std::map<std::string, std::string> query;
      std::stringstream words(target.size() > path.size() ? target.substr(path.size() + 1) : "");
      std::string word;
      while (std::getline(words, word, '&')) {
        std::size_t const equals = word.find('=');
        query[word.substr(0, equals)] = equals == std::string::npos ? "" : word.substr(equals + 1);
      }
      status = "200 OK";
      body = directory(query["zone"], query["region"]);
    } else if (path == "/-/metrics") {
      status = "200 OK";
      body = tally_.print() + print_wall_metrics(walls_) + common::invariant_metrics();
    } else if (path == "/-/tenants") {
      status = "200 OK";
      body = print_tenants(walls_);
    }
    bool const again = parser.get().keep_alive() && !draining_;
    std::string const text = "HTTP/1.1 " + status +
                             "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                             (again ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n") +
                             (parser.get().method() == http::verb::head ? "" : body);
    asio::async_write(*socket, asio::buffer(text), yield[error]);
    if (error || !again) {
      break;
    }
  }
  alarm->stop();
}

}  // namespace finchlink::data_plane
