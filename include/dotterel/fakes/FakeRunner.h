//===- FakeRunner.h - Stand-in of a model engine ----------------*- C++ -*-===//
///
/// \file
/// An engine that batches, caches prefixes and streams made-up tokens, with
/// faults that can be switched. For tests and the demo only.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FAKES_FAKERUNNER_H
#define DOTTEREL_FAKES_FAKERUNNER_H

#include "dotterel/base/Random.h"
#include "dotterel/fleet/Backend.h"
#include "dotterel/io/HttpServer.h"
#include "dotterel/routing/PrefixIndex.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace dotterel {

struct FakeRunnerOptions {
  std::string m_Name;
  bool m_ChecksFencing = false;
  std::uint32_t m_Slots = 8;
  double m_PrefillTokensPerSecond = 20'000;
  double m_DecodeTokensPerSecond = 100; ///< Of one stream.
  Duration m_LoadLag = Milliseconds(200);
  Duration m_RoleChangeTime = Milliseconds(500);
};

/// Faults; set by `POST /faults` with members of these names.
struct RunnerFaults {
  /// `crash_on`: a prompt that contains this text ends the process.
  std::string m_CrashOn;
  std::int64_t m_StopAfterTokens = 0;  ///< `stop_after_tokens`, once.
  std::int64_t m_BreakStreams = 0;     ///< `break_streams`: so many answers.
  std::int64_t m_CrossAnswers = 0;     ///< `cross_answers`: with another's id.
  std::int64_t m_DuplicateTokens = 0;  ///< `duplicate_tokens`: so many.
  std::int64_t m_HangStreams = 0;      ///< `hang_streams`: so many answers.
  double m_Slowdown = 1.0;             ///< `slowdown`: of all work.
  std::int64_t m_LoseOrderAnswers = 0; ///< `lose_order_answers`: so many.
  bool m_LoadDown = false;             ///< `load_down`: no load reports.
};

/// An engine.
class FakeRunner final : public HttpHandler {
public:
  FakeRunner(Scheduler &Scheduler, const FakeRunnerOptions &Options,
             std::function<void()> Crash);
  ~FakeRunner() override;

  auto handle(HttpExchangePtr Exchange) -> void override;
  auto bodyTooLarge(std::size_t Limit) -> HttpResponse override;

private:
  using Json = nlohmann::json;
  struct Stream;
  using StreamPtr = std::shared_ptr<Stream>;

  auto handleCompletion(const HttpExchangePtr &Exchange, const Json &Body,
                        bool Chat) -> void;
  auto handleOrder(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto handleCache(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto setFaults(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto admit() -> void;
  auto prefillDone(const StreamPtr &Item) -> void;
  auto nextToken(const StreamPtr &Item) -> void;
  auto writeToken(const StreamPtr &Item, std::uint64_t Position) -> void;
  auto endStream(const StreamPtr &Item) -> void;
  auto drop(const StreamPtr &Item) -> void;
  auto observeLoad() -> void;
  [[nodiscard]] auto speed(EngineRole Favoured) const -> double;
  [[nodiscard]] auto loadNow() const -> Json;

  Scheduler &m_Scheduler;
  FakeRunnerOptions m_Options;
  std::function<void()> m_Crash;
  Random m_Random{systemSeed()};
  std::string m_Incarnation;
  RunnerFaults m_Faults;
  EngineRole m_Role = EngineRole::Mixed;
  bool m_ChangingRole = false;
  std::uint64_t m_HighestFencing = 0;
  Json m_LastOrder = Json::object();
  Json m_Orders = Json::array(); ///< As received.
  Json m_Seen = Json::array();   ///< Completion requests, with headers.
  std::deque<StreamPtr> m_Waiting;
  std::set<StreamPtr> m_Running;
  MonotonicTime m_PrefillFree; ///< When the prefill unit is idle again.
  PrefixIndex m_Cache{256};
  std::deque<std::pair<MonotonicTime, Json>> m_Loads;
  std::optional<RepeatingTimer> m_LoadTimer;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_Cancelled = 0;
};

} // namespace dotterel

#endif // DOTTEREL_FAKES_FAKERUNNER_H
