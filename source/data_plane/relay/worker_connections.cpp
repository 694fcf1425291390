#include "data_plane/relay/worker_connections.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "common/relay_constants.hpp"

namespace finchlink::data_plane {

namespace constants = common::constants;

namespace {
/// Neither closed nor holding unsolicited bytes.
bool is_usable(WorkerConnections::Socket& socket) {
  char byte = 0;
  ssize_t const count = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
}  // namespace

std::unique_ptr<WorkerConnections::Socket> WorkerConnections::take(std::string const& worker) {
  std::map<std::string, Idle>::iterator const found = idle_.find(worker);
  if (found == idle_.end()) {
    return nullptr;
  }
  common::Moment const now = common::boot_now();
  while (!found->second.empty()) {
    IdleConnection entry = std::move(found->second.back());
    found->second.pop_back();
    --count_;
    if (now < entry.until && is_usable(*entry.socket)) {
      return std::move(entry.socket);
    }
  }
  return nullptr;
}

void WorkerConnections::keep(std::string const& worker, std::unique_ptr<Socket> socket, common::Span longest) {
  common::Moment const now = common::boot_now();
  Idle& idle = idle_[worker];
  drop_expired(idle, now);
  if (idle.size() >= constants::max_idle_per_worker) {
    idle.pop_front();
    --count_;
  }
  if (count_ >= max_connections_) {
    drop_all_expired(now);
  }
  if (count_ < max_connections_) {
    idle.push_back(IdleConnection{std::move(socket), now + std::min(longest, constants::worker_idle_timeout)});
    ++count_;
  }
}

void WorkerConnections::keep_only(std::set<std::string> const& workers) {
  std::erase_if(idle_, [this, &workers](std::pair<std::string const, Idle> const& entry) {
    bool const gone = workers.count(entry.first) == 0;
    count_ -= gone ? entry.second.size() : 0;
    return gone;
  });
}

void WorkerConnections::drop_expired(Idle& idle, common::Moment now) {
  while (!idle.empty() && now >= idle.front().until) {
    idle.pop_front();
    --count_;
  }
}

void WorkerConnections::drop_all_expired(common::Moment now) {
  for (std::pair<std::string const, Idle>& entry : idle_) {
    drop_expired(entry.second, now);
  }
}

}  // namespace finchlink::data_plane
