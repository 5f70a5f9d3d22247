#include "learned_state_file.h"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "../core/file.h"
#include "learned_record_codec.h"

namespace grademux::knowledge {

namespace {

using nlohmann::json;

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kChecksumBytes = 8;
constexpr std::size_t kFrameHeaderBytes = kLengthBytes + kChecksumBytes;
constexpr std::size_t kMaxRecordBytes = 1 << 16;  // a longer record is damaged
constexpr std::size_t kMaxFileBytes = 256u << 20;
constexpr const char* kFileType = "grademux knowledge";

void appendNumber(std::string& out, std::uint64_t value, std::size_t bytes) {
  for (std::size_t i = 0; i < bytes; ++i)
    out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
}

std::uint64_t numberAt(const std::string& data, std::size_t position, std::size_t bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(data[position + i])) << (8 * i);
  return value;
}

void appendFrame(std::string& out, const json& record) {
  std::string payload;
  json::to_msgpack(record, payload);
  appendNumber(out, payload.size(), kLengthBytes);
  appendNumber(out, XXH3_64bits(payload.data(), payload.size()), kChecksumBytes);
  out += payload;
}

json encodeHeader(const LearnedStateFile& file) {
  return {{"what", kFileType},
          {"form", kFormatVersion},
          {"sender", file.sender},
          {"written", file.written},
          {"pool", encodePool(file.pool)}};
}

std::vector<const LearnedRecord*> newestFirst(const std::vector<LearnedRecord>& records) {
  std::vector<const LearnedRecord*> sorted;
  sorted.reserve(records.size());
  for (const LearnedRecord& record : records)
    sorted.push_back(&record);
  const auto last_observed = [](const LearnedRecord* record) {
    return std::max(record->learned.last_outcome_at, record->learned.last_message_at);
  };
  std::stable_sort(sorted.begin(), sorted.end(), [&](const LearnedRecord* left, const LearnedRecord* right) {
    return last_observed(left) > last_observed(right);
  });
  return sorted;
}

// Reads the frames of a file one after another.
class FrameReader {
 public:
  explicit FrameReader(const std::string& bytes) : bytes_(bytes) {}

  bool atEnd() const { return position_ >= bytes_.size(); }
  // Whether the next frame is complete and its length plausible; if not, no later frame can be read.
  bool hasFrame() const {
    const std::size_t left = bytes_.size() - position_;
    return left >= kFrameHeaderBytes && payloadSize() <= kMaxRecordBytes &&
           payloadSize() <= left - kFrameHeaderBytes;
  }
  // Returns the record of the next frame, or nothing if the record is damaged.
  std::optional<json> next() {
    const std::uint64_t size = payloadSize();
    const std::uint64_t checksum = numberAt(bytes_, position_ + kLengthBytes, kChecksumBytes);
    const char* payload = bytes_.data() + position_ + kFrameHeaderBytes;
    position_ += kFrameHeaderBytes + size;
    if (XXH3_64bits(payload, size) != checksum)
      return std::nullopt;
    json record = json::from_msgpack(payload, payload + size, true, false);
    if (!record.is_object())
      return std::nullopt;
    return record;
  }

 private:
  std::uint64_t payloadSize() const { return numberAt(bytes_, position_, kLengthBytes); }

  const std::string& bytes_;
  std::size_t position_ = 0;
};

// Reads the header into `state`. Returns why the file is rejected, or an empty text.
std::string decodeHeader(const json& header, const std::string& sender, LearnedStateFile& state) {
  state.sender = fieldOr<std::string>(header, "sender", "");
  state.written = timeField(header, "written");
  const int version = fieldOr<int>(header, "form", 0);
  if (fieldOr<std::string>(header, "what", "") != kFileType)
    return "not a file of knowledge";
  if (version != kFormatVersion)
    return "it has form " + std::to_string(version) + ", " + std::to_string(kFormatVersion) + " is read here";
  if (!sender.empty() && state.sender != sender)
    return "it is of " + state.sender + ", this is " + sender;
  const auto pool = header.find("pool");
  if (pool != header.end() && pool->is_object())
    state.pool = decodePool(*pool);
  return "";
}

}  // namespace

std::string encode(const LearnedStateFile& file, std::uint64_t max_bytes, std::size_t& left_out) {
  std::string out;
  appendFrame(out, encodeHeader(file));
  const std::vector<const LearnedRecord*> records = newestFirst(file.records);
  left_out = 0;
  for (std::size_t i = 0; i < records.size(); ++i) {
    const std::size_t before = out.size();
    appendFrame(out, encodeRecord(*records[i]));
    if (out.size() <= max_bytes)
      continue;
    out.resize(before);
    left_out = records.size() - i;
    break;
  }
  return out.size() <= max_bytes ? out : "";
}

DecodedFile decode(const std::string& bytes, const std::string& sender) {
  DecodedFile decoded;
  decoded.found = true;
  bool has_header = false;
  FrameReader reader(bytes);
  while (!reader.atEnd()) {
    if (!reader.hasFrame()) {
      ++decoded.damaged;
      break;
    }
    const std::optional<json> record = reader.next();
    if (!record) {
      ++decoded.damaged;
      if (!has_header)
        break;
      continue;
    }
    if (has_header) {
      decoded.state.records.push_back(decodeRecord(*record));
      continue;
    }
    has_header = true;
    decoded.error = decodeHeader(*record, sender, decoded.state);
    if (!decoded.error.empty())
      return decoded;
  }
  if (!has_header)
    decoded.error = bytes.empty() ? "it is empty" : "its head is damaged";
  return decoded;
}

DecodedFile loadLearnedState(const std::string& path, const std::string& sender) {
  DecodedFile failed;
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) {
    failed.found = errno != ENOENT;
    if (failed.found)
      failed.error = std::strerror(errno);
    return failed;
  }
  failed.found = true;
  std::string bytes;
  if (!readAll(fd, bytes, kMaxFileBytes))
    failed.error = std::strerror(errno);
  ::close(fd);
  return failed.error.empty() ? decode(bytes, sender) : failed;
}

}  // namespace grademux::knowledge
