#include "dotterel/io/MemoryBudget.h"

#include <algorithm>
#include <fstream>
#include <malloc.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace dotterel {

auto memoryBudgetFor(std::size_t MemoryMegabytes) -> MemoryBudgetOptions {
  constexpr auto Share = 0.4;
  auto Bytes = static_cast<double>(MemoryMegabytes << 20U);
  return {.m_Bytes = static_cast<std::size_t>(Bytes * Share)};
}

auto returnLargeBlocks() -> void {
  constexpr auto LargeBlockBytes = 256 << 10;
  constexpr auto KeptBytes = 2 << 20;
  ::mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, KeptBytes);
}

auto systemMemoryMegabytes() -> std::size_t {
  auto Bytes = static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES)) *
               static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  // The second one is where older systems state it. Without a limit, the text
  // is no number, or a number above the machine's memory.
  for (const auto *Path : {"/sys/fs/cgroup/memory.max",
                           "/sys/fs/cgroup/memory/memory.limit_in_bytes"}) {
    auto Limit = std::size_t{0};
    if (std::ifstream(Path) >> Limit && Limit > 0)
      Bytes = std::min(Bytes, Limit);
  }
  return Bytes >> 20U;
}

MemoryBudget::MemoryBudget(const MemoryBudgetOptions &Options)
    : m_Options(Options) {}

MemoryBudget::~MemoryBudget() = default;

auto MemoryBudget::usedBytes() const -> std::size_t { return *m_Used; }

auto MemoryBudget::add(std::size_t Bytes) -> void {
  *m_Used += Bytes;
  m_Counts.m_PeakBytes = std::max(m_Counts.m_PeakBytes, *m_Used);
}

auto MemoryBudget::yieldsTo(const MemoryHolding &Holder, std::size_t Bytes,
                            MonotonicTime Now) const -> bool {
  if (Holder.m_RequestBytes > Bytes)
    return true;
  // Callers that announce much and send nothing must not keep out those that
  // send as much.
  return Holder.m_RequestBytes > 0 && Holder.m_RequestBytes >= Bytes &&
         Now - Holder.m_Progress >= m_Options.m_StallTime;
}

auto MemoryBudget::admit(MemoryHolding &Holding, std::size_t Bytes,
                         MonotonicTime Now) -> bool {
  auto Limit = static_cast<double>(m_Options.m_Bytes);
  if (Bytes > m_Options.m_SmallRequestBytes)
    Limit *= 1 - m_Options.m_ReservedShare;
  auto Needed = *m_Used - Holding.m_RequestBytes + Bytes;
  auto Allowed = static_cast<std::size_t>(Limit);
  if (Needed <= Allowed)
    return true;
  auto Yielding = std::vector<MemoryHolding *>();
  auto YieldingBytes = std::size_t{0};
  for (auto *Current : m_Holdings) {
    if (Current == &Holding || !yieldsTo(*Current, Bytes, Now))
      continue;
    Yielding.push_back(Current);
    YieldingBytes += Current->m_RequestBytes;
  }
  if (Needed > Allowed + YieldingBytes)
    return false;
  std::sort(Yielding.begin(), Yielding.end(),
            [](const auto *Left, const auto *Right) {
              return Left->m_RequestBytes > Right->m_RequestBytes;
            });
  for (auto *Current : Yielding) {
    if (*m_Used - Holding.m_RequestBytes + Bytes <= Allowed)
      break;
    ++m_Counts.m_GivenUp;
    Current->releaseRequest();
    Current->m_Holder.giveUpMemory();
  }
  return true;
}

auto MemoryBudget::relieve(MonotonicTime Now) -> void {
  while (*m_Used > m_Options.m_Bytes) {
    auto *Largest = static_cast<MemoryHolding *>(nullptr);
    for (auto *Current : m_Holdings) {
      if (Current->m_ResponseBytes == 0 ||
          Now - Current->m_Progress < m_Options.m_StallTime)
        continue;
      if (Largest == nullptr ||
          Current->m_ResponseBytes > Largest->m_ResponseBytes)
        Largest = Current;
    }
    if (Largest == nullptr)
      return;
    ++m_Counts.m_ResponsesDropped;
    *m_Used -= std::exchange(Largest->m_ResponseBytes, 0);
    Largest->m_Holder.giveUpMemory();
  }
}

MemoryHolding::MemoryHolding(MemoryBudget *Budget, MemoryHolder &Holder)
    : m_Budget(Budget), m_Holder(Holder) {
  if (m_Budget != nullptr)
    m_Budget->m_Holdings.insert(this);
}

MemoryHolding::~MemoryHolding() {
  if (m_Budget == nullptr)
    return;
  m_Budget->m_Holdings.erase(this);
  *m_Budget->m_Used -= m_RequestBytes + m_ResponseBytes;
}

auto MemoryHolding::setRequest(std::size_t Bytes, MonotonicTime Now) -> bool {
  m_Progress = Now;
  if (m_Budget == nullptr)
    return true;
  if (Bytes > m_RequestBytes && !m_Budget->admit(*this, Bytes, Now)) {
    ++m_Budget->m_Counts.m_Refused;
    return false;
  }
  releaseRequest();
  m_RequestBytes = Bytes;
  m_Budget->add(Bytes);
  return true;
}

auto MemoryHolding::complete() -> std::shared_ptr<void> {
  if (m_Budget == nullptr)
    return nullptr;
  auto Bytes = std::exchange(m_RequestBytes, 0);
  return {nullptr, [Used = m_Budget->m_Used, Bytes](void * /*Unused*/) {
            *Used -= Bytes;
          }};
}

auto MemoryHolding::setResponse(std::size_t Bytes, MonotonicTime Now) -> void {
  if (Bytes < m_ResponseBytes || m_ResponseBytes == 0)
    m_Progress = Now;
  if (m_Budget == nullptr)
    return;
  *m_Budget->m_Used -= std::exchange(m_ResponseBytes, Bytes);
  m_Budget->add(Bytes);
}

auto MemoryHolding::releaseRequest() -> void {
  if (m_Budget != nullptr)
    *m_Budget->m_Used -= std::exchange(m_RequestBytes, 0);
}

} // namespace dotterel
