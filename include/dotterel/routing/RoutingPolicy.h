//===- RoutingPolicy.h - Choice of an engine --------------------*- C++ -*-===//
///
/// \file
/// Ways to choose among engines; the simple ones serve as baselines.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ROUTING_ROUTINGPOLICY_H
#define DOTTEREL_ROUTING_ROUTINGPOLICY_H

#include "dotterel/base/Random.h"
#include "dotterel/routing/Candidate.h"

#include <memory>
#include <string>
#include <vector>

namespace dotterel {

/// Chooses an engine.
class RoutingPolicy {
public:
  virtual ~RoutingPolicy() = default;

  [[nodiscard]] virtual auto name() const -> std::string = 0;

  /// Index of the chosen engine. \pre \p Engines is not empty.
  virtual auto choose(const std::vector<Candidate> &Engines,
                      const Work &Request, Random &Random) -> std::size_t = 0;
};

/// Names accepted by makeRoutingPolicy().
auto routingPolicyNames() -> std::vector<std::string>;

/// \throws SettingsError 101 when \p Name is no policy.
auto makeRoutingPolicy(const std::string &Name)
    -> std::unique_ptr<RoutingPolicy>;

} // namespace dotterel

#endif // DOTTEREL_ROUTING_ROUTINGPOLICY_H
