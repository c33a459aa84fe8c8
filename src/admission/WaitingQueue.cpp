#include "dotterel/admission/WaitingQueue.h"

#include "dotterel/base/Errors.h"

#include <algorithm>
#include <array>
#include <utility>

namespace dotterel {

namespace {

constexpr auto ClassCount = std::size_t{3};

/// Moves the items of \p Source that match to the result.
template <typename Predicate>
auto extract(std::deque<Waiting> &Source, Predicate Matches)
    -> std::vector<Waiting> {
  auto Taken = std::vector<Waiting>();
  auto Kept = std::deque<Waiting>();
  for (auto &Item : Source) {
    if (Matches(Item))
      Taken.push_back(std::move(Item));
    else
      Kept.push_back(std::move(Item));
  }
  Source = std::move(Kept);
  return Taken;
}

/// First come, first served.
class FifoQueue final : public WaitingQueue {
public:
  [[nodiscard]] auto name() const -> std::string override { return "fifo"; }

  auto push(Waiting Item) -> void override {
    m_Items.push_back(std::move(Item));
  }

  auto pop(MonotonicTime /*Now*/,
           const std::function<bool(const Waiting &)> &Fits)
      -> std::optional<Waiting> override {
    auto Found = std::find_if(m_Items.begin(), m_Items.end(), Fits);
    if (Found == m_Items.end())
      return std::nullopt;
    auto Item = std::move(*Found);
    m_Items.erase(Found);
    return Item;
  }

  auto remove(const RequestId &Request) -> void override {
    std::erase_if(m_Items, [&](const Waiting &Item) {
      return Item.m_Request == Request;
    });
  }

  auto expire(MonotonicTime Now) -> std::vector<Waiting> override {
    return extract(
        m_Items, [Now](const Waiting &Item) { return Item.m_Deadline <= Now; });
  }

  [[nodiscard]] auto size() const -> std::size_t override {
    return m_Items.size();
  }

private:
  std::deque<Waiting> m_Items;
};

/// Start-time fair queueing over organisations, inside classes.
///
/// \invariant m_VirtualTime never falls. An organisation's tag is the virtual
/// time at which its next request may start.
class FairQueue final : public WaitingQueue {
public:
  explicit FairQueue(const FairQueueOptions &Options) : m_Options(Options) {}

  [[nodiscard]] auto name() const -> std::string override { return "fair"; }

  auto push(Waiting Item) -> void override {
    auto &Owner = m_Organisations[Item.m_Organisation];
    // One that was idle starts at the present and cannot save up service.
    if (Owner.m_Waiting == 0)
      Owner.m_Tag = std::max(Owner.m_Tag, m_VirtualTime);
    ++Owner.m_Waiting;
    ++m_Size;
    auto Class = static_cast<std::size_t>(Item.m_Class);
    Owner.m_Classes[Class].push_back(std::move(Item));
  }

  auto pop(MonotonicTime Now, const std::function<bool(const Waiting &)> &Fits)
      -> std::optional<Waiting> override {
    auto Choices = heads(Now);
    std::sort(Choices.begin(), Choices.end(), [](const Head &A, const Head &B) {
      if (A.m_Rank != B.m_Rank)
        return A.m_Rank < B.m_Rank;
      return A.m_Tag < B.m_Tag;
    });
    for (const auto &Choice : Choices) {
      auto &Owner = m_Organisations.at(Choice.m_Organisation);
      auto &Line = Owner.m_Classes[Choice.m_Class];
      if (!Fits(Line.front()))
        continue;
      auto Item = std::move(Line.front());
      Line.pop_front();
      charge(Owner, Item);
      return Item;
    }
    return std::nullopt;
  }

  auto remove(const RequestId &Request) -> void override {
    extractAll([&](const Waiting &Item) { return Item.m_Request == Request; });
  }

  auto expire(MonotonicTime Now) -> std::vector<Waiting> override {
    return extractAll(
        [Now](const Waiting &Item) { return Item.m_Deadline <= Now; });
  }

  [[nodiscard]] auto size() const -> std::size_t override { return m_Size; }

private:
  struct Organisation {
    double m_Tag = 0;
    std::size_t m_Waiting = 0;
    std::array<std::deque<Waiting>, ClassCount> m_Classes;
  };
  /// The first request of an organisation in one class.
  struct Head {
    OrganisationId m_Organisation;
    std::size_t m_Class = 0;
    std::int64_t m_Rank = 0;
    double m_Tag = 0;
  };

  [[nodiscard]] auto heads(MonotonicTime Now) const -> std::vector<Head> {
    auto Result = std::vector<Head>();
    for (const auto &[Id, Owner] : m_Organisations)
      for (auto Class = std::size_t{0}; Class < ClassCount; ++Class) {
        if (Owner.m_Classes[Class].empty())
          continue;
        auto Waited = Now - Owner.m_Classes[Class].front().m_Since;
        auto Rank =
            static_cast<std::int64_t>(Class) - Waited / m_Options.m_AgingPeriod;
        Result.push_back({.m_Organisation = Id,
                          .m_Class = Class,
                          .m_Rank = std::max<std::int64_t>(Rank, 0),
                          .m_Tag = Owner.m_Tag});
      }
    return Result;
  }

  auto charge(Organisation &Owner, const Waiting &Item) -> void {
    m_VirtualTime = std::max(m_VirtualTime, Owner.m_Tag);
    Owner.m_Tag += Item.m_Cost / Item.m_Weight;
    --Owner.m_Waiting;
    --m_Size;
    dropIdle(Item.m_Organisation);
  }

  /// Forgets an organisation that owes nothing, so that memory follows the
  /// active ones.
  auto dropIdle(const OrganisationId &Id) -> void {
    auto Found = m_Organisations.find(Id);
    if (Found != m_Organisations.end() && Found->second.m_Waiting == 0 &&
        Found->second.m_Tag <= m_VirtualTime)
      m_Organisations.erase(Found);
  }

  template <typename Predicate>
  auto extractAll(Predicate Matches) -> std::vector<Waiting> {
    auto Taken = std::vector<Waiting>();
    for (auto &[Id, Owner] : m_Organisations)
      for (auto &Line : Owner.m_Classes)
        for (auto &Item : extract(Line, Matches)) {
          --Owner.m_Waiting;
          --m_Size;
          Taken.push_back(std::move(Item));
        }
    std::erase_if(m_Organisations, [this](const auto &Item) {
      return Item.second.m_Waiting == 0 && Item.second.m_Tag <= m_VirtualTime;
    });
    return Taken;
  }

  FairQueueOptions m_Options;
  std::map<OrganisationId, Organisation> m_Organisations;
  double m_VirtualTime = 0;
  std::size_t m_Size = 0;
};

} // namespace

auto waitingQueueNames() -> std::vector<std::string> {
  return {"fair", "fifo"};
}

auto makeWaitingQueue(const std::string &Name, const FairQueueOptions &Options)
    -> std::unique_ptr<WaitingQueue> {
  if (Name == "fair")
    return std::make_unique<FairQueue>(Options);
  if (Name == "fifo")
    return std::make_unique<FifoQueue>();
  throw SettingsError(101, "no such waiting queue: " + Name);
}

} // namespace dotterel
