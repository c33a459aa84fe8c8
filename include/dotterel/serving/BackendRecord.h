//===- BackendRecord.h - A backend server as it registered ------*- C++ -*-===//
///
/// \file
/// What a backend server says of itself in the platform's store.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_BACKENDRECORD_H
#define DOTTEREL_SERVING_BACKENDRECORD_H

#include "dotterel/serving/ServingConfiguration.h"

#include <string>

namespace dotterel {

/// What an engine does at present.
enum class EngineStage : std::uint8_t {
  None,    ///< Not an engine.
  Prefill, ///< Reads prompts for others.
  Decode,  ///< Generates, and reads prompts at a lower speed.
};

struct BackendRecord {
  BackendId m_Id;
  ServiceId m_Service;
  std::string m_Address; ///< IP:PORT.
  DataCentreId m_DataCentre;
  std::uint32_t m_Slots = 1;
  bool m_Draining = false;
  bool m_Reclaimable = false; ///< May be taken away with its data centre's.
  EngineStage m_Stage = EngineStage::None;
  std::uint64_t m_StartedAt = 0; ///< Unix milliseconds; 0: not stated.

  auto operator==(const BackendRecord &) const -> bool = default;

  /// Whether \p Other is another life of the same server.
  [[nodiscard]] auto restartedSince(const BackendRecord &Other) const -> bool {
    return m_StartedAt != Other.m_StartedAt || m_Address != Other.m_Address;
  }
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_BACKENDRECORD_H
