#include "dotterel/serving/ConfigurationCheck.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <set>
#include <string_view>
#include <utility>

namespace dotterel {

namespace {

constexpr auto MaxLoggedFindings = std::size_t{20};

/// Returns whether a number has probably been below 0 in the document: decoding
/// wraps it.
auto isWrapped(std::uint32_t Value) -> bool {
  return Value > std::uint32_t{std::numeric_limits<std::int32_t>::max()};
}

/// Collects the warnings on one configuration.
class ConfigurationChecker {
public:
  explicit ConfigurationChecker(const ServingConfiguration &Configuration)
      : m_Configuration(Configuration),
        m_Findings(Configuration.m_IgnoredEntries) {}

  auto run() -> std::vector<ConfigurationFinding> {
    for (auto Index = std::size_t{0}; Index < m_Configuration.m_Routes.size();
         ++Index) {
      m_Path = fmt::format("routes[{}]", Index);
      checkMatching(m_Configuration.m_Routes[Index]);
      checkLimits(m_Configuration.m_Routes[Index]);
      checkShares(m_Configuration.m_Routes[Index]);
    }
    checkServices();
    checkCallerLimits();
    checkKeys();
    return std::move(m_Findings);
  }

private:
  auto warn(std::string Reason) -> void {
    m_Findings.push_back({.m_Path = m_Path, .m_Reason = std::move(Reason)});
  }

  auto checkMatching(const ServingRoute &Route) -> void {
    const auto &Prefix = Route.m_PathPrefix;
    if (!m_Names.insert(Route.m_Id).second)
      warn(fmt::format("another route is named {}, too", Route.m_Id.text()));
    // The longest prefix decides, so only an equal one hides a route.
    auto [First, Inserted] = m_Prefixes.emplace(
        std::pair(std::string_view(Route.m_Host), std::string_view(Prefix)),
        m_Path);
    if (!Inserted)
      warn(fmt::format("route {} has the host and the prefix of {}: only one "
                       "of them serves requests",
                       Route.m_Id.text(), First->second));
    if (!Prefix.starts_with('/'))
      warn(fmt::format("route {} matches no request: its prefix does not begin "
                       "with a slash",
                       Route.m_Id.text()));
    else if (!Prefix.ends_with('/'))
      warn(fmt::format("route {} also matches longer names: its prefix does "
                       "not end with a slash",
                       Route.m_Id.text()));
  }

  auto checkLimits(const ServingRoute &Route) -> void {
    const auto &Name = Route.m_Id.text();
    if (Route.m_Timeout <= Duration::zero())
      warn(fmt::format("route {} has no time for a response: its timeout is "
                       "not above 0",
                       Name));
    else if (Route.m_Timeout < Route.m_LatencyTarget)
      warn(fmt::format("the timeout of route {} ({} ms) is below its latency "
                       "target ({} ms)",
                       Name, toMilliseconds(Route.m_Timeout),
                       toMilliseconds(Route.m_LatencyTarget)));
    if (isWrapped(Route.m_Priority))
      warn(fmt::format("route {} has the priority {}, as read from a number "
                       "below 0 or too large",
                       Name, Route.m_Priority));
    if (isWrapped(Route.m_MaxAttempts)) {
      warn(fmt::format("route {} allows {} attempts, as read from a number "
                       "below 0 or too large",
                       Name, Route.m_MaxAttempts));
      return;
    }
    if (Route.m_MaxAttempts == 0)
      warn(fmt::format("route {} allows 0 attempts", Name));
    if (Route.m_MaxAttempts > 1 && !Route.repeatable())
      warn(fmt::format("route {} allows {} attempts, but its requests must not "
                       "be executed more than once",
                       Name, Route.m_MaxAttempts));
  }

  auto checkShares(const ServingRoute &Route) -> void {
    auto Total = 0.0;
    for (const auto &Share : Route.m_Shares) {
      Total += Share.m_Weight;
      if (Share.m_Weight < 0)
        warn(fmt::format("route {} gives service {} a weight below 0",
                         Route.m_Id.text(), Share.m_Service.text()));
      m_Referred.insert(Share.m_Service);
      if (!m_Configuration.m_Services.contains(Share.m_Service))
        warn(fmt::format("route {} leads to service {}, which does not exist",
                         Route.m_Id.text(), Share.m_Service.text()));
    }
    if (!(Total > 0))
      warn(fmt::format("the weights of route {} have the sum {}",
                       Route.m_Id.text(), Total));
  }

  auto checkServices() -> void {
    m_Path = "services";
    for (const auto &[Id, Service] : m_Configuration.m_Services) {
      if (!m_Referred.contains(Id))
        warn(fmt::format("no route leads to service {}", Id.text()));
      if (Service.m_Bounds &&
          Service.m_Bounds->m_MinServers > Service.m_Bounds->m_MaxServers)
        warn(fmt::format("service {} has at least {} servers, but at most {}",
                         Id.text(), Service.m_Bounds->m_MinServers,
                         Service.m_Bounds->m_MaxServers));
      if (Service.m_Engine && Service.m_Engine->m_Slots == 0)
        warn(fmt::format("the engines of service {} have 0 slots", Id.text()));
    }
  }

  auto checkCallerLimits() -> void {
    m_Path = "limits";
    const auto &Limits = m_Configuration.m_Limits;
    const auto Defaults = CallerLimits();
    if (Limits.m_MaxBodyBytes > Defaults.m_MaxBodyBytes)
      warn(fmt::format("bodies of {} bytes are over the {} bytes that a host "
                       "holds by default",
                       Limits.m_MaxBodyBytes, Defaults.m_MaxBodyBytes));
    if (Limits.m_MaxBodyBytes == 0)
      warn("bodies of 0 bytes: every request with a body is refused");
    if (Limits.m_MaxHeaderBytes == 0)
      warn("headers of 0 bytes: every request is refused");
    if (Limits.m_HeaderTimeout <= Duration::zero())
      warn("the time for headers is not above 0");
    if (Limits.m_IdleTimeout <= Duration::zero())
      warn("the time for idle connections is not above 0");
  }

  auto checkKeys() -> void {
    m_Path = "keys";
    auto WithoutOrganisation = std::size_t{0};
    auto EmptyKeys = std::set<OrganisationId>();
    auto WrappedPriorities = std::map<OrganisationId, std::uint32_t>();
    for (const auto &[Key, Holder] : m_Configuration.m_Keys) {
      if (Holder.m_Organisation.empty())
        ++WithoutOrganisation;
      if (Holder.m_Priority && isWrapped(*Holder.m_Priority))
        WrappedPriorities[Holder.m_Organisation] = *Holder.m_Priority;
      if (Key.empty())
        EmptyKeys.insert(Holder.m_Organisation);
    }
    if (WithoutOrganisation > 0)
      warn(fmt::format("{} keys belong to an organisation without a name",
                       WithoutOrganisation));
    for (const auto &[Organisation, Priority] : WrappedPriorities)
      warn(fmt::format("organisation {} has the priority {}, as read from a "
                       "number below 0 or too large",
                       Organisation.text(), Priority));
    for (const auto &Organisation : EmptyKeys)
      warn(
          fmt::format("organisation {} has an empty key", Organisation.text()));
    if (m_Configuration.m_KeysRequired && m_Configuration.m_Keys.empty() &&
        std::any_of(m_Configuration.m_Routes.begin(),
                    m_Configuration.m_Routes.end(),
                    [](const auto &Route) { return !Route.m_Public; }))
      warn("routes need a key, but no organisation has one");
  }

  const ServingConfiguration &m_Configuration;
  std::vector<ConfigurationFinding> m_Findings;
  std::string m_Path; ///< Entry that is being checked.
  std::set<RouteId> m_Names;
  std::set<ServiceId> m_Referred;
  std::map<std::pair<std::string_view, std::string_view>, std::string>
      m_Prefixes;
};

} // namespace

auto checkConfiguration(const ServingConfiguration &Configuration)
    -> std::vector<ConfigurationFinding> {
  return ConfigurationChecker(Configuration).run();
}

auto logFindings(const ServingConfiguration &Configuration) -> void {
  auto Findings = checkConfiguration(Configuration);
  auto Logged = std::min(Findings.size(), MaxLoggedFindings);
  for (auto Index = std::size_t{0}; Index < Logged; ++Index)
    logWarning("config.finding", {{"revision", Configuration.m_Revision},
                                  {"path", Findings[Index].m_Path},
                                  {"reason", Findings[Index].m_Reason},
                                  {"number", Index + 1},
                                  {"findings", Findings.size()}});
}

} // namespace dotterel
