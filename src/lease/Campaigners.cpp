#include "dotterel/lease/Campaigners.h"

#include "dotterel/membership/MemberTable.h"

#include <algorithm>

namespace dotterel {

auto isCampaigner(const DutyId &Duty, DutyScope Scope, const Member &Self,
                  std::vector<Member> Others) -> bool {
  constexpr auto MaxCampaigners = std::size_t{3};
  if (Scope == DutyScope::Region)
    std::erase_if(Others, [&Self](const Member &Item) {
      return Item.m_Location.m_Region != Self.m_Location.m_Region;
    });
  Others.push_back(Self);
  auto Ordered = rendezvousOrder("duty/" + Duty.text(), Others);
  auto End = Ordered.begin() + static_cast<std::ptrdiff_t>(
                                   std::min(MaxCampaigners, Ordered.size()));
  return std::any_of(Ordered.begin(), End, [&](const Member &Item) {
    return Item.m_Process == Self.m_Process;
  });
}

} // namespace dotterel
