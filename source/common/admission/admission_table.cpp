#include "common/admission/admission_table.hpp"

#include <tuple>

#include "common/admission/admission_constants.hpp"

namespace finchlink::common {

AdmitDecision AdmissionTable::admit(ListenerKind kind, Moment now) {
  AdmitDecision decision;
  if (open(kind) >= limits_.of(kind)) {
    Connections::iterator const replaced = find_replaceable(kind, now);
    if (replaced == connections_.end()) {
      refused_at_[static_cast<std::size_t>(kind)] = now;
      return decision;
    }
    mark_closing(replaced->second);
    decision.close.push_back(replaced->first);
  }
  decision.id = next_id_++;
  connections_[*decision.id] = Connection{kind, ConnectionPhase::idle, now, 0, false};
  ++open_[static_cast<std::size_t>(kind)];
  return decision;
}

bool AdmissionTable::crowded(ListenerKind kind, Moment now) const {
  std::optional<Moment> const& refused_at = refused_at_[static_cast<std::size_t>(kind)];
  return refused_at.has_value() && now - *refused_at < constants::crowded_span;
}

ReserveDecision AdmissionTable::reserve(ConnectionId id, std::size_t bytes, Moment now) {
  ReserveDecision decision;
  Connections::iterator const found = connections_.find(id);
  if (found == connections_.end()) {
    return decision;
  }
  Connection& connection = found->second;
  if (bytes <= connection.held_bytes) {
    std::size_t const freed = connection.held_bytes - bytes;
    used_bytes_ -= freed;
    closing_bytes_ -= connection.closing ? freed : 0;
    connection.held_bytes = bytes;
    decision.outcome = ReserveOutcome::granted;
    return decision;
  }
  if (connection.closing) {
    return decision;
  }
  std::size_t const more = bytes - connection.held_bytes;
  std::size_t const most = ceiling(bytes);
  if (more > most) {
    return decision;
  }
  while (used_bytes_ + more > most + closing_bytes_) {
    Connections::iterator const largest = find_largest_holder(now);
    if (largest == connections_.end() || largest == found) {
      return decision;
    }
    mark_closing(largest->second);
    decision.close.push_back(largest->first);
  }
  if (used_bytes_ + more > most) {
    decision.outcome = ReserveOutcome::wait;
    return decision;
  }
  used_bytes_ += more;
  connection.held_bytes = bytes;
  decision.outcome = ReserveOutcome::granted;
  return decision;
}

bool AdmissionTable::reserve_if_free(ConnectionId id, std::size_t bytes) {
  Connections::iterator const found = connections_.find(id);
  if (found == connections_.end() || found->second.closing) {
    return false;
  }
  Connection& connection = found->second;
  std::size_t const most =
      static_cast<std::size_t>(static_cast<double>(limits_.shared_bytes) * constants::read_ahead_share);
  if (bytes > connection.held_bytes && used_bytes_ + (bytes - connection.held_bytes) > most) {
    return false;
  }
  used_bytes_ = used_bytes_ - connection.held_bytes + bytes;
  connection.held_bytes = bytes;
  return true;
}

void AdmissionTable::set_phase(ConnectionId id, ConnectionPhase phase, Moment now) {
  Connections::iterator const found = connections_.find(id);
  if (found != connections_.end() && found->second.phase != phase) {
    found->second.phase = phase;
    found->second.since = now;
  }
}

void AdmissionTable::remove(ConnectionId id) {
  Connections::iterator const found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  Connection const& connection = found->second;
  used_bytes_ -= connection.held_bytes;
  if (connection.closing) {
    closing_bytes_ -= connection.held_bytes;
  } else {
    --open_[static_cast<std::size_t>(connection.kind)];
  }
  connections_.erase(found);
}

bool AdmissionTable::may_be_closed(Connection const& connection, Moment now) {
  if (connection.closing || connection.phase == ConnectionPhase::serving) {
    return false;
  }
  return connection.phase != ConnectionPhase::responding || now - connection.since >= constants::unread_answer_grace;
}

AdmissionTable::Connections::iterator AdmissionTable::find_replaceable(ListenerKind kind, Moment now) {
  using Order = std::tuple<ConnectionPhase, Moment>;
  Connections::iterator first = connections_.end();
  for (Connections::iterator entry = connections_.begin(); entry != connections_.end(); ++entry) {
    Connection const& connection = entry->second;
    if (connection.kind != kind || !may_be_closed(connection, now)) {
      continue;
    }
    if (first == connections_.end() ||
        Order(connection.phase, connection.since) < Order(first->second.phase, first->second.since)) {
      first = entry;
    }
  }
  return first;
}

AdmissionTable::Connections::iterator AdmissionTable::find_largest_holder(Moment now) {
  Connections::iterator largest = connections_.end();
  double largest_score = 0;
  for (Connections::iterator entry = connections_.begin(); entry != connections_.end(); ++entry) {
    Connection const& connection = entry->second;
    if (connection.held_bytes == 0 || !may_be_closed(connection, now)) {
      continue;
    }
    double const score = static_cast<double>(connection.held_bytes) * static_cast<double>(now - connection.since + 1);
    if (score > largest_score) {
      largest_score = score;
      largest = entry;
    }
  }
  return largest;
}

void AdmissionTable::mark_closing(Connection& connection) {
  connection.closing = true;
  closing_bytes_ += connection.held_bytes;
  --open_[static_cast<std::size_t>(connection.kind)];
}

std::size_t AdmissionTable::ceiling(std::size_t held_bytes) const {
  return held_bytes <= constants::small_holding_bytes
             ? limits_.shared_bytes
             : static_cast<std::size_t>(static_cast<double>(limits_.shared_bytes) * constants::large_holding_share);
}

}  // namespace finchlink::common
