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

/// Runs a Holder on a disk (section 5.3): records are synced on a thread of
/// their own before a reply goes out; a disk that fails, stalls or is slow
/// makes the holder silent and nothing else.
class AcceptorService {
 public:
  AcceptorService(boost::asio::io_context& context, common::Caller& caller, std::string folder, std::string address,
                  std::vector<std::string> founders);
  ~AcceptorService();
  AcceptorService(AcceptorService const&) = delete;
  AcceptorService& operator=(AcceptorService const&) = delete;

  /// Opens the disk and starts the loops of founding and enrolment.
  void begin();
  /// Nothing: this holder stays silent.
  [[nodiscard]] std::optional<schema::Message> receive(schema::Message const& message, common::Yield yield);
  /// Takes a value that other voters accepted (section 5.10); returns when it is synced.
  void take_accepted(std::string const& name, schema::Ballot const& accepted, schema::Value const& value,
                     common::Yield yield);

  [[nodiscard]] std::uint64_t incarnation();
  [[nodiscard]] bool voting();
  /// It was named a voter and has no data yet.
  [[nodiscard]] bool needs_snapshot();
  [[nodiscard]] schema::VoterSet set();
  [[nodiscard]] bool silent();

 private:
  struct Ticket {
    explicit Ticket(boost::asio::any_io_executor const& executor) : timer(executor) {}
    boost::asio::steady_timer timer;
    bool done = false;
    bool good = false;
  };
  struct Job {
    std::vector<schema::Record> records;
    std::size_t bytes = 0;     ///< of values in them
    std::uint64_t change = 0;  ///< the newest change of state that the reply tells of
    std::shared_ptr<Ticket> ticket;
  };
  [[nodiscard]] bool open_disk();
  void work();
  void stand_up(common::Yield yield);
  void stand_up_once(common::Yield yield);
  void found(std::vector<std::pair<std::string, schema::Message>> const& calls, common::Yield yield);
  /// One step towards a vote: images are asked for, then the values that they
  /// leave out are fetched (section 5.9).
  void enrol(std::vector<schema::Voter> const& sources, schema::ImageAsk const& ask, common::Yield yield);
  void ask_images(std::vector<schema::Voter> const& sources, schema::ImageAsk const& ask, common::Yield yield);
  [[nodiscard]] bool snapshots_suffice();
  /// Fetches the value; false when nobody gives it.
  [[nodiscard]] bool fetch(std::vector<schema::Voter> const& sources, consensus::MissingValue const& missing,
                           common::Yield yield);
  /// One step of the core; its outcome once it is lasting, nothing when this
  /// holder is silent.
  [[nodiscard]] std::optional<consensus::Outcome> apply(
      std::function<consensus::Outcome(consensus::Acceptor&)> const& step, common::Yield yield);

  boost::asio::io_context& context_;
  common::Caller& caller_;
  std::string folder_;
  std::string address_;
  std::vector<std::string> founders_;
  std::mutex lock_;
  std::optional<consensus::Acceptor> holder_;
  std::optional<consensus::WriteAheadLog> ring_;
  consensus::SyncedBallots synced_ballots_;
  consensus::SyncedChanges changes_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  std::size_t open_jobs_ = 0;
  std::size_t open_bytes_ = 0;                        ///< of values among the jobs
  std::vector<schema::Image> images_;                 ///< of the epoch that is to be enrolled in; of stand_up alone
  std::optional<consensus::ValueReceiver> receiver_;  ///< of stand_up alone
  bool silent_ = true;
  std::string failure_;  ///< why it is silent
  bool stopping_ = false;
  std::thread worker_;
};

}  // namespace finchlink::control_plane
