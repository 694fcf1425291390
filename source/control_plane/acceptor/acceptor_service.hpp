#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include <absl/status/status.h>

#include "common/net/net.hpp"
#include "consensus/acceptor/acceptor.hpp"
#include "consensus/acceptor/synced_ballots.hpp"
#include "consensus/acceptor/synced_changes.hpp"
#include "consensus/transfer/value_receiver.hpp"
#include "consensus/write_ahead_log/write_ahead_log.hpp"

namespace finchlink::control_plane {

/// Runs a consensus acceptor on a disk (section 5.3). A dedicated thread syncs its records before the reply to them is
/// sent. A disk that fails, stalls or is slow makes the acceptor stop answering and affects nothing else.
class AcceptorService {
 public:
  /// Keeps its data in `folder` and serves at `address`; `bootstrap_addresses` are the addresses of the first voters.
  /// `context` and `caller` must outlive it.
  AcceptorService(boost::asio::io_context& context, common::FrameClient& caller, std::string folder,
                  std::string address, std::vector<std::string> bootstrap_addresses);
  ~AcceptorService();
  AcceptorService(AcceptorService const&) = delete;
  AcceptorService& operator=(AcceptorService const&) = delete;

  /// Starts the disk thread, which opens the disk, and the loop that bootstraps the cluster or joins the voter set.
  void begin();
  /// Handles a request and returns the reply once its records are synced; nothing where no reply is sent, for instance
  /// because the disk failed, is overloaded or too slow.
  [[nodiscard]] std::optional<schema::Message> receive(schema::Message const& message, common::Yield yield);
  /// Accepts a value that other voters accepted (section 5.10); returns when it is synced.
  void take_accepted(std::string const& name, schema::Ballot const& accepted, schema::Value const& value,
                     common::Yield yield);

  /// The identity of this acceptor's data; 0 before the disk was first opened. A blank disk gets a new one.
  [[nodiscard]] std::uint64_t incarnation();
  /// Whether it answers and has a vote.
  [[nodiscard]] bool voting();
  /// Whether it was named a voter and has no data yet.
  [[nodiscard]] bool needs_snapshot();
  /// The voter set that it knows; epoch 0 where it knows none.
  [[nodiscard]] schema::VoterSet set();
  /// Whether it answers no requests, because its disk failed or is not open.
  [[nodiscard]] bool silent();

 private:
  /// Wakes the coroutine that waits for its records to be synced.
  struct Completion {
    explicit Completion(boost::asio::any_io_executor const& executor) : timer(executor) {}
    boost::asio::steady_timer timer;
    bool done = false;
    bool succeeded = false;
  };
  /// Records that are to be synced, and the reply that waits for them.
  struct Job {
    std::vector<schema::Record> records;
    std::size_t bytes = 0;     ///< of the values in the records
    std::uint64_t change = 0;  ///< the newest state change that the reply reveals
    std::shared_ptr<Completion> completion;
  };
  /// Opens the disk and recovers the acceptor's state; false, with `failure_` set, where that fails.
  [[nodiscard]] bool open_disk();
  /// Syncs jobs until the disk fails or the service stops.
  void run_disk_loop();
  /// Bootstraps or joins whenever the acceptor needs to, for as long as the process runs.
  void run_join_loop(common::Yield yield);
  void bootstrap_or_join_once(common::Yield yield);
  /// Requests the other first voters' bootstrap votes and bootstraps the cluster where these suffice.
  void bootstrap(std::vector<std::pair<std::string, schema::Message>> const& calls, common::Yield yield);
  /// One step towards a vote: requests snapshots, then fetches the values that they leave out (section 5.9).
  void join(std::vector<schema::Voter> const& sources, schema::ImageAsk const& request, common::Yield yield);
  void request_snapshots(std::vector<schema::Voter> const& sources, schema::ImageAsk const& request,
                         common::Yield yield);
  /// Whether the snapshots received so far are enough to join.
  [[nodiscard]] bool snapshots_suffice();
  /// Fetches the value and adds it to the snapshots; false when no source provides it.
  [[nodiscard]] bool fetch(std::vector<schema::Voter> const& sources, consensus::MissingValue const& missing,
                           common::Yield yield);
  /// Runs one step of the acceptor and returns its outcome once its records are synced; nothing where the disk failed,
  /// is overloaded or too slow.
  [[nodiscard]] std::optional<consensus::Outcome> apply(
      std::function<consensus::Outcome(consensus::Acceptor&)> const& step, common::Yield yield);

  boost::asio::io_context& context_;
  common::FrameClient& caller_;
  std::string folder_;
  std::string address_;
  std::vector<std::string> bootstrap_addresses_;
  std::mutex lock_;
  std::optional<consensus::Acceptor> acceptor_;
  std::optional<consensus::WriteAheadLog> log_;
  consensus::SyncedBallots synced_ballots_;
  consensus::SyncedChanges changes_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  std::size_t open_jobs_ = 0;
  std::size_t open_bytes_ = 0;                        ///< of the values in the open jobs
  std::vector<schema::Image> snapshots_;              ///< of the epoch to join; used by the join loop only
  std::optional<consensus::ValueReceiver> receiver_;  ///< used by the join loop only
  bool silent_ = true;
  std::string failure_;  ///< why the acceptor does not answer
  bool stopping_ = false;
  std::thread disk_thread_;
};

}  // namespace finchlink::control_plane
