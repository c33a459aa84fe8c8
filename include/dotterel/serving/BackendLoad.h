//===- BackendWork.h - Work under way at an engine ---------------*- C++
//-*-===//
///
/// \file
/// Load and prompts of an engine, as hosts tell each other.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_BACKENDWORK_H
#define DOTTEREL_SERVING_BACKENDWORK_H

#include "dotterel/serving/CallerExchange.h"

#include <vector>

namespace dotterel {

/// What is under way at one backend server.
struct BackendWork {
  BackendId m_Engine;
  double m_Requests = 0;
  double m_UnreadTokens = 0; ///< Prompt tokens still to be read.
};

/// A prompt that an engine has read.
struct PromptRead {
  BackendId m_Engine;
  std::vector<PromptPart> m_Parts;
};

struct LoadSummary {
  /// Whether the summary is of all hosts of the sender's data centre.
  bool m_WholeDataCentre = false;
  std::vector<BackendWork> m_Engines;
  /// Prompt tokens that have to be read, smoothed.
  double m_PrefillTokensPerSecond = 0;
  std::vector<PromptRead> m_Reads; ///< Since the sender's message before.
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_BACKENDWORK_H
