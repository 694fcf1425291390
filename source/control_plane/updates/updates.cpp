#include "control_plane/updates/updates.hpp"

#include <algorithm>

#include "common/constants.hpp"
#include "common/error/error.hpp"
#include "common/http/http.hpp"
#include "common/json/tree.hpp"
#include "common/log/log.hpp"
#include "membership/replica/replica.hpp"
#include "membership/responder/update_responder.hpp"
#include "scheduling/scaler/pools.hpp"

namespace finchlink::control_plane {

namespace constants = common::constants;

UpdateService::UpdateService(boost::asio::io_context& context, common::Caller& caller, RegisterClient& register_client,
                             AcceptorService* holder, schema::Settings const& settings, std::uint64_t identity,
                             ListReader reader)
    : context_(context),
      caller_(caller),
      register_(register_client),
      holder_(holder),
      settings_(settings),
      identity_(identity),
      sessions_(self(), common::milliseconds(static_cast<std::int64_t>(settings.bounds.session_bound_ms))),
      reader_(std::move(reader)) {}

void UpdateService::follow(schema::Settings const& settings) {
  std::lock_guard<std::mutex> const guard(lock_);
  settings_ = settings;
  sessions_.set_bound(common::milliseconds(static_cast<std::int64_t>(settings.bounds.session_bound_ms)));
}

common::Span UpdateService::bound(std::uint64_t schema::TimeBounds::*field) {
  std::lock_guard<std::mutex> const guard(lock_);
  return common::milliseconds(static_cast<std::int64_t>(settings_.bounds.*field));
}

schema::TrellisEntry UpdateService::self() {
  schema::TrellisEntry entry{settings_.name,
                             identity_,
                             settings_.hall,
                             settings_.colleague_address,
                             settings_.http_address,
                             holder_ != nullptr,
                             false,
                             0,
                             0,
                             leaving_};
  if (holder_ != nullptr) {
    entry.voting = holder_->voting();
    entry.holder = holder_->silent() ? 0 : holder_->incarnation();
    entry.epoch = holder_->set().epoch;
  }
  return entry;
}

void UpdateService::begin() {
  common::start(context_, [this](common::Yield yield) {
    while (true) {
      // A round of its own: one silent peer must not delay the next round to
      // the others, whose copies of our sessions would end meanwhile.
      announce(false);
      common::pause(context_, bound(&schema::TimeBounds::tell_pause_ms), yield);
    }
  });
  if (!settings_.platform_address.empty()) {
    common::start(context_, [this](common::Yield yield) {
      while (true) {
        common::Span const rest = list_rest();
        common::pause(context_, rest > 0 ? rest : read_platform(yield), yield);
      }
    });
  }
}

void UpdateService::announce(bool confirm) {
  common::start(context_, [this, confirm](common::Yield yield) { notify_peers(confirm, "", yield); });
}

void UpdateService::keep_list(schema::PlatformList const& list, common::Moment as_of) {
  bool changed = false;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    std::uint64_t const before = listing_.digest();
    changed = listing_.store(list, as_of, common::boot_now()) && listing_.digest() != before;
  }
  if (changed) {
    register_.bell().ring();
  }
}

common::Span UpdateService::list_rest() {
  std::lock_guard<std::mutex> const guard(lock_);
  if (!reader_) {
    return 0;
  }
  // Calls to the platform are priced: the first by name reads, and the others
  // are told; whoever misses that for long enough reads itself (section 13.4).
  common::Span rank = 0;
  for (schema::TrellisEntry const& controller : sessions_.controllers()) {
    rank += controller.name < settings_.name && !controller.leaving ? 1 : 0;
  }
  common::Span const pause = common::milliseconds(static_cast<std::int64_t>(settings_.bounds.list_pause_ms));
  common::Span const tell = common::milliseconds(static_cast<std::int64_t>(settings_.bounds.tell_pause_ms));
  common::Span const turn = rank == 0 ? pause : pause + tell + rank * constants::list_stagger;
  common::Span const age = listing_.age(common::boot_now());
  return age < 0 ? 0 : std::max<common::Span>(turn - age, 0);
}

absl::StatusOr<schema::PlatformList> UpdateService::read_own_list(std::string const& address, common::Yield yield) {
  common::Ask ask{common::http::verb::get, "/workers", 11};
  absl::StatusOr<common::Answer> const answer =
      common::ask_once(context_, address, ask, constants::list_deadline, constants::list_limit, yield);
  if (!answer.ok()) {
    return answer.status();
  }
  if (answer->result() != common::http::status::ok) {
    return common::make_error(absl::StatusCode::kUnavailable, "list", "status " + std::to_string(answer->result_int()));
  }
  absl::StatusOr<common::Tree> const tree = common::read_tree(answer->body());
  if (!tree.ok()) {
    return tree.status();
  }
  std::vector<common::Fault> faults;
  schema::PlatformList list;
  schema::read(tree->get(), "", list, faults);
  if (!faults.empty()) {
    return common::make_error(absl::StatusCode::kDataLoss, "list", common::describe(faults));
  }
  return list;
}

common::Span UpdateService::read_platform(common::Yield yield) {
  common::Moment const asked = common::boot_now();
  std::string address;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    address = settings_.platform_address;
  }
  common::Span const pause = bound(&schema::TimeBounds::list_pause_ms);
  absl::StatusOr<schema::PlatformList> const list =
      reader_ ? reader_(context_, address, constants::list_deadline, yield) : read_own_list(address, yield);
  if (list.ok()) {
    std::uint64_t const before = list_digest();
    keep_list(*list, asked);
    list_pause_after_failure_ = 0;
    if (reader_ && list_digest() != before) {
      announce(false);
    }
    return reader_ ? constants::bell_pause : pause;  // with a reader, list_rest() tells the rest
  }
  common::note(common::Event::ListDefect, std::string(list.status().message()));
  list_pause_after_failure_ = absl::IsResourceExhausted(list.status())
                                  ? std::min(std::max(pause, list_pause_after_failure_ * 2), constants::list_rest_most)
                                  : pause;
  return list_pause_after_failure_;
}

void UpdateService::keep_reports(schema::Member const& member, std::vector<schema::FurrowReport> const& reports,
                                 common::Moment now) {
  for (schema::FurrowReport const& report : reports) {
    std::uint64_t& newest = newest_slice_[member.incarnation];
    if (report.slice <= newest) {
      continue;
    }
    newest = report.slice;
    reports_.push_back(Kept{member, report, now});
    fresh_reports_.push_back(schema::Session{member, 0, {report}});
  }
  while (!reports_.empty() && now - reports_.front().at > common::seconds(1)) {
    reports_.pop_front();
  }
  while (fresh_reports_.size() > 4096) {
    fresh_reports_.pop_front();
  }
}

std::vector<schema::Session> UpdateService::take_reports() {
  std::lock_guard<std::mutex> const guard(lock_);
  std::vector<schema::Session> taken(fresh_reports_.begin(), fresh_reports_.end());
  fresh_reports_.clear();
  return taken;
}

void UpdateService::judge_members() {
  if (sessions_.digest() != members_digest_) {
    members_digest_ = sessions_.digest();
    register_.bell().ring();
  }
}

bool UpdateService::judge_departures() {
  std::set<std::uint64_t> const leaving = membership::leaving_voters(sessions_.peers());
  bool const more = !std::includes(leaving_voters_.begin(), leaving_voters_.end(), leaving.begin(), leaving.end());
  leaving_voters_ = leaving;
  return more;
}

void UpdateService::add_reports(schema::Tell& tell, common::Moment now) {
  std::map<std::uint64_t, std::size_t> places;
  for (std::size_t place = 0; place < tell.sessions.size(); ++place) {
    places[tell.sessions[place].member.incarnation] = place;
  }
  std::vector<schema::Session> const direct =
      reports_.empty() ? std::vector<schema::Session>{} : sessions_.direct_sessions(now);
  for (schema::Session const& session : direct) {
    for (Kept const& kept : reports_) {
      if (kept.member.incarnation != session.member.incarnation) {
        continue;
      }
      // A session that has reports is told whole, also if it did not change.
      std::map<std::uint64_t, std::size_t>::iterator place = places.find(session.member.incarnation);
      if (place == places.end()) {
        place = places.emplace(session.member.incarnation, tell.sessions.size()).first;
        tell.sessions.push_back(session);
      }
      tell.sessions[place->second].reports.push_back(kept.report);
    }
  }
}

void UpdateService::notify_peers(bool confirm, std::string const& only, common::Yield yield) {
  schema::Tell tell;
  std::vector<std::pair<std::string, schema::Message>> calls;
  common::Span patience = 0;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    common::Moment const now = common::boot_now();
    sessions_.set_self(self());
    for (std::string const& ended : sessions_.expire(now)) {
      common::note(common::Event::SessionEnded, ended);
    }
    judge_members();
    patience = common::milliseconds(static_cast<std::int64_t>(settings_.bounds.tell_pause_ms)) * 2;
    tell.from = sessions_.self();
    tell.others = sessions_.controllers();
    tell.list_digest = listing_.base_digest();
    tell.list_age = listing_.age(now);
    tell.confirm = confirm;
    std::vector<std::string> addresses = settings_.seeds;
    for (schema::TrellisEntry const& other : tell.others) {
      addresses.push_back(other.address);
    }
    if (!only.empty()) {
      addresses = {only};
    }
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    std::erase(addresses, settings_.colleague_address);
    if (!confirm && only.empty()) {
      addresses = gossip_.start_round(addresses, now, patience);
    }
    for (std::string const& address : addresses) {
      schema::Tell told = tell;
      sessions_.fill_gossip(known_there_[address], now, told);
      add_reports(told, now);
      calls.emplace_back(address, std::move(told));
    }
  }
  common::Moment const sent = common::boot_now();
  common::Gather::run(
      context_, caller_, calls, patience,
      [this, sent, &calls](std::size_t index, absl::StatusOr<schema::Message> const& answer) {
        {
          std::lock_guard<std::mutex> const guard(lock_);
          gossip_.end_call(calls[index].first);
        }
        if (answer.ok()) {
          if (schema::Told const* const told = std::get_if<schema::Told>(&*answer)) {
            // Counted from when we asked: a frozen machine that wakes must
            // not take an old word for a fresh one (section 6.3).
            bool changed = false;
            bool departing = false;
            {
              std::lock_guard<std::mutex> const guard(lock_);
              changed = told->list_age >= 0 &&
                        listing_.take(membership::list_update(*told), sent - told->list_age, common::boot_now());
              sessions_.record_controller(told->from, common::boot_now());
              departing = judge_departures();
              known_there_[calls[index].first] = told->sessions_digest;
            }
            if (changed) {
              register_.bell().ring();
            }
            if (departing) {
              departures_.ring();
            }
          }
        }
        return false;
      },
      yield);
}

schema::Message UpdateService::tell(schema::Tell const& tell) {
  common::Moment const now = common::boot_now();
  schema::Told told;
  bool fetch = false;
  bool departing = false;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    sessions_.set_self(self());  // a departing voter waits for what this says of our vote
    told.sessions_digest = sessions_.receive_gossip(tell, now);
    departing = judge_departures();
    judge_members();
    for (schema::Session const& session : tell.sessions) {
      keep_reports(session.member, session.reports, now);
    }
    // A colleague that tells of a newer list is asked for it: what it says of
    // its age counts only from when we asked (section 6.3).
    common::Span const age = listing_.age(now);
    membership::ListUpdate updates = listing_.since(tell.list_digest);
    fetch = tell.list_age >= 0 && !updates.same && (age < 0 || tell.list_age < age) && !fetching_;
    fetching_ = fetching_ || fetch;
    told.from = sessions_.self();
    told.list_age = age;
    told.list_digest = updates.digest;
    told.list_same = updates.same;
    told.list_from = updates.from;
    told.list = std::move(updates.list);
    told.list_gone = std::move(updates.gone);
  }
  if (departing) {
    departures_.ring();
  }
  if (tell.confirm) {
    register_.hurry();
  }
  if (fetch) {  // not under the lock: a coroutine may begin at once
    common::start(context_, [this, address = tell.from.address](common::Yield yield) {
      notify_peers(false, address, yield);
      std::lock_guard<std::mutex> const done(lock_);
      fetching_ = false;
    });
  }
  return told;
}

schema::Message UpdateService::ask(schema::NewsAsk const& ask, common::Yield yield) {
  common::Moment const arrival = common::boot_now();
  {
    std::lock_guard<std::mutex> const guard(pieces_lock_);
    sender_.expire(arrival);
  }
  membership::UpdateBounds const bounds{bound(&schema::TimeBounds::ask_hold_ms),
                                        bound(&schema::TimeBounds::ask_patience_ms)};
  std::uint64_t list_before = 0;
  std::uint64_t members_before = 0;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    if (sessions_.record_request(ask.member, arrival)) {
      common::note(common::Event::SessionOpened, ask.member.name + " in " + ask.member.hall);
    }
    judge_members();
    keep_reports(ask.member, ask.reports, arrival);
    // An asker that tells what it holds is answered when ours differs from
    // that; one that doesn't, when ours changes.
    list_before = ask.list_digest != 0 ? ask.list_digest : listing_.digest();
    members_before = ask.members_digest != 0 ? ask.members_digest : 0;
  }
  schema::NewsAnswer answer;
  bool hurried = false;
  while (true) {
    std::uint64_t const seen = register_.bell().count();
    common::Moment const now = common::boot_now();
    bool other_updates = false;
    {
      std::lock_guard<std::mutex> const guard(lock_);
      other_updates = listing_.digest() != list_before || (members_before != 0 && members_digest_ != members_before);
    }
    bool const rested = now - arrival >= constants::bell_pause;
    membership::UpdateDecision verdict;
    register_.look([&](std::map<std::string, schema::Value> const& values, common::Moment confirmed_from) {
      verdict =
          membership::decide_answer(ask, arrival, confirmed_from, values, other_updates && rested, now, {}, bounds);
    });
    if (verdict.answer.has_value()) {
      answer = *verdict.answer;
      break;
    }
    if (verdict.hurry && !hurried) {
      register_.hurry();
      hurried = true;
    }
    register_.bell().wait(
        seen, other_updates && !rested ? std::min(verdict.wait, constants::bell_pause - (now - arrival)) : verdict.wait,
        yield);
  }
  std::lock_guard<std::mutex> const guard(lock_);
  membership::MemberUpdate members = sessions_.since(ask.members_digest);
  answer.members_digest = members.digest;
  answer.members_same = members.same;
  answer.members_from = members.from;
  answer.members = std::move(members.members);
  answer.members_gone = std::move(members.gone);
  membership::ListUpdate list = listing_.since(ask.list_digest);
  answer.list_digest = list.digest;
  answer.list_same = list.same;
  answer.list_from = list.from;
  answer.list = std::move(list.list);
  answer.list_gone = std::move(list.gone);
  answer.list_age = listing_.age(common::boot_now());
  answer.report_ms = scheduling::report_interval_ms(settings_);
  answer.reports_taken = newest_slice_[ask.member.incarnation];
  // Near ones first: bytes between regions and halls are paid for. Those that leave come last.
  constexpr int farthest = 3;
  std::vector<schema::TrellisEntry> peers = sessions_.controllers();
  std::function<int(schema::TrellisEntry const&)> const far = [this, &ask](schema::TrellisEntry const& controller) {
    std::map<std::string, std::string>::const_iterator const theirs = settings_.regions.find(controller.hall);
    std::map<std::string, std::string>::const_iterator const own = settings_.regions.find(ask.member.hall);
    bool const known = theirs != settings_.regions.end() && own != settings_.regions.end();
    int const distance = controller.hall == ask.member.hall ? 0 : (known && theirs->second == own->second ? 1 : 2);
    return controller.leaving ? distance + farthest : distance;
  };
  std::stable_sort(
      peers.begin(), peers.end(),
      [&far](schema::TrellisEntry const& left, schema::TrellisEntry const& right) { return far(left) < far(right); });
  for (schema::TrellisEntry const& controller : peers) {
    answer.peers.push_back(controller.address);
  }
  return answer;
}

schema::Message UpdateService::piece(schema::PieceRequest const& request) {
  consensus::TransferSource const source = [this](schema::TransferKey const& key) -> std::optional<std::string> {
    schema::Value value = register_.value(key.name);
    if (value.revision != key.revision) {
      return std::nullopt;
    }
    return std::move(value.content);
  };
  std::lock_guard<std::mutex> const guard(pieces_lock_);
  return sender_.answer(request, source, common::boot_now());
}

std::vector<schema::Member> UpdateService::members() {
  std::lock_guard<std::mutex> const guard(lock_);
  (void)sessions_.expire(common::boot_now());
  return sessions_.members();
}
std::vector<schema::TrellisEntry> UpdateService::controllers() {
  std::lock_guard<std::mutex> const guard(lock_);
  sessions_.set_self(self());
  return sessions_.controllers();
}
std::vector<membership::Peer> UpdateService::peers() {
  std::lock_guard<std::mutex> const guard(lock_);
  return sessions_.peers();
}
schema::PlatformList UpdateService::list() {
  std::lock_guard<std::mutex> const guard(lock_);
  return listing_.list();
}
std::uint64_t UpdateService::list_digest() {
  std::lock_guard<std::mutex> const guard(lock_);
  return listing_.digest();
}
common::Span UpdateService::list_age() {
  std::lock_guard<std::mutex> const guard(lock_);
  return listing_.age(common::boot_now());
}

}  // namespace finchlink::control_plane
