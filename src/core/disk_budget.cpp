#include "disk_budget.h"

namespace grademux {

bool DiskBudget::reclaim() {
  if (other_files_ == 0 || !free_space_ || !free_space_())
    return false;
  other_files_ = 0;
  return true;
}

}  // namespace grademux
