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

/// What a request of the mix is like.
struct LoadClass {
  std::string m_Name;    ///< Its `x-priority`.
  double m_Share = 1;    ///< Of all requests.
  double m_Length = 1;   ///< Prompt and answer, as multiples of the mean.
  Duration m_FirstToken; ///< In time: the first token came within this.
  Duration m_Whole;      ///< In time: the answer was whole within this.
};

/// Short interactive work, ordinary work, and long work that may wait.
auto defaultLoadClasses() -> std::vector<LoadClass>;

struct LoadOptions {
  std::vector<std::string> m_Urls; ///< Takes turns between them.
  std::vector<std::string> m_Keys; ///< One for each organisation.
  std::uint64_t m_Seed = 1;
  double m_RequestsPerSecond = 50;
  Duration m_Length = Seconds(10);
  std::uint64_t m_PromptTokens = 200; ///< Mean.
  std::uint64_t m_AnswerTokens = 20;  ///< Mean.
  /// Factor that the rate rises by, evenly from the start to the end of the
  /// run.
  double m_RampFactor = 1;
  /// Part of the largest organisation's requests that go to the first gate,
  /// beyond its share: 0 is even, 1 all of them.
  double m_Skew = 0;
  /// Period in which the mix swings from prompts four times as long and answers
  /// a quarter as long to the opposite; zero: no swing.
  Duration m_SwingPeriod = Duration::zero();
  std::vector<LoadClass> m_Classes = defaultLoadClasses();
  std::string m_Model = "namer";
};

/// Figures of a set of answers.
struct LoadFigures {
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Whole = 0;
  std::uint64_t m_InTime = 0; ///< Whole, and within its class's targets.
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Broken = 0;
  std::vector<double> m_FirstToken; ///< Milliseconds from the due time.
  std::vector<double> m_Total;      ///< Milliseconds from the due time.
  std::vector<double> m_Gaps;       ///< Milliseconds between tokens.

  /// Goodput: the share of the requests that came whole and in time; 1 when
  /// none was sent.
  [[nodiscard]] auto inTimeShare() const -> double;
};

struct LoadResult {
  LoadFigures m_All;
  std::map<std::string, LoadFigures> m_Organisations; ///< By their number.
  std::map<std::string, LoadFigures> m_Classes;       ///< By their name.

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
  [[nodiscard]] auto lengths(const LoadClass &Class)
      -> std::pair<std::uint64_t, std::uint64_t>;
  [[nodiscard]] auto rate() const -> double;
  [[nodiscard]] auto pickClass() -> const LoadClass &;
  [[nodiscard]] auto pickUrl(std::size_t Organisation) -> const std::string &;
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
