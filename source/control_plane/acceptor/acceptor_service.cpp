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
/// Bytes of the values that these records write.
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

AcceptorService::AcceptorService(boost::asio::io_context& context, common::Caller& caller, std::string folder,
                                 std::string address, std::vector<std::string> founders)
    : context_(context),
      caller_(caller),
      folder_(std::move(folder)),
      address_(std::move(address)),
      founders_(std::move(founders)) {}

AcceptorService::~AcceptorService() {
  {
    std::lock_guard<std::mutex> const guard(lock_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (worker_.joinable()) {
    worker_.join();
  }
}

bool AcceptorService::open_disk() {
  ring_.reset();  // lets go of the folder before it is taken again
  absl::StatusOr<consensus::Device> device =
      consensus::open_log_files(folder_, constants::ring_files, constants::ring_file_bytes);
  if (!device.ok()) {
    failure_ = std::string(device.status().message());
    return false;
  }
#ifdef FINCHLINK_FAULTS
  *device = consensus::with_faults(*device, folder_ + ".faults");
#endif
  consensus::WriteAheadLog ring(*device, constants::ring_files, constants::ring_file_bytes);
  absl::StatusOr<std::vector<schema::Record>> records = ring.recover();
  if (!records.ok() && absl::IsDataLoss(records.status())) {
    // What is left can't be told from what was acknowledged: the disk counts
    // as lost and this holder as a new one (section 5.5).
    common::note(common::Event::DiskCorrupt, std::string(records.status().message()));
    std::string const blank(constants::ring_file_bytes, '\0');
    for (std::size_t index = 0; index < constants::ring_files; ++index) {
      if (!device->write(index, 0, blank).ok() || !device->sync(index).ok()) {
        failure_ = "a broken file can't be blanked";
        return false;
      }
    }
    ring = consensus::WriteAheadLog(*device, constants::ring_files, constants::ring_file_bytes);
    records = std::vector<schema::Record>();
  }
  if (!records.ok()) {
    failure_ = std::string(records.status().message());
    return false;
  }
  common::Moment const now = common::boot_now();
  std::lock_guard<std::mutex> const guard(lock_);
  ring_ = std::move(ring);
  if (records->empty()) {
    holder_.emplace(common::random_identity(), address_, founders_, now);
    common::note(common::Event::HolderBlank, "incarnation " + std::to_string(holder_->incarnation()));
    std::vector<schema::Record> const image = holder_->snapshot_records();
    if (!ring_->append(image, [&image] { return image; }).ok()) {
      holder_.reset();
      failure_ = "the first record can't be written";
      return false;
    }
  } else {
    holder_.emplace(*records, address_, founders_, now);
    synced_ballots_.check_recovered(*holder_);
    absl::Status const renewed = ring_->rewrite(holder_->snapshot_records());
    if (!renewed.ok()) {
      holder_.reset();
      failure_ = std::string(renewed.message());
      return false;
    }
    common::note(common::Event::HolderRecovered, "incarnation " + std::to_string(holder_->incarnation()) + " epoch " +
                                                     std::to_string(holder_->set().epoch) +
                                                     (holder_->voting() ? " voting" : " without a vote"));
  }
  changes_.mark_recovered();
  silent_ = false;
  return true;
}

void AcceptorService::begin() {
  worker_ = std::thread([this] {
    // A disk that filled or failed may come back: it is opened anew, which is
    // to this holder what a restart is (section 5.3).
    std::string told;
    while (true) {
      if (open_disk()) {
        told.clear();
        work();
      }
      std::unique_lock<std::mutex> guard(lock_);
      if (!stopping_ && told != failure_) {
        told = failure_;
        common::note(common::Event::HolderSilent, failure_);
      }
      if (wake_.wait_for(guard, common::duration(constants::disk_reopen_pause), [this] { return stopping_; })) {
        return;
      }
    }
  });
  common::start(context_, [this](common::Yield yield) { stand_up(yield); });
}

void AcceptorService::work() {
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
      status = ring_->append(records, [this] {
        std::lock_guard<std::mutex> const guard(lock_);
        return holder_->snapshot_records();
      });
    }
    std::lock_guard<std::mutex> const guard(lock_);
    if (status.ok()) {
      changes_.mark_synced(jobs.back().change);
      synced_ballots_.record_synced(holder_->incarnation(), records);
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
      boost::asio::post(job.ticket->timer.get_executor(), [ticket = job.ticket, good = status.ok()] {
        ticket->done = true;
        ticket->good = good;
        ticket->timer.cancel();
      });
    }
    if (!status.ok()) {
      return;
    }
  }
}

std::optional<consensus::Outcome> AcceptorService::apply(
    std::function<consensus::Outcome(consensus::Acceptor&)> const& step, common::Yield yield) {
  std::shared_ptr<Ticket> const ticket = std::make_shared<Ticket>(yield.get_executor());
  consensus::Outcome outcome;
  std::uint64_t change = 0;
  {
    // The step and its place among the jobs are one: records must reach the
    // disk in the order in which the core made them.
    std::lock_guard<std::mutex> const guard(lock_);
    if (silent_ || !holder_.has_value() || open_jobs_ >= constants::disk_waitlist ||
        open_bytes_ >= constants::disk_waitlist_bytes) {
      return std::nullopt;
    }
    std::uint64_t const epoch = holder_->set().epoch;
    outcome = step(*holder_);
    if (holder_->set().epoch != epoch) {
      common::note(common::Event::HolderAdopted, "epoch " + std::to_string(holder_->set().epoch) +
                                                     (holder_->voting() ? " voting" : " without a vote"));
    }
    // Even a reply without records waits for what is being synced: it may tell
    // of state that is not lasting yet.
    change = changes_.count_step(!outcome.records.empty());
    if (outcome.records.empty() && open_jobs_ == 0) {
      changes_.check_reply(change);
      return outcome;
    }
    std::size_t const bytes = value_bytes(outcome.records);
    // A large value takes a slow disk longer, as it does a slow link.
    ticket->timer.expires_after(
        common::duration(constants::holder_deadline + static_cast<common::Span>(bytes) * constants::holder_byte_span));
    jobs_.push_back(Job{outcome.records, bytes, change, ticket});
    ++open_jobs_;
    open_bytes_ += bytes;
  }
  wake_.notify_one();
  boost::system::error_code error;
  if (!ticket->done) {
    ticket->timer.async_wait(yield[error]);
  }
  if (!ticket->done || !ticket->good) {
    return std::nullopt;
  }
  changes_.check_reply(change);
  return outcome;
}

std::optional<schema::Message> AcceptorService::receive(schema::Message const& message, common::Yield yield) {
  std::optional<consensus::Outcome> const outcome =
      apply([&message](consensus::Acceptor& holder) { return holder.receive(message, common::boot_now()); }, yield);
  return outcome.has_value() ? outcome->reply : std::nullopt;
}

void AcceptorService::take_accepted(std::string const& name, schema::Ballot const& accepted, schema::Value const& value,
                                    common::Yield yield) {
  (void)apply([&](consensus::Acceptor& acceptor) { return acceptor.take_accepted(name, accepted, value); }, yield);
}

void AcceptorService::stand_up(common::Yield yield) {
  while (true) {
    common::pause(context_, constants::founding_pause, yield);
    stand_up_once(yield);
  }
}

void AcceptorService::stand_up_once(common::Yield yield) {
  std::vector<std::pair<std::string, schema::Message>> founding;
  std::vector<schema::Voter> sources;
  std::optional<schema::ImageAsk> image;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    if (silent_ || !holder_.has_value()) {
      return;
    }
    if (holder_->needs_bootstrap()) {
      for (std::string const& founder : founders_) {
        if (founder != address_) {
          founding.emplace_back(founder, holder_->bootstrap_request());
        }
      }
    } else if (holder_->needs_snapshot()) {
      sources = holder_->snapshot_sources();
      image = holder_->snapshot_request();
    }
  }
  if (!founding.empty()) {
    found(founding, yield);
  } else if (image.has_value()) {
    enrol(sources, *image, yield);
  }
}

void AcceptorService::found(std::vector<std::pair<std::string, schema::Message>> const& calls, common::Yield yield) {
  std::vector<schema::FoundingAnswer> answers;
  common::Gather::run(
      context_, caller_, calls, constants::holder_deadline,
      [&answers](std::size_t, absl::StatusOr<schema::Message> const& answer) {
        if (answer.ok()) {
          if (schema::FoundingAnswer const* const given = std::get_if<schema::FoundingAnswer>(&*answer)) {
            answers.push_back(*given);
          }
        }
        return false;
      },
      yield);
  std::optional<consensus::Outcome> const outcome =
      apply([&answers](consensus::Acceptor& holder) { return holder.bootstrap(answers, common::boot_now()); }, yield);
  if (outcome.has_value() && !outcome->records.empty() && this->set().epoch > 0) {
    common::note(common::Event::HolderFounded, "epoch 1");
  }
}

bool AcceptorService::snapshots_suffice() {
  std::lock_guard<std::mutex> const guard(lock_);
  return holder_.has_value() && holder_->snapshots_suffice(images_);
}

void AcceptorService::ask_images(std::vector<schema::Voter> const& sources, schema::ImageAsk const& ask,
                                 common::Yield yield) {
  std::vector<std::pair<std::string, schema::Message>> calls;
  calls.reserve(sources.size());
  for (schema::Voter const& source : sources) {
    calls.emplace_back(source.address, ask);
  }
  images_.clear();
  common::Gather::run(
      context_, caller_, calls, constants::holder_deadline,
      [this](std::size_t, absl::StatusOr<schema::Message> const& answer) {
        if (answer.ok()) {
          if (schema::Image const* const taken = std::get_if<schema::Image>(&*answer)) {
            images_.push_back(*taken);
          }
        }
        return snapshots_suffice();  // one that stays silent is not waited for
      },
      yield);
}

void AcceptorService::enrol(std::vector<schema::Voter> const& sources, schema::ImageAsk const& ask,
                            common::Yield yield) {
  // An image stays true while the epoch does: what is chosen later, this holder
  // is not needed for. So a change made meanwhile does not end a transfer.
  if (!snapshots_suffice()) {
    ask_images(sources, ask, yield);
  }
  std::vector<consensus::MissingValue> missing;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    if (silent_ || !holder_.has_value()) {
      return;
    }
    missing = holder_->missing(images_);
  }
  if (!missing.empty()) {
    if (!snapshots_suffice() || !fetch(sources, missing.front(), yield)) {
      images_.clear();
    }
    return;
  }
  std::size_t const count = images_.size();
  std::optional<consensus::Outcome> const outcome =
      apply([this](consensus::Acceptor& holder) { return holder.join(images_, common::boot_now()); }, yield);
  images_.clear();
  if (outcome.has_value() && !outcome->records.empty() && voting()) {
    common::note(common::Event::HolderEnrolled, "images of " + std::to_string(count) + " holders taken");
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
  consensus::insert_fetched_value(images_, missing.name, missing.digest, *value);
  return true;
}

std::uint64_t AcceptorService::incarnation() {
  std::lock_guard<std::mutex> const guard(lock_);
  return holder_.has_value() ? holder_->incarnation() : 0;
}
bool AcceptorService::voting() {
  std::lock_guard<std::mutex> const guard(lock_);
  return !silent_ && holder_.has_value() && holder_->voting();
}
schema::VoterSet AcceptorService::set() {
  std::lock_guard<std::mutex> const guard(lock_);
  return holder_.has_value() ? holder_->set() : schema::VoterSet{};
}
bool AcceptorService::needs_snapshot() {
  std::lock_guard<std::mutex> const guard(lock_);
  return holder_.has_value() && holder_->needs_snapshot();
}
bool AcceptorService::silent() {
  std::lock_guard<std::mutex> const guard(lock_);
  return silent_;
}

}  // namespace finchlink::control_plane
