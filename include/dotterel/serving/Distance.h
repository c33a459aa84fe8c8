//===- Distance.h - Network distance between data centres -------*- C++ -*-===//
///
/// \file
/// Network distance of servers from this host.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_DISTANCE_H
#define DOTTEREL_SERVING_DISTANCE_H

#include "dotterel/membership/Member.h"

#include <map>

namespace dotterel {

enum class Nearness : std::uint8_t { DataCentre, Region, Remote };

/// Returns the name used in metrics.
inline auto nameOf(Nearness Near) -> const char * {
  switch (Near) {
  case Nearness::DataCentre:
    return "data_centre";
  case Nearness::Region:
    return "region";
  case Nearness::Remote:
    return "remote";
  }
  return "";
}

/// Computes the distance between data centres from the regions of the
/// installation.
class Distance {
public:
  Distance(Location Self, std::map<DataCentreId, RegionId> Regions)
      : m_Self(std::move(Self)), m_Regions(std::move(Regions)) {}

  [[nodiscard]] auto to(const DataCentreId &Other) const -> Nearness {
    return between(m_Self.m_DataCentre, Other);
  }

  [[nodiscard]] auto between(const DataCentreId &Left,
                             const DataCentreId &Right) const -> Nearness {
    if (Left == Right)
      return Nearness::DataCentre;
    auto LeftRegion = m_Regions.find(Left);
    auto RightRegion = m_Regions.find(Right);
    if (LeftRegion == m_Regions.end() || RightRegion == m_Regions.end())
      return Nearness::Remote;
    return LeftRegion->second == RightRegion->second ? Nearness::Region
                                                     : Nearness::Remote;
  }

  [[nodiscard]] auto self() const -> const Location & { return m_Self; }

private:
  Location m_Self;
  std::map<DataCentreId, RegionId> m_Regions;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_DISTANCE_H
