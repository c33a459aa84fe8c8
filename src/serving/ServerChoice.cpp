#include "dotterel/serving/ServerChoice.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace dotterel {

auto candidates(const ChoiceView &View, const ServiceId &Service,
                const std::set<BackendId> &Excluded, MonotonicTime Now)
    -> std::vector<const BackendRecord *> {
  const auto &Usable = View.m_Directory.usable(Service);
  auto Ejected = static_cast<std::size_t>(
      std::count_if(Usable.begin(), Usable.end(), [&](const auto *Item) {
        return View.m_Health.ejected(Item->m_Id, Now);
      }));
  auto ExcludeEjected = View.m_Health.mayExclude(Ejected, Usable.size());
  auto Result = std::vector<const BackendRecord *>();
  auto InBackoff = std::vector<const BackendRecord *>();
  for (const auto *Item : Usable) {
    if (Excluded.contains(Item->m_Id) || !View.mayServe(*Item))
      continue;
    auto OutOfUse = ExcludeEjected && View.m_Health.ejected(Item->m_Id, Now);
    if (View.m_Access.check(targetOf(*Item, OutOfUse), SendPurpose::Execute,
                            Now) != SendDenial::None)
      continue;
    (View.m_Loads.inBackoff(Item->m_Id, Now) ? InBackoff : Result)
        .push_back(Item);
  }
  return Result.empty() ? InBackoff : Result;
}

auto ServiceDenials::text() const -> std::string {
  if (m_Counts.empty())
    return "the service has no server";
  if (m_Counts.size() == 1 && m_Counts.contains(SendDenial::RateLimited))
    return "the request rates of the service's servers are used up";
  auto Text = std::string("no server takes requests now:");
  for (const auto &[Denial, Count] : m_Counts)
    Text += fmt::format(" {} {}", Count,
                        Denial == SendDenial::None ? "tried" : nameOf(Denial));
  return Text;
}

auto denialsOf(const ChoiceView &View, const ServiceId &Service,
               MonotonicTime Now) -> ServiceDenials {
  auto Result = ServiceDenials();
  for (const auto &[Id, Item] : View.m_Directory.all()) {
    if (Item.m_Service != Service)
      continue;
    auto Target = targetOf(Item);
    auto Denial = View.mayServe(Item)
                      ? View.m_Access.check(Target, SendPurpose::Execute, Now)
                      : SendDenial::OtherVersion;
    ++Result.m_Counts[Denial];
    if (opensByItself(Denial))
      Result.m_TimeToOpen =
          std::min(View.m_Access.timeToOpen(Target, Now),
                   Result.m_TimeToOpen.value_or(Duration::max()));
  }
  return Result;
}

auto ServerChoice::choose(const ChoiceView &View, const ServiceId &Service,
                          const std::set<BackendId> &Excluded,
                          MonotonicTime Now) const -> const BackendRecord * {
  const BackendRecord *Best = nullptr;
  auto BestCost = std::numeric_limits<double>::max();
  auto UsualWork = static_cast<double>(m_Options.m_WorkTime.count());
  for (const auto *Item : candidates(View, Service, Excluded, Now)) {
    auto Requests = View.m_Loads.ownRequests(Item->m_Id) +
                    View.m_Loads.otherRequests(Item->m_Id, Now);
    auto Slots = std::max(1.0, static_cast<double>(Item->m_Slots));
    auto Slowdown = View.m_Speeds.slowdown(Item->m_Id, Now);
    auto Work = UsualWork * Slowdown;
    // Requests within the slots slow each other down only slightly; requests
    // beyond them wait.
    auto Cost = UsualWork * (Slowdown - 1) + Work * (Requests / Slots);
    if (Requests >= Slots)
      Cost += Work * (Requests - Slots + 1) / Slots;
    auto Near = View.m_Distance.to(Item->m_DataCentre);
    auto Distance = Near == Nearness::Region   ? m_Options.m_RegionPenalty
                    : Near == Nearness::Remote ? m_Options.m_RemotePenalty
                                               : Duration::zero();
    Distance += View.m_Offload.bias(Item->m_DataCentre, Distance);
    Cost += static_cast<double>(Distance.count());
    // Ties are broken randomly, so that hosts do not all choose the same
    // server.
    constexpr auto Jitter = 0.05;
    Cost += UsualWork * Jitter * View.m_Random.unit();
    if (Cost < BestCost) {
      BestCost = Cost;
      Best = Item;
    }
  }
  return Best;
}

} // namespace dotterel
