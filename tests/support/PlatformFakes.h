//===- PlatformStandIn.h - The users' platform, for tests -------*- C++ -*-===//
///
/// \file
/// Speaks the platform's published protocol on loopback: store, backend servers
/// and the intake of orders and reports, with faults that a test switches.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_PLATFORMSTANDIN_H
#define DOTTEREL_TESTS_SUPPORT_PLATFORMSTANDIN_H

#include "dotterel/io/EventLoop.h"
#include "dotterel/io/StrictHttpServer.h"
#include "dotterel/store/InMemoryStore.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace dotterel::test {

/// The store, by the platform's paths, over InMemoryStore.
class StandInStore final : public HttpHandler {
public:
  explicit StandInStore(EventLoop &Loop);

  auto handle(HttpExchangePtr Exchange) -> void override;
  auto bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse override {
    return {.m_Status = 413};
  }

  /// Writes as an operator or a backend server.
  auto put(const std::string &Key, const nlohmann::json &Value) -> void;
  auto remove(const std::string &Key) -> void;

  [[nodiscard]] auto address() const -> std::string {
    return m_Server.address().text();
  }
  [[nodiscard]] auto model() -> InMemoryStore & { return m_Model; }

  /// Watches from before now are told that this history is gone.
  auto forgetHistory() -> void;

  bool m_Down = false;        ///< Refuses every call.
  bool m_Deaf = false;        ///< Answers nothing.
  bool m_LoseAnswers = false; ///< Carries writes out and does not answer them.

private:
  struct Waiting {
    std::string m_Prefix;
    std::uint64_t m_After = 0;
    MonotonicTime m_Until;
    HttpExchangePtr m_Exchange;
  };
  struct Change {
    std::string m_Key;
    std::uint64_t m_Revision = 0;
  };

  auto changed(const std::vector<std::string> &Keys, std::uint64_t Revision)
      -> void;
  auto answerWatches() -> void;
  auto events(const std::string &Prefix, std::uint64_t After) -> nlohmann::json;
  auto commit(const nlohmann::json &Body) -> HttpResponse;

  EventLoop &m_Loop;
  InMemoryStore m_Model;
  std::uint64_t m_Revision = 0;
  std::uint64_t m_Forgotten = 0; ///< Revision up to which the history is gone.
  std::vector<Change> m_History;
  std::list<Waiting> m_Waiting;
  StrictHttpServer m_Server;
  RepeatingTimer m_Timer;
};

/// A plain backend server that counts what it runs.
class StandInServer final : public HttpHandler {
public:
  StandInServer(EventLoop &Loop, std::string Id);

  auto handle(HttpExchangePtr Exchange) -> void override;
  auto bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse override {
    return {.m_Status = 413};
  }

  [[nodiscard]] auto address() const -> std::string {
    return m_Server.address().text();
  }

  /// Called with the headers of each request that arrives, and whether it is
  /// run.
  std::function<void(const HttpHeaders &, bool)> m_OnArrival;
  Duration m_WorkTime = Milliseconds(5);
  int m_CutAnswers = 0;               ///< So many are run and cut.
  int m_Refusals = 0;                 ///< So many are not run.
  std::map<std::string, int> m_Runs;  ///< By request id.
  std::vector<HttpHeaders> m_Headers; ///< Of each request that was run.

private:
  EventLoop &m_Loop;
  std::string m_Id;
  StrictHttpServer m_Server;
};

/// Takes orders and reports, and says yes.
class StandInFleet final : public HttpHandler {
public:
  explicit StandInFleet(EventLoop &Loop);

  auto handle(HttpExchangePtr Exchange) -> void override;
  auto bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse override {
    return {.m_Status = 413};
  }
  [[nodiscard]] auto address() const -> std::string {
    return m_Server.address().text();
  }

  /// By window: the counts of each report that came.
  std::map<std::uint64_t, std::set<std::string>> m_Reports;

private:
  StrictHttpServer m_Server;
};

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_PLATFORMSTANDIN_H
