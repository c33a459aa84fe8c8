//===- RoutingPolicy.h - Choice of an engine --------------------*- C++ -*-===//
///
/// \file
/// Policies for choosing among engines; the simple ones serve as baselines.
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

/// Interface of a policy that chooses an engine for a request.
class RoutingPolicy {
public:
  virtual ~RoutingPolicy() = default;

  [[nodiscard]] virtual auto name() const -> std::string = 0;

  /// Returns the index of the chosen engine. \pre \p Engines is not empty.
  virtual auto choose(const std::vector<Candidate> &Engines,
                      const Work &Request, Random &Random) -> std::size_t = 0;
};

/// Returns the names accepted by makeRoutingPolicy().
auto routingPolicyNames() -> std::vector<std::string>;

/// Creates the policy with the given name.
/// \throws SettingsError 101 when there is no policy named \p Name.
auto makeRoutingPolicy(const std::string &Name)
    -> std::unique_ptr<RoutingPolicy>;

} // namespace dotterel

#endif // DOTTEREL_ROUTING_ROUTINGPOLICY_H
