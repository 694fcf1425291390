#include "consensus/write_ahead_log/write_ahead_log.hpp"

#include <algorithm>
#include <boost/crc.hpp>
#include <cstring>

#include "common/error/error.hpp"
#include "common/wire/pack.hpp"

namespace finchlink::consensus {

namespace {
constexpr std::uint32_t record_magic = 0x52534b31;  // "RSK1"
constexpr std::size_t header_bytes = 28;  // magic (4 bytes), checksum (4), length (4), generation (8), sequence (8)
constexpr std::uint64_t seal_sequence = 1;

template <class Number>
Number read_number(std::string_view bytes, std::size_t offset) {
  Number number{};
  std::memcpy(&number, bytes.data() + offset, sizeof(number));
  return number;
}
template <class Number>
void append_number(std::string& bytes, Number number) {
  bytes.append(reinterpret_cast<char const*>(&number), sizeof(number));
}
std::uint32_t checksum_of(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}
}  // namespace

WriteAheadLog::WriteAheadLog(Device device, std::size_t files, std::size_t file_bytes)
    : device_(std::move(device)), files_(files), file_bytes_(file_bytes) {}

std::string WriteAheadLog::encode(std::vector<schema::Record> const& records, std::uint64_t generation,
                                  std::uint64_t sequence) const {
  std::string const payload = common::pack(records);
  std::string covered;
  append_number(covered, static_cast<std::uint32_t>(payload.size()));
  append_number(covered, generation);
  append_number(covered, sequence);
  covered += payload;
  std::string bytes;
  append_number(bytes, record_magic);
  append_number(bytes, checksum_of(covered));
  return bytes + covered;
}

bool WriteAheadLog::parse(std::string_view file, std::size_t offset, ParsedRecord& found) const {
  std::string_view record = file.substr(std::min(offset, file.size()));
  if (offset + header_bytes > file_bytes_ || record.size() < sizeof(record_magic) ||
      read_number<std::uint32_t>(record, 0) != record_magic) {
    return false;
  }
  std::string padded;  // trailing zeros that the device left out are part of the record
  if (record.size() < header_bytes) {
    padded = std::string(record);
    padded.resize(header_bytes, '\0');
    record = padded;
  }
  std::uint32_t const length = read_number<std::uint32_t>(record, 8);
  if (length > file_bytes_ - offset - header_bytes) {
    return false;
  }
  if (record.size() < header_bytes + length) {
    padded = std::string(record);
    padded.resize(header_bytes + length, '\0');
    record = padded;
  }
  if (checksum_of(record.substr(8, header_bytes - 8 + length)) != read_number<std::uint32_t>(record, 4)) {
    return false;
  }
  found.generation = read_number<std::uint64_t>(record, 12);
  found.sequence = read_number<std::uint64_t>(record, 20);
  found.end = offset + header_bytes + length;
  found.payload = std::string(record.substr(header_bytes, length));
  return true;
}

bool WriteAheadLog::has_later_record(std::string_view file, std::size_t offset, std::uint64_t generation,
                                     std::uint64_t sequence) const {
  char magic[4];
  std::memcpy(magic, &record_magic, 4);
  std::string_view const needle(magic, 4);
  for (std::size_t position = file.find(needle, offset); position != std::string_view::npos;
       position = file.find(needle, position + 1)) {
    ParsedRecord found;
    if (parse(file, position, found) && found.generation == generation && found.sequence > sequence) {
      return true;
    }
  }
  return false;
}

absl::StatusOr<std::vector<schema::Record>> WriteAheadLog::recover() {
  std::string newest;
  std::uint64_t newest_generation = 0;
  std::uint64_t corrupt_generation = 0;
  for (std::size_t index = 0; index < files_; ++index) {
    absl::StatusOr<std::string> file = device_.read(index);
    if (!file.ok()) {
      return common::wrap_error(absl::StatusCode::kUnavailable, "ring", "a log file can't be read", file.status());
    }
    ParsedRecord snapshot;
    ParsedRecord seal;
    bool const has_snapshot = parse(*file, 0, snapshot) && snapshot.sequence == 0;
    if (has_snapshot) {
      if (parse(*file, snapshot.end, seal) && seal.generation == snapshot.generation &&
          seal.sequence == seal_sequence) {
        if (snapshot.generation > newest_generation) {
          newest_generation = snapshot.generation;
          newest = std::move(*file);
        }
      } else if (has_later_record(*file, 1, snapshot.generation, 0)) {
        return common::make_error(absl::StatusCode::kDataLoss, "ring",
                                  "the seal of log file " + std::to_string(index) + " is corrupt");
      }
      // Without a seal the file was still being started: the previous file is complete.
    } else {
      // A corrupt snapshot before intact records of its own generation is no torn write, unless a newer file exists:
      // then this file was just being overwritten.
      std::uint64_t const generation = file->size() >= header_bytes ? read_number<std::uint64_t>(*file, 12) : 0;
      if (generation > 0 && has_later_record(*file, 1, generation, 0)) {
        corrupt_generation = std::max(corrupt_generation, generation);
      }
    }
  }
  if (corrupt_generation > newest_generation) {
    return common::make_error(absl::StatusCode::kDataLoss, "ring", "the snapshot of the newest log file is corrupt");
  }
  std::vector<schema::Record> records;
  if (newest_generation == 0) {
    return records;
  }
  std::size_t offset = 0;
  std::uint64_t expected = 0;
  ParsedRecord found;
  while (parse(newest, offset, found) && found.generation == newest_generation && found.sequence == expected) {
    absl::StatusOr<std::vector<schema::Record>> const entries =
        common::unpack<std::vector<schema::Record>>(found.payload);
    if (!entries.ok()) {
      // The checksum is correct, so nothing is lost: a newer program version wrote the record, and the disk must not be
      // taken for a blank one.
      return common::wrap_error(absl::StatusCode::kFailedPrecondition, "ring",
                                "a record has an unknown format, a newer version may have written it",
                                entries.status());
    }
    records.insert(records.end(), entries->begin(), entries->end());
    offset = found.end;
    ++expected;
  }
  if (has_later_record(newest, offset, newest_generation, expected)) {
    return common::make_error(absl::StatusCode::kDataLoss, "ring",
                              "a record that is followed by intact records is corrupt");
  }
  generation_ = newest_generation;
  sequence_ = expected;
  offset_ = offset;
  return records;
}

absl::Status WriteAheadLog::start_file(std::vector<schema::Record> const& snapshot) {
  std::uint64_t const generation = generation_ + 1;
  std::size_t const file = generation % files_;
  std::string const snapshot_record = encode(snapshot, generation, 0);
  std::string const seal = encode({}, generation, seal_sequence);
  if (snapshot_record.size() + seal.size() > file_bytes_) {
    return common::make_error(absl::StatusCode::kResourceExhausted, "ring",
                              "the snapshot of " + std::to_string(snapshot_record.size()) +
                                  " bytes does not fit into a log file of " + std::to_string(file_bytes_) + " bytes");
  }
  absl::Status status = device_.write(file, 0, snapshot_record);
  if (status.ok()) {
    status = device_.sync(file);
  }
  if (status.ok()) {
    status = device_.write(file, snapshot_record.size(), seal);
  }
  if (status.ok()) {
    status = device_.sync(file);
  }
  if (!status.ok()) {
    return common::wrap_error(absl::StatusCode::kUnavailable, "ring", "a new log file can't be started", status);
  }
  generation_ = generation;
  sequence_ = seal_sequence + 1;
  offset_ = snapshot_record.size() + seal.size();
  return absl::OkStatus();
}

absl::Status WriteAheadLog::append(std::vector<schema::Record> const& records,
                                   std::function<std::vector<schema::Record>()> const& snapshot) {
  if (failed_) {
    return common::make_error(absl::StatusCode::kUnavailable, "ring",
                              "an earlier write or sync failed, the log has to be opened again");
  }
  // After a failed write the end of the file is unknown: the log must not be used until it has been opened and
  // recovered again.
  failed_ = true;
  std::string const bytes = encode(records, generation_, sequence_);
  if (generation_ == 0 || offset_ + bytes.size() > file_bytes_) {
    absl::Status const started = start_file(snapshot());
    failed_ = !started.ok();
    return started;
  }
  std::size_t const file = generation_ % files_;
  absl::Status status = device_.write(file, offset_, bytes);
  if (status.ok()) {
    status = device_.sync(file);
  }
  if (!status.ok()) {
    return common::wrap_error(absl::StatusCode::kUnavailable, "ring", "a record can't be written to the log", status);
  }
  offset_ += bytes.size();
  ++sequence_;
  failed_ = false;
  return absl::OkStatus();
}

}  // namespace finchlink::consensus
