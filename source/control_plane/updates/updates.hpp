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

/// Reads the platform list from a source that doesn't serve it in finchlink's own format (section 13.4).
using ListReader = std::function<absl::StatusOr<schema::PlatformList>(
    boost::asio::io_context&, std::string const& address, common::Span deadline, common::Yield)>;

/// Serves updates to proxies (section 6), and maintains by gossip with the other controllers what the updates are made
/// of beside the register: the members' sessions and the platform list.
class UpdateService {
 public:
  /// The references must outlive this object. `acceptor` is null where this process has no disk. Without `list_reader`
  /// the list is read over HTTP in finchlink's own format.
  UpdateService(boost::asio::io_context& context, common::FrameClient& caller, RegisterClient& register_client,
                AcceptorService* acceptor, schema::Settings const& settings, std::uint64_t identity,
                ListReader list_reader = {});
  /// Starts the loops; called once.
  void begin();
  /// Takes settings that changed while the process runs.
  void apply_settings(schema::Settings const& settings);
  /// Starts a round of gossip to all peers at once; with `confirm` they also start a majority read.
  void announce(bool confirm);
  /// Answers a proxy's long-poll request for updates, once there are some or its wait is over.
  [[nodiscard]] schema::Message handle_updates_request(schema::NewsAsk const& request, common::Yield yield);
  /// Takes a peer's gossip message and returns the reply.
  [[nodiscard]] schema::Message handle_gossip(schema::Tell const& message);
  /// Returns a piece of a value that was too large for an update (section 5.9).
  [[nodiscard]] schema::Message handle_piece_request(schema::PieceRequest const& request);

  /// Returns the proxies with a live session.
  [[nodiscard]] std::vector<schema::Member> members();
  /// Returns all known controllers, this process first.
  [[nodiscard]] std::vector<schema::TrellisEntry> controllers();
  /// Returns all other controllers, each with when it was last heard from.
  [[nodiscard]] std::vector<membership::Peer> peers();
  /// Makes all further gossip say that this process is leaving.
  void set_leaving() { leaving_ = true; }
  [[nodiscard]] bool leaving() const { return leaving_; }
  /// Rings when a voter is first reported as leaving.
  [[nodiscard]] common::Notifier& departure_bell() { return departure_bell_; }
  /// Returns the platform list in force; empty if it was never read.
  [[nodiscard]] schema::PlatformList list();
  /// Returns the digest of the list in force (membership/listing/listing.hpp).
  [[nodiscard]] std::uint64_t list_digest();
  /// Returns the microseconds since the list was requested; negative if it was never read.
  [[nodiscard]] common::Span list_age();
  /// Returns the proxies' reports that arrived since the last call.
  [[nodiscard]] std::vector<schema::Session> take_reports();

 private:
  /// Stores a list requested at `as_of`; wakes waiting requests if the list changed.
  void store_list(schema::PlatformList const& list, common::Moment as_of);
  /// Stores a member's reports newer than its latest one. Needs the lock.
  void store_reports(schema::Member const& member, std::vector<schema::FurrowReport> const& reports,
                     common::Moment now);
  /// Reads the platform list and returns how long to wait afterwards.
  [[nodiscard]] common::Span refresh_list(common::Yield yield);
  /// Reads the list with GET /workers. Fails if the request fails (also with a status other than 200), or if the body
  /// isn't a valid list (kDataLoss).
  [[nodiscard]] absl::StatusOr<schema::PlatformList> fetch_native_list(std::string const& address, common::Yield yield);
  /// Returns how long until this controller must read the list itself.
  [[nodiscard]] common::Span time_until_list_read();
  /// Runs one round of gossip, with `single_address` only to that peer.
  void notify_peers(bool confirm, std::string const& single_address, common::Yield yield);
  /// Wakes waiting requests if the members changed. Needs the lock.
  void notify_member_changes();
  /// Updates the set of leaving voters; returns true if another one joined it. Needs the lock.
  [[nodiscard]] bool update_leaving_voters();
  /// Adds recently received reports to the sessions they belong to. Needs the lock.
  void append_reports(schema::Tell& message, common::Moment now);
  /// Returns one of the time bounds in the settings, which are in milliseconds. Takes the lock.
  [[nodiscard]] common::Span time_bound(std::uint64_t schema::TimeBounds::*field);
  /// Returns this process's entry, as gossip carries it.
  [[nodiscard]] schema::TrellisEntry self_entry();

  boost::asio::io_context& context_;
  common::FrameClient& caller_;
  RegisterClient& register_;
  AcceptorService* acceptor_;  ///< null where this process has no disk
  schema::Settings settings_;
  std::uint64_t identity_;
  std::mutex lock_;  ///< guards the state below but the value sender, and the settings
  membership::Sessions sessions_;
  membership::GossipSchedule gossip_;
  membership::Listing listing_;
  /// A report of a proxy, and when it arrived.
  struct ReceivedReport {
    schema::Member member;
    schema::FurrowReport report;
    common::Moment at = 0;
  };
  std::deque<ReceivedReport> recent_reports_;               ///< those of the last second, still passed on by gossip
  std::deque<schema::Session> untaken_reports_;             ///< for take_reports(); the oldest are dropped
  std::map<std::uint64_t, std::uint64_t> newest_interval_;  ///< latest reporting interval, by the member's incarnation
  ListReader list_reader_;
  std::uint64_t members_digest_ = 0;
  std::atomic<bool> leaving_ = false;
  std::set<std::uint64_t> leaving_voters_;
  common::Notifier departure_bell_;
  std::map<std::string, std::uint64_t>
      known_digests_;              ///< by peer address: digest of this process's sessions that the peer knows
  bool is_fetching_list_ = false;  ///< a newer list is being fetched from a peer
  common::Span list_pause_after_failure_ =
      0;                           ///< doubles while the platform rejects reads as too many; 0 after a success
  std::mutex sender_lock_;         ///< guards sender_
  consensus::ValueSender sender_;  ///< serves large values in pieces
};

}  // namespace finchlink::control_plane
