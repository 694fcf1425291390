#include "data_plane/contents/content_fetcher.hpp"

#include "consensus/transfer/transfer_client.hpp"

namespace finchlink::data_plane {

void insert_content(schema::NewsAnswer& response, std::string const& name, std::uint64_t revision,
                    std::string content) {
  std::erase_if(response.updates, [&name, revision](schema::NamedValue const& update) {
    return update.name == name && update.revision == revision;
  });
  // In front, so that a newer revision that is still withheld comes after it.
  response.updates.insert(response.updates.begin(), schema::NamedValue{name, revision, std::move(content), 0});
}

schema::NewsAnswer ContentFetcher::with_fetched_contents(schema::NewsAnswer response, std::string const& from) {
  {
    std::lock_guard<std::mutex> const guard(lock_);
    for (std::pair<std::string const, FetchedContent>& entry : fetched_) {
      insert_content(response, entry.first, entry.second.revision, std::move(entry.second.content));
    }
    fetched_.clear();
  }
  for (schema::NamedValue const& update : response.updates) {
    if (update.withheld > 0) {
      start_transfer(schema::TransferKey{update.name, {}, update.revision}, from);
    }
  }
  return response;
}

bool ContentFetcher::busy() {
  std::lock_guard<std::mutex> const guard(lock_);
  return !transfers_.empty();
}

void ContentFetcher::start_transfer(schema::TransferKey const& key, std::string const& from) {
  std::shared_ptr<Transfer> const new_transfer = std::make_shared<Transfer>(Transfer{key, {from}});
  {
    std::lock_guard<std::mutex> const guard(lock_);
    std::pair<std::map<std::string, std::shared_ptr<Transfer>>::iterator, bool> const inserted =
        transfers_.emplace(key.name, new_transfer);
    if (!inserted.second) {
      if (inserted.first->second->key == key) {
        inserted.first->second->new_sources.push_back(from);
      } else {
        inserted.first->second->superseded = true;
      }
      return;
    }
  }
  common::start(context_, [this, new_transfer](common::Yield yield) { run(new_transfer, yield); });
}

void ContentFetcher::run(std::shared_ptr<Transfer> const& transfer, common::Yield yield) {
  consensus::ValueReceiver receiver(transfer->key, {});
  std::function<bool()> const update_sources = [this, &transfer, &receiver] {
    std::lock_guard<std::mutex> const guard(lock_);
    for (std::string const& address : transfer->new_sources) {
      receiver.add_source(address);
    }
    transfer->new_sources.clear();
    if (transfer->superseded) {
      receiver.mark_superseded();
    }
    return true;
  };
  (void)update_sources();  // adds the first source
  std::optional<std::string> content = consensus::run_transfer(context_, caller_, receiver, update_sources, yield);
  std::lock_guard<std::mutex> const guard(lock_);
  transfers_.erase(transfer->key.name);
  if (content.has_value()) {
    fetched_[transfer->key.name] = FetchedContent{transfer->key.revision, std::move(*content)};
  }
}

}  // namespace finchlink::data_plane
