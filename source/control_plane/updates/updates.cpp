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

UpdateService::UpdateService(boost::asio::io_context& context, common::FrameClient& caller,
                             RegisterClient& register_client, AcceptorService* acceptor,
                             schema::Settings const& settings, std::uint64_t identity, ListReader list_reader)
    : context_(context),
      caller_(caller),
      register_(register_client),
      acceptor_(acceptor),
      settings_(settings),
      identity_(identity),
      sessions_(self_entry(), common::milliseconds(static_cast<std::int64_t>(settings.bounds.session_bound_ms))),
      list_reader_(std::move(list_reader)) {}

void UpdateService::apply_settings(schema::Settings const& settings) {
  std::lock_guard<std::mutex> const guard(lock_);
  settings_ = settings;
  sessions_.set_bound(common::milliseconds(static_cast<std::int64_t>(settings.bounds.session_bound_ms)));
}

common::Span UpdateService::time_bound(std::uint64_t schema::TimeBounds::*field) {
  std::lock_guard<std::mutex> const guard(lock_);
  return common::milliseconds(static_cast<std::int64_t>(settings_.bounds.*field));
}

schema::TrellisEntry UpdateService::self_entry() {
  schema::TrellisEntry entry{settings_.name,
                             identity_,
                             settings_.hall,
                             settings_.colleague_address,
                             settings_.http_address,
                             acceptor_ != nullptr,
                             false,
                             0,
                             0,
                             leaving_};
  if (acceptor_ != nullptr) {
    entry.voting = acceptor_->voting();
    entry.holder = acceptor_->silent() ? 0 : acceptor_->incarnation();
    entry.epoch = acceptor_->set().epoch;
  }
  return entry;
}

void UpdateService::begin() {
  common::start(context_, [this](common::Yield yield) {
    while (true) {
      // Each round runs in its own coroutine: one unresponsive peer must not delay the next round to the others,
      // whose replicas of this process's sessions would expire meanwhile.
      announce(false);
      common::pause(context_, time_bound(&schema::TimeBounds::tell_pause_ms), yield);
    }
  });
  if (!settings_.platform_address.empty()) {
    common::start(context_, [this](common::Yield yield) {
      while (true) {
        common::Span const wait = time_until_list_read();
        common::pause(context_, wait > 0 ? wait : refresh_list(yield), yield);
      }
    });
  }
}

void UpdateService::announce(bool confirm) {
  common::start(context_, [this, confirm](common::Yield yield) { notify_peers(confirm, "", yield); });
}

void UpdateService::store_list(schema::PlatformList const& list, common::Moment as_of) {
  bool changed = false;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    std::uint64_t const before = listing_.digest();
    changed = listing_.store(list, as_of, common::boot_now()) && listing_.digest() != before;
  }
  if (changed) {
    register_.bell().notify_all();
  }
}

common::Span UpdateService::time_until_list_read() {
  std::lock_guard<std::mutex> const guard(lock_);
  if (!list_reader_) {
    return 0;
  }
  // Calls to the platform cost money: the controller whose name sorts first reads the list, and the others receive it
  // by gossip. A controller that has received none for long enough reads the list itself (section 13.4).
  common::Span rank = 0;
  for (schema::TrellisEntry const& controller : sessions_.controllers()) {
    rank += controller.name < settings_.name && !controller.leaving ? 1 : 0;
  }
  common::Span const pause = common::milliseconds(static_cast<std::int64_t>(settings_.bounds.list_pause_ms));
  common::Span const gossip_pause = common::milliseconds(static_cast<std::int64_t>(settings_.bounds.tell_pause_ms));
  common::Span const read_after = rank == 0 ? pause : pause + gossip_pause + rank * constants::list_stagger;
  common::Span const age = listing_.age(common::boot_now());
  return age < 0 ? 0 : std::max<common::Span>(read_after - age, 0);
}

absl::StatusOr<schema::PlatformList> UpdateService::fetch_native_list(std::string const& address, common::Yield yield) {
  common::Request request{common::http::verb::get, "/workers", 11};
  absl::StatusOr<common::Response> const response =
      common::send_request(context_, address, request, constants::list_deadline, constants::list_limit, yield);
  if (!response.ok()) {
    return response.status();
  }
  if (response->result() != common::http::status::ok) {
    return common::make_error(absl::StatusCode::kUnavailable, "list",
                              "GET /workers answered status " + std::to_string(response->result_int()));
  }
  absl::StatusOr<common::Tree> const tree = common::read_tree(response->body());
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

common::Span UpdateService::refresh_list(common::Yield yield) {
  common::Moment const requested_at = common::boot_now();
  std::string address;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    address = settings_.platform_address;
  }
  common::Span const pause = time_bound(&schema::TimeBounds::list_pause_ms);
  absl::StatusOr<schema::PlatformList> const list =
      list_reader_ ? list_reader_(context_, address, constants::list_deadline, yield)
                   : fetch_native_list(address, yield);
  if (list.ok()) {
    std::uint64_t const before = list_digest();
    store_list(*list, requested_at);
    list_pause_after_failure_ = 0;
    if (list_reader_ && list_digest() != before) {
      announce(false);
    }
    return list_reader_ ? constants::update_batch_delay
                        : pause;  // with a list reader, time_until_list_read() decides when to read
  }
  common::log_event(common::Event::ListDefect, std::string(list.status().message()));
  list_pause_after_failure_ = absl::IsResourceExhausted(list.status())
                                  ? std::min(std::max(pause, list_pause_after_failure_ * 2), constants::max_list_pause)
                                  : pause;
  return list_pause_after_failure_;
}

void UpdateService::store_reports(schema::Member const& member, std::vector<schema::FurrowReport> const& reports,
                                  common::Moment now) {
  for (schema::FurrowReport const& report : reports) {
    std::uint64_t& newest = newest_interval_[member.incarnation];
    if (report.slice <= newest) {
      continue;
    }
    newest = report.slice;
    recent_reports_.push_back(ReceivedReport{member, report, now});
    untaken_reports_.push_back(schema::Session{member, 0, {report}});
  }
  while (!recent_reports_.empty() && now - recent_reports_.front().at > common::seconds(1)) {
    recent_reports_.pop_front();
  }
  while (untaken_reports_.size() > 4096) {
    untaken_reports_.pop_front();
  }
}

std::vector<schema::Session> UpdateService::take_reports() {
  std::lock_guard<std::mutex> const guard(lock_);
  std::vector<schema::Session> taken(untaken_reports_.begin(), untaken_reports_.end());
  untaken_reports_.clear();
  return taken;
}

void UpdateService::notify_member_changes() {
  if (sessions_.digest() != members_digest_) {
    members_digest_ = sessions_.digest();
    register_.bell().notify_all();
  }
}

bool UpdateService::update_leaving_voters() {
  std::set<std::uint64_t> const leaving = membership::leaving_voters(sessions_.peers());
  bool const has_new_leaver =
      !std::includes(leaving_voters_.begin(), leaving_voters_.end(), leaving.begin(), leaving.end());
  leaving_voters_ = leaving;
  return has_new_leaver;
}

void UpdateService::append_reports(schema::Tell& message, common::Moment now) {
  std::map<std::uint64_t, std::size_t> positions;
  for (std::size_t position = 0; position < message.sessions.size(); ++position) {
    positions[message.sessions[position].member.incarnation] = position;
  }
  std::vector<schema::Session> const direct =
      recent_reports_.empty() ? std::vector<schema::Session>{} : sessions_.direct_sessions(now);
  for (schema::Session const& session : direct) {
    for (ReceivedReport const& received : recent_reports_) {
      if (received.member.incarnation != session.member.incarnation) {
        continue;
      }
      // A session with reports is sent in full, even if it did not change.
      std::map<std::uint64_t, std::size_t>::iterator position = positions.find(session.member.incarnation);
      if (position == positions.end()) {
        position = positions.emplace(session.member.incarnation, message.sessions.size()).first;
        message.sessions.push_back(session);
      }
      message.sessions[position->second].reports.push_back(received.report);
    }
  }
}

void UpdateService::notify_peers(bool confirm, std::string const& single_address, common::Yield yield) {
  schema::Tell common_part;
  std::vector<std::pair<std::string, schema::Message>> calls;
  common::Span timeout = 0;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    common::Moment const now = common::boot_now();
    sessions_.set_self(self_entry());
    for (std::string const& ended : sessions_.expire(now)) {
      common::log_event(common::Event::SessionEnded, ended);
    }
    notify_member_changes();
    timeout = common::milliseconds(static_cast<std::int64_t>(settings_.bounds.tell_pause_ms)) * 2;
    common_part.from = sessions_.self();
    common_part.others = sessions_.controllers();
    common_part.list_digest = listing_.base_digest();
    common_part.list_age = listing_.age(now);
    common_part.confirm = confirm;
    std::vector<std::string> addresses = settings_.seeds;
    for (schema::TrellisEntry const& other : common_part.others) {
      addresses.push_back(other.address);
    }
    if (!single_address.empty()) {
      addresses = {single_address};
    }
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    std::erase(addresses, settings_.colleague_address);
    if (!confirm && single_address.empty()) {
      addresses = gossip_.start_round(addresses, now, timeout);
    }
    for (std::string const& address : addresses) {
      schema::Tell message = common_part;
      sessions_.fill_gossip(known_digests_[address], now, message);
      append_reports(message, now);
      calls.emplace_back(address, std::move(message));
    }
  }
  common::Moment const sent_at = common::boot_now();
  common::Gather::run(
      context_, caller_, calls, timeout,
      [this, sent_at, &calls](std::size_t index, absl::StatusOr<schema::Message> const& answer) {
        {
          std::lock_guard<std::mutex> const guard(lock_);
          gossip_.end_call(calls[index].first);
        }
        if (answer.ok()) {
          if (schema::Told const* const reply = std::get_if<schema::Told>(&*answer)) {
            // The list's age counts from when the message was sent: a machine that wakes from a freeze must not take
            // an old reply for a fresh one (section 6.3).
            bool changed = false;
            bool has_new_leaver = false;
            {
              std::lock_guard<std::mutex> const guard(lock_);
              changed = reply->list_age >= 0 &&
                        listing_.take(membership::list_update(*reply), sent_at - reply->list_age, common::boot_now());
              sessions_.record_controller(reply->from, common::boot_now());
              has_new_leaver = update_leaving_voters();
              known_digests_[calls[index].first] = reply->sessions_digest;
            }
            if (changed) {
              register_.bell().notify_all();
            }
            if (has_new_leaver) {
              departure_bell_.notify_all();
            }
          }
        }
        return false;
      },
      yield);
}

schema::Message UpdateService::handle_gossip(schema::Tell const& message) {
  common::Moment const now = common::boot_now();
  schema::Told reply;
  bool should_fetch_list = false;
  bool has_new_leaver = false;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    sessions_.set_self(self_entry());  // a leaving voter learns from this entry whether this process votes
    reply.sessions_digest = sessions_.receive_gossip(message, now);
    has_new_leaver = update_leaving_voters();
    notify_member_changes();
    for (schema::Session const& session : message.sessions) {
      store_reports(session.member, session.reports, now);
    }
    // A newer list is fetched from the peer that reports one: the age that it states counts only from when
    // this process requested the list (section 6.3).
    common::Span const age = listing_.age(now);
    membership::ListUpdate updates = listing_.since(message.list_digest);
    should_fetch_list =
        message.list_age >= 0 && !updates.same && (age < 0 || message.list_age < age) && !is_fetching_list_;
    is_fetching_list_ = is_fetching_list_ || should_fetch_list;
    reply.from = sessions_.self();
    reply.list_age = age;
    reply.list_digest = updates.digest;
    reply.list_same = updates.same;
    reply.list_from = updates.from;
    reply.list = std::move(updates.list);
    reply.list_gone = std::move(updates.gone);
  }
  if (has_new_leaver) {
    departure_bell_.notify_all();
  }
  if (message.confirm) {
    register_.hurry();
  }
  if (should_fetch_list) {  // not under the lock: the coroutine may run at once
    common::start(context_, [this, address = message.from.address](common::Yield yield) {
      notify_peers(false, address, yield);
      std::lock_guard<std::mutex> const done(lock_);
      is_fetching_list_ = false;
    });
  }
  return reply;
}

schema::Message UpdateService::handle_updates_request(schema::NewsAsk const& request, common::Yield yield) {
  common::Moment const arrival = common::boot_now();
  {
    std::lock_guard<std::mutex> const guard(sender_lock_);
    sender_.expire(arrival);
  }
  membership::UpdateBounds const bounds{time_bound(&schema::TimeBounds::ask_hold_ms),
                                        time_bound(&schema::TimeBounds::ask_patience_ms)};
  std::uint64_t list_before = 0;
  std::uint64_t members_before = 0;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    if (sessions_.record_request(request.member, arrival)) {
      common::log_event(common::Event::SessionOpened, request.member.name + " in zone " + request.member.hall);
    }
    notify_member_changes();
    store_reports(request.member, request.reports, arrival);
    // A requester that states the digests it holds is answered when they differ from the current ones; one that
    // doesn't is answered when the current ones change.
    list_before = request.list_digest != 0 ? request.list_digest : listing_.digest();
    members_before = request.members_digest != 0 ? request.members_digest : 0;
  }
  schema::NewsAnswer answer;
  bool has_hurried = false;
  while (true) {
    std::uint64_t const seen = register_.bell().count();
    common::Moment const now = common::boot_now();
    bool other_updates = false;
    {
      std::lock_guard<std::mutex> const guard(lock_);
      other_updates = listing_.digest() != list_before || (members_before != 0 && members_digest_ != members_before);
    }
    bool const batch_elapsed = now - arrival >= constants::update_batch_delay;
    membership::UpdateDecision decision;
    register_.visit_values([&](std::map<std::string, schema::Value> const& values, common::Moment confirmed_from) {
      decision = membership::decide_answer(request, arrival, confirmed_from, values, other_updates && batch_elapsed,
                                           now, {}, bounds);
    });
    if (decision.answer.has_value()) {
      answer = *decision.answer;
      break;
    }
    if (decision.hurry && !has_hurried) {
      register_.hurry();
      has_hurried = true;
    }
    register_.bell().wait(seen,
                          other_updates && !batch_elapsed
                              ? std::min(decision.wait, constants::update_batch_delay - (now - arrival))
                              : decision.wait,
                          yield);
  }
  std::lock_guard<std::mutex> const guard(lock_);
  membership::MemberUpdate members = sessions_.since(request.members_digest);
  answer.members_digest = members.digest;
  answer.members_same = members.same;
  answer.members_from = members.from;
  answer.members = std::move(members.members);
  answer.members_gone = std::move(members.gone);
  membership::ListUpdate list = listing_.since(request.list_digest);
  answer.list_digest = list.digest;
  answer.list_same = list.same;
  answer.list_from = list.from;
  answer.list = std::move(list.list);
  answer.list_gone = std::move(list.gone);
  answer.list_age = listing_.age(common::boot_now());
  answer.report_ms = scheduling::report_interval_ms(settings_);
  answer.reports_taken = newest_interval_[request.member.incarnation];
  // Nearest controllers first, since traffic between regions and zones costs money. Leaving controllers come last.
  constexpr int leaving_penalty = 3;
  std::vector<schema::TrellisEntry> peers = sessions_.controllers();
  std::function<int(schema::TrellisEntry const&)> const distance_to = [this, &request](
                                                                          schema::TrellisEntry const& controller) {
    std::map<std::string, std::string>::const_iterator const peer_region = settings_.regions.find(controller.hall);
    std::map<std::string, std::string>::const_iterator const proxy_region = settings_.regions.find(request.member.hall);
    bool const are_regions_known = peer_region != settings_.regions.end() && proxy_region != settings_.regions.end();
    int const distance = controller.hall == request.member.hall
                             ? 0
                             : (are_regions_known && peer_region->second == proxy_region->second ? 1 : 2);
    return controller.leaving ? distance + leaving_penalty : distance;
  };
  std::stable_sort(peers.begin(), peers.end(),
                   [&distance_to](schema::TrellisEntry const& left, schema::TrellisEntry const& right) {
                     return distance_to(left) < distance_to(right);
                   });
  for (schema::TrellisEntry const& controller : peers) {
    answer.peers.push_back(controller.address);
  }
  return answer;
}

schema::Message UpdateService::handle_piece_request(schema::PieceRequest const& request) {
  consensus::TransferSource const source = [this](schema::TransferKey const& key) -> std::optional<std::string> {
    schema::Value value = register_.value(key.name);
    if (value.revision != key.revision) {
      return std::nullopt;
    }
    return std::move(value.content);
  };
  std::lock_guard<std::mutex> const guard(sender_lock_);
  return sender_.answer(request, source, common::boot_now());
}

std::vector<schema::Member> UpdateService::members() {
  std::lock_guard<std::mutex> const guard(lock_);
  (void)sessions_.expire(common::boot_now());
  return sessions_.members();
}
std::vector<schema::TrellisEntry> UpdateService::controllers() {
  std::lock_guard<std::mutex> const guard(lock_);
  sessions_.set_self(self_entry());
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
