//===- LoadBook.h - Load of backend servers ---------------------*- C++ -*-===//
///
/// \file
/// What this host has under way at each server, and what the servers say.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_LOADBOOK_H
#define DOTTEREL_SERVING_LOADBOOK_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"
#include "dotterel/serving/BackendLoad.h"
#include "dotterel/serving/BackendTransport.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace dotterel {

struct LoadBookOptions {
  /// Time in which a server's own statement loses half of its weight.
  Duration m_ReportHalfLife = Milliseconds(400);
  /// A server that refused work is left out for so long, and twice as long
  /// after each further refusal, up to the longest time.
  Duration m_FirstAvoidance = Milliseconds(200);
  Duration m_LongestAvoidance = Milliseconds(1600);
  /// A server with work of ours that sends nothing for so long, beyond the time
  /// for the prompts that it has to read, is taken for out of order.
  Duration m_LongestSilence = Milliseconds(600);
  /// The slowest reading that is allowed for in this, in tokens per
  /// millisecond.
  double m_LeastTokensPerMs = 12;
  /// What a peer said counts for so long.
  Duration m_PeerLapse = Milliseconds(800);
};

/// Load by server. Figures of other hosts are estimates from what servers say
/// with their answers.
class LoadBook {
public:
  explicit LoadBook(const LoadBookOptions &Options) : m_Options(Options) {}

  /// An attempt begins, with so many prompt tokens to be read there.
  auto begin(const BackendId &Backend, double PrefillTokens, MonotonicTime Now)
      -> void;
  /// The server has sent something.
  auto heard(const BackendId &Backend, MonotonicTime Now) -> void;
  /// Whether the server has work of ours and has been silent for too long.
  [[nodiscard]] auto silent(const BackendId &Backend, MonotonicTime Now) const
      -> bool;
  /// The attempt's prompt has been read.
  auto prefillDone(const BackendId &Backend, double PrefillTokens) -> void;
  auto end(const BackendId &Backend) -> void;
  /// The server refused work: it is full, starts, or changes its stage. Its low
  /// load would else draw all work to it.
  auto refused(const BackendId &Backend, MonotonicTime Now) -> void;
  /// The server took work.
  auto accepted(const BackendId &Backend) -> void;
  [[nodiscard]] auto avoided(const BackendId &Backend, MonotonicTime Now) const
      -> bool;
  auto report(const BackendId &Backend, const LoadReport &Load,
              MonotonicTime Now) -> void;
  /// What another origin (a host, or a data centre) has under way, at
  /// \p Now; replaces what it said before.
  auto setPeer(const std::string &Origin, const std::vector<BackendWork> &Loads,
               MonotonicTime Now) -> void;
  auto forget(const BackendId &Backend) -> void;

  /// What this host has under way, for the others.
  [[nodiscard]] auto summary() const -> std::vector<BackendWork>;

  /// Own attempts under way.
  [[nodiscard]] auto own(const BackendId &Backend) const -> double;
  /// Prompt tokens of own attempts that have not been read.
  [[nodiscard]] auto ownTokens(const BackendId &Backend) const -> double;
  /// Attempts of other hosts, running or waiting.
  [[nodiscard]] auto others(const BackendId &Backend, MonotonicTime Now) const
      -> double;
  /// Prompt tokens of other hosts' attempts that have not been read; empty when
  /// no other host has spoken of late.
  [[nodiscard]] auto othersTokens(const BackendId &Backend,
                                  MonotonicTime Now) const
      -> std::optional<double>;
  /// Attempts of all hosts that wait at the server.
  [[nodiscard]] auto waiting(const BackendId &Backend, MonotonicTime Now) const
      -> double;

private:
  struct Entry {
    double m_Own = 0;
    double m_Tokens = 0;
    double m_Others = 0;
    double m_Waiting = 0;
    MonotonicTime m_ReportedAt;
    bool m_Reported = false;
    MonotonicTime m_HeardAt; ///< Or when it got work after having none.
    MonotonicTime m_AvoidedUntil;
    std::uint32_t m_Refusals = 0; ///< In a row.
  };

  [[nodiscard]] auto weight(const Entry &Current, MonotonicTime Now) const
      -> double;

  struct Peer {
    MonotonicTime m_At;
    std::unordered_map<BackendId, BackendWork> m_Loads;
  };

  LoadBookOptions m_Options;
  std::unordered_map<BackendId, Entry> m_Entries;
  std::map<std::string, Peer> m_Peers;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_LOADBOOK_H
