#pragma once

#include <atomic>
#include <deque>
#include <mutex>

#include "common/net/net.hpp"
#include "common/settings/settings.hpp"
#include "consensus/transfer/value_sender.hpp"
#include "control_plane/acceptor/acceptor_service.hpp"
#include "control_plane/register_client/register_client.hpp"
#include "membership/gossip/gossip_schedule.hpp"
#include "membership/listing/listing.hpp"
#include "membership/session/sessions.hpp"

namespace finchlink::control_plane {

/// How the platform list is read where it is not in our own form (section 13.4).
using ListReader = std::function<absl::StatusOr<schema::PlatformList>(
    boost::asio::io_context&, std::string const& address, common::Span deadline, common::Yield)>;

/// What a furrow is told (section 6), members and the platform list.
class UpdateService {
 public:
  UpdateService(boost::asio::io_context& context, common::Caller& caller, RegisterClient& register_client,
                AcceptorService* holder, schema::Settings const& settings, std::uint64_t identity,
                ListReader reader = {});
  void begin();
  /// Settings that changed.
  void follow(schema::Settings const& settings);
  /// Tells all colleagues at once; with `confirm` they also read what was chosen.
  void announce(bool confirm);
  [[nodiscard]] schema::Message ask(schema::NewsAsk const& ask, common::Yield yield);
  [[nodiscard]] schema::Message tell(schema::Tell const& tell);
  /// A piece of a content that an answer left out (section 5.9).
  [[nodiscard]] schema::Message piece(schema::PieceRequest const& request);

  [[nodiscard]] std::vector<schema::Member> members();
  [[nodiscard]] std::vector<schema::TrellisEntry> controllers();
  /// All other trellises, each with when it was last heard of.
  [[nodiscard]] std::vector<membership::Peer> peers();
  /// From now on all are told that this process leaves.
  void set_leaving() { leaving_ = true; }
  [[nodiscard]] bool leaving() const { return leaving_; }
  /// Rings when a voter is first heard to leave.
  [[nodiscard]] common::Bell& departures() { return departures_; }
  [[nodiscard]] schema::PlatformList list();
  [[nodiscard]] std::uint64_t list_digest();
  /// Microseconds since the list was asked for; negative when never read.
  [[nodiscard]] common::Span list_age();
  /// Reports of furrows, each handed out once per taker.
  [[nodiscard]] std::vector<schema::Session> take_reports();

 private:
  void keep_list(schema::PlatformList const& list, common::Moment as_of);
  void keep_reports(schema::Member const& member, std::vector<schema::FurrowReport> const& reports, common::Moment now);
  /// Reads the platform list; how long to wait then.
  [[nodiscard]] common::Span read_platform(common::Yield yield);
  [[nodiscard]] absl::StatusOr<schema::PlatformList> read_own_list(std::string const& address, common::Yield yield);
  /// How long until it is on this trellis to read the list.
  [[nodiscard]] common::Span list_rest();
  void notify_peers(bool confirm, std::string const& only, common::Yield yield);
  /// Notes whether members are others than before; rings if so. Under the lock.
  void judge_members();
  /// Notes which voters leave; true when another one does. Under the lock.
  [[nodiscard]] bool judge_departures();
  /// Puts newly taken reports to the sessions they are of. Under the lock.
  void add_reports(schema::Tell& tell, common::Moment now);
  [[nodiscard]] common::Span bound(std::uint64_t schema::TimeBounds::*field);
  [[nodiscard]] schema::TrellisEntry self();

  boost::asio::io_context& context_;
  common::Caller& caller_;
  RegisterClient& register_;
  AcceptorService* holder_;
  schema::Settings settings_;
  std::uint64_t identity_;
  std::mutex lock_;
  membership::Sessions sessions_;
  membership::GossipSchedule gossip_;
  membership::Listing listing_;
  struct Kept {
    schema::Member member;
    schema::FurrowReport report;
    common::Moment at = 0;
  };
  std::deque<Kept> reports_;
  std::deque<schema::Session> fresh_reports_;
  std::map<std::uint64_t, std::uint64_t> newest_slice_;
  ListReader reader_;
  std::uint64_t members_digest_ = 0;
  std::atomic<bool> leaving_ = false;
  std::set<std::uint64_t> leaving_voters_;
  common::Bell departures_;
  std::map<std::string, std::uint64_t>
      known_there_;        ///< digest of our sessions as a colleague knows them, by its address
  bool fetching_ = false;  ///< a colleague's newer list is on its way
  common::Span list_pause_after_failure_ = 0;
  std::mutex pieces_lock_;
  consensus::ValueSender sender_;
};

}  // namespace finchlink::control_plane
