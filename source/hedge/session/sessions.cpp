#include "hedge/session/sessions.hpp"

#include "loam/constants.hpp"
#include "loam/digest/digest.hpp"

namespace finchlink::hedge {

namespace constants = loam::constants;

std::uint64_t digest_of(std::vector<schema::Member> const& members) {
  loam::Digest digest;
  for (schema::Member const& member : members) {
    digest.add(member.name).add(member.incarnation).add(member.hall).add(member.address).add(member.ready ? 1 : 0);
  }
  return digest.short_value();
}

bool Sessions::heard(schema::Member const& member, loam::Moment now) {
  Standing& standing = sessions_[member.name];
  bool const opened = standing.member.incarnation != member.incarnation;
  standing = Standing{member, now, true};
  return opened;
}

void Sessions::met(schema::TrellisEntry const& trellis, loam::Moment now) {
  if (trellis.address != self_.address && !trellis.address.empty()) {
    trellises_[trellis.address] = Known{trellis, now};
  }
}

void Sessions::told(schema::Tell const& tell, loam::Moment now) {
  met(tell.from, now);
  for (schema::TrellisEntry const& other : tell.others) {
    // Second-hand word makes a trellis known, but does not keep it listed.
    if (other.address != self_.address && trellises_.count(other.address) == 0) {
      trellises_[other.address] = Known{other, now};
    }
  }
  for (schema::Session const& session : tell.sessions) {
    loam::Moment const heard = now - session.heard_ago;
    Standing& standing = sessions_[session.member.name];
    if (heard > standing.heard) {
      standing = Standing{session.member, heard, false};
    }
  }
}

std::vector<std::string> Sessions::expire(loam::Moment now) {
  std::vector<std::string> ended;
  for (std::map<std::string, Standing>::iterator entry = sessions_.begin(); entry != sessions_.end();) {
    if (now - entry->second.heard > bound_) {
      ended.push_back(entry->first);
      entry = sessions_.erase(entry);
    } else {
      ++entry;
    }
  }
  for (std::map<std::string, Known>::iterator entry = trellises_.begin(); entry != trellises_.end();) {
    entry = now - entry->second.heard > constants::colleague_bound ? trellises_.erase(entry) : std::next(entry);
  }
  return ended;
}

std::vector<schema::Member> Sessions::members() const {
  std::vector<schema::Member> members;
  for (std::pair<std::string const, Standing> const& entry : sessions_) {
    members.push_back(entry.second.member);
  }
  return members;
}

std::vector<schema::Session> Sessions::tellable(loam::Moment now) const {
  std::vector<schema::Session> sessions;
  for (std::pair<std::string const, Standing> const& entry : sessions_) {
    if (entry.second.direct) {
      sessions.push_back(schema::Session{entry.second.member, now - entry.second.heard, {}});
    }
  }
  return sessions;
}

std::vector<schema::TrellisEntry> Sessions::trellises() const {
  std::vector<schema::TrellisEntry> entries{self_};
  for (std::pair<std::string const, Known> const& entry : trellises_) {
    entries.push_back(entry.second.entry);
  }
  return entries;
}

}  // namespace finchlink::hedge
