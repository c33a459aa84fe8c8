#include "dotterel/serving/StreamMemory.h"

#include <xxhash.h>

namespace dotterel {

auto digestStream(const RequestId &First) -> StreamDigest {
  return StreamDigest{XXH3_64bits(First.text().data(), First.text().size())};
}

auto StreamMemory::share(const StreamOrigin &Origin) -> OriginPtr {
  std::erase_if(m_Origins,
                [](const auto &Item) { return Item.second.expired(); });
  auto &Known = m_Origins[{Origin.m_Service, Origin.m_Version}];
  auto Shared = Known.lock();
  if (!Shared) {
    Shared = std::make_shared<const StreamOrigin>(Origin);
    Known = Shared;
  }
  return Shared;
}

auto StreamMemory::record(StreamDigest Stream, const StreamOrigin &Origin,
                          MonotonicTime Now) -> void {
  dropOld(Now);
  if (m_Streams.contains(Stream))
    return;
  m_Streams.emplace(Stream,
                    Entry{.m_Origin = share(Origin), .m_RecordedAt = Now});
  m_Order.push_back(Stream);
}

auto StreamMemory::find(StreamDigest Stream, MonotonicTime Now) const
    -> std::optional<StreamOrigin> {
  auto Found = m_Streams.find(Stream);
  if (Found == m_Streams.end() ||
      Now - Found->second.m_RecordedAt >= m_Options.m_Lifetime)
    return std::nullopt;
  return *Found->second.m_Origin;
}

auto StreamMemory::dropOld(MonotonicTime Now) -> void {
  while (!m_Order.empty()) {
    auto Oldest = m_Streams.find(m_Order.front());
    if (m_Order.size() < m_Options.m_MaxStreams &&
        Now - Oldest->second.m_RecordedAt < m_Options.m_Lifetime)
      return;
    m_Streams.erase(Oldest);
    m_Order.pop_front();
  }
}

} // namespace dotterel
