//===- PlatformFakes.h - Fakes of the platform's servers --------*- C++ -*-===//
///
/// \file
/// Fake servers on loopback that implement the platform's published protocol:
/// store, backend servers, and the service that receives orders and reports.
/// Tests set their faults.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_PLATFORMFAKES_H
#define DOTTEREL_TESTS_SUPPORT_PLATFORMFAKES_H

#include "dotterel/io/EventLoop.h"
#include "dotterel/io/StrictHttpServer.h"
#include "dotterel/store/InMemoryStore.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterel::test {

/// Serves a InMemoryStore under the paths of the platform's store.
class FakeStore final : public HttpHandler {
public:
  explicit FakeStore(EventLoop &Loop);

  auto handle(HttpExchangePtr Exchange) -> void override;
  auto bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse override {
    return {.m_Status = 413};
  }

  /// Writes a record, like an operator or a backend server.
  auto put(const std::string &Key, const nlohmann::json &Value) -> void;
  auto remove(const std::string &Key) -> void;

  [[nodiscard]] auto address() const -> std::string {
    return m_Server.address().text();
  }
  [[nodiscard]] auto model() -> InMemoryStore & { return m_Model; }

  auto takeCopy() -> void;
  /// Restores the copy; history and revisions since are lost.
  auto restore() -> void;

  /// Discards the history of changes. Watches that start from an earlier
  /// revision receive status 410.
  auto discardHistory() -> void;

  bool m_Unavailable = false;        ///< Responds to every call with 503.
  bool m_Unresponsive = false;       ///< Sends no responses.
  bool m_DropWriteResponses = false; ///< Applies writes without a response.

private:
  struct PendingWatch {
    std::string m_Prefix;
    std::uint64_t m_After = 0;
    MonotonicTime m_Until;
    HttpExchangePtr m_Exchange;
  };
  struct Change {
    std::string m_Key;
    std::uint64_t m_Revision = 0;
  };

  auto recordChange(const std::vector<std::string> &Keys,
                    std::uint64_t Revision) -> void;
  auto respondToWatches() -> void;
  auto events(const std::string &Prefix, std::uint64_t After) -> nlohmann::json;
  auto commit(const nlohmann::json &Body) -> HttpResponse;

  auto respond(const HttpExchangePtr &Exchange, HttpResponse Response) const
      -> void;

  EventLoop &m_Loop;
  InMemoryStore m_Model;
  InMemoryStore::Copy m_Copy;
  MonotonicTime m_CopiedAt;
  std::uint64_t m_CopiedRevision = 0;
  std::uint64_t m_Revision = 0;
  /// Revision up to which the history is discarded.
  std::uint64_t m_DiscardedRevision = 0;
  std::vector<Change> m_History;
  std::list<PendingWatch> m_Watches;
  StrictHttpServer m_Server;
  RepeatingTimer m_Timer;
};

/// Header with the number of events that a FakeServer responds with, and the
/// pause before each of them.
inline constexpr auto EventCountHeader = "X-Fake-Events";
inline constexpr auto EventInterval = Milliseconds(100);

/// Header of a request that crashes the FakeServer that executes it.
inline constexpr auto CrashHeader = "X-Fake-Crash";

/// Returns the events \p First to \p Count of a FakeServer's stream.
auto fakeEvents(int Count, int First = 1) -> std::string;

/// Field of an event with the version of the FakeServer that sent it, if the
/// server has one.
inline constexpr auto EventVersionField = "version: ";

/// A backend server of a plain service that counts the requests it executes. A
/// request with an EventCountHeader gets a stream, which begins after the event
/// that the request names in Last-Event-Id.
class FakeServer final : public HttpHandler {
public:
  FakeServer(EventLoop &Loop, std::string Id);

  auto handle(HttpExchangePtr Exchange) -> void override;
  auto bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse override {
    return {.m_Status = 413};
  }

  [[nodiscard]] auto address() const -> std::string {
    return m_Server->address().text();
  }
  /// Whether the server has crashed; it does not start again.
  [[nodiscard]] auto crashed() const -> bool { return !m_Server; }

  /// Responds with 421 to requests for another id. A change takes the place of
  /// a restart.
  std::string m_Id;
  std::string m_Version; ///< Of its software; empty: not in its events.
  /// Called with the headers of each request, and whether the request is
  /// executed.
  std::function<void(const HttpHeaders &, bool)> m_OnArrival;
  Duration m_WorkTime = Milliseconds(5);
  /// Number of requests to execute with a truncated response.
  int m_ResponsesToTruncate = 0;
  /// Number of events after which streams break off; 0: they do not.
  int m_EventsToBreakAfter = 0;
  /// Number of requests to refuse without execution.
  int m_RequestsToRefuse = 0;
  /// Number of executions by request id.
  std::map<std::string, int> m_Executions;
  std::vector<HttpHeaders> m_Headers; ///< Headers of each executed request.

private:
  /// Sends the events \p Number to \p Count of a stream.
  auto sendEvents(const HttpExchangePtr &Exchange, int Number, int Count)
      -> void;

  EventLoop &m_Loop;
  std::optional<StrictHttpServer> m_Server;
};

/// Accepts all orders and usage reports.
class FakeFleet final : public HttpHandler {
public:
  explicit FakeFleet(EventLoop &Loop);

  auto handle(HttpExchangePtr Exchange) -> void override;
  auto bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse override {
    return {.m_Status = 413};
  }
  [[nodiscard]] auto address() const -> std::string {
    return m_Server.address().text();
  }

  /// The distinct counts that were reported, by window.
  std::map<std::uint64_t, std::set<std::string>> m_Reports;

private:
  StrictHttpServer m_Server;
};

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_PLATFORMFAKES_H
