#include "consensus/write_ahead_log/write_ahead_log.hpp"

#include <algorithm>
#include <boost/crc.hpp>
#include <cstring>

#include "common/error/error.hpp"
#include "common/wire/pack.hpp"

namespace finchlink::consensus {

namespace {
constexpr std::uint32_t record_mark = 0x52534b31;  // "RSK1"
constexpr std::size_t header_bytes = 28;           // mark, check, length, generation, sequence
constexpr std::uint64_t seal_sequence = 1;

template <class Number>
Number take(std::string_view bytes, std::size_t offset) {
  Number number{};
  std::memcpy(&number, bytes.data() + offset, sizeof(number));
  return number;
}
template <class Number>
void put(std::string& bytes, Number number) {
  bytes.append(reinterpret_cast<char const*>(&number), sizeof(number));
}
std::uint32_t check_of(std::string_view bytes) {
  boost::crc_32_type check;
  check.process_bytes(bytes.data(), bytes.size());
  return check.checksum();
}
}  // namespace

WriteAheadLog::WriteAheadLog(Device device, std::size_t files, std::size_t file_bytes)
    : device_(std::move(device)), files_(files), file_bytes_(file_bytes) {}

std::string WriteAheadLog::encode(std::vector<schema::Record> const& records, std::uint64_t generation,
                                  std::uint64_t sequence) const {
  std::string const payload = common::pack(records);
  std::string checked;
  put(checked, static_cast<std::uint32_t>(payload.size()));
  put(checked, generation);
  put(checked, sequence);
  checked += payload;
  std::string bytes;
  put(bytes, record_mark);
  put(bytes, check_of(checked));
  return bytes + checked;
}

bool WriteAheadLog::parse(std::string_view file, std::size_t offset, Found& found) const {
  std::string_view record = file.substr(std::min(offset, file.size()));
  if (offset + header_bytes > file_bytes_ || record.size() < sizeof(record_mark) ||
      take<std::uint32_t>(record, 0) != record_mark) {
    return false;
  }
  std::string padded;  // zeros that the device left out are part of the record
  if (record.size() < header_bytes) {
    padded = std::string(record);
    padded.resize(header_bytes, '\0');
    record = padded;
  }
  std::uint32_t const length = take<std::uint32_t>(record, 8);
  if (length > file_bytes_ - offset - header_bytes) {
    return false;
  }
  if (record.size() < header_bytes + length) {
    padded = std::string(record);
    padded.resize(header_bytes + length, '\0');
    record = padded;
  }
  if (check_of(record.substr(8, header_bytes - 8 + length)) != take<std::uint32_t>(record, 4)) {
    return false;
  }
  found.generation = take<std::uint64_t>(record, 12);
  found.sequence = take<std::uint64_t>(record, 20);
  found.end = offset + header_bytes + length;
  found.payload = std::string(record.substr(header_bytes, length));
  return true;
}

bool WriteAheadLog::later_record(std::string_view file, std::size_t offset, std::uint64_t generation,
                                 std::uint64_t sequence) const {
  char mark[4];
  std::memcpy(mark, &record_mark, 4);
  std::string_view const needle(mark, 4);
  for (std::size_t place = file.find(needle, offset); place != std::string_view::npos;
       place = file.find(needle, place + 1)) {
    Found found;
    if (parse(file, place, found) && found.generation == generation && found.sequence > sequence) {
      return true;
    }
  }
  return false;
}

absl::StatusOr<std::vector<schema::Record>> WriteAheadLog::recover() {
  std::string newest;
  std::uint64_t newest_generation = 0;
  std::uint64_t suspect = 0;
  for (std::size_t index = 0; index < files_; ++index) {
    absl::StatusOr<std::string> file = device_.read(index);
    if (!file.ok()) {
      return common::turned(absl::StatusCode::kUnavailable, "ring", "a file can't be read", file.status());
    }
    Found image;
    Found seal;
    bool const imaged = parse(*file, 0, image) && image.sequence == 0;
    if (imaged) {
      if (parse(*file, image.end, seal) && seal.generation == image.generation && seal.sequence == seal_sequence) {
        if (image.generation > newest_generation) {
          newest_generation = image.generation;
          newest = std::move(*file);
        }
      } else if (later_record(*file, 1, image.generation, 0)) {
        return common::make_error(absl::StatusCode::kDataLoss, "ring", "the seal of a file is broken");
      }
      // Without a seal the file was only being begun: the one before is whole.
    } else {
      // A broken image under good records of its own generation is no torn
      // write, unless a newer file stands elsewhere: then this one was only
      // being overwritten.
      std::uint64_t const begun = file->size() >= header_bytes ? take<std::uint64_t>(*file, 12) : 0;
      if (begun > 0 && later_record(*file, 1, begun, 0)) {
        suspect = std::max(suspect, begun);
      }
    }
  }
  if (suspect > newest_generation) {
    return common::make_error(absl::StatusCode::kDataLoss, "ring", "the image of a file is broken");
  }
  std::vector<schema::Record> records;
  if (newest_generation == 0) {
    return records;
  }
  std::size_t offset = 0;
  std::uint64_t expected = 0;
  Found found;
  while (parse(newest, offset, found) && found.generation == newest_generation && found.sequence == expected) {
    absl::StatusOr<std::vector<schema::Record>> const entries =
        common::unpack<std::vector<schema::Record>>(found.payload);
    if (!entries.ok()) {
      // Its check is right, so nothing is lost: a newer program wrote it, and the
      // disk must not be taken for a blank one.
      return common::turned(absl::StatusCode::kFailedPrecondition, "ring",
                            "a record is of another version of the format", entries.status());
    }
    records.insert(records.end(), entries->begin(), entries->end());
    offset = found.end;
    ++expected;
  }
  if (later_record(newest, offset, newest_generation, expected)) {
    return common::make_error(absl::StatusCode::kDataLoss, "ring", "a record before good ones is broken");
  }
  generation_ = newest_generation;
  sequence_ = expected;
  offset_ = offset;
  return records;
}

absl::Status WriteAheadLog::turn(std::vector<schema::Record> const& image) {
  std::uint64_t const generation = generation_ + 1;
  std::size_t const file = generation % files_;
  std::string const first = encode(image, generation, 0);
  std::string const seal = encode({}, generation, seal_sequence);
  if (first.size() + seal.size() > file_bytes_) {
    return common::make_error(absl::StatusCode::kResourceExhausted, "ring", "the image does not fit into a file");
  }
  absl::Status status = device_.write(file, 0, first);
  if (status.ok()) {
    status = device_.sync(file);
  }
  if (status.ok()) {
    status = device_.write(file, first.size(), seal);
  }
  if (status.ok()) {
    status = device_.sync(file);
  }
  if (!status.ok()) {
    return common::turned(absl::StatusCode::kUnavailable, "ring", "a new file can't be begun", status);
  }
  generation_ = generation;
  sequence_ = seal_sequence + 1;
  offset_ = first.size() + seal.size();
  return absl::OkStatus();
}

absl::Status WriteAheadLog::append(std::vector<schema::Record> const& records,
                                   std::function<std::vector<schema::Record>()> const& image) {
  if (broken_) {
    return common::make_error(absl::StatusCode::kUnavailable, "ring", "the disk failed before");
  }
  // After a failed write nothing is known of the file's end: the ring is used
  // no more until it is recovered anew.
  broken_ = true;
  std::string const bytes = encode(records, generation_, sequence_);
  if (generation_ == 0 || offset_ + bytes.size() > file_bytes_) {
    absl::Status const turned = turn(image());
    broken_ = !turned.ok();
    return turned;
  }
  std::size_t const file = generation_ % files_;
  absl::Status status = device_.write(file, offset_, bytes);
  if (status.ok()) {
    status = device_.sync(file);
  }
  if (!status.ok()) {
    return common::turned(absl::StatusCode::kUnavailable, "ring", "a record can't be written", status);
  }
  offset_ += bytes.size();
  ++sequence_;
  broken_ = false;
  return absl::OkStatus();
}

}  // namespace finchlink::consensus
