#include "dotterel/ledger/ClaimRouter.h"

#include <fmt/format.h>
#include <utility>
#include <xxhash.h>

namespace dotterel {

auto ClaimRouter::claim(const Claim &Request,
                        std::function<void(ClaimReply)> Done) -> void {
  auto Writer = writerOf(shardOf(Request.m_Identity));
  if (Writer.empty()) {
    claimLocally(Request, std::move(Done));
    return;
  }
  m_Peers.claim(Writer, Request,
                [this, Request, Done = std::move(Done)](
                    const std::optional<ClaimReply> &Reply) mutable {
                  if (Reply && Reply->m_Verdict != ClaimVerdict::Unavailable) {
                    Done(*Reply);
                    return;
                  }
                  claimLocally(Request, std::move(Done));
                });
}

auto ClaimRouter::record(const ClaimOutcome &Outcome,
                         std::function<void(bool)> Done) -> void {
  auto Writer = writerOf(shardOf(Outcome.m_Identity));
  if (Writer.empty()) {
    recordLocally(Outcome, std::move(Done));
    return;
  }
  m_Peers.recordOutcome(Writer, Outcome,
                        [this, Outcome, Done = std::move(Done)](
                            const std::optional<bool> &Durable) mutable {
                          if (Durable && *Durable) {
                            Done(true);
                            return;
                          }
                          recordLocally(Outcome, std::move(Done));
                        });
}

auto ClaimRouter::claimLocally(const Claim &Request,
                               std::function<void(ClaimReply)> Done) -> void {
  shard(shardOf(Request.m_Identity)).claim(Request, std::move(Done));
}

auto ClaimRouter::recordLocally(const ClaimOutcome &Outcome,
                                std::function<void(bool)> Done) -> void {
  shard(shardOf(Outcome.m_Identity)).record(Outcome, std::move(Done));
}

auto ClaimRouter::shardOf(const RequestIdentity &Identity) const
    -> std::size_t {
  const auto &Text = Identity.text();
  return XXH3_64bits(Text.data(), Text.size()) % m_Options.m_ShardCount;
}

auto ClaimRouter::shard(std::size_t Index) -> ClaimShard & {
  auto &Slot = m_Shards[Index];
  if (!Slot)
    Slot = std::make_unique<ClaimShard>(
        m_Scheduler, m_Store, fmt::format("{:03}", Index), m_Options.m_Shard);
  return *Slot;
}

auto ClaimRouter::writerOf(std::size_t Index) const -> std::string {
  auto Candidates = m_Members.serving(ProcessRole::Gate, m_Scheduler.now());
  Candidates.push_back(m_Members.self());
  auto Ordered =
      rendezvousOrder(fmt::format("claims/{:03}", Index), Candidates);
  const auto &Writer = Ordered.front();
  return Writer.m_Process == m_Members.self().m_Process ? std::string()
                                                        : Writer.m_Address;
}

} // namespace dotterel
