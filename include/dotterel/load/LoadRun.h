//===- LoadRun.h - One run of the load tool ---------------------*- C++ -*-===//
///
/// \file
/// Sends a seeded mix of completions at stated times, whatever the answers do,
/// and sums up how they came back.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_LOAD_LOADRUN_H
#define DOTTEREL_LOAD_LOADRUN_H

#include "dotterel/base/Random.h"
#include "dotterel/io/EventLoop.h"
#include "dotterel/io/HttpClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dotterel {

struct LoadOptions {
  std::vector<std::string> m_Urls; ///< Takes turns between them.
  std::vector<std::string> m_Keys; ///< One for each organisation.
  std::uint64_t m_Seed = 1;
  double m_RequestsPerSecond = 50;
  Duration m_Length = Seconds(10);
  std::uint64_t m_PromptTokens = 200; ///< Mean.
  std::uint64_t m_AnswerTokens = 20;  ///< Mean.
  /// Period in which the mix swings from prompts four times as long and answers
  /// a quarter as long to the opposite; zero: no swing.
  Duration m_SwingPeriod = Duration::zero();
  Duration m_FirstTokenTarget = Milliseconds(1200);
  std::string m_Model = "namer";
};

/// Figures of a set of answers.
struct LoadFigures {
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Whole = 0;
  std::uint64_t m_InTime = 0; ///< Whole, first token within the target.
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Broken = 0;
  std::vector<double> m_FirstToken; ///< Milliseconds from the due time.
  std::vector<double> m_Total;      ///< Milliseconds from the due time.
  std::vector<double> m_Gaps;       ///< Milliseconds between tokens.
};

struct LoadResult {
  LoadFigures m_All;
  std::map<std::string, LoadFigures> m_Organisations; ///< By their number.

  /// The least share of an organisation's requests that came in time.
  [[nodiscard]] auto worstServed() const -> double;
};

/// The \p Share quantile of \p Values, 0 when there are none. Complexity:
/// linear.
auto quantile(std::vector<double> Values, double Share) -> double;

/// An open-loop run.
class LoadRun {
public:
  LoadRun(EventLoop &Loop, HttpClient &Client, LoadOptions Options,
          std::function<void()> OnEnd);

  auto start() -> void;

  /// Meaningful after the end.
  [[nodiscard]] auto result() const -> const LoadResult & { return m_Result; }

private:
  struct Sending;

  auto scheduleNext() -> void;
  auto send(MonotonicTime Due) -> void;
  auto finish(const Sending &Item, const HttpCallResult &Reply) -> void;
  auto endWhenDone() -> void;
  [[nodiscard]] auto lengths() -> std::pair<std::uint64_t, std::uint64_t>;
  [[nodiscard]] auto pickOrganisation() -> std::size_t;

  EventLoop &m_Loop;
  HttpClient &m_Client;
  LoadOptions m_Options;
  std::function<void()> m_OnEnd;
  Random m_Random;
  LoadResult m_Result;
  MonotonicTime m_Start;
  MonotonicTime m_NextDue;
  std::uint64_t m_Open = 0;
  bool m_AllSent = false;
};

} // namespace dotterel

#endif // DOTTEREL_LOAD_LOADRUN_H
