// The disk budget of the state folder. The journal has priority: other files are removed when the journal
// needs their space. All sizes are in bytes.
#pragma once

#include <cstdint>
#include <functional>

namespace grademux {

class DiskBudget {
 public:
  explicit DiskBudget(std::uint64_t total) : total_(total) {}

  std::uint64_t total() const { return total_; }
  // The part of the budget that the other files leave to the journal.
  std::uint64_t available() const { return total_ > other_files_ ? total_ - other_files_ : 0; }
  void setOtherFiles(std::uint64_t bytes) { other_files_ = bytes; }
  // `free_space` removes the other files, or returns false if they can't be removed at the moment.
  void onSpaceNeeded(std::function<bool()> free_space) { free_space_ = std::move(free_space); }
  // Requests the removal of the other files. False if no other files exist or they can't be removed.
  bool reclaim();
  // Whether `bytes` fit into the budget; reclaims the space of the other files if necessary.
  bool ensure(std::uint64_t bytes) { return bytes <= available() || (reclaim() && bytes <= available()); }

 private:
  std::uint64_t total_;
  std::uint64_t other_files_ = 0;
  std::function<bool()> free_space_;
};

}  // namespace grademux
