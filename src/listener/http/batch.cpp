// See batch.h.
#include "batch.h"

#include <cstdio>
#include <utility>

#include "../../core/release_buffer.h"

namespace grademux::http_listener {

namespace {

std::string chunk(const std::string& data) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n";
}

constexpr char kLastChunk[] = "0\r\n\r\n";

}  // namespace

void Batch::addInput(std::string_view bytes, std::size_t max_line_bytes, Micros now, const OnLine& on_line,
                     const std::function<bool()>& may_continue) {
  while (!bytes.empty() && may_continue()) {
    const std::size_t line_end = bytes.find('\n');
    const bool ends = line_end != std::string_view::npos;
    const std::string_view part = bytes.substr(0, line_end);
    if (!isInLine())
      line_since_ = now;
    if (line_.size() + part.size() > max_line_bytes) {
      too_long_ = true;
      releaseBuffer(line_);
    }
    if (!too_long_)
      line_ += part;
    bytes.remove_prefix(ends ? line_end + 1 : bytes.size());
    if (ends)
      endLine(on_line);
  }
}

void Batch::endLine(const OnLine& on_line) {
  const Line line{std::exchange(line_, {}), std::exchange(too_long_, false)};
  const bool blank = line.text.find_first_not_of(" \t\r") == std::string::npos;
  if (line.too_long || !blank)
    on_line(line);
}

void Batch::finishInput(const OnLine& on_line) {
  if (isInLine())
    endLine(on_line);
  input_complete_ = true;
}

std::size_t Batch::memoryBytes() const {
  std::size_t bytes = line_.capacity();
  for (const auto& result : results_)
    bytes += sizeof(BatchResult) + result->text.capacity() + result->request_bytes;
  return bytes;
}

void Batch::abortInput() {
  releaseBuffer(line_);
  input_complete_ = true;
}

std::shared_ptr<BatchResult> Batch::appendResult() {
  results_.push_back(std::make_shared<BatchResult>());
  return results_.back();
}

void Batch::releaseResults() {
  std::string lines;
  while (!results_.empty() && results_.front()->complete) {
    lines += results_.front()->text;
    results_.pop_front();
  }
  if (!lines.empty())
    response_->bytes += chunk(lines);
  if (!input_complete_ || !results_.empty() || response_->complete)
    return;
  response_->bytes += kLastChunk;
  response_->complete = true;
}

}  // namespace grademux::http_listener
