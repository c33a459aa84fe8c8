//===- HostMessage.h - Messages between hosts -------------------*- C++ -*-===//
///
/// \file
/// What hosts tell each other, and its encoding.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_PEERS_HOSTMESSAGE_H
#define DOTTEREL_PEERS_HOSTMESSAGE_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"
#include "dotterel/serving/BackendLoad.h"
#include "dotterel/store/StoreWatch.h"
#include "dotterel/usage/Usage.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dotterel {

/// Asks a relay how new its copy of the store is.
struct RelayQuestion {
  MonotonicTime m_SentAt; ///< On the asker's clock.
};

struct RelayReply {
  MonotonicTime m_SentAt; ///< As in the question.
  Duration m_EvidenceAge{};
  ConfigRevision m_Config;
  std::uint64_t m_BackendsDigest = 0;
};

/// Records of the store that a relay has seen change, in their order.
struct RelayedChanges {
  std::vector<KeyChange> m_Changes;
};

struct HostMessage {
  HostId m_Sender;
  DataCentreId m_DataCentre;
  std::variant<LoadSummary, RelayQuestion, RelayReply, RelayedChanges,
               UsageSegment>
      m_Content;
};

auto encodeHostMessage(const HostMessage &Message) -> std::string;

/// \throws ProtocolError 301 for bytes that are no message.
auto decodeHostMessage(std::string_view Bytes) -> HostMessage;

} // namespace dotterel

#endif // DOTTEREL_PEERS_HOSTMESSAGE_H
