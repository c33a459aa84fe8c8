#include "dotterel/admission/WaitingQueue.h"

#include "dotterel/admission/detail/FairQueue.h"
#include "dotterel/admission/detail/FifoQueue.h"
#include "dotterel/admission/detail/PricedQueue.h"
#include "dotterel/base/Errors.h"

namespace dotterel {

auto waitingQueueNames() -> std::vector<std::string> {
  return {"fair", "fifo", "priced"};
}

auto makeWaitingQueue(const std::string &Name,
                      const WaitingQueueOptions &Options)
    -> std::unique_ptr<WaitingQueue> {
  if (Name == "fair")
    return std::make_unique<detail::FairQueue>(Options);
  if (Name == "fifo")
    return std::make_unique<detail::FifoQueue>();
  if (Name == "priced")
    return std::make_unique<detail::PricedQueue>(Options);
  throw SettingsError(101, "no such waiting queue: " + Name);
}

} // namespace dotterel
