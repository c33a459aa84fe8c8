//===- BackendRecord.h - Registration of a backend server -------*- C++ -*-===//
///
/// \file
/// The registration that a backend server writes to the platform's store.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_BACKENDRECORD_H
#define DOTTEREL_SERVING_BACKENDRECORD_H

#include "dotterel/routing/ServerAccess.h"
#include "dotterel/serving/ServingConfiguration.h"

#include <string>

namespace dotterel {

/// Stage that an engine currently runs.
enum class EngineStage : std::uint8_t {
  None,    ///< Not an engine.
  Prefill, ///< Prefills prompts for decode engines.
  Decode,  ///< Decodes, and prefills prompts at a lower speed.
};

struct BackendRecord {
  BackendId m_Id;
  ServiceId m_Service;
  std::string m_Address; ///< IP:PORT.
  DataCentreId m_DataCentre;
  std::uint32_t m_Slots = 1;
  bool m_Draining = false;
  /// May be reclaimed, together with the other reclaimable servers of its data
  /// centre.
  bool m_Reclaimable = false;
  EngineStage m_Stage = EngineStage::None;
  SoftwareVersion m_Version;
  /// Unix time in milliseconds; 0 if not reported.
  std::uint64_t m_StartedAt = 0;

  auto operator==(const BackendRecord &) const -> bool = default;

  /// Returns whether the server has restarted since \p Other was registered:
  /// its start time or its address differs.
  [[nodiscard]] auto restartedSince(const BackendRecord &Other) const -> bool {
    return m_StartedAt != Other.m_StartedAt || m_Address != Other.m_Address;
  }
};

/// Returns the server as a target, which refers to \p Server.
[[nodiscard]] inline auto targetOf(const BackendRecord &Server,
                                   bool Ejected = false) -> SendTarget {
  return {.m_Backend = Server.m_Id,
          .m_Address = Server.m_Address,
          .m_Start = Server.m_StartedAt,
          .m_StartsOrdered = true,
          .m_Draining = Server.m_Draining,
          .m_Ejected = Ejected};
}

} // namespace dotterel

#endif // DOTTEREL_SERVING_BACKENDRECORD_H
