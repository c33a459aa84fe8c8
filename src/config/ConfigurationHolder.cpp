#include "dotterel/config/ConfigurationHolder.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"

#include <utility>

namespace dotterel {

auto ConfigurationHolder::revision() const -> ConfigRevision {
  return m_Current ? m_Current->m_Revision : ConfigRevision{};
}

auto ConfigurationHolder::apply(Configuration Value) -> bool {
  if (m_Current && Value.m_Revision <= m_Current->m_Revision)
    return false;
  m_Current = std::make_shared<const Configuration>(std::move(Value));
  logInfo("config.applied", {{"revision", m_Current->m_Revision},
                             {"preset", m_Current->m_PresetInForce},
                             {"keys", m_Current->m_Keys.size()}});
  for (const auto &Listener : m_Listeners)
    Listener();
  return true;
}

auto ConfigurationHolder::onChange(std::function<void()> Listener) -> void {
  m_Listeners.push_back(std::move(Listener));
}

auto ConfigurationHolder::knownShards() const -> std::vector<std::uint64_t> {
  if (!m_Current)
    return {};
  auto Digests = std::vector<std::uint64_t>();
  for (auto Shard = std::size_t{0}; Shard < ShardCount; ++Shard)
    Digests.push_back(m_Current->m_Keys.digest(Shard));
  return Digests;
}

auto ConfigurationHolder::delta(const std::vector<std::uint64_t> &Known) const
    -> ConfigurationDelta {
  if (!m_Current)
    return {};
  auto Result = ConfigurationDelta{.m_Revision = m_Current->m_Revision,
                                   .m_Head = encodeHead(*m_Current)};
  for (auto Shard = std::size_t{0}; Shard < ShardCount; ++Shard) {
    if (Shard < Known.size() && Known[Shard] == m_Current->m_Keys.digest(Shard))
      continue;
    Result.m_Shards.emplace_back(static_cast<std::uint32_t>(Shard),
                                 m_Current->m_Keys.document(Shard));
  }
  return Result;
}

auto ConfigurationHolder::applyDelta(const ConfigurationDelta &Delta) -> bool {
  if (Delta.m_Head.empty() || Delta.m_Revision <= revision())
    return false;
  auto Shards = std::map<std::size_t, std::string>();
  for (const auto &[Index, Document] : Delta.m_Shards)
    Shards[Index] = Document;
  try {
    auto Value = assembleConfiguration(Delta.m_Head, Shards, m_Current.get());
    return Value && apply(std::move(*Value));
  } catch (const ConfigurationError &Failure) {
    logError("config.rejected", {{"reason", Failure.what()}});
    return false;
  }
}

} // namespace dotterel
