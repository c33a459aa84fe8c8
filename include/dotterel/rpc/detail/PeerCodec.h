//===- PeerCodec.h - Cap'n Proto codec of peer messages ---------*- C++ -*-===//
///
/// \file
/// Converts peer messages to and from the types of the Cap'n Proto schema.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_RPC_DETAIL_PEERCODEC_H
#define DOTTEREL_RPC_DETAIL_PEERCODEC_H

#include "Peer.capnp.h"
#include "dotterel/rpc/Peer.h"

namespace dotterel::detail {

auto encode(const PeerView &Value, schema::View::Builder Target) -> void;
auto decode(schema::View::Reader Source) -> PeerView;
auto encode(const Claim &Value, schema::ClaimRequest::Builder Target) -> void;
auto decode(schema::ClaimRequest::Reader Source) -> Claim;
auto encode(const ClaimReply &Value, schema::ClaimReply::Builder Target)
    -> void;
auto decode(schema::ClaimReply::Reader Source) -> ClaimReply;
auto encode(const ClaimOutcome &Value, schema::OutcomeRecord::Builder Target)
    -> void;
auto decode(schema::OutcomeRecord::Reader Source) -> ClaimOutcome;
auto encode(const UsageSegment &Value, schema::UsageBatch::Builder Target)
    -> void;
auto decode(schema::UsageBatch::Reader Source) -> UsageSegment;
auto encode(const ConfigurationDelta &Value,
            schema::Peer::FetchConfigurationResults::Builder Target) -> void;
auto decode(schema::Peer::FetchConfigurationResults::Reader Source)
    -> ConfigurationDelta;

} // namespace dotterel::detail

#endif // DOTTEREL_RPC_DETAIL_PEERCODEC_H
