//===- HostMessage.h - Messages between hosts -------------------*- C++ -*-===//
///
/// \file
/// Messages that hosts send to each other, and their encoding.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_PEERS_HOSTMESSAGE_H
#define DOTTEREL_PEERS_HOSTMESSAGE_H

#include "dotterel/admission/OrganisationLimits.h"
#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"
#include "dotterel/poison/CrashRegistry.h"
#include "dotterel/serving/BackendLoad.h"
#include "dotterel/serving/StreamMemory.h"
#include "dotterel/store/StoreWatch.h"
#include "dotterel/usage/Usage.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace dotterel {

/// Asks a relay how recently its copy of the store was confirmed.
struct RelayQuery {
  MonotonicTime m_SentAt; ///< On the clock of the sending host.
};

struct RelayReply {
  MonotonicTime m_SentAt; ///< Copied from the query.
  Duration m_ConfirmationAge{};
  ConfigRevision m_ConfigRevision;
  std::uint64_t m_BackendsDigest = 0;
  StoreEra m_StoreEra;
};

/// Changes of store records that a relay has observed, in their order.
struct RelayedChanges {
  std::vector<KeyChange> m_Changes;
};

/// Evidence about requests that were running on lost backend servers.
struct CrashReports {
  std::vector<CrashReport> m_Reports;

  /// Maximum number of reports in a message, and of losses in all of them.
  static constexpr auto MaxReports = std::size_t{1024};
  static constexpr auto MaxLosses = std::size_t{1024};
};

/// States that the store holds a segment. Its totals are those of the store.
struct StoredSegment {
  UsageSegment m_Segment;
  StoreEra m_Era; ///< History of the store that holds it.
};

/// Origins of streams that the receiver is to keep.
struct StreamRecords {
  std::vector<std::pair<StreamDigest, StreamOrigin>> m_Streams;

  /// Maximum number of streams in a message.
  static constexpr auto MaxStreams = std::size_t{64};
};

/// Asks for the origin of a stream.
struct StreamQuery {
  std::uint64_t m_Number = 0; ///< Of the lookup, at the sender.
  std::uint32_t m_Round = 0;
  StreamDigest m_Stream;
};

struct StreamReply {
  StreamQuery m_Query;                  ///< Copied from the query.
  std::optional<StreamOrigin> m_Origin; ///< Empty: not known.
};

struct HostMessage {
  HostId m_Sender;
  DataCentreId m_DataCentre;
  std::variant<LoadSummary, RelayQuery, RelayReply, RelayedChanges,
               UsageSegment, StoredSegment, CrashReports, OrganisationUse,
               StreamRecords, StreamQuery, StreamReply>
      m_Content;
};

auto encodeHostMessage(const HostMessage &Message) -> std::string;

/// Decodes a message.
/// \throws ProtocolError 301 if \p Bytes are not a valid message.
auto decodeHostMessage(std::string_view Bytes) -> HostMessage;

} // namespace dotterel

#endif // DOTTEREL_PEERS_HOSTMESSAGE_H
