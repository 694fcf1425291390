#include "control_plane/acceptor/acceptor_service.hpp"

#include <cstdio>

#include "common/constants.hpp"
#include "common/log/log.hpp"
#include "common/random/random.hpp"
#include "common/wire/pack.hpp"
#include "consensus/transfer/transfer_client.hpp"
#include "consensus/write_ahead_log/fault_device.hpp"
#include "consensus/write_ahead_log/file_device.hpp"

namespace finchlink::control_plane {

namespace constants = common::constants;

namespace {
/// Total size in bytes of the values in these records.
std::size_t value_bytes(std::vector<schema::Record> const& records) {
  std::size_t bytes = 0;
  for (schema::Record const& record : records) {
    if (schema::CellRecord const* const cell = std::get_if<schema::CellRecord>(&record)) {
      bytes += cell->cell.value.content.size();
    }
  }
  return bytes;
}
}  // namespace

AcceptorService::AcceptorService(boost::asio::io_context& context, common::FrameClient& caller, std::string folder,
                                 std::string address, std::vector<std::string> bootstrap_addresses)
    : context_(context),
      caller_(caller),
      folder_(std::move(folder)),
      address_(std::move(address)),
      bootstrap_addresses_(std::move(bootstrap_addresses)) {}

AcceptorService::~AcceptorService() {
  {
    std::lock_guard<std::mutex> const guard(lock_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (disk_thread_.joinable()) {
    disk_thread_.join();
  }
}

bool AcceptorService::open_disk() {
  log_.reset();  // releases the folder before it is opened again
  absl::StatusOr<consensus::Device> device =
      consensus::open_log_files(folder_, constants::ring_files, constants::ring_file_bytes);
  if (!device.ok()) {
    failure_ = std::string(device.status().message());
    return false;
  }
#ifdef FINCHLINK_FAULTS
  *device = consensus::with_faults(*device, folder_ + ".faults");
#endif
  consensus::WriteAheadLog log(*device, constants::ring_files, constants::ring_file_bytes);
  absl::StatusOr<std::vector<schema::Record>> records = log.recover();
  if (!records.ok() && absl::IsDataLoss(records.status())) {
    // The remaining records may lack acknowledged ones: the disk counts as lost and this acceptor as a new one
    // (section 5.5).
    common::log_event(common::Event::DiskCorrupt, std::string(records.status().message()));
    std::string const blank(constants::ring_file_bytes, '\0');
    for (std::size_t index = 0; index < constants::ring_files; ++index) {
      if (!device->write(index, 0, blank).ok() || !device->sync(index).ok()) {
        failure_ = "cannot overwrite corrupt log file " + std::to_string(index);
        return false;
      }
    }
    log = consensus::WriteAheadLog(*device, constants::ring_files, constants::ring_file_bytes);
    records = std::vector<schema::Record>();
  }
  if (!records.ok()) {
    failure_ = std::string(records.status().message());
    return false;
  }
  common::Moment const now = common::boot_now();
  std::lock_guard<std::mutex> const guard(lock_);
  log_ = std::move(log);
  if (records->empty()) {
    acceptor_.emplace(common::random_identity(), address_, bootstrap_addresses_, now);
    common::log_event(common::Event::HolderBlank, "incarnation " + std::to_string(acceptor_->incarnation()));
    std::vector<schema::Record> const snapshot = acceptor_->snapshot_records();
    if (!log_->append(snapshot, [&snapshot] { return snapshot; }).ok()) {
      acceptor_.reset();
      failure_ = "cannot write the first record";
      return false;
    }
  } else {
    acceptor_.emplace(*records, address_, bootstrap_addresses_, now);
    synced_ballots_.check_recovered(*acceptor_);
    absl::Status const renewed = log_->rewrite(acceptor_->snapshot_records());
    if (!renewed.ok()) {
      acceptor_.reset();
      failure_ = std::string(renewed.message());
      return false;
    }
    common::log_event(common::Event::HolderRecovered, "incarnation " + std::to_string(acceptor_->incarnation()) +
                                                          " epoch " + std::to_string(acceptor_->set().epoch) +
                                                          (acceptor_->voting() ? " voting" : " without a vote"));
  }
  changes_.mark_recovered();
  silent_ = false;
  return true;
}

void AcceptorService::begin() {
  disk_thread_ = std::thread([this] {
    // A disk that was full or failed may recover: it is reopened, which the acceptor treats as a restart
    // (section 5.3).
    std::string logged_failure;
    while (true) {
      if (open_disk()) {
        logged_failure.clear();
        run_disk_loop();
      }
      std::unique_lock<std::mutex> guard(lock_);
      if (!stopping_ && logged_failure != failure_) {
        logged_failure = failure_;
        common::log_event(common::Event::HolderSilent, failure_);
      }
      if (wake_.wait_for(guard, common::duration(constants::disk_reopen_pause), [this] { return stopping_; })) {
        return;
      }
    }
  });
  common::start(context_, [this](common::Yield yield) { run_join_loop(yield); });
}

void AcceptorService::run_disk_loop() {
  while (true) {
    std::deque<Job> jobs;
    {
      std::unique_lock<std::mutex> guard(lock_);
      wake_.wait(guard, [this] { return stopping_ || !jobs_.empty(); });
      if (stopping_) {
        return;
      }
      jobs.swap(jobs_);
    }
    std::vector<schema::Record> records;
    for (Job const& job : jobs) {
      records.insert(records.end(), job.records.begin(), job.records.end());
    }
    absl::Status status = absl::OkStatus();
    if (!records.empty()) {
      status = log_->append(records, [this] {
        std::lock_guard<std::mutex> const guard(lock_);
        return acceptor_->snapshot_records();
      });
    }
    std::lock_guard<std::mutex> const guard(lock_);
    if (status.ok()) {
      changes_.mark_synced(jobs.back().change);
      synced_ballots_.record_synced(acceptor_->incarnation(), records);
    } else {
      silent_ = true;
      failure_ = std::string(status.message());
      jobs.insert(jobs.end(), jobs_.begin(), jobs_.end());
      jobs_.clear();
    }
    open_jobs_ -= jobs.size();
    for (Job const& job : jobs) {
      open_bytes_ -= job.bytes;
    }
    for (Job const& job : jobs) {
      boost::asio::post(job.completion->timer.get_executor(), [completion = job.completion, succeeded = status.ok()] {
        completion->done = true;
        completion->succeeded = succeeded;
        completion->timer.cancel();
      });
    }
    if (!status.ok()) {
      return;
    }
  }
}

std::optional<consensus::Outcome> AcceptorService::apply(
    std::function<consensus::Outcome(consensus::Acceptor&)> const& step, common::Yield yield) {
  std::shared_ptr<Completion> const completion = std::make_shared<Completion>(yield.get_executor());
  consensus::Outcome outcome;
  std::uint64_t change = 0;
  {
    // The step runs and queues its job under one lock: records must reach the disk in the order in which the acceptor
    // made them.
    std::lock_guard<std::mutex> const guard(lock_);
    if (silent_ || !acceptor_.has_value() || open_jobs_ >= constants::disk_waitlist ||
        open_bytes_ >= constants::disk_waitlist_bytes) {
      return std::nullopt;
    }
    std::uint64_t const epoch = acceptor_->set().epoch;
    outcome = step(*acceptor_);
    if (acceptor_->set().epoch != epoch) {
      common::log_event(common::Event::HolderAdopted, "epoch " + std::to_string(acceptor_->set().epoch) +
                                                          (acceptor_->voting() ? " voting" : " without a vote"));
    }
    // Even a reply without records waits for the jobs in progress: it may reveal state that is not synced yet.
    change = changes_.count_step(!outcome.records.empty());
    if (outcome.records.empty() && open_jobs_ == 0) {
      changes_.check_reply(change);
      return outcome;
    }
    std::size_t const bytes = value_bytes(outcome.records);
    // Writing a large value takes longer on a slow disk, as sending it does on a slow link.
    completion->timer.expires_after(common::duration(constants::acceptor_deadline +
                                                     static_cast<common::Span>(bytes) * constants::acceptor_byte_time));
    jobs_.push_back(Job{outcome.records, bytes, change, completion});
    ++open_jobs_;
    open_bytes_ += bytes;
  }
  wake_.notify_one();
  boost::system::error_code error;
  if (!completion->done) {
    completion->timer.async_wait(yield[error]);
  }
  if (!completion->done || !completion->succeeded) {
    return std::nullopt;
  }
  changes_.check_reply(change);
  return outcome;
}

std::optional<schema::Message> AcceptorService::receive(schema::Message const& message, common::Yield yield) {
  std::optional<consensus::Outcome> const outcome =
      apply([&message](consensus::Acceptor& acceptor) { return acceptor.receive(message, common::boot_now()); }, yield);
  return outcome.has_value() ? outcome->reply : std::nullopt;
}

void AcceptorService::take_accepted(std::string const& name, schema::Ballot const& accepted, schema::Value const& value,
                                    common::Yield yield) {
  (void)apply([&](consensus::Acceptor& acceptor) { return acceptor.take_accepted(name, accepted, value); }, yield);
}

void AcceptorService::run_join_loop(common::Yield yield) {
  while (true) {
    common::pause(context_, constants::founding_pause, yield);
    bootstrap_or_join_once(yield);
  }
}

void AcceptorService::bootstrap_or_join_once(common::Yield yield) {
  std::vector<std::pair<std::string, schema::Message>> bootstrap_calls;
  std::vector<schema::Voter> sources;
  std::optional<schema::ImageAsk> request;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    if (silent_ || !acceptor_.has_value()) {
      return;
    }
    if (acceptor_->needs_bootstrap()) {
      for (std::string const& address : bootstrap_addresses_) {
        if (address != address_) {
          bootstrap_calls.emplace_back(address, acceptor_->bootstrap_request());
        }
      }
    } else if (acceptor_->needs_snapshot()) {
      sources = acceptor_->snapshot_sources();
      request = acceptor_->snapshot_request();
    }
  }
  if (!bootstrap_calls.empty()) {
    bootstrap(bootstrap_calls, yield);
  } else if (request.has_value()) {
    join(sources, *request, yield);
  }
}

void AcceptorService::bootstrap(std::vector<std::pair<std::string, schema::Message>> const& calls,
                                common::Yield yield) {
  std::vector<schema::FoundingAnswer> answers;
  common::Gather::run(
      context_, caller_, calls, constants::acceptor_deadline,
      [&answers](std::size_t, absl::StatusOr<schema::Message> const& answer) {
        if (answer.ok()) {
          if (schema::FoundingAnswer const* const given = std::get_if<schema::FoundingAnswer>(&*answer)) {
            answers.push_back(*given);
          }
        }
        return false;
      },
      yield);
  std::optional<consensus::Outcome> const outcome = apply(
      [&answers](consensus::Acceptor& acceptor) { return acceptor.bootstrap(answers, common::boot_now()); }, yield);
  if (outcome.has_value() && !outcome->records.empty() && this->set().epoch > 0) {
    common::log_event(common::Event::HolderFounded, "epoch 1");
  }
}

bool AcceptorService::snapshots_suffice() {
  std::lock_guard<std::mutex> const guard(lock_);
  return acceptor_.has_value() && acceptor_->snapshots_suffice(snapshots_);
}

void AcceptorService::request_snapshots(std::vector<schema::Voter> const& sources, schema::ImageAsk const& request,
                                        common::Yield yield) {
  std::vector<std::pair<std::string, schema::Message>> calls;
  calls.reserve(sources.size());
  for (schema::Voter const& source : sources) {
    calls.emplace_back(source.address, request);
  }
  snapshots_.clear();
  common::Gather::run(
      context_, caller_, calls, constants::acceptor_deadline,
      [this](std::size_t, absl::StatusOr<schema::Message> const& answer) {
        if (answer.ok()) {
          if (schema::Image const* const snapshot = std::get_if<schema::Image>(&*answer)) {
            snapshots_.push_back(*snapshot);
          }
        }
        return snapshots_suffice();  // a source that does not answer is not waited for
      },
      yield);
}

void AcceptorService::join(std::vector<schema::Voter> const& sources, schema::ImageAsk const& request,
                           common::Yield yield) {
  // A snapshot stays valid as long as its epoch: later values are chosen without this acceptor. So a change that is
  // chosen meanwhile does not invalidate a transfer.
  if (!snapshots_suffice()) {
    request_snapshots(sources, request, yield);
  }
  std::vector<consensus::MissingValue> missing;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    if (silent_ || !acceptor_.has_value()) {
      return;
    }
    missing = acceptor_->missing(snapshots_);
  }
  if (!missing.empty()) {
    if (!snapshots_suffice() || !fetch(sources, missing.front(), yield)) {
      snapshots_.clear();
    }
    return;
  }
  std::size_t const count = snapshots_.size();
  std::optional<consensus::Outcome> const outcome =
      apply([this](consensus::Acceptor& acceptor) { return acceptor.join(snapshots_, common::boot_now()); }, yield);
  snapshots_.clear();
  if (outcome.has_value() && !outcome->records.empty() && voting()) {
    common::log_event(common::Event::HolderEnrolled,
                      "joined with the snapshots of " + std::to_string(count) + " acceptors");
  }
}

bool AcceptorService::fetch(std::vector<schema::Voter> const& sources, consensus::MissingValue const& missing,
                            common::Yield yield) {
  schema::TransferKey const key{missing.name, missing.digest, 0};
  if (!receiver_.has_value() || !(receiver_->key() == key) || receiver_->source().empty()) {
    receiver_.emplace(key, std::vector<std::string>());
  }
  for (schema::Voter const& source : sources) {
    for (std::uint64_t const incarnation : missing.sources) {
      if (source.incarnation == incarnation) {
        receiver_->add_source(source.address);
      }
    }
  }
  std::optional<std::string> const bytes = consensus::run_transfer(
      context_, caller_, *receiver_, [] { return true; }, yield);
  if (!bytes.has_value()) {
    return false;
  }
  receiver_.reset();
  absl::StatusOr<schema::Value> const value = common::unpack<schema::Value>(*bytes);
  if (!value.ok()) {
    return false;
  }
  consensus::insert_fetched_value(snapshots_, missing.name, missing.digest, *value);
  return true;
}

std::uint64_t AcceptorService::incarnation() {
  std::lock_guard<std::mutex> const guard(lock_);
  return acceptor_.has_value() ? acceptor_->incarnation() : 0;
}
bool AcceptorService::voting() {
  std::lock_guard<std::mutex> const guard(lock_);
  return !silent_ && acceptor_.has_value() && acceptor_->voting();
}
schema::VoterSet AcceptorService::set() {
  std::lock_guard<std::mutex> const guard(lock_);
  return acceptor_.has_value() ? acceptor_->set() : schema::VoterSet{};
}
bool AcceptorService::needs_snapshot() {
  std::lock_guard<std::mutex> const guard(lock_);
  return acceptor_.has_value() && acceptor_->needs_snapshot();
}
bool AcceptorService::silent() {
  std::lock_guard<std::mutex> const guard(lock_);
  return silent_;
}

}  // namespace finchlink::control_plane
