//===- FakePlatform.h - Stand-in of the platform ----------------*- C++ -*-===//
///
/// \file
/// The key-value service, host list, backend orders, weight store and usage
/// intake, with faults that can be switched. For tests and the demo only.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FAKES_FAKEPLATFORM_H
#define DOTTEREL_FAKES_FAKEPLATFORM_H

#include "dotterel/io/HttpServer.h"
#include "dotterel/store/InMemoryStore.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace dotterel {

/// Faults of the stand-in; set by `POST /faults` with members of these names.
struct PlatformFaults {
  bool m_StoreDown = false;           ///< `store_down`: refuses every call.
  bool m_StoreSilent = false;         ///< `store_silent`: never answers.
  std::int64_t m_StoreDelayMs = 0;    ///< `store_delay_ms`
  std::int64_t m_LoseAnswers = 0;     ///< `lose_answers`: so many writes.
  std::int64_t m_ListLagMs = 0;       ///< `list_lag_ms`: of both lists.
  std::int64_t m_LoseReports = 0;     ///< `lose_report_answers`: so many.
  std::int64_t m_WritesPerSecond = 0; ///< `writes_per_second`; 0: no limit.
  std::int64_t m_ReadsPerSecond = 0;  ///< `reads_per_second`; 0: no limit.
  /// `cut`: names of processes whose calls to the store go unanswered. A
  /// process is named by a path prefix `/as/<name>`.
  std::set<std::string> m_Cut;
  bool m_BackendOrdersDown = false;    ///< `backend_orders_down`
  std::int64_t m_LoseOrderAnswers = 0; ///< `lose_order_answers`: so many.
  /// `unavailable_data_centre`: cannot start cheap servers there.
  std::string m_UnavailableDataCentre;
};

/// The platform's interfaces on one port.
class FakePlatform final : public HttpHandler {
public:
  explicit FakePlatform(Scheduler &Scheduler)
      : m_Scheduler(Scheduler), m_Store(Scheduler) {}

  auto handle(HttpExchangePtr Exchange) -> void override;
  auto bodyTooLarge(std::size_t Limit) -> HttpResponse override;

private:
  using Json = nlohmann::json;

  auto handleStore(const HttpExchangePtr &Exchange, const std::string &Path)
      -> void;
  auto handleLists(const HttpExchangePtr &Exchange) -> bool;
  auto handleOrders(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto answerOrders(const HttpExchangePtr &Exchange) const -> void;
  /// Gives a server the state that an order names; the list shows it, with its
  /// lag. \returns whether the server was to be had.
  auto execute(const Json &Order) -> bool;
  /// Seconds that servers have run, so far.
  auto spending() -> Json;
  auto handleReports(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto handleWeights(const HttpExchangePtr &Exchange) -> void;
  auto setFaults(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto storeAnswer(const std::string &Path, const Json &Body) -> Json;
  auto overLimit(bool Write) -> bool;
  auto publish() -> void;
  auto lagged(const std::string &Name) const -> Json;

  Scheduler &m_Scheduler;
  InMemoryStore m_Store;
  PlatformFaults m_Faults;
  Json m_Hosts = Json::array();
  Json m_Backends = Json::array();
  Json m_Orders = Json::array();
  Json m_Reports = Json::array();
  MonotonicTime m_SpentAt;
  double m_StandardSeconds = 0;
  double m_CheapSeconds = 0;
  /// Past states of the lists, oldest first.
  std::deque<std::pair<MonotonicTime, Json>> m_History;
  std::map<bool, std::pair<std::int64_t, std::int64_t>> m_Rates;
};

} // namespace dotterel

#endif // DOTTEREL_FAKES_FAKEPLATFORM_H
