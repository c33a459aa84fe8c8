#include "dotterel/serving/BackendDirectory.h"

#include "dotterel/base/Log.h"

#include <utility>

namespace dotterel {

namespace {

auto stageName(EngineStage Stage) -> const char * {
  switch (Stage) {
  case EngineStage::None:
    return "none";
  case EngineStage::Prefill:
    return "prefill";
  case EngineStage::Decode:
    return "decode";
  }
  return "";
}

} // namespace

auto BackendDirectory::put(BackendRecord Record) -> void {
  auto Found = m_Records.find(Record.m_Id);
  if (Found != m_Records.end() && Found->second == Record)
    return;
  auto Restarted =
      Found != m_Records.end() && Record.restartedSince(Found->second);
  logInfo("backend.registered",
          {{"backend", Record.m_Id},
           {"service", Record.m_Service},
           {"address", Record.m_Address},
           {"data_centre", Record.m_DataCentre},
           {"stage", stageName(Record.m_Stage)},
           {"draining", Record.m_Draining},
           {"reclaimable", Record.m_Reclaimable},
           {"restarted", Restarted}});
  auto Id = Record.m_Id;
  m_Records[Id] = std::move(Record);
  index();
  if (Restarted && m_OnForget)
    m_OnForget(Id);
}

auto BackendDirectory::remove(const BackendId &Id) -> void {
  if (m_Records.erase(Id) == 0)
    return;
  logInfo("backend.gone", {{"backend", Id}});
  index();
  if (m_OnForget)
    m_OnForget(Id);
}

auto BackendDirectory::find(const BackendId &Id) const
    -> const BackendRecord * {
  auto Found = m_Records.find(Id);
  return Found == m_Records.end() ? nullptr : &Found->second;
}

auto BackendDirectory::usable(const ServiceId &Service) const
    -> const std::vector<const BackendRecord *> & {
  static const auto None = std::vector<const BackendRecord *>();
  auto Found = m_Usable.find(Service);
  return Found == m_Usable.end() ? None : Found->second;
}

auto BackendDirectory::index() -> void {
  m_Usable.clear();
  for (const auto &[Id, Record] : m_Records)
    if (!Record.m_Draining)
      m_Usable[Record.m_Service].push_back(&Record);
}

} // namespace dotterel
