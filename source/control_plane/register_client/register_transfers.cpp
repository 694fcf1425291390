#include "control_plane/register_client/register_transfers.hpp"

#include <algorithm>

#include "common/log/log.hpp"
#include "common/wire/pack.hpp"
#include "consensus/transfer/transfer_client.hpp"

namespace finchlink::control_plane {

namespace {
/// Concurrent transfers of one register: one for reads, and one that a change must build on.
constexpr std::ptrdiff_t max_transfers_per_register = 2;
}  // namespace

RegisterTransfers::RegisterTransfers(boost::asio::io_context& context, common::FrameClient& caller, EndCallback on_end)
    : context_(context), caller_(caller), on_end_(std::move(on_end)) {}

void RegisterTransfers::request(std::string const& name, std::string const& digest,
                                std::vector<std::string> const& addresses,
                                std::optional<schema::Ballot> const& chosen) {
  schema::TransferKey const key{name, digest, 0};
  std::shared_ptr<Transfer> const started = std::make_shared<Transfer>(Transfer{key, chosen, {}, 0});
  {
    std::lock_guard<std::mutex> const guard(lock_);
    for (std::shared_ptr<Transfer> const& transfer : in_progress_) {
      if (transfer->key == key) {
        transfer->chosen = chosen.has_value() ? chosen : transfer->chosen;
        transfer->added_sources.insert(transfer->added_sources.end(), addresses.begin(), addresses.end());
        return;
      }
    }
    std::ptrdiff_t const running =
        std::count_if(in_progress_.begin(), in_progress_.end(),
                      [&name](std::shared_ptr<Transfer> const& transfer) { return transfer->key.name == name; });
    if (running >= max_transfers_per_register) {
      return;  // the next read requests it again when one of these has ended
    }
    in_progress_.push_back(started);
  }
  common::start(context_, [this, started, addresses](common::Yield yield) { run(started, addresses, yield); });
}

bool RegisterTransfers::continue_transfer(Transfer& transfer, consensus::ValueReceiver& receiver) {
  std::lock_guard<std::mutex> const guard(lock_);
  for (std::string const& address : transfer.added_sources) {
    receiver.add_source(address);
  }
  transfer.added_sources.clear();
  transfer.bytes_left = receiver.total() - std::min(receiver.total(), receiver.received());
  return true;
}

void RegisterTransfers::run(std::shared_ptr<Transfer> const& transfer, std::vector<std::string> const& addresses,
                            common::Yield yield) {
  consensus::ValueReceiver receiver(transfer->key, addresses);
  finish(transfer, consensus::run_transfer(
                       context_, caller_, receiver, [&] { return continue_transfer(*transfer, receiver); }, yield));
}

void RegisterTransfers::finish(std::shared_ptr<Transfer> const& transfer, std::optional<std::string> const& bytes) {
  absl::StatusOr<schema::Value> value = absl::NotFoundError("no source has the value any longer");
  if (bytes.has_value()) {
    value = common::unpack<schema::Value>(*bytes);
  }
  std::optional<schema::Ballot> chosen;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    std::erase(in_progress_, transfer);
    chosen = transfer->chosen;
    if (value.ok() && !chosen.has_value()) {
      fetched_[transfer->key.name] = Fetched{transfer->key.digest, *value};
    }
  }
  if (value.ok()) {
    common::log_event(common::Event::ValueFetched, transfer->key.name + " revision " + std::to_string(value->revision) +
                                                       ", " + std::to_string(bytes->size()) + " bytes");
  }
  on_end_(transfer->key.name, value.ok() ? std::optional<schema::Value>(*value) : std::nullopt, chosen);
}

bool RegisterTransfers::in_progress(std::string const& name, std::string const& digest) {
  schema::TransferKey const key{name, digest, 0};
  std::lock_guard<std::mutex> const guard(lock_);
  return std::any_of(in_progress_.begin(), in_progress_.end(),
                     [&key](std::shared_ptr<Transfer> const& transfer) { return transfer->key == key; });
}

std::optional<schema::Value> RegisterTransfers::fetched(std::string const& name, std::string const& digest) {
  std::lock_guard<std::mutex> const guard(lock_);
  std::map<std::string, Fetched>::const_iterator const found = fetched_.find(name);
  if (found == fetched_.end() || found->second.digest != digest) {
    return std::nullopt;
  }
  return found->second.value;
}

void RegisterTransfers::discard(std::string const& name) {
  std::lock_guard<std::mutex> const guard(lock_);
  fetched_.erase(name);
}

std::size_t RegisterTransfers::bytes_left() {
  std::lock_guard<std::mutex> const guard(lock_);
  std::size_t left = 0;
  for (std::shared_ptr<Transfer> const& transfer : in_progress_) {
    left += transfer->bytes_left;
  }
  return left;
}

}  // namespace finchlink::control_plane
