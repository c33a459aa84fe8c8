//===- Promises.h - What must hold while faults are injected ----*- C++ -*-===//
///
/// \file
/// Judges what callers and backend servers have seen. docs/SOAK.md lists the
/// promises with their sources.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SOAK_PROMISES_H
#define DOTTEREL_SOAK_PROMISES_H

#include "dotterel/base/Units.h"
#include "dotterel/io/HttpClient.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dotterel::soak {

/// The bounds that the hosts get in their settings, and the promises of the
/// platform's rules that depend on them.
struct SoakBounds {
  Duration m_KeyWithdrawal = Milliseconds(5000);
  Duration m_Drain = Milliseconds(3000);
  Duration m_ConfigurationApply = Milliseconds(4000);
  Duration m_Grace = Seconds(8);
  Duration m_UsageWindow = Seconds(2);
  Duration m_UsageDue = Seconds(6);
  Duration m_RetryWindow = Seconds(10);
  double m_RetryRatio = 0.2;
  double m_RetryExtra = 20;
  /// Faults excuse what a host does for so long after them.
  Duration m_Contact = Seconds(5);
  Duration m_Recovery = Seconds(15);
};

struct SentRequest {
  std::size_t m_Host = 0;
  MonotonicTime m_SentAt;
  std::string m_Key;
  std::string m_Organisation;
  std::string m_Answer; ///< The body that its server makes.
  bool m_MayRepeat = false;
};

/// Collects what was seen, and names each promise that was broken.
class Promises {
public:
  explicit Promises(const SoakBounds &Bounds) : m_Bounds(Bounds) {}

  auto sent(const std::string &Request, SentRequest What) -> void;
  auto answered(const std::string &Request, const HttpCallResult &Result,
                MonotonicTime Now) -> void;
  /// A request reached a server.
  auto arrived(const std::string &Server, const HttpHeaders &Headers,
               bool Executed, MonotonicTime Now) -> void;

  /// The store has acknowledged a configuration that gives a key. Keys that are
  /// never named here are in force from the start.
  auto keyGiven(const std::string &Key, MonotonicTime Now) -> void;
  /// As above, for a configuration that takes a key away for good.
  auto keyWithdrawn(const std::string &Key, MonotonicTime Now) -> void;
  auto serverLeaving(const std::string &Server, MonotonicTime Now) -> void;

  /// A fault that excuses one host, or all of them, from now on and for the
  /// contact time after its end.
  auto disturbHost(std::size_t Host, MonotonicTime Until) -> void;
  auto disturbAll(MonotonicTime Until) -> void;
  /// All faults have ended.
  auto healed(MonotonicTime Now) -> void;
  /// A host was asked to stop, and may close connections only when idle.
  auto stopping(std::size_t Host, MonotonicTime Now) -> void;

  auto broken(const std::string &Promise, const std::string &Detail) -> void;

  /// Judges what can only be judged at the end.
  auto finish() -> void;

  [[nodiscard]] auto violations() const -> const std::vector<std::string> & {
    return m_Violations;
  }
  /// Counts of answers by status; 0 stands for none.
  [[nodiscard]] auto statuses() const -> const std::map<unsigned, int> & {
    return m_Statuses;
  }

private:
  struct Known {
    SentRequest m_What;
    int m_Runs = 0;
    int m_Arrivals = 0;
    bool m_Refused = false; ///< Its caller was told that it does not run.
  };

  [[nodiscard]] auto inTouch(std::size_t Host, MonotonicTime Now) const -> bool;
  auto judgeRun(const std::string &Request, const std::string &Server,
                const HttpHeaders &Headers, MonotonicTime Now) -> void;
  auto judgeDenial(const std::string &Request, unsigned Status,
                   MonotonicTime Now) -> void;
  auto judgeBudget() -> void;

  SoakBounds m_Bounds;
  std::map<std::string, Known> m_Requests;
  std::map<std::string, MonotonicTime> m_Withdrawn;
  std::map<std::string, MonotonicTime> m_Given;
  std::map<std::string, MonotonicTime> m_Leaving;
  std::map<std::size_t, MonotonicTime> m_Disturbed; ///< Until then.
  std::map<std::size_t, MonotonicTime> m_Stopping;
  MonotonicTime m_AllDisturbed;
  std::vector<MonotonicTime> m_SentTimes;
  std::vector<MonotonicTime> m_ExtraArrivals;
  std::map<unsigned, int> m_Statuses;
  std::vector<std::string> m_Violations;
};

} // namespace dotterel::soak

#endif // DOTTEREL_SOAK_PROMISES_H
