#include "trellis/news/news.hpp"

#include <algorithm>

#include "hedge/desk/desk.hpp"
#include "loam/constants.hpp"
#include "loam/http/http.hpp"
#include "loam/json/tree.hpp"
#include "loam/log/log.hpp"

namespace finchlink::trellis {

namespace constants = loam::constants;

News::News(boost::asio::io_context& context, loam::Caller& caller, Ledger& ledger, HolderShell* holder, schema::Settings const& settings,
           std::uint64_t identity)
    : context_(context), caller_(caller), ledger_(ledger), holder_(holder), settings_(settings), identity_(identity), sessions_(self()) {}

schema::TrellisEntry News::self() {
  schema::TrellisEntry entry{settings_.name, identity_, settings_.hall, settings_.colleague_address, settings_.http_address, holder_ != nullptr, false, 0};
  if (holder_ != nullptr) {
    entry.voting = holder_->voting();
    entry.holder = holder_->silent() ? 0 : holder_->incarnation();
  }
  return entry;
}

void News::begin() {
  loam::start(context_, [this](loam::Yield yield) {
    while (true) {
      tell_colleagues(yield);
      loam::pause(context_, constants::tell_pause, yield);
    }
  });
  if (!settings_.platform_address.empty()) {
    loam::start(context_, [this](loam::Yield yield) {
      while (true) {
        read_platform(yield);
        loam::pause(context_, constants::list_pause, yield);
      }
    });
  }
}

void News::keep_list(schema::PlatformList const& list, loam::Moment as_of) {
  std::lock_guard<std::mutex> const guard(lock_);
  (void)listing_.keep(list, as_of, loam::boot_now());
}

void News::read_platform(loam::Yield yield) {
  loam::Moment const asked = loam::boot_now();
  loam::Ask ask{loam::http::verb::get, "/workers", 11};
  absl::StatusOr<loam::Answer> const answer =
      loam::ask_once(context_, settings_.platform_address, ask, constants::list_deadline, constants::list_limit, yield);
  std::string reason;
  if (!answer.ok()) {
    reason = std::string(answer.status().message());
  } else if (answer->result() != loam::http::status::ok) {
    reason = "status " + std::to_string(answer->result_int());
  } else {
    absl::StatusOr<loam::Tree> const tree = loam::read_tree(answer->body());
    std::vector<loam::Fault> faults;
    schema::PlatformList list;
    if (tree.ok()) {
      schema::read(tree->get(), "", list, faults);
    }
    if (tree.ok() && faults.empty()) {
      bool const changed = !(this->list() == list);
      keep_list(list, asked);
      if (changed) {
        ledger_.bell().ring();
      }
      return;
    }
    reason = tree.ok() ? loam::describe(faults) : std::string(tree.status().message());
  }
  loam::note(loam::Event::ListDefect, reason);
}

void News::keep_reports(schema::Member const& member, std::vector<schema::FurrowReport> const& reports, loam::Moment now) {
  for (schema::FurrowReport const& report : reports) {
    std::uint64_t& newest = newest_slice_[member.incarnation];
    if (report.slice <= newest) {
      continue;
    }
    newest = report.slice;
    reports_.push_back(Kept{member, report, now});
    fresh_reports_.push_back(schema::Session{member, 0, {report}});
  }
  while (!reports_.empty() && now - reports_.front().at > loam::seconds(1)) {
    reports_.pop_front();
  }
  while (fresh_reports_.size() > 4096) {
    fresh_reports_.pop_front();
  }
}

std::vector<schema::Session> News::take_reports() {
  std::lock_guard<std::mutex> const guard(lock_);
  std::vector<schema::Session> taken(fresh_reports_.begin(), fresh_reports_.end());
  fresh_reports_.clear();
  return taken;
}

void News::tell_colleagues(loam::Yield yield) {
  schema::Tell tell;
  std::vector<std::pair<std::string, schema::Message>> calls;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    loam::Moment const now = loam::boot_now();
    sessions_.set_self(self());
    for (std::string const& ended : sessions_.expire(now)) {
      loam::note(loam::Event::SessionEnded, ended);
    }
    tell.from = sessions_.self();
    tell.others = sessions_.trellises();
    tell.sessions = sessions_.tellable(now);
    for (schema::Session& session : tell.sessions) {
      for (Kept const& kept : reports_) {
        if (kept.member.incarnation == session.member.incarnation) {
          session.reports.push_back(kept.report);
        }
      }
    }
    std::vector<std::string> addresses = settings_.seeds;
    for (schema::TrellisEntry const& other : tell.others) {
      addresses.push_back(other.address);
    }
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    for (std::string const& address : addresses) {
      if (address != settings_.colleague_address) {
        calls.emplace_back(address, tell);
      }
    }
  }
  loam::Moment const sent = loam::boot_now();
  // A silent colleague must not hold up the next telling by more than this.
  loam::Gather::run(
      context_, caller_, calls, constants::tell_pause * 2,
      [this, sent](std::size_t, absl::StatusOr<schema::Message> const& answer) {
        if (answer.ok()) {
          if (schema::Told const* const told = std::get_if<schema::Told>(&*answer)) {
            // Counted from when we asked: a frozen machine that wakes must
            // not take an old word for a fresh one (section 6.3).
            if (told->list_age >= 0) {
              keep_list(told->list, sent - told->list_age);
            }
            std::lock_guard<std::mutex> const guard(lock_);
            sessions_.met(told->from, loam::boot_now());
          }
        }
        return false;
      },
      yield);
}

schema::Message News::tell(schema::Tell const& tell) {
  loam::Moment const now = loam::boot_now();
  std::lock_guard<std::mutex> const guard(lock_);
  sessions_.told(tell, now);
  for (schema::Session const& session : tell.sessions) {
    keep_reports(session.member, session.reports, now);
  }
  return schema::Told{sessions_.self(), listing_.list(), listing_.age(now)};
}

schema::Message News::ask(schema::NewsAsk const& ask, loam::Yield yield) {
  loam::Moment const arrival = loam::boot_now();
  {
    std::lock_guard<std::mutex> const guard(lock_);
    if (sessions_.heard(ask.member, arrival)) {
      loam::note(loam::Event::SessionOpened, ask.member.name + " in " + ask.member.hall);
    }
    keep_reports(ask.member, ask.reports, arrival);
  }
  schema::NewsAnswer answer;
  schema::PlatformList const before = list();
  while (true) {
    std::uint64_t const seen = ledger_.bell().count();
    hedge::DeskVerdict const verdict =
        hedge::judge_ask(ask, arrival, ledger_.confirmed_from(), ledger_.values(), !(list() == before), loam::boot_now());
    if (verdict.answer.has_value()) {
      answer = *verdict.answer;
      break;
    }
    ledger_.bell().wait(seen, verdict.wait, yield);
  }
  std::lock_guard<std::mutex> const guard(lock_);
  answer.members = sessions_.members();
  answer.list = listing_.list();
  answer.list_age = listing_.age(loam::boot_now());
  answer.reports_taken = newest_slice_[ask.member.incarnation];
  for (schema::TrellisEntry const& trellis : sessions_.trellises()) {
    answer.colleagues.push_back(trellis.address);
  }
  return answer;
}

std::vector<schema::Member> News::members() {
  std::lock_guard<std::mutex> const guard(lock_);
  (void)sessions_.expire(loam::boot_now());
  return sessions_.members();
}
std::vector<schema::TrellisEntry> News::trellises() {
  std::lock_guard<std::mutex> const guard(lock_);
  sessions_.set_self(self());
  return sessions_.trellises();
}
schema::PlatformList News::list() {
  std::lock_guard<std::mutex> const guard(lock_);
  return listing_.list();
}
loam::Span News::list_age() {
  std::lock_guard<std::mutex> const guard(lock_);
  return listing_.age(loam::boot_now());
}

}  // namespace finchlink::trellis
