#include "dotterel/routing/RoutingPolicy.h"

#include "dotterel/base/Errors.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Chooses engines in turn, regardless of their load.
class RoundRobin final : public RoutingPolicy {
public:
  [[nodiscard]] auto name() const -> std::string override {
    return "round-robin";
  }

  auto choose(const std::vector<Candidate> &Engines, const Work & /*Request*/,
              Random & /*Random*/) -> std::size_t override {
    return m_Next++ % Engines.size();
  }

private:
  std::size_t m_Next = 0;
};

/// Chooses an engine uniformly at random.
class RandomChoice final : public RoutingPolicy {
public:
  [[nodiscard]] auto name() const -> std::string override { return "random"; }

  auto choose(const std::vector<Candidate> &Engines, const Work & /*Request*/,
              Random &Random) -> std::size_t override {
    return Random.below(Engines.size());
  }
};

/// Chooses the engine with the fewest requests of this gate.
class LeastConnections final : public RoutingPolicy {
public:
  [[nodiscard]] auto name() const -> std::string override {
    return "least-connections";
  }

  auto choose(const std::vector<Candidate> &Engines, const Work & /*Request*/,
              Random & /*Random*/) -> std::size_t override {
    auto Least =
        std::min_element(Engines.begin(), Engines.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.m_OwnInFlight < Right.m_OwnInFlight;
                         });
    return static_cast<std::size_t>(Least - Engines.begin());
  }
};

/// Chooses the engine with the shortest expected time to the first token among
/// a random sample and the engine with the longest cached prefix.
///
/// The random sample keeps gates with equally old load reports from choosing
/// the same engine at the same time.
class ExpectedTimeToFirstToken final : public RoutingPolicy {
public:
  [[nodiscard]] auto name() const -> std::string override {
    return "expected-first-token";
  }

  auto choose(const std::vector<Candidate> &Engines, const Work &Request,
              Random &Random) -> std::size_t override {
    auto Best = mostCached(Engines);
    auto BestTime = expectedTimeToFirstToken(Engines[Best], Request);
    auto Tries = std::min(SampleSize, Engines.size());
    for (auto Try = std::size_t{0}; Try < Tries; ++Try) {
      auto Pick = Random.below(Engines.size());
      auto Time = expectedTimeToFirstToken(Engines[Pick], Request);
      if (Time >= BestTime)
        continue;
      Best = Pick;
      BestTime = Time;
    }
    return Best;
  }

private:
  static constexpr auto SampleSize = std::size_t{4};

  static auto mostCached(const std::vector<Candidate> &Engines) -> std::size_t {
    auto Best =
        std::max_element(Engines.begin(), Engines.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.m_CachedTokens < Right.m_CachedTokens;
                         });
    return static_cast<std::size_t>(Best - Engines.begin());
  }
};

} // namespace

auto routingPolicyNames() -> std::vector<std::string> {
  return {"expected-first-token", "least-connections", "round-robin", "random"};
}

auto makeRoutingPolicy(const std::string &Name)
    -> std::unique_ptr<RoutingPolicy> {
  if (Name == "expected-first-token")
    return std::make_unique<ExpectedTimeToFirstToken>();
  if (Name == "least-connections")
    return std::make_unique<LeastConnections>();
  if (Name == "round-robin")
    return std::make_unique<RoundRobin>();
  if (Name == "random")
    return std::make_unique<RandomChoice>();
  throw SettingsError(101, "no such routing policy: " + Name);
}

} // namespace dotterel
