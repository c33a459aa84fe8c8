#include "dotterel/membership/HostList.h"

#include "dotterel/base/Errors.h"

#include <nlohmann/json.hpp>

namespace dotterel {

auto processIdOf(const HostId &Host, ProcessRole Role) -> ProcessId {
  return ProcessId{Host.text() +
                   (Role == ProcessRole::Gate ? "/gate" : "/steward")};
}

auto isGate(const ProcessId &Process) -> bool {
  return Process.text().ends_with("/gate");
}

auto parseHostList(const std::string &Document) -> std::vector<ListedProcess> {
  try {
    auto Result = std::vector<ListedProcess>();
    auto Parsed = nlohmann::json::parse(Document);
    for (const auto &Host : Parsed.at("hosts")) {
      auto Name = HostId{Host.at("host").get<std::string>()};
      auto Leaving = Host.value("state", "live") != "live";
      for (const auto &Process : Host.at("processes")) {
        auto Role = Process.at("role").get<std::string>() == "steward"
                        ? ProcessRole::Steward
                        : ProcessRole::Gate;
        Result.push_back({.m_Process = processIdOf(Name, Role),
                          .m_Role = Role,
                          .m_Address = Process.at("rpc").get<std::string>(),
                          .m_Leaving = Leaving});
      }
    }
    return Result;
  } catch (const nlohmann::json::exception &Failure) {
    throw ProtocolError(301, Failure.what());
  }
}

} // namespace dotterel
