// The disk budget of the state folder: the journal comes first, other files give way. All sizes are bytes.
#pragma once

#include <cstdint>
#include <functional>

namespace grademux {

class DiskBudget {
 public:
  explicit DiskBudget(std::uint64_t total) : total_(total) {}

  std::uint64_t total() const { return total_; }
  // What the other files leave to the journal.
  std::uint64_t available() const { return total_ > other_files_ ? total_ - other_files_ : 0; }
  void setOtherFiles(std::uint64_t bytes) { other_files_ = bytes; }
  // `free_space` removes the other files, or returns false if that is impossible at the moment.
  void onSpaceNeeded(std::function<bool()> free_space) { free_space_ = std::move(free_space); }
  // Asks for the other files to be removed. False: there are none, or they stay.
  bool reclaim();
  // Whether `bytes` fit, after reclaiming the space of other files if need be.
  bool ensure(std::uint64_t bytes) { return bytes <= available() || (reclaim() && bytes <= available()); }

 private:
  std::uint64_t total_;
  std::uint64_t other_files_ = 0;
  std::function<bool()> free_space_;
};

}  // namespace grademux
