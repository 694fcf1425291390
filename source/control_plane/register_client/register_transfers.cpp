#include "control_plane/register_client/register_transfers.hpp"

#include <algorithm>

#include "common/log/log.hpp"
#include "common/wire/pack.hpp"
#include "consensus/transfer/transfer_client.hpp"

namespace finchlink::control_plane {

namespace {
/// Transfers of one register at once: one that is read, and one that a change
/// must go on from.
constexpr std::ptrdiff_t transfers_of_one_register = 2;
}  // namespace

RegisterTransfers::RegisterTransfers(boost::asio::io_context& context, common::Caller& caller, Ended ended)
    : context_(context), caller_(caller), ended_(std::move(ended)) {}

void RegisterTransfers::want(std::string const& name, std::string const& digest,
                             std::vector<std::string> const& addresses, std::optional<schema::Ballot> const& chosen) {
  schema::TransferKey const key{name, digest, 0};
  std::shared_ptr<Transfer> const begun = std::make_shared<Transfer>(Transfer{key, chosen, {}, 0});
  {
    std::lock_guard<std::mutex> const guard(lock_);
    for (std::shared_ptr<Transfer> const& transfer : under_way_) {
      if (transfer->key == key) {
        transfer->chosen = chosen.has_value() ? chosen : transfer->chosen;
        transfer->added.insert(transfer->added.end(), addresses.begin(), addresses.end());
        return;
      }
    }
    std::ptrdiff_t const running =
        std::count_if(under_way_.begin(), under_way_.end(),
                      [&name](std::shared_ptr<Transfer> const& transfer) { return transfer->key.name == name; });
    if (running >= transfers_of_one_register) {
      return;  // named again by the next read, when one of these is done
    }
    under_way_.push_back(begun);
  }
  common::start(context_, [this, begun, addresses](common::Yield yield) { run(begun, addresses, yield); });
}

bool RegisterTransfers::go_on(Transfer& transfer, consensus::ValueReceiver& receiver) {
  std::lock_guard<std::mutex> const guard(lock_);
  for (std::string const& address : transfer.added) {
    receiver.add_source(address);
  }
  transfer.added.clear();
  transfer.left = receiver.total() - std::min(receiver.total(), receiver.received());
  return true;
}

void RegisterTransfers::run(std::shared_ptr<Transfer> const& transfer, std::vector<std::string> const& addresses,
                            common::Yield yield) {
  consensus::ValueReceiver receiver(transfer->key, addresses);
  finish(transfer, consensus::run_transfer(
                       context_, caller_, receiver, [&] { return go_on(*transfer, receiver); }, yield));
}

void RegisterTransfers::finish(std::shared_ptr<Transfer> const& transfer, std::optional<std::string> const& bytes) {
  absl::StatusOr<schema::Value> value = absl::NotFoundError("no source has it any more");
  if (bytes.has_value()) {
    value = common::unpack<schema::Value>(*bytes);
  }
  std::optional<schema::Ballot> chosen;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    std::erase(under_way_, transfer);
    chosen = transfer->chosen;
    if (value.ok() && !chosen.has_value()) {
      fetched_[transfer->key.name] = Fetched{transfer->key.digest, *value};
    }
  }
  if (value.ok()) {
    common::note(common::Event::ValueFetched, transfer->key.name + " revision " + std::to_string(value->revision) +
                                                  ", " + std::to_string(bytes->size()) + " bytes");
  }
  ended_(transfer->key.name, value.ok() ? std::optional<schema::Value>(*value) : std::nullopt, chosen);
}

bool RegisterTransfers::under_way(std::string const& name, std::string const& digest) {
  schema::TransferKey const key{name, digest, 0};
  std::lock_guard<std::mutex> const guard(lock_);
  return std::any_of(under_way_.begin(), under_way_.end(),
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

void RegisterTransfers::forget(std::string const& name) {
  std::lock_guard<std::mutex> const guard(lock_);
  fetched_.erase(name);
}

std::size_t RegisterTransfers::bytes_left() {
  std::lock_guard<std::mutex> const guard(lock_);
  std::size_t left = 0;
  for (std::shared_ptr<Transfer> const& transfer : under_way_) {
    left += transfer->left;
  }
  return left;
}

}  // namespace finchlink::control_plane
