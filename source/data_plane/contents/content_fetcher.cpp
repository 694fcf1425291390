#include "data_plane/contents/content_fetcher.hpp"

#include "consensus/transfer/transfer_client.hpp"

namespace finchlink::data_plane {

void put_in(schema::NewsAnswer& answer, std::string const& name, std::uint64_t revision, std::string content) {
  std::erase_if(answer.updates, [&name, revision](schema::NamedValue const& update) {
    return update.name == name && update.revision == revision;
  });
  // First, so that a newer revision that is still withheld comes after it.
  answer.updates.insert(answer.updates.begin(), schema::NamedValue{name, revision, std::move(content), 0});
}

schema::NewsAnswer ContentFetcher::completed(schema::NewsAnswer answer, std::string const& from) {
  {
    std::lock_guard<std::mutex> const guard(lock_);
    for (std::pair<std::string const, Whole>& entry : whole_) {
      put_in(answer, entry.first, entry.second.revision, std::move(entry.second.content));
    }
    whole_.clear();
  }
  for (schema::NamedValue const& update : answer.updates) {
    if (update.withheld > 0) {
      want(schema::TransferKey{update.name, {}, update.revision}, from);
    }
  }
  return answer;
}

bool ContentFetcher::busy() {
  std::lock_guard<std::mutex> const guard(lock_);
  return !under_way_.empty();
}

void ContentFetcher::want(schema::TransferKey const& key, std::string const& from) {
  std::shared_ptr<Transfer> const begun = std::make_shared<Transfer>(Transfer{key, {from}});
  {
    std::lock_guard<std::mutex> const guard(lock_);
    std::pair<std::map<std::string, std::shared_ptr<Transfer>>::iterator, bool> const placed =
        under_way_.emplace(key.name, begun);
    if (!placed.second) {
      if (placed.first->second->key == key) {
        placed.first->second->added.push_back(from);
      } else {
        placed.first->second->superseded = true;
      }
      return;
    }
  }
  common::start(context_, [this, begun](common::Yield yield) { run(begun, yield); });
}

void ContentFetcher::run(std::shared_ptr<Transfer> const& transfer, common::Yield yield) {
  consensus::ValueReceiver receiver(transfer->key, {});
  std::function<bool()> const go_on = [this, &transfer, &receiver] {
    std::lock_guard<std::mutex> const guard(lock_);
    for (std::string const& address : transfer->added) {
      receiver.add_source(address);
    }
    transfer->added.clear();
    if (transfer->superseded) {
      receiver.mark_superseded();
    }
    return true;
  };
  (void)go_on();  // the first source
  std::optional<std::string> content = consensus::run_transfer(context_, caller_, receiver, go_on, yield);
  std::lock_guard<std::mutex> const guard(lock_);
  under_way_.erase(transfer->key.name);
  if (content.has_value()) {
    whole_[transfer->key.name] = Whole{transfer->key.revision, std::move(*content)};
  }
}

}  // namespace finchlink::data_plane
