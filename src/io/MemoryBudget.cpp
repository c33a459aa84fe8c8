#include "dotterel/io/MemoryBudget.h"

#include <algorithm>
#include <fstream>
#include <malloc.h>
#include <unistd.h>
#include <unordered_set>
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

struct MemoryBudget::State {
  auto admit(MemoryHolding &Holding, std::size_t Bytes, MonotonicTime Now)
      -> bool;
  auto add(std::size_t Bytes) -> void;
  [[nodiscard]] auto yieldsTo(const MemoryHolding &Holder, std::size_t Bytes,
                              MonotonicTime Now) const -> bool;

  MemoryBudgetOptions m_Options;
  std::size_t m_Used = 0;
  MemoryBudgetCounts m_Counts;
  std::unordered_set<MemoryHolding *> m_Holdings;
};

MemoryBudget::MemoryBudget(const MemoryBudgetOptions &Options)
    : m_State(std::make_shared<State>(State{.m_Options = Options})) {}

MemoryBudget::~MemoryBudget() = default;

auto MemoryBudget::usedBytes() const -> std::size_t { return m_State->m_Used; }

auto MemoryBudget::limitBytes() const -> std::size_t {
  return m_State->m_Options.m_Bytes;
}

auto MemoryBudget::counts() const -> const MemoryBudgetCounts & {
  return m_State->m_Counts;
}

auto MemoryBudget::State::add(std::size_t Bytes) -> void {
  m_Used += Bytes;
  m_Counts.m_PeakBytes = std::max(m_Counts.m_PeakBytes, m_Used);
}

auto MemoryBudget::State::yieldsTo(const MemoryHolding &Holder,
                                   std::size_t Bytes, MonotonicTime Now) const
    -> bool {
  // Callers that announce much and send nothing must not keep out others.
  return Holder.m_RequestBytes > Bytes ||
         (Holder.m_RequestBytes > 0 &&
          Now - Holder.m_Progress >= m_Options.m_StallTime);
}

auto MemoryBudget::State::admit(MemoryHolding &Holding, std::size_t Bytes,
                                MonotonicTime Now) -> bool {
  auto Limit = static_cast<double>(m_Options.m_Bytes);
  if (Bytes > m_Options.m_SmallRequestBytes)
    Limit *= 1 - m_Options.m_ReservedShare;
  auto Needed = m_Used - Holding.m_RequestBytes + Bytes;
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
    if (m_Used - Holding.m_RequestBytes + Bytes <= Allowed)
      break;
    ++m_Counts.m_GivenUp;
    Current->releaseRequest();
    Current->m_Holder.giveUpMemory();
  }
  return true;
}

MemoryHolding::MemoryHolding(MemoryBudget *Budget, MemoryHolder &Holder)
    : m_State(Budget != nullptr ? Budget->m_State : nullptr), m_Holder(Holder) {
  if (m_State)
    m_State->m_Holdings.insert(this);
}

MemoryHolding::~MemoryHolding() {
  if (!m_State)
    return;
  m_State->m_Holdings.erase(this);
  m_State->m_Used -= m_RequestBytes + m_ResponseBytes;
}

auto MemoryHolding::setRequest(std::size_t Bytes, MonotonicTime Now) -> bool {
  m_Progress = Now;
  if (!m_State)
    return true;
  if (Bytes > m_RequestBytes && !m_State->admit(*this, Bytes, Now)) {
    ++m_State->m_Counts.m_Refused;
    return false;
  }
  releaseRequest();
  m_RequestBytes = Bytes;
  m_State->add(Bytes);
  return true;
}

auto MemoryHolding::complete() -> std::shared_ptr<void> {
  if (!m_State)
    return nullptr;
  struct CountedBytes {
    CountedBytes(std::shared_ptr<MemoryBudget::State> State, std::size_t Bytes)
        : m_State(std::move(State)), m_Bytes(Bytes) {}
    CountedBytes(const CountedBytes &) = delete;
    auto operator=(const CountedBytes &) -> CountedBytes & = delete;
    ~CountedBytes() { m_State->m_Used -= m_Bytes; }

    std::shared_ptr<MemoryBudget::State> m_State;
    std::size_t m_Bytes;
  };
  return std::make_shared<CountedBytes>(m_State,
                                        std::exchange(m_RequestBytes, 0));
}

auto MemoryHolding::setResponse(std::size_t Bytes) -> void {
  if (!m_State)
    return;
  m_State->m_Used -= std::exchange(m_ResponseBytes, Bytes);
  m_State->add(Bytes);
}

auto MemoryHolding::releaseRequest() -> void {
  if (m_State)
    m_State->m_Used -= std::exchange(m_RequestBytes, 0);
}

} // namespace dotterel
