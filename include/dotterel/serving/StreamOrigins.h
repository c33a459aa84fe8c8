//===- StreamOrigins.h - Finds the software that began a stream -*- C++ -*-===//
///
/// \file
/// Interface through which the serving core finds out which software began a
/// stream that a caller takes up again.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_STREAMORIGINS_H
#define DOTTEREL_SERVING_STREAMORIGINS_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/serving/StreamMemory.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace dotterel {

using StreamLookupId = NumberId<struct StreamLookupTag>;

/// What a lookup has found, and on what it is based.
struct StreamLookup {
  std::optional<StreamOrigin> m_Origin; ///< Empty: not known.
  std::uint32_t m_AskedHosts = 0;
  std::uint32_t m_Answers = 0;
};

/// Origins of the streams that callers may take up again, at any host.
class StreamOrigins {
public:
  using LookupCallback = std::function<void(const StreamLookup &)>;

  virtual ~StreamOrigins() = default;

  /// Records which software has begun the stream of the request \p First.
  virtual auto record(const RequestId &First, const StreamOrigin &Origin)
      -> void = 0;

  /// Returns the origin of a stream if this host knows it.
  [[nodiscard]] virtual auto known(const RequestId &First) const
      -> std::optional<StreamOrigin> = 0;

  /// Asks other hosts for the origin of a stream. Calls \p Done once, within a
  /// bounded time, and never inside this function.
  /// \returns the identifier with which the lookup can be cancelled.
  virtual auto ask(const RequestId &First, LookupCallback Done)
      -> StreamLookupId = 0;

  /// Ends a lookup without a callback; has no effect if it has ended.
  virtual auto cancel(StreamLookupId Lookup) -> void = 0;
};

/// Knows the streams of this host alone.
class LocalStreamOrigins final : public StreamOrigins {
public:
  LocalStreamOrigins(Scheduler &Scheduler, const StreamMemoryOptions &Options)
      : m_Scheduler(Scheduler), m_Memory(Options) {}

  auto record(const RequestId &First, const StreamOrigin &Origin)
      -> void override {
    m_Memory.record(digestStream(First), Origin, m_Scheduler.now());
  }
  [[nodiscard]] auto known(const RequestId &First) const
      -> std::optional<StreamOrigin> override {
    return m_Memory.find(digestStream(First), m_Scheduler.now());
  }
  auto ask(const RequestId & /*First*/, LookupCallback Done)
      -> StreamLookupId override {
    return StreamLookupId{
        m_Scheduler
            .schedule(Duration::zero(), [Done = std::move(Done)] { Done({}); })
            .number()};
  }
  auto cancel(StreamLookupId Lookup) -> void override {
    m_Scheduler.cancel(TimerId{Lookup.number()});
  }

private:
  Scheduler &m_Scheduler;
  StreamMemory m_Memory;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_STREAMORIGINS_H
