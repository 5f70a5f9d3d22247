// The stored kinds and flags of journal records, and the encoding of their fields: a number takes 8 bytes,
// little-endian; a text is its length as a number, followed by its bytes. Used only by the encoder and the
// decoder of journal_record.h.
#pragma once

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <utility>

#include "journal_record.h"

namespace grademux::journal_format {

// First byte of a payload. The values are stored.
enum RecordKind : char {
  kind_accepted = 'A',
  kind_attempt = 'T',
  kind_never_executed = 'N',
  kind_notice_pending = 'W',
  kind_discarded = 'O',
  kind_finished = 'E',
  kind_finished_batch = 'P',
  kind_legacy_endpoint_list = 'L',
  kind_endpoint_changes = 'D',
  kind_health = 'H',
  kind_epoch = 'G',
  kind_decision_version = 'V',
  kind_class_version = 'C',
  kind_ordering_block = 'R',
};

// Flags that are added to the stored number of the final status.
constexpr std::int64_t kXxh3DigestFlag = 16;  // unset: the digest is FNV-1a, as before program version 0.4
constexpr std::int64_t kVersionFlag = 32;     // the number of the last attempt's decision version follows

constexpr std::uint64_t kNumberBytes = 8;
constexpr std::uint64_t kKindBytes = 1;

// Writes the kind and the fields of one payload.
class RecordWriter {
 public:
  explicit RecordWriter(RecordKind kind) { payload_.push_back(kind); }

  RecordWriter& number(std::int64_t value) {
    appendNumber(payload_, value);
    return *this;
  }
  RecordWriter& real(double value) {
    std::int64_t bits = 0;
    static_assert(sizeof bits == sizeof value);
    std::memcpy(&bits, &value, sizeof value);
    return number(bits);
  }
  RecordWriter& text(const std::string& value) {
    appendText(payload_, value);
    return *this;
  }
  std::string take() { return std::move(payload_); }

  static void appendNumber(std::string& out, std::int64_t value) {
    const auto bits = static_cast<std::uint64_t>(value);
    char bytes[kNumberBytes];
    for (std::size_t i = 0; i < kNumberBytes; ++i)
      bytes[i] = static_cast<char>(bits >> (8 * i) & 0xff);
    out.append(bytes, sizeof bytes);
  }
  static void appendText(std::string& out, const std::string& value) {
    appendNumber(out, static_cast<std::int64_t>(value.size()));
    out += value;
  }

 private:
  std::string payload_;
};

// Reads the fields after the kind. After a failure all reads return 0 or an empty text.
class RecordReader {
 public:
  explicit RecordReader(std::string_view payload) : payload_(payload) {}

  bool failed() const { return failed_; }
  RecordError::Reason reason() const { return reason_; }
  void fail(RecordError::Reason reason) {
    if (failed_)
      return;
    failed_ = true;
    reason_ = reason;
  }

  // Clears the failure and returns whether a read had failed: for records whose fields before the failure are
  // used.
  bool takeFailure() { return std::exchange(failed_, false); }

  bool hasMore() const { return !failed_ && position_ < payload_.size(); }

  std::int64_t number() {
    if (failed_ || payload_.size() - position_ < kNumberBytes) {
      fail(RecordError::Reason::truncated);
      return 0;
    }
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < kNumberBytes; ++i)
      bits |= static_cast<std::uint64_t>(static_cast<unsigned char>(payload_[position_++])) << (8 * i);
    return static_cast<std::int64_t>(bits);
  }
  bool flag() { return number() != 0; }
  double real() {
    const std::int64_t bits = number();
    double value = 0;
    std::memcpy(&value, &bits, sizeof value);
    return value;
  }
  std::string text() {
    const auto size = static_cast<std::uint64_t>(number());
    if (failed_ || size > payload_.size() - position_) {
      fail(RecordError::Reason::truncated);
      return {};
    }
    std::string value(payload_.substr(position_, size));
    position_ += size;
    return value;
  }
  template <class E>
  E enumeration(E last) {
    const std::int64_t value = number();
    if (value >= 0 && value <= static_cast<std::int64_t>(last))
      return static_cast<E>(value);
    fail(RecordError::Reason::invalid_value);
    return last;
  }

 private:
  std::string_view payload_;
  std::size_t position_ = kKindBytes;
  bool failed_ = false;
  RecordError::Reason reason_ = RecordError::Reason::truncated;
};

}  // namespace grademux::journal_format
