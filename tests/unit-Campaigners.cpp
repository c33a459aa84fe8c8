#include "dotterel/lease/Campaigners.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dotterel;

namespace {

/// Returns nine stewards in three regions.
auto stewards() -> std::vector<Member> {
  auto Result = std::vector<Member>();
  for (auto Number = 0; Number < 9; ++Number)
    Result.push_back(
        {.m_Process = ProcessId{fmt::format("h{}/steward", Number)},
         .m_Location = {.m_Region = RegionId{fmt::format("r{}", Number % 3)}},
         .m_Role = ProcessRole::Steward});
  return Result;
}

/// Returns how many of the stewards that \p Matches selects campaign for a
/// duty.
template <typename Predicate>
auto campaigners(const DutyId &Duty, DutyScope Scope, Predicate Matches)
    -> std::ptrdiff_t {
  auto All = stewards();
  return std::count_if(All.begin(), All.end(), [&](const Member &Self) {
    auto Others = All;
    std::erase_if(Others, [&](const Member &Item) {
      return Item.m_Process == Self.m_Process;
    });
    return Matches(Self) && isCampaigner(Duty, Scope, Self, Others);
  });
}

} // namespace

TEST_CASE("duty: three processes campaign for a duty") {
  for (auto Number = 0; Number < 20; ++Number)
    CHECK(campaigners(DutyId{fmt::format("duty{}", Number)},
                      DutyScope::Everywhere,
                      [](const Member &) { return true; }) == 3);
}

TEST_CASE("duty: three stewards of the region campaign for a region's duty, "
          "regardless of the stewards in other regions") {
  for (auto Number = 0; Number < 20; ++Number)
    for (auto Region = 0; Region < 3; ++Region) {
      auto Place = RegionId{fmt::format("r{}", Region)};
      CHECK(campaigners(DutyId{fmt::format("roles{}", Number)},
                        DutyScope::Region, [&](const Member &Self) {
                          return Self.m_Location.m_Region == Place;
                        }) == 3);
    }
}
