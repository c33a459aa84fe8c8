//===- LoadRun.h - Open-loop load generator ---------------------*- C++ -*-===//
///
/// \file
/// Sends a seeded mix of completion requests at scheduled times, independently
/// of the responses, and collects statistics of the responses.
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

/// A class of requests in the load.
struct LoadClass {
  std::string m_Name;        ///< Value of the header `x-priority`.
  double m_Share = 1;        ///< Fraction of all requests.
  double m_LengthFactor = 1; ///< Mean prompt and response tokens, as multiples
                             ///< of the means in LoadOptions.
  Duration m_FirstTokenTarget; ///< Time limit of the first token.
  Duration m_ResponseTarget;   ///< Time limit of the complete response.
};

/// Returns the classes interactive (short requests), standard, and batch (long
/// requests that may wait).
auto defaultLoadClasses() -> std::vector<LoadClass>;

struct LoadOptions {
  /// Addresses of gates; each request goes to a random one.
  std::vector<std::string> m_Urls;
  std::vector<std::string> m_Keys; ///< One per organisation, largest first.
  std::uint64_t m_Seed = 1;
  double m_RequestsPerSecond = 50;
  Duration m_RunDuration = Seconds(10);
  std::uint64_t m_MeanPromptTokens = 200;
  std::uint64_t m_MeanResponseTokens = 20;
  /// Ratio of the request rate at the end of the run to that at the start; the
  /// rate changes linearly in between.
  double m_RampFactor = 1;
  /// Fraction of the largest organisation's requests that go to the first gate
  /// in addition to its even share; 0: even distribution, 1: all requests.
  double m_SkewShare = 0;
  /// Period of a sinusoidal variation of the lengths, between prompts four
  /// times as long with responses a quarter as long and the opposite; zero:
  /// none.
  Duration m_SwingPeriod = Duration::zero();
  std::vector<LoadClass> m_Classes = defaultLoadClasses();
  std::string m_Model = "namer";
};

/// Statistics of a set of requests.
struct LoadStatistics {
  std::uint64_t m_Sent = 0;
  std::uint64_t m_CompleteCount = 0; ///< Complete responses, in time or not.
  /// Complete responses within the targets of their class.
  std::uint64_t m_InTime = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Failed = 0;
  std::vector<double> m_FirstTokenMs; ///< From the scheduled send time.
  std::vector<double> m_TotalMs;      ///< From the scheduled send time.
  std::vector<double> m_TokenGapsMs;  ///< Between consecutive tokens.

  /// Returns the goodput: the fraction of the requests whose response was
  /// complete and in time; 1 if none was sent.
  [[nodiscard]] auto inTimeShare() const -> double;
};

struct LoadResult {
  LoadStatistics m_All;
  /// By index in LoadOptions::m_Keys.
  std::map<std::string, LoadStatistics> m_Organisations;
  std::map<std::string, LoadStatistics> m_Classes; ///< By name.

  /// Returns the lowest inTimeShare() of all organisations.
  [[nodiscard]] auto lowestInTimeShare() const -> double;
};

/// Returns the \p Share quantile of \p Values, or 0 if \p Values is empty.
/// Complexity: linear on average.
auto quantile(std::vector<double> Values, double Share) -> double;

/// One run of the load. The load is open-loop: the send times do not depend on
/// the responses.
class LoadRun {
public:
  LoadRun(EventLoop &Loop, HttpClient &Client, LoadOptions Options,
          std::function<void()> OnEnd);

  auto start() -> void;

  /// Returns the statistics; they are complete after the end of the run.
  [[nodiscard]] auto result() const -> const LoadResult & { return m_Result; }

private:
  struct RequestInFlight;

  auto scheduleNext() -> void;
  auto send(MonotonicTime Due) -> void;
  auto recordResult(const RequestInFlight &Item, const HttpCallResult &Reply)
      -> void;
  auto endIfDone() -> void;
  [[nodiscard]] auto drawTokenCounts(const LoadClass &Class)
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
  std::uint64_t m_InFlight = 0;
  bool m_AllSent = false;
};

} // namespace dotterel

#endif // DOTTEREL_LOAD_LOADRUN_H
