#include "dotterel/serving/BackendDirectory.h"

#include "dotterel/base/Log.h"

#include <fmt/format.h>
#include <utility>
#include <xxhash.h>

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

auto digestOf(const BackendRecord &Record) -> std::uint64_t {
  auto Text = fmt::format(
      "{}/{}/{}/{}/{}/{}/{}/{}/{}/{}", Record.m_Id.text(),
      Record.m_Service.text(), Record.m_Address, Record.m_DataCentre.text(),
      Record.m_Slots, Record.m_Draining, Record.m_Reclaimable,
      stageName(Record.m_Stage), Record.m_StartedAt, Record.m_Version.text());
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace

auto BackendDirectory::put(BackendRecord Record) -> bool {
  auto Found = m_Records.find(Record.m_Id);
  if (Found != m_Records.end() && Found->second == Record)
    return false;
  auto Restarted =
      Found != m_Records.end() && Record.restartedSince(Found->second);
  logInfo("backend.registered", {{"backend", Record.m_Id},
                                 {"service", Record.m_Service},
                                 {"address", Record.m_Address},
                                 {"data_centre", Record.m_DataCentre},
                                 {"stage", stageName(Record.m_Stage)},
                                 {"version", Record.m_Version},
                                 {"draining", Record.m_Draining},
                                 {"reclaimable", Record.m_Reclaimable},
                                 {"restarted", Restarted}});
  auto Id = Record.m_Id;
  m_Records[Id] = std::move(Record);
  rebuildIndex();
  if (Restarted && m_OnInvalidate)
    m_OnInvalidate(Id);
  return true;
}

auto BackendDirectory::remove(const BackendId &Id) -> bool {
  if (m_Records.erase(Id) == 0)
    return false;
  logInfo("backend.gone", {{"backend", Id}});
  rebuildIndex();
  if (m_OnInvalidate)
    m_OnInvalidate(Id);
  return true;
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

auto BackendDirectory::rebuildIndex() -> void {
  m_Usable.clear();
  m_Digest = 0;
  for (const auto &[Id, Record] : m_Records)
    m_Digest ^= digestOf(Record);
  for (const auto &[Id, Record] : m_Records)
    if (!Record.m_Draining)
      m_Usable[Record.m_Service].push_back(&Record);
}

} // namespace dotterel
