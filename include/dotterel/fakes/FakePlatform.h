//===- FakePlatform.h - Fake of the platform's services ---------*- C++ -*-===//
///
/// \file
/// A fake of the platform's key-value service, host list, backend server
/// orders, weight store and usage intake, with configurable faults. For tests
/// and the demo only.
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

/// Faults to simulate. `POST /faults` sets them; each member's comment names
/// its JSON member.
struct PlatformFaults {
  bool m_StoreDown = false; ///< `store_down`: the store refuses every call.
  /// `store_silent`: the store never responds.
  bool m_StoreUnresponsive = false;
  /// `store_delay_ms`: of each store response.
  std::int64_t m_StoreDelayMs = 0;
  /// `lose_answers`: number of writes whose response is lost.
  std::int64_t m_LoseResponses = 0;
  std::int64_t m_ListLagMs = 0; ///< `list_lag_ms`: age of both lists.
  /// `lose_report_answers`: number of usage reports whose response is lost.
  std::int64_t m_LoseReportResponses = 0;
  std::int64_t m_WritesPerSecond = 0; ///< `writes_per_second`; 0: no limit.
  std::int64_t m_ReadsPerSecond = 0;  ///< `reads_per_second`; 0: no limit.
  /// `cut`: names of processes whose store calls get no response. A process
  /// names itself by the path prefix `/as/<name>`.
  std::set<std::string> m_Cut;
  /// `backend_orders_down`: refuses every order.
  bool m_BackendOrdersDown = false;
  /// `lose_order_answers`: number of orders whose response is lost.
  std::int64_t m_LoseOrderResponses = 0;
  /// `unavailable_data_centre`: where no cheap server can be started.
  std::string m_UnavailableDataCentre;
};

/// Serves all interfaces of the platform on one port.
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
  auto respondToOrderQuery(const HttpExchangePtr &Exchange) const -> void;
  /// Sets a server to the state that an order names; the list shows it after
  /// its lag. \returns whether the server was available.
  auto applyOrder(const Json &Order) -> bool;
  /// Adds the time since the last call to the running time of all servers that
  /// are not stopped. \returns the totals so far, in seconds.
  auto updateSpending() -> Json;
  auto handleReports(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto handleWeights(const HttpExchangePtr &Exchange) -> void;
  auto setFaults(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto callStore(const std::string &Path, const Json &Body) -> Json;
  /// Counts a call; \returns whether it exceeds the limit of its kind per
  /// second.
  auto exceedsRateLimit(bool Write) -> bool;
  /// Appends the current lists to the history.
  auto recordLists() -> void;
  /// Returns the state of a list as it was before the simulated lag.
  auto laggedList(const std::string &Name) const -> Json;

  Scheduler &m_Scheduler;
  InMemoryStore m_Store;
  /// Taken by `copy_store`, which `restore_store` restores.
  InMemoryStore::Copy m_StoreCopy;
  MonotonicTime m_StoreCopiedAt;
  PlatformFaults m_Faults;
  Json m_Hosts = Json::array();
  Json m_Backends = Json::array();
  Json m_Orders = Json::array();
  Json m_Reports = Json::array();
  MonotonicTime m_SpendingUpdatedAt;
  double m_StandardSeconds = 0;
  double m_CheapSeconds = 0;
  /// Past states of the lists with their times, oldest first.
  std::deque<std::pair<MonotonicTime, Json>> m_ListHistory;
  /// For writes (true) and reads: the second of the last call, and the number
  /// of calls in it.
  std::map<bool, std::pair<std::int64_t, std::int64_t>> m_CallsInSecond;
};

} // namespace dotterel

#endif // DOTTEREL_FAKES_FAKEPLATFORM_H
