//===- StreamMemory.h - Origins of recent streams ---------------*- C++ -*-===//
///
/// \file
/// Remembers which software began the streams of the last minutes.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_STREAMMEMORY_H
#define DOTTEREL_SERVING_STREAMMEMORY_H

#include "dotterel/base/Units.h"
#include "dotterel/routing/StreamOrigin.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace dotterel {

/// Identifies a stream: the hash of the id of the request that began it.
using StreamDigest = NumberId<struct StreamDigestTag>;

auto digestStream(const RequestId &First) -> StreamDigest;

struct StreamMemoryOptions {
  /// Time for which an origin is kept: longer than callers take a stream up
  /// again.
  Duration m_Lifetime = Seconds(120);
  /// Maximum number of streams; the oldest ones are dropped.
  std::size_t m_MaxStreams = 50'000;
};

/// Bounded memory of the origins of streams.
///
/// \invariant The origin of a stream never changes while it is kept.
class StreamMemory {
public:
  explicit StreamMemory(const StreamMemoryOptions &Options)
      : m_Options(Options) {}

  /// Keeps the first origin of a stream; a later one has no effect. Complexity:
  /// constant on average.
  auto record(StreamDigest Stream, const StreamOrigin &Origin,
              MonotonicTime Now) -> void;

  /// Returns the origin of a stream, unless it is unknown or too old.
  [[nodiscard]] auto find(StreamDigest Stream, MonotonicTime Now) const
      -> std::optional<StreamOrigin>;

  [[nodiscard]] auto size() const -> std::size_t { return m_Streams.size(); }

private:
  using OriginPtr = std::shared_ptr<const StreamOrigin>;
  struct Entry {
    OriginPtr m_Origin;
    MonotonicTime m_RecordedAt;
  };

  auto dropOld(MonotonicTime Now) -> void;
  /// Returns the one copy of an origin that all its streams share.
  auto share(const StreamOrigin &Origin) -> OriginPtr;

  StreamMemoryOptions m_Options;
  std::unordered_map<StreamDigest, Entry> m_Streams;
  std::deque<StreamDigest> m_Order; ///< Oldest first.
  std::map<std::pair<std::string, SoftwareVersion>,
           std::weak_ptr<const StreamOrigin>>
      m_Origins;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_STREAMMEMORY_H
