#include "membership/session/sessions.hpp"

#include <algorithm>

#include "common/constants.hpp"
#include "common/digest/digest.hpp"
#include "common/wire/pack.hpp"

namespace finchlink::membership {

namespace constants = common::constants;

namespace {
std::string counted(schema::Member const& member) {
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
    entries[member.name] = counted(member);
  }
  return common::digest_of(entries);
}

void Sessions::spec(std::string const& name, Standing standing) {
  (void)members_.put(name, counted(standing.member));
  if (standing.direct) {
    (void)own_.put(name, common::pack(standing.member));
  } else {
    (void)own_.remove(name);
  }
  sessions_[name] = std::move(standing);
}

bool Sessions::heard(schema::Member const& member, common::Moment now) {
  std::map<std::string, Standing>::const_iterator const before = sessions_.find(member.name);
  bool const opened = before == sessions_.end() || before->second.member.incarnation != member.incarnation;
  spec(member.name, Standing{member, now, true});
  return opened;
}

void Sessions::met(schema::TrellisEntry const& controller, common::Moment now) {
  if (controller.address != self_.address && !controller.address.empty()) {
    controllers_[controller.address] = Known{controller, now};
  }
}

void Sessions::adopt(schema::Member const& member, common::Moment heard) {
  std::map<std::string, Standing>::iterator const standing = sessions_.find(member.name);
  if (standing != sessions_.end() && heard <= standing->second.heard) {
    return;
  }
  if (standing != sessions_.end() && !standing->second.direct && standing->second.member == member) {
    standing->second.heard = heard;
  } else {
    spec(member.name, Standing{member, heard, false});
  }
}

std::uint64_t Sessions::apply_changes(schema::Tell const& tell, common::Moment now) {
  Told& told = told_[tell.from.address];
  if (tell.sessions_from == told.copy.digest() || tell.sessions_from == 0) {
    common::Delta delta{tell.sessions_from == 0, {}, tell.sessions_gone, tell.sessions_digest};
    for (schema::Session const& session : tell.sessions) {
      delta.put.emplace_back(session.member.name, common::pack(session.member));
    }
    bool const update =
        delta.whole || !delta.put.empty() || !delta.removed.empty() || delta.digest != told.copy.digest();
    if (update && told.copy.apply(delta)) {
      if (delta.whole) {
        told.members.clear();
      }
      for (std::string const& name : tell.sessions_gone) {
        told.members.erase(name);
      }
      for (schema::Session const& session : tell.sessions) {
        told.members[session.member.name] = session.member;
      }
    }
    if (told.copy.digest() == 0) {
      told.members.clear();
    }
  }
  // Another telling came before, or this one leads elsewhere: what it says of
  // sessions that did not change can't be put to their names.
  if (told.copy.digest() != tell.sessions_digest || tell.sessions_from == 0) {
    return told.copy.digest();
  }
  if (tell.heard_ago_ms.size() != told.members.size()) {
    told = Told{};
    return 0;
  }
  std::size_t index = 0;
  for (std::pair<std::string const, schema::Member> const& entry : told.members) {
    common::Span const ago = static_cast<common::Span>(std::min<std::uint64_t>(tell.heard_ago_ms[index++], 1u << 30u));
    adopt(entry.second, now - common::milliseconds(ago));
  }
  return told.copy.digest();
}

std::uint64_t Sessions::told(schema::Tell const& tell, common::Moment now) {
  met(tell.from, now);
  for (schema::TrellisEntry const& other : tell.others) {
    // Second-hand word makes a trellis known, but does not keep it listed.
    if (other.address != self_.address && controllers_.count(other.address) == 0) {
      controllers_[other.address] = Known{other, now};
    }
  }
  for (schema::Session const& session : tell.sessions) {
    adopt(session.member, now - session.heard_ago);
  }
  return apply_changes(tell, now);
}

std::vector<std::string> Sessions::expire(common::Moment now) {
  std::vector<std::string> ended;
  for (std::map<std::string, Standing>::iterator entry = sessions_.begin(); entry != sessions_.end();) {
    if (now - entry->second.heard > bound_) {
      ended.push_back(entry->first);
      (void)members_.remove(entry->first);
      (void)own_.remove(entry->first);
      entry = sessions_.erase(entry);
    } else {
      ++entry;
    }
  }
  for (std::map<std::string, Known>::iterator entry = controllers_.begin(); entry != controllers_.end();) {
    entry = now - entry->second.heard > constants::peer_bound ? controllers_.erase(entry) : std::next(entry);
  }
  std::erase_if(
      told_, [this](std::pair<std::string const, Told> const& entry) { return controllers_.count(entry.first) == 0; });
  return ended;
}

std::vector<schema::Member> Sessions::members() const {
  std::vector<schema::Member> members;
  for (std::pair<std::string const, Standing> const& entry : sessions_) {
    members.push_back(entry.second.member);
  }
  return members;
}

std::vector<schema::Session> Sessions::tellable(common::Moment now) const {
  std::vector<schema::Session> sessions;
  for (std::pair<std::string const, Standing> const& entry : sessions_) {
    if (entry.second.direct) {
      sessions.push_back(schema::Session{entry.second.member, now - entry.second.heard, {}});
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

void Sessions::tell(std::uint64_t known, common::Moment now, schema::Tell& tell) const {
  tell.sessions_digest = own_.digest();
  std::optional<common::Delta> const delta = own_.since(known);
  if (delta.has_value() && delta->whole) {
    tell.sessions = tellable(now);
    return;
  }
  tell.sessions_from = known;
  if (delta.has_value()) {
    tell.sessions_gone = delta->removed;
    for (std::pair<std::string, std::string> const& entry : delta->put) {
      Standing const& standing = sessions_.at(entry.first);
      tell.sessions.push_back(schema::Session{standing.member, now - standing.heard, {}});
    }
  }
  for (std::pair<std::string const, Standing> const& entry : sessions_) {
    if (entry.second.direct) {
      // Rounded to the older side.
      tell.heard_ago_ms.push_back(
          static_cast<std::uint64_t>(std::max<common::Span>(now - entry.second.heard, 0) + 999) / 1000);
    }
  }
}

std::vector<Peer> Sessions::peers() const {
  std::vector<Peer> peers;
  for (std::pair<std::string const, Known> const& known : controllers_) {
    peers.push_back(Peer{known.second.entry, known.second.heard});
  }
  return peers;
}

std::vector<schema::TrellisEntry> Sessions::controllers() const {
  std::vector<schema::TrellisEntry> entries{self_};
  for (std::pair<std::string const, Known> const& entry : controllers_) {
    entries.push_back(entry.second.entry);
  }
  return entries;
}

}  // namespace finchlink::membership
