//===- FakeRunner.h - Fake of a model engine --------------------*- C++ -*-===//
///
/// \file
/// A fake engine that batches requests, caches prompt prefixes and streams
/// made-up tokens, with configurable faults. For tests and the demo only.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FAKES_FAKERUNNER_H
#define DOTTEREL_FAKES_FAKERUNNER_H

#include "dotterel/base/Random.h"
#include "dotterel/fakes/detail/NoticeExchange.h"
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

/// Options of a fake engine.
struct FakeRunnerOptions {
  std::string m_Name;
  /// Whether orders with an old fencing token are refused.
  bool m_ChecksFencing = false;
  std::uint32_t m_Slots = 8; ///< Maximum streams at a time.
  double m_PrefillTokensPerSecond = 20'000;
  double m_DecodeTokensPerSecond = 100;   ///< For one stream.
  Duration m_LoadLag = Milliseconds(200); ///< Age of load reports.
  Duration m_RoleChangeTime = Milliseconds(500);
};

/// Faults to simulate. `POST /faults` sets them; each member's comment names
/// its JSON member.
struct RunnerFaults {
  /// `crash_on`: a prompt that contains this text crashes the process.
  std::string m_CrashOn;
  /// `stop_after_tokens`: number of tokens until a crash, which occurs once.
  std::int64_t m_StopAfterTokens = 0;
  /// `break_streams`: number of responses aborted halfway.
  std::int64_t m_BreakStreams = 0;
  /// `cross_answers`: number with another request's id.
  std::int64_t m_CrossResponses = 0;
  /// `cross_refusals`: number that the engine takes, while a refusal with
  /// another request's id stands where their response is due.
  std::int64_t m_CrossRefusals = 0;
  /// `duplicate_tokens`: number sent twice.
  std::int64_t m_DuplicateTokens = 0;
  std::int64_t m_HangStreams = 0; ///< `hang_streams`: number without any token.
  double m_Slowdown = 1.0; ///< `slowdown`: divides the speed of all work.
  /// `lose_order_answers`: number of orders whose response is lost.
  std::int64_t m_LoseOrderResponses = 0;
  bool m_LoadDown = false; ///< `load_down`: refuses load queries.
  detail::FakeNotice m_Notice;
};

/// A model engine.
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
  /// Starts waiting streams while there are free slots.
  auto startWaitingStreams() -> void;
  auto finishPrefill(const StreamPtr &Item) -> void;
  auto sendNextToken(const StreamPtr &Item) -> void;
  auto writeToken(const StreamPtr &Item, std::uint64_t Position) -> void;
  auto finishStream(const StreamPtr &Item) -> void;
  /// Removes a stream, whether it has completed or not.
  auto removeStream(const StreamPtr &Item) -> void;
  /// Records a load report, which callers see after the lag.
  auto recordLoad() -> void;
  /// Returns the speed factor of the stage \p Stage: a role makes its own stage
  /// faster and the other one slower, and the fault `slowdown` applies.
  [[nodiscard]] auto speedFactor(EngineRole Stage) const -> double;
  [[nodiscard]] auto currentLoad() const -> Json;

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
  Json m_Orders = Json::array(); ///< In order of receipt.
  /// Completion requests, with headers.
  Json m_RecordedRequests = Json::array();
  std::deque<StreamPtr> m_Waiting;
  std::set<StreamPtr> m_Running;
  /// Time at which the prefill unit becomes idle.
  MonotonicTime m_PrefillIdleAt;
  PrefixIndex m_Cache{256};
  std::deque<std::pair<MonotonicTime, Json>> m_LoadReports;
  std::optional<RepeatingTimer> m_LoadTimer;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_Cancelled = 0;
};

} // namespace dotterel

#endif // DOTTEREL_FAKES_FAKERUNNER_H
