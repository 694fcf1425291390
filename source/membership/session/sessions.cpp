#include "membership/session/sessions.hpp"

#include <algorithm>

#include "common/constants.hpp"
#include "common/digest/digest.hpp"
#include "common/wire/pack.hpp"

namespace finchlink::membership {

namespace constants = common::constants;

namespace {
std::string digest_entry(schema::Member const& member) {
  return common::Digest()
      .add(member.name)
      .add(member.incarnation)
      .add(member.hall)
      .add(member.address)
      .add(member.ready ? 1 : 0)
      .text();
}
}  // namespace

std::uint64_t digest_of(std::vector<schema::Member> const& members) {
  std::map<std::string, std::string> entries;
  for (schema::Member const& member : members) {
    entries[member.name] = digest_entry(member);
  }
  return common::digest_of(entries);
}

void Sessions::put_session(std::string const& name, SessionState state) {
  (void)members_.put(name, digest_entry(state.member));
  if (state.direct) {
    (void)direct_.put(name, common::pack(state.member));
  } else {
    (void)direct_.remove(name);
  }
  sessions_[name] = std::move(state);
}

bool Sessions::record_request(schema::Member const& member, common::Moment now) {
  std::map<std::string, SessionState>::const_iterator const before = sessions_.find(member.name);
  bool const opened = before == sessions_.end() || before->second.member.incarnation != member.incarnation;
  put_session(member.name, SessionState{member, now, true});
  return opened;
}

void Sessions::record_controller(schema::TrellisEntry const& controller, common::Moment now) {
  if (controller.address != self_.address && !controller.address.empty()) {
    controllers_[controller.address] = KnownController{controller, now};
  }
}

void Sessions::record_reported(schema::Member const& member, common::Moment last_heard) {
  std::map<std::string, SessionState>::iterator const state = sessions_.find(member.name);
  if (state != sessions_.end() && last_heard <= state->second.last_heard) {
    return;
  }
  if (state != sessions_.end() && !state->second.direct && state->second.member == member) {
    state->second.last_heard = last_heard;
  } else {
    put_session(member.name, SessionState{member, last_heard, false});
  }
}

std::uint64_t Sessions::apply_changes(schema::Tell const& message, common::Moment now) {
  PeerSessions& reported = peer_sessions_[message.from.address];
  if (message.sessions_from == reported.replica.digest() || message.sessions_from == 0) {
    common::Delta delta{message.sessions_from == 0, {}, message.sessions_gone, message.sessions_digest};
    for (schema::Session const& session : message.sessions) {
      delta.put.emplace_back(session.member.name, common::pack(session.member));
    }
    bool const update =
        delta.whole || !delta.put.empty() || !delta.removed.empty() || delta.digest != reported.replica.digest();
    if (update && reported.replica.apply(delta)) {
      if (delta.whole) {
        reported.members.clear();
      }
      for (std::string const& name : message.sessions_gone) {
        reported.members.erase(name);
      }
      for (schema::Session const& session : message.sessions) {
        reported.members[session.member.name] = session.member;
      }
    }
    if (reported.replica.digest() == 0) {
      reported.members.clear();
    }
  }
  // Another message was applied first, or the changes do not produce the digest named: the times of unchanged
  // sessions cannot be matched to their names.
  if (reported.replica.digest() != message.sessions_digest || message.sessions_from == 0) {
    return reported.replica.digest();
  }
  if (message.heard_ago_ms.size() != reported.members.size()) {
    reported = PeerSessions{};
    return 0;
  }
  std::size_t index = 0;
  for (std::pair<std::string const, schema::Member> const& entry : reported.members) {
    common::Span const ago =
        static_cast<common::Span>(std::min<std::uint64_t>(message.heard_ago_ms[index++], 1u << 30u));
    record_reported(entry.second, now - common::milliseconds(ago));
  }
  return reported.replica.digest();
}

std::uint64_t Sessions::receive_gossip(schema::Tell const& message, common::Moment now) {
  record_controller(message.from, now);
  for (schema::TrellisEntry const& other : message.others) {
    // A report by another peer makes a controller known, but does not keep it from expiring.
    if (other.address != self_.address && controllers_.count(other.address) == 0) {
      controllers_[other.address] = KnownController{other, now};
    }
  }
  for (schema::Session const& session : message.sessions) {
    record_reported(session.member, now - session.heard_ago);
  }
  return apply_changes(message, now);
}

std::vector<std::string> Sessions::expire(common::Moment now) {
  std::vector<std::string> ended;
  for (std::map<std::string, SessionState>::iterator entry = sessions_.begin(); entry != sessions_.end();) {
    if (now - entry->second.last_heard > bound_) {
      ended.push_back(entry->first);
      (void)members_.remove(entry->first);
      (void)direct_.remove(entry->first);
      entry = sessions_.erase(entry);
    } else {
      ++entry;
    }
  }
  for (std::map<std::string, KnownController>::iterator entry = controllers_.begin(); entry != controllers_.end();) {
    entry = now - entry->second.last_heard > constants::peer_timeout ? controllers_.erase(entry) : std::next(entry);
  }
  std::erase_if(peer_sessions_, [this](std::pair<std::string const, PeerSessions> const& entry) {
    return controllers_.count(entry.first) == 0;
  });
  return ended;
}

std::vector<schema::Member> Sessions::members() const {
  std::vector<schema::Member> members;
  for (std::pair<std::string const, SessionState> const& entry : sessions_) {
    members.push_back(entry.second.member);
  }
  return members;
}

std::vector<schema::Session> Sessions::direct_sessions(common::Moment now) const {
  std::vector<schema::Session> sessions;
  for (std::pair<std::string const, SessionState> const& entry : sessions_) {
    if (entry.second.direct) {
      sessions.push_back(schema::Session{entry.second.member, now - entry.second.last_heard, {}});
    }
  }
  return sessions;
}

MemberUpdate Sessions::since(std::uint64_t digest) const {
  MemberUpdate update;
  update.digest = members_.digest();
  std::optional<common::Delta> const delta = members_.since(digest);
  update.same = !delta.has_value();
  if (update.same) {
    return update;
  }
  if (delta->whole) {
    update.members = members();
    return update;
  }
  update.from = digest;
  update.gone = delta->removed;
  for (std::pair<std::string, std::string> const& entry : delta->put) {
    update.members.push_back(sessions_.at(entry.first).member);
  }
  return update;
}

void Sessions::fill_gossip(std::uint64_t known, common::Moment now, schema::Tell& message) const {
  message.sessions_digest = direct_.digest();
  std::optional<common::Delta> const delta = direct_.since(known);
  if (delta.has_value() && delta->whole) {
    message.sessions = direct_sessions(now);
    return;
  }
  message.sessions_from = known;
  if (delta.has_value()) {
    message.sessions_gone = delta->removed;
    for (std::pair<std::string, std::string> const& entry : delta->put) {
      SessionState const& state = sessions_.at(entry.first);
      message.sessions.push_back(schema::Session{state.member, now - state.last_heard, {}});
    }
  }
  for (std::pair<std::string const, SessionState> const& entry : sessions_) {
    if (entry.second.direct) {
      // Rounded up, so that no session seems younger than it is.
      message.heard_ago_ms.push_back(
          static_cast<std::uint64_t>(std::max<common::Span>(now - entry.second.last_heard, 0) + 999) / 1000);
    }
  }
}

std::vector<Peer> Sessions::peers() const {
  std::vector<Peer> peers;
  for (std::pair<std::string const, KnownController> const& known : controllers_) {
    peers.push_back(Peer{known.second.entry, known.second.last_heard});
  }
  return peers;
}

std::vector<schema::TrellisEntry> Sessions::controllers() const {
  std::vector<schema::TrellisEntry> entries{self_};
  for (std::pair<std::string const, KnownController> const& entry : controllers_) {
    entries.push_back(entry.second.entry);
  }
  return entries;
}

}  // namespace finchlink::membership
