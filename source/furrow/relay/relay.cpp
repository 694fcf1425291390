#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <limits>

#include "furrow/relay/event_cutter.hpp"
#include "furrow/relay/station.hpp"
#include "furrow/relay/walls.hpp"
#include "loam/log/log.hpp"
#include "loam/random/random.hpp"
#include "loam/relay_constants.hpp"
#include "loam/wall_constants.hpp"
#include "tilth/chart/chart.hpp"
#include "tilth/chart/first_hold.hpp"
#include "tilth/wall/tenant.hpp"

namespace finchlink::furrow {

namespace asio = boost::asio;
namespace constants = loam::constants;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

double draw() {
  return static_cast<double>(loam::random_number() % 1000000) / 1e6;
}

/// Some servers take "_" in a field's name for "-".
char folded(char letter) {
  return letter == '_' ? '-' : static_cast<char>(letter >= 'A' && letter <= 'Z' ? letter - 'A' + 'a' : letter);
}
bool same_name(std::string_view one, std::string_view other) {
  return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                    [](char left, char right) { return folded(left) == folded(right); });
}

/// Headers that concern one connection only are not passed on.
bool of_connection(std::string_view name) {
  static constexpr std::string_view names[] = {"connection", "keep-alive", "proxy-connection",
                                               "te",         "trailer",    "transfer-encoding",
                                               "upgrade",    "expect",     "content-length"};
  for (std::string_view const entry : names) {
    if (boost::beast::iequals({name.data(), name.size()}, {entry.data(), entry.size()})) {
      return true;
    }
  }
  return false;
}

template <class Fields>
void copy_fields(Fields const& fields, std::string const& connection, std::vector<std::string_view> const& replaced,
                 std::string& text) {
  for (typename Fields::value_type const& field : fields) {
    std::string_view const name(field.name_string().data(), field.name_string().size());
    bool left_out = of_connection(name);
    for (std::string_view const entry : replaced) {
      left_out = left_out || same_name(name, entry);
    }
    if (!left_out && !connection.empty()) {
      left_out = http::token_list(connection).exists(field.name_string());
    }
    if (!left_out) {
      text.append(name).append(": ").append(field.value().data(), field.value().size()).append("\r\n");
    }
  }
}

constexpr std::uint64_t not_natural = std::numeric_limits<std::uint64_t>::max();

std::string_view view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

struct Query {
  http::request_header<> header;
  std::string body;
  bool had_length = false;
  bool keep = true;
  loam::Moment arrived = 0;
};

/// One query on its way to workers and back (section 13.8).
class Relay {
 public:
  Relay(Station& station, Query& query, schema::Lane const& lane, Socket& caller,
        std::shared_ptr<tilth::LaneBook const> book, loam::Yield yield)
      : station_(station),
        query_(query),
        book_(std::move(book)),
        lane_(lane),
        caller_(caller),
        yield_(yield),
        bare_(query.header.method() == http::verb::head),
        id_(view(query.header[station.dialect().query])),
        deadline_(query.arrived + loam::milliseconds(static_cast<std::int64_t>(lane.deadline_ms))),
        chart_(terms(lane), [this](loam::Moment) { return may_spend(true); }) {
    std::string_view const left = view(query.header[station.dialect().left]);
    if (!left.empty()) {
      deadline_ = std::min(deadline_, query.arrived + loam::milliseconds(static_cast<std::int64_t>(
                                                          std::min<std::uint64_t>(natural(left, 86400000), 86400000))));
    }
    std::uint64_t const behind = natural(view(query.header[station.dialect().last_event]), not_natural);
    numbering_ = Numbering(behind == not_natural ? std::nullopt : std::optional<std::uint64_t>(behind));
    std::string_view const tokens = view(query.header[station.dialect().tokens]);
    wanted_.tokens = static_cast<double>(natural(tokens, 0));
    std::size_t const comma = tokens.find(',');
    wanted_.outputs = comma == std::string_view::npos ? 0 : static_cast<double>(natural(tokens.substr(comma + 1), 0));
    enter_wall();
  }

  /// False: the caller's connection is of no more use.
  bool run() {
    if (!tenant_fault_.empty()) {  // a charter since the header was read says otherwise
      answer("400 Bad Request", tenant_fault_, false);
      return keep_;
    }
    std::shared_ptr<Guard> const guard = std::make_shared<Guard>();
    guard->relay = this;
    alarm_ = std::make_shared<Alarm>(station_.context(), [guard] {
      if (guard->relay != nullptr) {
        guard->relay->rang();
      }
    });
    watch_caller(guard);
    perform(chart_.begin());
    while (!chart_.settled()) {
      if (gone_) {
        feed(tilth::CallerGone{});
      } else if (loam::boot_now() >= deadline_) {
        feed(tilth::DeadlinePassed{});
      } else if (back_) {
        back_ = false;
        go_back();
      } else if (place_next_) {
        place_next_ = false;
        dispatch();
      } else {
        feed(tilth::WorkerDefect{"internal"});
        break;
      }
    }
    guard->relay = nullptr;
    alarm_->stop();
    error_code ignored;
    caller_.cancel(ignored);
    tilth::Settled const* const settled = std::get_if<tilth::Settled>(&chart_.state());
    tell_late(settled == nullptr ? "open" : settled->how);
    ++station_.tally().outcomes[settled == nullptr ? "open" : settled->how];
    return keep_;
  }

 private:
  struct Guard {
    Relay* relay = nullptr;
  };

  static tilth::QueryTerms terms(schema::Lane const& lane) {
    tilth::QueryTerms terms;
    terms.resumable = lane.stream && lane.resumable;
    terms.repeatable = lane.repeatable || terms.resumable;
    terms.stream = lane.stream;
    terms.dispatches_most = static_cast<int>(lane.dispatches);
    return terms;
  }
  [[nodiscard]] bool repeatable() const { return lane_.repeatable || (lane_.stream && lane_.resumable); }

  /// Whose prompt it is, by the newest word on its lane (section 14.1).
  void enter_wall() {
    Dialect const& dialect = station_.dialect();
    prompt_.reset();
    homes_ = lane_.home_regions;
    if (!lane_.tenancy.has_value()) {
      wanted_.parts = dialect.read_parts(view(query_.header[dialect.parts]));
      return;
    }
    tilth::TenantReading const reading = tenant_of(*lane_.tenancy, query_.header);
    schema::Tenant const* const tenant = book_->tenant(reading.name);
    tenant_fault_ = reading.end == tilth::TenantEnd::refused ? reading.fault : "";
    if (tenant != nullptr && !tilth::join_homes(lane_.home_regions, tenant->home_regions, homes_)) {
      tenant_fault_ = "no_home";
    }
    prompt_ = tilth::Prompt{reading.name, model_of(query_.header, dialect.model),
                            tilth::named_parts(view(query_.header[dialect.parts])), lane_.tenancy->public_parts,
                            tilth::realm_of(*lane_.tenancy, lane_.name)};
    wanted_.parts = station_.walls().place(*prompt_);
  }

  /// What the worker tells of versions and reuse (section 14.3).
  template <class Fields>
  void hear_wall(Fields const& got, bool ran) {
    if (!prompt_.has_value()) {
      return;
    }
    Dialect const& dialect = station_.dialect();
    tilth::WallAnswer answer{spot_.worker, std::string(view(got[dialect.weights])), std::nullopt, ran};
    if (ran && !got[dialect.reused].empty()) {
      answer.reused = static_cast<double>(natural(view(got[dialect.reused]), 0));
    }
    for (tilth::WallAction const& action : station_.walls().heard(answer, walled_, wanted_.tokens - spot_.uncached)) {
      if (tilth::ForgetWorker const* const forget = std::get_if<tilth::ForgetWorker>(&action)) {
        station_.grove().forget_walled(forget->worker);
      } else if (tilth::GaveUp const* const gave_up = std::get_if<tilth::GaveUp>(&action)) {
        station_.grove().gave_up(gave_up->worker, wanted_.parts, gave_up->tokens);
      } else if (tilth::Crossed const* const crossed = std::get_if<tilth::Crossed>(&action)) {
        loam::note(loam::Event::WallCrossed,
                   crossed->worker + " " + std::to_string(static_cast<std::uint64_t>(crossed->tokens)) + " " + id_);
      } else if (tilth::RanOtherWeights const* const other = std::get_if<tilth::RanOtherWeights>(&action)) {
        loam::note(loam::Event::OtherWeightsRan, other->worker + " for " + other->expected + " " + id_);
        station_.grove().forget_walled(other->worker);
      }
    }
    if (ran) {
      station_.walls().count(*prompt_, walled_, answer.reused);
    }
  }
  /// What the worker keeps of the prompt from now on; ids used once it won't need.
  [[nodiscard]] std::vector<tilth::Part> kept_parts() const {
    return prompt_.has_value() && walled_.version.empty() ? std::vector<tilth::Part>() : wanted_.parts;
  }

  bool may_spend(bool spend) {
    tilth::Rights& rights = station_.rights(service_);
    if (!spend) {
      return rights.available();
    }
    bool const good = reserved_ || rights.take();
    reserved_ = false;
    station_.tally().retries += good ? 1 : 0;
    return good;
  }

  /// Section 13.3: which stage took how long, where an answer missed its set point.
  void tell_late(std::string const& how) const {
    loam::Span const first = (first_at_ == 0 ? loam::boot_now() : first_at_) - query_.arrived;
    if (lane_.set_point_ms <= 0 || static_cast<double>(first) / 1000 < lane_.set_point_ms) {
      return;
    }
    loam::note(loam::Event::QueryLate, id_ + " " + lane_.name + " " + how + " first " + std::to_string(first / 1000) +
                                           " ms of " + std::to_string((loam::boot_now() - query_.arrived) / 1000) +
                                           " tokens " + std::to_string(static_cast<std::uint64_t>(wanted_.tokens)) +
                                           trail_);
  }

  void watch_caller(std::shared_ptr<Guard> const& guard) {
    caller_.async_wait(Socket::wait_read, [guard](error_code const& error) {
      if (error || guard->relay == nullptr) {
        return;
      }
      char byte = 0;
      ssize_t const count = recv(guard->relay->caller_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (count > 0) {
        return;  // the next query is there already
      }
      if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        guard->relay->watch_caller(guard);
        return;
      }
      guard->relay->gone_ = true;
      guard->relay->cut();
    });
  }

  void cut() {
    if (worker_ != nullptr) {
      error_code ignored;
      worker_->close(ignored);
    }
    if (seat_ != nullptr) {
      seat_->cancel();
    }
  }

  void rang() {
    loam::Moment const now = loam::boot_now();
    if (now >= deadline_) {
      cut();
      if (writing_) {
        error_code ignored;
        caller_.close(ignored);
      }
      return;
    }
    if (writing_) {  // it is the caller who is slow
      alarm_->set(deadline_);
      return;
    }
    if (connecting_) {
      cut();
      return;
    }
    if (now - station_.grove().heard_at(spot_.worker) < constants::alive_span && now - silent_since_ < 2 * allowed_) {
      alarm_->set(std::min(deadline_, now + constants::alive_step));
      return;
    }
    // Silence: another worker is asked if the query may be repeated, a right is
    // there, and another has a place; else this one may take its time.
    wanted_.avoid.push_back(spot_.worker);
    bool const other = repeatable() && chart_.dispatches() < static_cast<int>(lane_.dispatches) && may_spend(false) &&
                       station_.grove().alternative(wanted_, now);
    if (other) {
      // The right is taken now: others whose worker fell silent at the same
      // moment must not count on the same one.
      reserved_ = station_.rights(service_).take();
      // Slow, not dark, if anything came from it since: no reason for it to rest.
      slow_ = station_.grove().heard_at(spot_.worker) >= silent_since_;
      if (worker_ != nullptr && std::holds_alternative<tilth::Streaming>(chart_.state())) {
        // Part of its stream is with the caller: it is only set aside until
        // another one goes on, since that one may refuse.
        setting_aside_ = true;
        error_code ignored;
        worker_->cancel(ignored);
      } else {
        cut();
      }
    } else {
      wanted_.avoid.pop_back();
      alarm_->set(deadline_);
    }
  }

  void feed(tilth::QueryMessage const& message) { perform(chart_.advance(message, loam::boot_now())); }
  void perform(std::vector<tilth::QueryAction> const& actions) {
    for (tilth::QueryAction const& action : actions) {
      std::visit([this](auto const& entry) { act(entry); }, action);
    }
  }
  void act(tilth::Place const&) { place_next_ = true; }
  void act(tilth::PassOn const&) { feed(tilth::NoRoom{}); }
  void act(tilth::SendHome const&) { refuse(); }
  void act(tilth::Forward const&) {}
  void act(tilth::Deliver const&) { (void)write_whole(); }
  void act(tilth::Refuse const& reason) {
    if (!tenant_fault_.empty()) {
      answer("400 Bad Request", tenant_fault_, false);
    } else if (withdrawn_lane_) {
      answer("404 Not Found", "unknown_rule", false);
    } else {
      (void)reason;
      refuse();
    }
  }
  void act(tilth::Apologise const& apologise) {
    if (!whole_.empty()) {
      (void)write_whole();  // the worker's own failure says more than ours
    } else {
      answer(apologise.status == 504 ? "504 Gateway Timeout" : "502 Bad Gateway", apologise.reason, false);
    }
  }
  void act(tilth::EndBroken const& broken) {
    loam::note(loam::Event::QueryCut, id_ + " " + broken.reason);
    keep_ = false;  // no closing chunk: nobody can take it for whole
  }
  void act(tilth::Abandon const&) { keep_ = false; }

  /// Final, at once, with the time to come back at: nothing ran (section 9.8).
  void refuse() { answer("503 Service Unavailable", "no_place", true); }

  void answer(std::string const& status, std::string const& reason, bool come_back) {
    std::string const body = "{\"error\":\"" + reason + "\"}";
    std::string text = "HTTP/1.1 " + status + "\r\n" + station_.dialect().query + ": " + id_ +
                       "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (come_back) {
      double const point = lane_.set_point_ms > 0 ? lane_.set_point_ms / 1000 : 1.0;
      text += "Retry-After: " + std::to_string(point * (0.15 + 0.15 * draw())) + "\r\n";
    }
    (void)write(text + closing_line() + "\r\n" + (bare_ ? "" : body));
  }

  [[nodiscard]] std::string closing_line() {
    keep_ = query_.keep && !station_.draining();
    return keep_ ? "" : "Connection: close\r\n";
  }

  bool write(std::string const& text) {
    if (gone_) {
      keep_ = false;
      return false;
    }
    error_code error;
    writing_ = true;
    asio::async_write(caller_, asio::buffer(text), yield_[error]);
    writing_ = false;
    if (error) {
      keep_ = false;
      gone_ = true;
    }
    return !error;
  }

  bool write_whole() {
    bool const good = write(whole_ + closing_line() + "\r\n" + whole_body_);
    return good;
  }

  /// Section 9.7: the newest charter decides, up to when bytes go out.
  void follow() {
    if (station_.book() == book_ || station_.book() == nullptr) {
      return;
    }
    std::shared_ptr<tilth::LaneBook const> const current = station_.book();
    std::string_view const target = view(query_.header.target());
    schema::Lane const* const found = current->find(view(query_.header[http::field::host]), target);
    book_ = current;
    tilth::Decided decided;
    if (found == nullptr) {
      withdrawn_lane_ = true;
      decided.standing = tilth::Standing::none;
    } else {
      lane_ = *found;
      enter_wall();
      if (!tenant_fault_.empty()) {
        decided.standing = tilth::Standing::none;
      }
      tilth::QueryTerms const next = terms(lane_);
      decided.repeatable = next.repeatable;
      decided.resumable = next.resumable;
      decided.stream = next.stream;
      deadline_ =
          std::min(deadline_, query_.arrived + loam::milliseconds(static_cast<std::int64_t>(lane_.deadline_ms)));
    }
    if (aside_ != nullptr &&
        (decided.standing != tilth::Standing::serve || !decided.repeatable || !decided.resumable)) {
      later_ = decided;  // it may run nowhere else any more, but finish where it runs
      back_ = true;
      return;
    }
    feed(decided);
  }

  /// A place, waited for as long as a lane's set point bears.
  bool find_place() {
    loam::Span const hold =
        lane_.set_point_ms > 0
            ? loam::milliseconds(static_cast<std::int64_t>(lane_.set_point_ms * constants::hold_part))
            : constants::hold_plain;
    loam::Span const again = began_ ? loam::milliseconds(static_cast<std::int64_t>(lane_.gap_set_point_ms / 2))
                             : chart_.dispatches() > 0 ? constants::place_pause
                                                       : 0;
    loam::Moment const until = std::max(query_.arrived + hold, loam::boot_now() + again);
    while (true) {
      follow();
      if (chart_.settled() || gone_ || back_) {
        return false;
      }
      wanted_.shares = lane_.shares;
      wanted_.homes = homes_;
      wanted_.once = !repeatable();
      wanted_.draw = draw();
      loam::Moment const now = loam::boot_now();
      std::variant<tilth::Spot, tilth::NoSpot> const found = station_.grove().choose(wanted_, now);
      if (tilth::Spot const* const spot = std::get_if<tilth::Spot>(&found)) {
        spot_ = *spot;
        trail_ += "; at " + std::to_string((now - query_.arrived) / 1000) + " ms " + spot->worker + " predicted " +
                  std::to_string(static_cast<int>(spot->predicted_seconds * 1000)) + "/" +
                  std::to_string(static_cast<int>(spot->price * 1000)) + " uncached " +
                  std::to_string(static_cast<int>(spot->uncached));
        return true;
      }
      if (now >= until || now >= deadline_) {
        feed_or_return(tilth::NoRoom{});
        return false;
      }
      asio::steady_timer timer(station_.context(), loam::duration(constants::place_pause));
      seat_ = &timer;
      error_code ignored;
      timer.async_wait(yield_[ignored]);
      seat_ = nullptr;
    }
  }

  void dispatch() {
    if (!find_place()) {
      return;
    }
    if (service_.empty()) {
      schema::Lane const& lane = lane_;
      service_ = lane.shares.front().service;
      station_.rights(service_).arrived();
    }
    feed(tilth::Placed{spot_.worker});
    first_seen_ = false;
    tilth::Outcome outcome = tilth::Outcome::unreachable;
    if (!reach()) {
      // Nothing reached it: another place is no retry, but not without end.
      station_.grove().ended(spot_, false, gone_ ? tilth::Outcome::abandoned : outcome, loam::boot_now());
      wanted_.avoid.push_back(spot_.worker);
      if (!gone_) {
        ++connects_;
        if (connects_ < constants::connects_most) {
          feed(tilth::Withdrawn{});
        } else {
          feed_or_return(tilth::ConnectDefect{});
        }
      }
      return;
    }
    std::shared_ptr<tilth::LaneBook const> const before = book_;
    follow();
    if (chart_.settled() || back_ || !station_.grove().usable(spot_.worker) || (book_ != before && !still_named())) {
      station_.grove().ended(spot_, false, tilth::Outcome::abandoned, loam::boot_now());
      keep_worker(constants::worker_idle);
      if (!back_) {
        feed(tilth::Withdrawn{});
      }
      return;
    }
    feed(tilth::Connected{});
    ++station_.tally().dispatches;
    reading_ = std::make_shared<Reading>();
    outcome = talk();
    station_.grove().ended(spot_, first_seen_, gone_ || slow_ ? tilth::Outcome::abandoned : outcome, loam::boot_now());
    after_talk();
  }

  /// A dispatch is over, or was set aside: the chart hears how.
  void after_talk() {
    bool const set_aside = setting_aside_ && after_.has_value() && worker_ != nullptr && worker_->is_open();
    setting_aside_ = false;
    if (set_aside) {
      aside_ = reading_;
      aside_->spot = spot_;
      aside_->walled = walled_;
      aside_->socket = std::move(worker_);
    }
    reading_.reset();
    worker_.reset();
    slow_ = false;
    wanted_.avoid.push_back(spot_.worker);
    if (after_.has_value()) {
      tilth::QueryMessage const message = *after_;
      after_.reset();
      if (tilth::WorkerDefect const* const defect = std::get_if<tilth::WorkerDefect>(&message)) {
        if (!gone_) {
          loam::note(loam::Event::WorkerDefect, spot_.worker + " " + defect->what + " " + id_);
        }
        if (loam::boot_now() >= deadline_ && whole_.empty()) {
          feed(tilth::DeadlinePassed{});
          return;
        }
      }
      if (!gone_) {
        follow();
        if (set_aside && !back_) {
          feed(message);
        } else if (!back_) {
          feed_or_return(message);
        }
      }
    }
  }

  /// While a worker is set aside, what would end the query leads back to it.
  void feed_or_return(tilth::QueryMessage const& message) {
    if (aside_ != nullptr) {
      back_ = true;
    } else {
      feed(message);
    }
  }

  /// No other one goes on with the stream: the silent one may take its time.
  void go_back() {
    reading_ = std::move(aside_);
    aside_.reset();
    worker_ = std::move(reading_->socket);
    spot_ = reading_->spot;
    walled_ = reading_->walled;
    whole_.clear();
    whole_body_.clear();
    place_next_ = false;
    reserved_ = false;
    feed(tilth::Returned{spot_.worker});
    if (later_.has_value()) {
      feed(*later_);
      later_.reset();
    }
    alarm_->set(
        silence_due(lane_.gap_set_point_ms > 0 ? lane_.gap_set_point_ms : 2 * lane_.set_point_ms, loam::boot_now()));
    (void)read_events(*reading_);  // the grove has counted its end already
    after_talk();
  }

  [[nodiscard]] bool still_named() const {
    for (schema::Share const& share : lane_.shares) {
      if (share.weight > 0 && station_.grove().serves(spot_.worker, share.service)) {
        return homes_.empty() || station_.grove().stands_in(spot_.worker, homes_);
      }
    }
    return false;
  }

  void keep_worker(loam::Span longest) {
    if (worker_ != nullptr && worker_->is_open()) {
      station_.keep(spot_.worker, std::move(worker_), longest);
    }
    worker_.reset();
  }

  /// A connection. A kept one may turn out stale just as bytes go out, so what
  /// may not be repeated always has a fresh one (section 13.8).
  bool reach() {
    if (repeatable()) {
      worker_ = station_.kept(spot_.worker);
      if (worker_ != nullptr) {
        return true;
      }
    }
    absl::StatusOr<loam::Endpoint> const endpoint = loam::read_endpoint(spot_.address);
    if (!endpoint.ok()) {
      return false;
    }
    worker_ = std::make_unique<Socket>(station_.context());
    ++station_.tally().connects;
    connecting_ = true;
    alarm_->set(std::min(deadline_, loam::boot_now() + (spot_.near ? constants::relay_connect_near
                                                                   : constants::relay_connect_deadline)));
    error_code error = loam::open_own(*worker_, *endpoint);
    if (!error) {
      worker_->async_connect(*endpoint, yield_[error]);
    }
    connecting_ = false;
    if (error || !worker_->is_open() || gone_) {
      worker_.reset();
      return false;
    }
    worker_->set_option(asio::ip::tcp::no_delay(true), error);
    return true;
  }

  [[nodiscard]] std::string head() const {
    Dialect const& dialect = station_.dialect();
    std::string text;
    text.reserve(1024);
    text.append(view(query_.header.method_string()))
        .append(" ")
        .append(view(query_.header.target()))
        .append(" HTTP/1.1\r\n");
    std::vector<std::string_view> replaced{dialect.left, dialect.target};
    bool const resuming = chart_.last_event() > 0 && numbering_.last().has_value();
    if (resuming) {
      replaced.push_back(dialect.last_event);
    }
    if (prompt_.has_value()) {
      replaced.insert(replaced.end(), {dialect.parts, dialect.expected});
    }
    copy_fields(query_.header, std::string(view(query_.header[http::field::connection])), replaced, text);
    text.append(dialect.left)
        .append(": ")
        .append(std::to_string(std::max<loam::Span>(1, (deadline_ - loam::boot_now()) / 1000)))
        .append("\r\n");
    text.append(dialect.target).append(": ").append(spot_.worker).append("\r\n");
    if (resuming) {
      text.append(dialect.last_event).append(": ").append(std::to_string(*numbering_.last())).append("\r\n");
    }
    if (prompt_.has_value() && !walled_.header.empty()) {
      text.append(dialect.parts).append(": ").append(walled_.header).append("\r\n");
    }
    if (prompt_.has_value() && !walled_.version.empty()) {
      text.append(dialect.expected).append(": ").append(walled_.version).append("\r\n");
    }
    if (!dialect.urgency.empty() && lane_.stream && query_.header[dialect.urgency].empty()) {
      text.append(dialect.urgency)
          .append(": ")
          .append(std::to_string(std::clamp<std::int64_t>(lane_.priority, 0, 9)))
          .append("\r\n");
    }
    if (!query_.body.empty() || query_.had_length) {
      text.append("Content-Length: ").append(std::to_string(query_.body.size())).append("\r\n");
    }
    text.append("\r\n");
    return text;
  }

  [[nodiscard]] loam::Moment silence_due(double set_point_ms, loam::Moment now) {
    double const point = set_point_ms > 0 ? set_point_ms : 1000;
    silent_since_ = now;
    allowed_ = std::max(loam::milliseconds(static_cast<std::int64_t>(point * constants::silence_part)),
                        static_cast<loam::Span>(spot_.predicted_seconds * 2e6));
    return std::min(deadline_, now + allowed_);
  }

  using Parser = http::response_parser<http::buffer_body>;

  /// A worker's answer as far as it was read; of one set aside, its connection, too.
  struct Reading {
    boost::beast::flat_buffer buffer;
    Parser parser;
    EventCutter cutter;
    tilth::Sighting sighting;
    loam::Moment sent = 0;
    bool first = true;
    bool resumed = false;
    tilth::Spot spot;
    tilth::Walled walled;
    std::unique_ptr<Socket> socket;
  };

  /// The next bytes of the answer; false: cut, silent or no answer at all.
  bool read_some(boost::beast::flat_buffer& buffer, Parser& parser, std::string& bytes) {
    bytes.resize(constants::piece_bytes);
    parser.get().body().data = bytes.data();
    parser.get().body().size = bytes.size();
    parser.get().body().more = true;
    error_code error;
    http::async_read_some(*worker_, buffer, parser, yield_[error]);
    if (error && error != http::error::need_buffer) {
      bytes.clear();
      return false;
    }
    bytes.resize(bytes.size() - parser.get().body().size);
    return true;
  }

  tilth::Outcome talk() {
    Dialect const& dialect = station_.dialect();
    loam::Moment const sent = loam::boot_now();
    alarm_->set(silence_due(lane_.set_point_ms, sent));
    if (prompt_.has_value()) {
      walled_ = station_.walls().send(*prompt_, spot_.worker, draw_once());
    }
    std::string const text = head();
    error_code error;
    std::array<asio::const_buffer, 2> const pieces{asio::buffer(text), asio::buffer(query_.body)};
    asio::async_write(*worker_, pieces, yield_[error]);
    // Even when writing failed the worker may have answered already.
    boost::beast::flat_buffer& buffer = reading_->buffer;
    Parser& parser = reading_->parser;
    parser.header_limit(constants::answer_header_limit);
    parser.body_limit(boost::none);
    parser.skip(bare_);
    if (worker_->is_open()) {
      http::async_read_header(*worker_, buffer, parser, yield_[error]);
    }
    if (error) {
      after_ = tilth::WorkerDefect{"no_answer"};
      return tilth::Outcome::defect;
    }
    Parser::value_type const& got = parser.get();
    unsigned int const status = got.result_int();
    hear_load(view(got[dialect.load]));
    if (!got[dialect.not_run].empty() || status == 421) {
      after_ = tilth::WorkerRefused{};
      std::string const expected = walled_.version;
      hear_wall(got, false);
      bool const other_weights =
          prompt_.has_value() && !got[dialect.weights].empty() && view(got[dialect.weights]) != expected;
      if (status == 421 && !other_weights) {
        return tilth::Outcome::misdirected;
      }
      finish_reading(buffer, parser);
      return tilth::Outcome::refused;
    }
    if (view(got[dialect.query]) != id_) {
      after_ = tilth::WorkerDefect{"wrong_query"};
      return tilth::Outcome::defect;
    }
    bool const success = status >= 200 && status < 300;
    if ((success && got[dialect.seal].empty()) || status < 200 || status == 429 || status == 503 || status == 408) {
      after_ = tilth::WorkerDefect{"no_answer_of_ours"};
      return tilth::Outcome::defect;
    }
    hear_wall(got, success);
    if (success && !bare_ && got[http::field::content_type].starts_with("text/event-stream")) {
      reading_->sent = sent;
      return talk_events(*reading_);
    }
    return talk_whole(buffer, parser, status);
  }

  void hear_load(std::string_view text) {
    if (text.empty()) {
      return;
    }
    double figures[3] = {0, 0, 0};
    for (double& figure : figures) {
      std::string_view const word = text.substr(0, text.find(','));
      figure = static_cast<double>(natural(word.substr(std::min(word.size(), word.find_first_not_of(' '))), 0));
      text.remove_prefix(std::min(text.size(), word.size() + 1));
    }
    station_.grove().told(spot_.worker, figures[0], figures[1], figures[2], loam::boot_now());
  }

  /// Kept only when the answer ended where it said and nothing came behind it.
  void after_answer(boost::beast::flat_buffer const& buffer, Parser const& parser) {
    if (!parser.is_done() || buffer.size() > 0 || !parser.get().keep_alive() || worker_ == nullptr ||
        !worker_->is_open()) {
      return;
    }
    loam::Span longest = constants::worker_idle;
    std::string_view const told = view(parser.get()["Keep-Alive"]);
    std::size_t const at = told.find("timeout=");
    if (at != std::string_view::npos) {
      longest = std::min(longest, loam::seconds(static_cast<std::int64_t>(natural(told.substr(at + 8), 1))) / 2);
    } else if (!told.empty()) {
      longest = std::min(longest, loam::seconds(static_cast<std::int64_t>(natural(told, 1))) / 2);
    }
    keep_worker(longest);
  }

  void finish_reading(boost::beast::flat_buffer& buffer, Parser& parser) {
    std::string bytes;
    while (!parser.is_done() && (parser.content_length().has_value() || parser.chunked())) {
      if (!read_some(buffer, parser, bytes)) {
        return;
      }
    }
    after_answer(buffer, parser);
  }

  /// The worker's head for the caller, without what concerns its connection.
  [[nodiscard]] std::string answer_head(Parser const& parser) const {
    std::string text = "HTTP/1.1 " + std::to_string(parser.get().result_int()) + " " +
                       std::string(view(parser.get().reason())) + "\r\n";
    // The ids that parts went out under stay between us and the workers.
    std::vector<std::string_view> const left_out =
        prompt_.has_value() ? std::vector<std::string_view>{station_.dialect().parts, station_.dialect().expected}
                            : std::vector<std::string_view>();
    copy_fields(parser.get(), std::string(view(parser.get()[http::field::connection])), left_out, text);
    return text;
  }

  tilth::Outcome talk_whole(boost::beast::flat_buffer& buffer, Parser& parser, unsigned int status) {
    std::string body;
    std::string bytes;
    bool const bare = bare_ || status == 204 || status == 304;
    bool const delimited = bare || parser.content_length().has_value() || parser.chunked();
    while (!parser.is_done()) {
      if (!delimited || !read_some(buffer, parser, bytes) || body.size() + bytes.size() > constants::answer_limit) {
        after_ = tilth::WorkerDefect{"cut_answer"};
        return tilth::Outcome::defect;
      }
      body += bytes;
    }
    first_seen_ = true;
    if (prompt_.has_value()) {
      station_.grove().first_token(spot_, status < 300 ? kept_parts() : std::vector<tilth::Part>(), 0);
    }
    first_at_ = loam::boot_now();
    // An answer to HEAD tells the length that the body would have.
    std::string const length = bare_  ? std::string(view(parser.get()[http::field::content_length]))
                               : bare ? ""
                                      : std::to_string(body.size());
    whole_ = answer_head(parser) + (length.empty() ? "" : "Content-Length: " + length + "\r\n");
    whole_body_ = std::move(body);
    after_answer(buffer, parser);
    if (status >= 500 && repeatable()) {
      after_ = tilth::WorkerDefect{"worker_error"};
      return tilth::Outcome::defect;
    }
    after_ = tilth::Whole{};
    return status >= 500 ? tilth::Outcome::defect : tilth::Outcome::good;
  }

  tilth::Outcome talk_events(Reading& reading) {
    reading.sighting.sent = reading.sent;
    reading.resumed = chart_.last_event() > 0;
    station_.tally().resumed += reading.resumed ? 1 : 0;
    numbering_.begin_run();
    return read_events(reading);
  }

  tilth::Outcome read_events(Reading& reading) {
    Parser& parser = reading.parser;
    tilth::Sighting& sighting = reading.sighting;
    loam::Moment const sent = reading.sent;
    std::string bytes;
    bool ended = false;
    while (!parser.is_done()) {
      if (!read_some(reading.buffer, parser, bytes)) {
        after_ = tilth::WorkerDefect{"cut_stream"};
        return tilth::Outcome::defect;
      }
      setting_aside_ = false;  // bytes were there first
      EventCutter::Whole const whole = reading.cutter.feed(bytes, numbering_);
      if (whole.gap) {  // nothing of it was passed on: another may do better
        after_ = tilth::WorkerDefect{"gap"};
        return tilth::Outcome::defect;
      }
      if (parser.is_done() && !reading.cutter.rest().empty()) {
        after_ = tilth::WorkerDefect{"cut_event"};
        return tilth::Outcome::defect;
      }
      if (whole.count == 0 && whole.bytes.empty()) {
        continue;
      }
      loam::Moment const now = loam::boot_now();
      station_.grove().heard(spot_.worker, now);
      sighting.event(whole.count, now);
      if (first_at_ == 0) {
        first_at_ = now;
      }
      if (reading.first) {
        reading.first = false;
        first_seen_ = true;
        aside_.reset();  // this one goes on
        station_.grove().first_token(spot_, kept_parts(), static_cast<double>(now - sent) / 1e6);
      }
      alarm_->set(silence_due(lane_.gap_set_point_ms > 0 ? lane_.gap_set_point_ms : 2 * lane_.set_point_ms, now));
      std::string text;
      if (!began_) {
        began_ = true;
        text = answer_head(parser) + "Transfer-Encoding: chunked\r\n" + closing_line() + "\r\n";
      }
      char size[24];
      std::snprintf(size, sizeof(size), "%zx\r\n", whole.bytes.size());
      text.append(size).append(whole.bytes).append("\r\n");
      // The chart counts what was passed on, whatever the worker's numbers are.
      feed(tilth::Event{chart_.last_event() + 1, false});
      if (parser.is_done()) {
        ended = true;
        text.append("0\r\n\r\n");
      }
      if (!write(text)) {
        after_ = tilth::CallerGone{};
        return tilth::Outcome::abandoned;
      }
    }
    if (!began_) {
      after_ = tilth::WorkerDefect{"no_event"};
      return tilth::Outcome::defect;
    }
    if (!ended) {  // the end came by itself, behind the last event
      (void)write("0\r\n\r\n");
    }
    feed(tilth::Whole{});
    after_answer(reading.buffer, parser);
    if (!reading.resumed) {
      station_.saw(std::move(sighting), spot_, wanted_);
    }
    return tilth::Outcome::good;
  }

  Station& station_;
  Query& query_;
  std::shared_ptr<tilth::LaneBook const> book_;
  schema::Lane lane_;
  Socket& caller_;
  loam::Yield yield_;
  bool const bare_;  ///< it is a HEAD: no answer to it has a body
  std::string id_;
  loam::Moment deadline_;
  tilth::Chart chart_;
  tilth::Wanted wanted_;
  tilth::Spot spot_;
  std::optional<tilth::Prompt> prompt_;  ///< where its lane has tenants
  tilth::Walled walled_;                 ///< as it went to the last worker
  std::string tenant_fault_;
  std::vector<std::string> homes_;
  std::string service_;
  std::shared_ptr<Alarm> alarm_;
  std::unique_ptr<Socket> worker_;
  std::shared_ptr<Reading> reading_;     ///< of the dispatch under way
  std::shared_ptr<Reading> aside_;       ///< given up for its silence; goes on if no other does
  std::optional<tilth::Decided> later_;  ///< told to the chart once it is back there
  asio::steady_timer* seat_ = nullptr;
  std::optional<tilth::QueryMessage> after_;
  std::string whole_;
  std::string whole_body_;
  Numbering numbering_;  ///< of the events that the caller has
  loam::Moment silent_since_ = 0;
  loam::Span allowed_ = 0;
  int connects_ = 0;
  loam::Moment first_at_ = 0;
  std::string trail_;  ///< workers it was placed on: when, predicted
  bool setting_aside_ = false;
  bool back_ = false;      ///< to the one set aside
  bool slow_ = false;      ///< given up for its slowness
  bool reserved_ = false;  ///< the right to its next dispatch is taken already
  bool connecting_ = false;
  bool first_seen_ = false;
  bool began_ = false;  ///< the head went to the caller
  bool writing_ = false;
  bool gone_ = false;
  bool keep_ = false;
  bool place_next_ = false;
  bool withdrawn_lane_ = false;
};

/// A final answer of our own without a dispatch; `bare`: to a HEAD.
bool write_small(Socket& socket, std::string const& status, std::string const& extra, std::string const& reason,
                 bool keep, bool bare, loam::Yield yield) {
  std::string const body = "{\"error\":\"" + reason + "\"}";
  std::string const text = "HTTP/1.1 " + status + "\r\n" + extra +
                           "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                           (keep ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n") + (bare ? "" : body);
  error_code error;
  asio::async_write(socket, asio::buffer(text), yield[error]);
  return keep && !error;
}

/// What ends a caller's connection when time is up: between queries and once an
/// answer was given it is closed, a query that doesn't come whole is answered first.
struct Patience {
  bool close = true;
  bool out = false;
};

/// A final answer before all of the query is read. Closing with unread bytes
/// would reset the connection, and the answer might never be read: what comes
/// is thrown away, for a moment and up to a size (section 13.8).
void refuse_unread(Socket& socket, Alarm& alarm, Patience& patience, std::string const& status,
                   std::string const& extra, std::string const& reason, bool bare, loam::Yield yield) {
  patience.close = true;
  alarm.set(loam::boot_now() + constants::refused_linger);
  (void)write_small(socket, status, extra, reason, false, bare, yield);
  error_code error;
  socket.shutdown(Socket::shutdown_send, error);
  std::array<char, constants::piece_bytes> thrown_away;
  std::size_t total = 0;
  while (!error && total < constants::refused_bytes) {
    total += socket.async_read_some(asio::buffer(thrown_away), yield[error]);
  }
}

}  // namespace

void serve_caller(Station& station, std::shared_ptr<Socket> const& socket, loam::Yield yield) {
  boost::beast::flat_buffer buffer;
  std::shared_ptr<Patience> const patience = std::make_shared<Patience>();
  std::shared_ptr<Alarm> const alarm = std::make_shared<Alarm>(station.context(), [socket, patience] {
    error_code ignored;
    patience->out = true;
    patience->close ? socket->close(ignored) : socket->cancel(ignored);
  });
  schema::CallerLimits limits;
  bool again = true;
  while (again) {
    if (station.book() != nullptr) {
      limits = station.book()->charter().limits;
    }
    error_code error;
    if (buffer.size() == 0) {  // an idle connection may wait, a begun header may not
      patience->close = true;
      alarm->set(loam::boot_now() + loam::milliseconds(static_cast<std::int64_t>(limits.idle_ms)));
      std::size_t const count = socket->async_read_some(buffer.prepare(4096), yield[error]);
      if (error) {
        break;
      }
      buffer.commit(count);
      if (station.book() != nullptr) {
        limits = station.book()->charter().limits;  // they may have changed while the connection rested
      }
    }
    patience->close = false;
    patience->out = false;
    alarm->set(loam::boot_now() + loam::milliseconds(static_cast<std::int64_t>(limits.header_wait_ms)));
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    http::async_read_header(*socket, buffer, parser, yield[error]);
    if (patience->out) {
      refuse_unread(*socket, *alarm, *patience, "408 Request Timeout", "", "too_slow", false, yield);
      break;
    }
    if (error == http::error::header_limit) {
      refuse_unread(*socket, *alarm, *patience, "431 Request Header Fields Too Large", "", "too_large", false, yield);
      break;
    }
    if (error == http::error::body_limit) {  // announced too large: no byte of it is read
      refuse_unread(*socket, *alarm, *patience, "413 Payload Too Large", "", "too_large",
                    parser.get().method() == http::verb::head, yield);
      break;
    }
    if (error && error.category() == http::make_error_code(http::error::bad_value).category() &&
        error != http::error::end_of_stream && error != http::error::partial_message) {
      refuse_unread(*socket, *alarm, *patience, "400 Bad Request", "", "malformed", false, yield);
      break;
    }
    if (error) {
      break;
    }
    Query query;
    query.arrived = loam::boot_now();
    station.opened();
    std::string const named =
        station.dialect().query + ": " + std::string(view(parser.get()[station.dialect().query])) + "\r\n";
    bool const bare = parser.get().method() == http::verb::head;
    if (station.book() != nullptr && station.book()->walled()) {
      // Refused before a body byte is read (section 14.1).
      schema::Lane const* const lane =
          station.book()->find(view(parser.get()[http::field::host]), view(parser.get().target()));
      if (lane != nullptr && lane->tenancy.has_value()) {
        tilth::TenantReading const reading = tenant_of(*lane->tenancy, parser.get());
        if (reading.end == tilth::TenantEnd::refused) {
          refuse_unread(*socket, *alarm, *patience, "400 Bad Request", named, reading.fault, bare, yield);
          station.closed();
          break;
        }
      }
    }
    if (parser.get()[http::field::expect] == "100-continue") {
      asio::async_write(*socket, asio::buffer(std::string("HTTP/1.1 100 Continue\r\n\r\n")), yield[error]);
    }
    // What comes behind a body names no tenant and no prompt.
    std::optional<http::request_header<>> before_body;
    if (parser.chunked()) {
      before_body = parser.get().base();
    }
    if (!patience->out) {
      http::async_read(*socket, buffer, parser, yield[error]);
    }
    if (error || patience->out) {
      if (patience->out) {
        refuse_unread(*socket, *alarm, *patience, "408 Request Timeout", named, "too_slow", bare, yield);
      } else if (error == http::error::body_limit) {
        refuse_unread(*socket, *alarm, *patience, "413 Payload Too Large", named, "too_large", bare, yield);
      } else if (error == http::error::bad_chunk || error == http::error::bad_chunk_extension) {
        refuse_unread(*socket, *alarm, *patience, "400 Bad Request", named, "malformed", bare, yield);
      }
      station.closed();
      break;
    }
    query.had_length = parser.content_length().has_value() || parser.chunked();
    query.keep = parser.get().keep_alive();
    query.body = std::move(parser.get().body());
    query.header = before_body.has_value() ? std::move(*before_body) : std::move(parser.get().base());
    patience->close = true;
    alarm->set(loam::boot_now() + loam::seconds(3600));
    // Right after a start charter and list come within a moment (section 13.8):
    // the query waits for them as it would for a place, then is refused.
    std::string_view const left = view(query.header[station.dialect().left]);
    std::optional<loam::Span> const bearable =
        left.empty() ? std::nullopt
                     : std::optional<loam::Span>(loam::milliseconds(
                           static_cast<std::int64_t>(std::min<std::uint64_t>(natural(left, 86400000), 86400000))));
    loam::Span const hold = tilth::first_hold(station.charter_hold, query.arrived - station.begun_at(), bearable);
    while (!station.begun() && loam::boot_now() - query.arrived < hold) {
      loam::pause(station.context(), constants::place_pause, yield);
    }
    std::shared_ptr<tilth::LaneBook const> const book = station.book();
    bool const keep = query.keep && !station.draining();
    if (book == nullptr) {
      again = write_small(*socket, "503 Service Unavailable", named + "Retry-After: 0.5\r\n", "no_setup", keep, bare,
                          yield);
    } else {
      schema::Lane const* const lane = book->find(view(query.header[http::field::host]), view(query.header.target()));
      if (lane == nullptr) {
        again = write_small(*socket, "404 Not Found", named, "unknown_rule", keep, bare, yield);
      } else {
        std::unique_ptr<Relay> const relay = std::make_unique<Relay>(station, query, *lane, *socket, book, yield);
        again = relay->run();
      }
    }
    station.closed();
  }
  alarm->stop();
}

}  // namespace finchlink::furrow
