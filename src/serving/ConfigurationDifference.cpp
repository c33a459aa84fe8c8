#include "dotterel/serving/ConfigurationCheck.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <iterator>
#include <set>
#include <string_view>

namespace dotterel {

namespace {

/// Values of an entry by the names of its fields.
using Fields = std::map<std::string, std::string>;
/// Entries by kind and name. Entries of the same name are ordered by value.
using Entries = std::map<std::string, std::multiset<Fields>>;

auto milliseconds(Duration Value) -> std::string {
  return fmt::format("{} ms",
                     std::chrono::duration<double, std::milli>(Value).count());
}

auto describeShares(const std::vector<TrafficShare> &Shares) -> std::string {
  auto Parts = std::vector<std::string>();
  for (const auto &Share : Shares)
    Parts.push_back(
        fmt::format("{} {}", Share.m_Service.text(), Share.m_Weight));
  std::sort(Parts.begin(), Parts.end());
  return fmt::format("{}", fmt::join(Parts, ", "));
}

auto describeKind(RequestKind Kind) -> std::string {
  switch (Kind) {
  case RequestKind::Safe:
    return "safe";
  case RequestKind::Unsafe:
    return "unsafe";
  case RequestKind::Stream:
    return "stream";
  }
  return {};
}

auto describeRoute(const ServingRoute &Route) -> Fields {
  return {{"host", Route.m_Host},
          {"prefix", Route.m_PathPrefix},
          {"kind", describeKind(Route.m_Kind)},
          {"timeout", milliseconds(Route.m_Timeout)},
          {"latency target", milliseconds(Route.m_LatencyTarget)},
          {"gap target", milliseconds(Route.m_GapTarget)},
          {"priority", std::to_string(Route.m_Priority)},
          {"services", describeShares(Route.m_Shares)},
          {"attempts", std::to_string(Route.m_MaxAttempts)},
          {"public", Route.m_Public ? "yes" : "no"},
          {"resumable", Route.m_Resumable ? "yes" : "no"}};
}

auto describeService(const ServiceSpec &Service) -> Fields {
  auto Result =
      Fields{{"health path", Service.m_HealthPath},
             {"connections", std::to_string(Service.m_MaxConnections)},
             {"engines", Service.m_Engine ? "yes" : "no"},
             {"ordered servers", Service.m_Bounds ? "yes" : "no"}};
  if (const auto &Engine = Service.m_Engine) {
    Result["slots"] = std::to_string(Engine->m_Slots);
    Result["cache"] =
        fmt::format("{} tokens", Engine->m_CacheCapacity.number());
    Result["cache of a token"] =
        fmt::format("{} bytes", Engine->m_BytesPerToken);
    Result["link"] = fmt::format("{} Mbit/s", Engine->m_LinkMegabitsPerSecond);
    Result["handle lifetime"] = milliseconds(Engine->m_HandleLifetime);
    Result["role change"] = milliseconds(Engine->m_RoleChangeTime);
  }
  if (const auto &Bounds = Service.m_Bounds) {
    Result["least servers"] = std::to_string(Bounds->m_MinServers);
    Result["most servers"] = std::to_string(Bounds->m_MaxServers);
    Result["start time"] = milliseconds(Bounds->m_StartTime);
    Result["reclaimable price"] = fmt::format("{}", Bounds->m_ReclaimablePrice);
    for (const auto &[DataCentre, Price] : Bounds->m_Prices)
      Result["price in " + DataCentre.text()] = fmt::format("{}", Price);
  }
  return Result;
}

auto describeEntries(const ServingConfiguration &Configuration) -> Entries {
  const auto &Limits = Configuration.m_Limits;
  auto Result = Entries();
  Result["limits"].insert(
      {{"header", fmt::format("{} bytes", Limits.m_MaxHeaderBytes)},
       {"body", fmt::format("{} bytes", Limits.m_MaxBodyBytes)},
       {"header timeout", milliseconds(Limits.m_HeaderTimeout)},
       {"idle timeout", milliseconds(Limits.m_IdleTimeout)},
       {"keys required", Configuration.m_KeysRequired ? "yes" : "no"}});
  for (const auto &Route : Configuration.m_Routes)
    Result["route " + Route.m_Id.text()].insert(describeRoute(Route));
  for (const auto &[Id, Service] : Configuration.m_Services)
    Result["service " + Id.text()].insert(describeService(Service));
  return Result;
}

/// What callers of an organisation have. Refers to the configuration's keys.
struct Organisation {
  std::set<std::string_view> m_Keys;
  std::set<std::optional<std::uint32_t>> m_Priorities;
};

using Organisations = std::map<std::string_view, Organisation>;

auto collectOrganisations(const ServingConfiguration &Configuration)
    -> Organisations {
  auto Result = Organisations();
  for (const auto &[Key, Holder] : Configuration.m_Keys) {
    auto &Item = Result[Holder.m_Organisation.text()];
    Item.m_Keys.insert(Key);
    Item.m_Priorities.insert(Holder.m_Priority);
  }
  return Result;
}

auto describePriorities(const Organisation &Item) -> std::string {
  auto Parts = std::vector<std::string>();
  for (const auto &Priority : Item.m_Priorities)
    Parts.push_back(Priority ? std::to_string(*Priority) : "of the route");
  return fmt::format("{}", fmt::join(Parts, ", "));
}

/// Returns how many keys of \p Left \p Right does not have.
auto countMissing(const Organisation &Left, const Organisation &Right)
    -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Left.m_Keys.begin(), Left.m_Keys.end(),
                    [&](auto Key) { return !Right.m_Keys.contains(Key); }));
}

auto compareFields(const Fields &Before, const Fields &After)
    -> std::vector<std::string> {
  auto Details = std::vector<std::string>();
  auto Names = std::set<std::string>();
  for (const auto *Side : {&Before, &After})
    for (const auto &[Name, Value] : *Side)
      Names.insert(Name);
  for (const auto &Name : Names) {
    auto Old = Before.find(Name);
    auto New = After.find(Name);
    auto OldText = Old == Before.end() ? "none" : Old->second;
    auto NewText = New == After.end() ? "none" : New->second;
    if (OldText != NewText)
      Details.push_back(fmt::format("{}: {} -> {}", Name, OldText, NewText));
  }
  return Details;
}

auto compareEntry(const std::multiset<Fields> &Before,
                  const std::multiset<Fields> &After)
    -> std::vector<std::string> {
  if (Before.size() == 1 && After.size() == 1)
    return compareFields(*Before.begin(), *After.begin());
  if (Before == After)
    return {};
  return {fmt::format("{} entries of this name -> {}, of other values",
                      Before.size(), After.size())};
}

auto compareOrganisation(const Organisation &Before, const Organisation &After)
    -> std::vector<std::string> {
  auto Details = std::vector<std::string>();
  if (auto Count = countMissing(After, Before); Count > 0)
    Details.push_back(fmt::format("keys added: {}", Count));
  if (auto Count = countMissing(Before, After); Count > 0)
    Details.push_back(fmt::format("keys removed: {}", Count));
  if (Before.m_Priorities != After.m_Priorities)
    Details.push_back(fmt::format("priority: {} -> {}",
                                  describePriorities(Before),
                                  describePriorities(After)));
  return Details;
}

/// Appends what differs between two maps from names to entries.
template <typename Map, typename Compare>
auto compareMaps(const Map &Before, const Map &After, std::string_view Prefix,
                 Compare CompareValues,
                 std::vector<ConfigurationDifference> &Differences) -> void {
  auto Add = [&](DifferenceKind Kind, std::string_view Name,
                 std::vector<std::string> Details) {
    Differences.push_back({.m_Kind = Kind,
                           .m_Entry = fmt::format("{}{}", Prefix, Name),
                           .m_Details = std::move(Details)});
  };
  for (const auto &[Name, Old] : Before) {
    auto New = After.find(Name);
    if (New == After.end())
      Add(DifferenceKind::Removed, Name, {});
    else if (auto Details = CompareValues(Old, New->second); !Details.empty())
      Add(DifferenceKind::Changed, Name, std::move(Details));
  }
  for (const auto &[Name, New] : After)
    if (!Before.contains(Name))
      Add(DifferenceKind::Added, Name, {});
}

} // namespace

auto compareConfigurations(const ServingConfiguration &Before,
                           const ServingConfiguration &After)
    -> std::vector<ConfigurationDifference> {
  auto Differences = std::vector<ConfigurationDifference>();
  compareMaps(describeEntries(Before), describeEntries(After), "", compareEntry,
              Differences);
  compareMaps(collectOrganisations(Before), collectOrganisations(After),
              "organisation ", compareOrganisation, Differences);
  return Differences;
}

} // namespace dotterel
