//===- StreamOrigin.h - Software that began a stream ------------*- C++ -*-===//
///
/// \file
/// Decides whether a server may go on with a stream that another one began.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ROUTING_STREAMORIGIN_H
#define DOTTEREL_ROUTING_STREAMORIGIN_H

#include "dotterel/base/Ids.h"

#include <string>

namespace dotterel {

/// Service and software version of the server that began a stream.
struct StreamOrigin {
  std::string m_Service;
  SoftwareVersion m_Version;

  auto operator==(const StreamOrigin &) const -> bool = default;
};

/// Returns whether a server of \p Service with \p Version may go on with a
/// stream of \p Origin: what two versions write does not fit together.
[[nodiscard]] inline auto mayContinue(const StreamOrigin &Origin,
                                      const std::string &Service,
                                      const SoftwareVersion &Version) -> bool {
  return Origin == StreamOrigin{.m_Service = Service, .m_Version = Version};
}

} // namespace dotterel

#endif // DOTTEREL_ROUTING_STREAMORIGIN_H
