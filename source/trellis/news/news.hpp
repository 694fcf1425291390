#pragma once

#include <deque>
#include <mutex>

#include "hedge/listing/listing.hpp"
#include "hedge/session/sessions.hpp"
#include "loam/net/net.hpp"
#include "loam/settings/settings.hpp"
#include "trellis/holder/holder_shell.hpp"
#include "trellis/ledger/ledger.hpp"

namespace finchlink::trellis {

/// What a furrow is told (section 6), members and the platform list.
class News {
 public:
  News(boost::asio::io_context& context, loam::Caller& caller, Ledger& ledger, HolderShell* holder, schema::Settings const& settings,
       std::uint64_t identity);
  void begin();
  [[nodiscard]] schema::Message ask(schema::NewsAsk const& ask, loam::Yield yield);
  [[nodiscard]] schema::Message tell(schema::Tell const& tell);

  [[nodiscard]] std::vector<schema::Member> members();
  [[nodiscard]] std::vector<schema::TrellisEntry> trellises();
  [[nodiscard]] schema::PlatformList list();
  /// Microseconds since the list was asked for; negative when never read.
  [[nodiscard]] loam::Span list_age();
  /// Reports of furrows, each handed out once per taker.
  [[nodiscard]] std::vector<schema::Session> take_reports();

 private:
  void keep_list(schema::PlatformList const& list, loam::Moment as_of);
  void keep_reports(schema::Member const& member, std::vector<schema::FurrowReport> const& reports, loam::Moment now);
  void read_platform(loam::Yield yield);
  void tell_colleagues(loam::Yield yield);
  [[nodiscard]] schema::TrellisEntry self();

  boost::asio::io_context& context_;
  loam::Caller& caller_;
  Ledger& ledger_;
  HolderShell* holder_;
  schema::Settings settings_;
  std::uint64_t identity_;
  std::mutex lock_;
  hedge::Sessions sessions_;
  hedge::Listing listing_;
  struct Kept {
    schema::Member member;
    schema::FurrowReport report;
    loam::Moment at = 0;
  };
  std::deque<Kept> reports_;
  std::deque<schema::Session> fresh_reports_;
  std::map<std::uint64_t, std::uint64_t> newest_slice_;
};

}  // namespace finchlink::trellis
