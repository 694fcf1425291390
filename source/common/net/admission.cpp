#include "common/net/admission.hpp"

#include <boost/asio/steady_timer.hpp>

#include "common/admission/admission_constants.hpp"

namespace finchlink::common {

namespace {
void call_all(std::vector<std::function<void()>> const& functions) {
  for (std::function<void()> const& function : functions) {
    function();
  }
}
}  // namespace

AdmittedConnection::~AdmittedConnection() {
  admission_->remove(id_);
}

void AdmittedConnection::set_phase(ConnectionPhase phase) {
  admission_->set_phase(id_, phase);
}

bool AdmittedConnection::crowded() const {
  return admission_->crowded(kind_);
}

ReserveOutcome AdmittedConnection::resize(std::size_t from, std::size_t to) {
  std::size_t const held = held_bytes_ - from + to;
  ReserveOutcome const outcome = admission_->reserve(id_, held);
  if (outcome == ReserveOutcome::granted) {
    held_bytes_ = held;
  }
  return outcome;
}

bool AdmittedConnection::resize_if_free(std::size_t from, std::size_t to) {
  std::size_t const held = held_bytes_ - from + to;
  bool const granted = admission_->reserve_if_free(id_, held);
  held_bytes_ = granted ? held : held_bytes_;
  return granted;
}

bool MemoryReservation::resize(std::size_t bytes) {
  if (bytes == bytes_) {
    return true;
  }
  bool const granted = connection_->resize(bytes_, bytes) == ReserveOutcome::granted;
  bytes_ = granted ? bytes : bytes_;
  return granted;
}

bool MemoryReservation::resize_if_free(std::size_t bytes) {
  bool const granted = bytes == bytes_ || connection_->resize_if_free(bytes_, bytes);
  bytes_ = granted ? bytes : bytes_;
  return granted;
}

bool MemoryReservation::obtain(std::size_t bytes, boost::asio::yield_context yield) {
  while (bytes != bytes_) {
    ReserveOutcome const outcome = connection_->resize(bytes_, bytes);
    if (outcome == ReserveOutcome::refused) {
      return false;
    }
    if (outcome == ReserveOutcome::granted) {
      bytes_ = bytes;
      return true;
    }
    boost::asio::steady_timer timer(yield.get_executor(), std::chrono::microseconds(constants::memory_retry_pause));
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
  }
  return true;
}

std::shared_ptr<AdmittedConnection> Admission::admit(ListenerKind kind, std::function<void()> close) {
  AdmitDecision decision;
  std::vector<std::function<void()>> closers;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    decision = table_.admit(kind, boot_now());
    closers = take_closers(decision.close);
    if (decision.id.has_value()) {
      closers_[*decision.id] = std::move(close);
    }
  }
  call_all(closers);
  return decision.id.has_value() ? std::make_shared<AdmittedConnection>(shared_from_this(), kind, *decision.id)
                                 : nullptr;
}

ReserveOutcome Admission::reserve(ConnectionId id, std::size_t bytes) {
  ReserveDecision decision;
  std::vector<std::function<void()>> closers;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    decision = table_.reserve(id, bytes, boot_now());
    closers = take_closers(decision.close);
  }
  call_all(closers);
  return decision.outcome;
}

bool Admission::reserve_if_free(ConnectionId id, std::size_t bytes) {
  std::lock_guard<std::mutex> const guard(lock_);
  return table_.reserve_if_free(id, bytes);
}

void Admission::set_phase(ConnectionId id, ConnectionPhase phase) {
  std::lock_guard<std::mutex> const guard(lock_);
  table_.set_phase(id, phase, boot_now());
}

bool Admission::crowded(ListenerKind kind) {
  std::lock_guard<std::mutex> const guard(lock_);
  return table_.crowded(kind, boot_now());
}

void Admission::remove(ConnectionId id) {
  std::lock_guard<std::mutex> const guard(lock_);
  closers_.erase(id);
  table_.remove(id);
}

std::vector<std::function<void()>> Admission::take_closers(std::vector<ConnectionId> const& ids) {
  std::vector<std::function<void()>> closers;
  for (ConnectionId const id : ids) {
    std::map<ConnectionId, std::function<void()>>::iterator const found = closers_.find(id);
    if (found != closers_.end()) {
      closers.push_back(std::move(found->second));
      closers_.erase(found);
    }
  }
  return closers;
}

}  // namespace finchlink::common
